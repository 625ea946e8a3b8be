"""Tail latency of status requests while 2 of 20 endpoints are slowed tenfold."""

from benchmarks.deployments import DEPLOYMENTS, SERVICE_S, load_cfg
from benchmarks.grid import BASELINES, OURS, Variant, run_grid
from benchmarks.load_driver import Stream, run_driver
from benchmarks.rows import make_row, quantile
from quetzalwall.process.placing.loads import record_report

__all__ = ["run"]

TITLE = "status latency with 2 of 20 endpoints slowed 10x for 20 s, at 60% load"
CONCLUSION = (
    "Ratios of p99 and p99.9 over the same seed with none slowed. What counts: a slow "
    "endpoint is avoided from its own requests' ages, and one open request is "
    "hedged; reports that say otherwise are not asked. Requests sent beyond callers' "
    "own stay within the budget of 5%."
)
LOAD = 0.6
BEGIN_S, END_S, STOP_S = 5.0, 25.0, 27.0
FACTOR = 10.0
REPORT_AGE_S = 5.0
VARIANTS = (
    OURS,
    Variant("ours without hedging", {"sharing": "lending", "hedge": False}),
    Variant("ours with static shares", {"sharing": "static"}),
    *BASELINES,
)


def run():
    """Run the case.

    Returns
    -------
    list of Row
    """
    found = run_grid(_measure, VARIANTS)
    rows = []
    for (deployment, label), values in found.items():
        ours = label == "ours"
        for name, bound in (("p99", "<= 1.5"), ("p99.9", "<= 3")):
            rows.append(
                make_row(
                    f"status {name} slowed / not slowed",
                    deployment,
                    label,
                    values[name],
                    "",
                    bound if ours else "",
                )
            )
        if ours:
            rows.append(
                make_row(
                    "p99 ratio, reports 5 s late and healthy",
                    deployment,
                    label,
                    values["late"],
                    "",
                    "<= 1.6",
                )
            )
            rows.append(
                make_row(
                    "requests sent per request of a caller",
                    deployment,
                    label,
                    values["sent"],
                    "",
                    "<= 1.05",
                )
            )
    return rows


def _measure(cell):
    calm = _latencies(cell, [])
    slowed = _latencies(cell, [(0.0, _slow_two)])
    values = {
        "p99": quantile(slowed[0], 0.99) / quantile(calm[0], 0.99),
        "p99.9": quantile(slowed[0], 0.999) / quantile(calm[0], 0.999),
        "sent": slowed[1],
    }
    if cell.variant.label == "ours":
        late = _latencies(cell, [(0.0, _slow_two), (1.0, _report_healthy)])
        values["late"] = quantile(late[0], 0.99) / quantile(calm[0], 0.99)
    return values


def _latencies(cell, events):
    facts = DEPLOYMENTS[cell.deployment]
    rate = facts.per_s(LOAD)
    stream = Stream("/status", lambda now: rate, SERVICE_S)
    result = run_driver(
        load_cfg(cell.deployment),
        facts.short,
        [stream],
        cell.seed,
        STOP_S,
        events=events,
        **cell.variant.options,
    )
    answered = result.latencies["/status"]
    inside = [s for arrived, s in answered if BEGIN_S <= arrived < END_S]
    refused = result.refused.get("/status", [])
    # A refused request counts as one that took its whole deadline.
    inside += [2.0 for arrived in refused if BEGIN_S <= arrived < END_S]
    return inside, result.sent / (len(answered) + len(refused))


def _slow_two(driver):
    names = sorted(driver.endpoints)
    for name in (names[0], names[7]):
        driver.endpoints[name].slow.append((BEGIN_S, END_S, FACTOR))


def _report_healthy(driver):
    """Deliver reports that are late and deny that anything is slow."""
    for steering in driver.steerings.values():
        for load in steering.services[driver.service].loads.values():
            report = {"outstanding": 0, "healthy": True}
            record_report(load, report, driver.now - REPORT_AGE_S)
    driver.at(driver.now + 1.0, _report_healthy, driver)
