"""A whole region fails, endpoints and entry instances together."""

from benchmarks.deployments import DEPLOYMENTS, SERVICE_S, load_cfg
from benchmarks.grid import OURS, Measure, Variant, grid_rows, run_grid
from benchmarks.load_driver import Stream, run_driver

__all__ = ["run"]

TITLE = "a region lost at 60% load in each region"
CONCLUSION = (
    "The survivors' instances get the lost region's callers and hold slots of their "
    "own regions only, so no region can be overrun. What does not fit is refused, the "
    "lowest class first. Without shares, the endpoints' queues grow."
)
STOP_S = 25.0
LOST_S = 8.0
SETTLED_S = 5.0
STATUS_LOAD = 0.3
OTHER_LOAD = 0.3
VARIANTS = (
    OURS,
    Variant("power of two", {"sharing": "none", "policy": "power_of_two"}),
    Variant("least outstanding", {"sharing": "none", "policy": "least_outstanding"}),
)
MEASURES = (
    Measure("most in use or waiting / slots, in a survivor", "", "<= 1.00"),
    Measure("status answered from 5 s after the loss", "%", ">= 99%"),
    Measure("other class answered from 5 s after the loss", "%", ""),
)


def run():
    """Run the case.

    Returns
    -------
    list of Row
    """
    return grid_rows(run_grid(_measure, VARIANTS), MEASURES)


def _measure(cell):
    facts = DEPLOYMENTS[cell.deployment]
    most = []

    def lose(driver):
        driver.kill_region(facts.region)
        _watch(driver)

    def _watch(driver):
        regions = {}
        for endpoint in driver.endpoints.values():
            if endpoint.region != facts.region:
                entry = regions.setdefault(endpoint.region, [0, 0])
                entry[0] += endpoint.busy + len(endpoint.queue)
                entry[1] += endpoint.slots
        most.append(max(used / slots for used, slots in regions.values()))
        driver.at(driver.now + 0.01, _watch, driver)

    streams = [
        Stream("/status", lambda now: facts.per_s(STATUS_LOAD), SERVICE_S),
        Stream("/catalogue", lambda now: facts.per_s(OTHER_LOAD), SERVICE_S),
    ]
    result = run_driver(
        load_cfg(cell.deployment),
        facts.short,
        streams,
        cell.seed,
        STOP_S,
        events=[(LOST_S, lose)],
        **cell.variant.options,
    )
    return {
        "most in use or waiting / slots, in a survivor": max(most),
        "status answered from 5 s after the loss": _answered(result, "/status"),
        "other class answered from 5 s after the loss": _answered(result, "/catalogue"),
    }


def _answered(result, path):
    begin, end = LOST_S + SETTLED_S, STOP_S - 2.5
    good = [1 for at, s in result.latencies.get(path, []) if begin <= at < end]
    bad = [1 for at in result.refused.get(path, []) if begin <= at < end]
    return 100 * len(good) / (len(good) + len(bad))
