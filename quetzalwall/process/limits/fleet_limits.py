"""The limits that hold over all instances together."""

from typing import NamedTuple

from quetzalwall.process.limits.allotments import Allotments
from quetzalwall.process.limits.cold_start_limiter import ColdStartLimiter
from quetzalwall.process.limits.retry_budget import RetryBudget
from quetzalwall.process.limits.traffic_shifts import TrafficShifts
from quetzalwall.process.limits.weighted_split import WeightedSplit

__all__ = ["FleetLimits"]


class FleetLimits(NamedTuple):
    """One instance's share of each limit, and its split of routes by weight.

    Attributes
    ----------
    retry_budget : RetryBudget
        Limits retries for each service.
    cold_start_limiter : ColdStartLimiter
        Limits requests to each cold endpoint.
    split : WeightedSplit
        Divides a route's requests between services.
    shifts : TrafficShifts
        Moves requests between regions, within the caps of the shifts.
    allotments : Allotments
        Limits the requests of each client account.
    """

    retry_budget: RetryBudget
    cold_start_limiter: ColdStartLimiter
    split: WeightedSplit
    shifts: TrafficShifts
    allotments: Allotments
