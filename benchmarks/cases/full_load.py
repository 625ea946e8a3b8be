"""Use of the slots at 95% offered load, and with uneven callers."""

from benchmarks.deployments import DEPLOYMENTS, SERVICE_S, load_cfg
from benchmarks.grid import OURS, Variant, run_grid
from benchmarks.load_driver import Stream, run_driver
from benchmarks.rows import make_row

__all__ = ["run"]

TITLE = "slots in useful work and requests refused, 95% load and uneven callers"
CONCLUSION = (
    "Where each region's callers match its slots, loans bring the use to what the load "
    "offers. A slot used from another region is also held for 35 ms of way, so callers "
    "that gather in one region cost capacity whoever decides: the all-knowing instance "
    "shows how much. No request ever found all slots of its endpoint in use, which is "
    "the limit that loans must keep."
)
STOP_S = 20.0
BEGIN_S = 5.0
EVEN_LOAD = 0.95
UNEVEN_LOAD = 0.6
OVERLOAD = 1.3
HOT_PART = 0.8
VARIANTS = (
    OURS,
    Variant("static shares", {"sharing": "static"}),
    Variant("one all-knowing instance", {"sharing": "single"}),
)
MEASURES = (
    ("slots in useful work at 95% load", "%", ">= 93"),
    ("short requests refused at 95% load", "", "<= 0"),
    ("slots in useful work at 95% load, equal callers an instance", "%", ">= 93"),
    ("short requests refused at 95% load, equal callers an instance", "", "<= 0"),
    ("slots usable, 80% of callers at one instance", "%", ""),
    ("seconds until no request is refused, same at 60% load", "s", "<= 2"),
    ("requests that found no slot free", "", "<= 0"),
)
USABLE = "slots usable, 80% of callers at one instance"


def run():
    """Run the case.

    Returns
    -------
    list of Row
    """
    found = run_grid(_measure, VARIANTS)
    rows = []
    for (deployment, label), values in found.items():
        for measure, unit, bound in MEASURES:
            text = bound if label == "ours" else ""
            rows.append(
                make_row(measure, deployment, label, values[measure], unit, text)
            )
        if label == "ours":
            single = found[deployment, "one all-knowing instance"][USABLE]
            ratios = [
                100 * ours / best
                for ours, best in zip(values[USABLE], single, strict=True)
            ]
            name = "the same, over the all-knowing instance"
            rows.append(make_row(name, deployment, label, ratios, "%", ">= 95"))
    return rows


def _measure(cell):
    facts = DEPLOYMENTS[cell.deployment]
    cfg = load_cfg(cell.deployment)
    names = list(cfg["instances"])
    part = (1 - HOT_PART) / (len(names) - 1)
    hot = {n: HOT_PART if n == names[0] else part for n in names}
    even = _run(cell, facts.per_s(EVEN_LOAD), _by_slots(cfg, facts.short))
    equal = _run(cell, facts.per_s(EVEN_LOAD), None)
    uneven = _run(cell, facts.per_s(UNEVEN_LOAD), hot)
    over = _run(cell, facts.per_s(OVERLOAD), hot)
    refused = sorted(uneven.refused.get("/status", []))
    results = (even, equal, uneven, over)
    values = (
        100 * _busy(even, facts.slots),
        len(even.refused.get("/status", [])),
        100 * _busy(equal, facts.slots),
        len(equal.refused.get("/status", [])),
        100 * _busy(over, facts.slots),
        refused[-1] if refused else 0.0,
        sum(result.over_limit for result in results),
    )
    return dict(zip([name for name, _, _ in MEASURES], values, strict=True))


def _by_slots(cfg, service):
    """Return weights that give each region callers in proportion to its slots."""
    slots = dict.fromkeys(cfg["regions"], 0)
    for spec in cfg["services"][service]["endpoints"].values():
        slots[spec["region"]] += spec["slots"]
    regions = [spec["region"] for spec in cfg["instances"].values()]
    return {
        name: slots[spec["region"]] / regions.count(spec["region"])
        for name, spec in cfg["instances"].items()
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
