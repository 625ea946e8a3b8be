"""The limits that hold over all instances together."""

from typing import NamedTuple

from quetzalwall.process.limits.cold_start_limiter import ColdStartLimiter
from quetzalwall.process.limits.retry_budget import RetryBudget
from quetzalwall.process.limits.traffic_shifts import TrafficShifts
from quetzalwall.process.limits.weighted_split import WeightedSplit

__all__ = ["FleetLimits"]


class FleetLimits(NamedTuple):
    """What one instance may use of each limit.

    Attributes
    ----------
    retry_budget : RetryBudget
        Retries of each service.
    cold_start_limiter : ColdStartLimiter
        Requests to cold endpoints.
    split : WeightedSplit
        Services of a route by their weights.
    shifts : TrafficShifts
        Planned moves between regions.
    """

    retry_budget: RetryBudget
    cold_start_limiter: ColdStartLimiter
    split: WeightedSplit
    shifts: TrafficShifts
