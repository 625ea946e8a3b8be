"""Use of the slots at 95% offered load, and with uneven callers."""

from benchmarks.deployments import DEPLOYMENTS, SERVICE_S, load_cfg
from benchmarks.grid import OURS, Variant, run_grid
from benchmarks.load_driver import Stream, run_driver
from benchmarks.rows import make_row

__all__ = ["run"]

TITLE = "slots in useful work and requests refused, 95% load and uneven callers"
CONCLUSION = (
    "Static shares refuse where callers gather at one instance; loans follow the "
    "demand within about a second. No request ever found all slots of its endpoint in "
    "use, which is the limit that loans must keep."
)
STOP_S = 20.0
BEGIN_S = 5.0
EVEN_LOAD = 0.95
UNEVEN_LOAD = 0.9
HOT_PART = 0.8
VARIANTS = (
    OURS,
    Variant("ours without hedging", {"sharing": "lending", "hedge": False}),
    Variant("static shares", {"sharing": "static"}),
    Variant("one all-knowing instance", {"sharing": "single"}),
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
        for measure, unit, bound in (
            ("slots in useful work at 95% load", "%", ">= 93%"),
            ("short requests refused at 95% load", "", "<= 0"),
            ("slots usable, 80% of callers at one instance", "%", ">= 95%"),
            ("seconds until no request is refused, same", "s", "<= 2"),
            ("requests that found no slot free", "", "<= 0"),
        ):
            text = bound if ours else ""
            rows.append(
                make_row(measure, deployment, label, values[measure], unit, text)
            )
    return rows


def _measure(cell):
    facts = DEPLOYMENTS[cell.deployment]
    even = _run(cell, facts.per_s(EVEN_LOAD), None)
    names = list(load_cfg(cell.deployment)["instances"])
    part = (1 - HOT_PART) / (len(names) - 1)
    weights = {n: HOT_PART if n == names[0] else part for n in names}
    uneven = _run(cell, facts.per_s(UNEVEN_LOAD), weights)
    over = _run(cell, facts.per_s(1.3), weights)
    refused = sorted(uneven.refused.get("/status", []))
    return {
        "slots in useful work at 95% load": 100 * _busy(even, facts.slots),
        "short requests refused at 95% load": len(even.refused.get("/status", [])),
        "slots usable, 80% of callers at one instance": 100 * _busy(over, facts.slots),
        "seconds until no request is refused, same": refused[-1] if refused else 0.0,
        "requests that found no slot free": even.over_limit + uneven.over_limit,
    }


def _run(cell, rate, weights):
    facts = DEPLOYMENTS[cell.deployment]
    stream = Stream("/status", lambda now: rate, SERVICE_S)
    if cell.variant.options["sharing"] == "single":
        weights = None
    return run_driver(
        load_cfg(cell.deployment),
        facts.short,
        [stream],
        cell.seed,
        STOP_S,
        weights=weights,
        **cell.variant.options,
    )


def _busy(result, slots):
    samples = [busy for when, busy in result.busy if when >= BEGIN_S]
    return sum(samples) / len(samples) / slots
