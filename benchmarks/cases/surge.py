"""A promotion that nobody announced: its class grows tenfold."""

from benchmarks.deployments import DEPLOYMENTS, SERVICE_S, load_cfg
from benchmarks.grid import BASELINES, OURS, Measure, grid_rows, run_grid
from benchmarks.load_driver import Stream, run_driver
from benchmarks.rows import quantile

__all__ = ["run"]

TITLE = "status requests during a tenfold surge of the lowest class"
CONCLUSION = (
    "Status requests leave the line first, and the lowest class is refused early. In "
    "the baselines the surge fills the endpoints' queues, and status requests wait in "
    "them like all others."
)
STOP_S = 25.0
SURGE_S = 8.0
BEGIN_S = 3.0
STATUS_LOAD = 0.2
PROMOTION_LOAD = 0.2
SURGE = 10
MEASURES = (
    Measure("status p99 in the surge / before", "", "<= 1.5"),
    Measure("status answered in time", "%", ">= 99.9%"),
    Measure("promotion answered, of what was left over", "%", ""),
)


def run():
    """Run the case.

    Returns
    -------
    list of Row
    """
    return grid_rows(run_grid(_measure, (OURS, *BASELINES)), MEASURES)


def _measure(cell):
    facts = DEPLOYMENTS[cell.deployment]
    status_rate = facts.per_s(STATUS_LOAD)
    calm_rate = facts.per_s(PROMOTION_LOAD)

    def promotion_rate(now):
        return calm_rate * (SURGE if now >= SURGE_S else 1)

    streams = [
        Stream("/status", lambda now: status_rate, SERVICE_S),
        Stream("/catalogue", promotion_rate, SERVICE_S),
    ]
    result = run_driver(
        load_cfg(cell.deployment),
        facts.short,
        streams,
        cell.seed,
        STOP_S,
        **cell.variant.options,
    )
    calm = _latencies(result, BEGIN_S, SURGE_S)
    surge = _latencies(result, SURGE_S, STOP_S - 2.0)
    in_time = [s for s in surge if s < 2.0]
    left = (1 - STATUS_LOAD) * facts.per_s(1.0) * (STOP_S - SURGE_S)
    promotion = [s for at, s in result.latencies["/catalogue"] if at >= SURGE_S]
    return {
        "status p99 in the surge / before": quantile(surge, 0.99)
        / quantile(calm, 0.99),
        "status answered in time": 100 * len(in_time) / len(surge),
        "promotion answered, of what was left over": 100 * len(promotion) / left,
    }


def _latencies(result, begin, end):
    found = [s for at, s in result.latencies["/status"] if begin <= at < end]
    refused = [at for at in result.refused.get("/status", []) if begin <= at < end]
    return found + [2.0] * len(refused)
