"""A planned shift during a surge, with one instance paused for 15 s."""

from benchmarks.deployments import DEPLOYMENTS, SERVICE_S, load_cfg
from benchmarks.grid import OURS, Variant, run_grid
from benchmarks.load_driver import Stream, run_driver
from benchmarks.rows import make_row

__all__ = ["run"]

TITLE = "requests moved by a shift in any interval, over its cap"
CONCLUSION = (
    "Each instance counts its own part of the cap in a sliding window, so the sum "
    "holds whatever an instance misses while it is paused. Moves by overflow between "
    "the same two regions count too."
)
CAPS = {"cap 20/s": 20, "cap 5/s": 5}
STOP_S = 40.0
PAUSE_S = (10.0, 25.0)
SURGE_S = (15.0, 30.0)
VARIANTS = tuple(Variant(name, {"sharing": "lending"}) for name in CAPS)


def run():
    """Run the case.

    Returns
    -------
    list of Row
    """
    found = run_grid(_measure, VARIANTS)
    rows = []
    for (deployment, label), values in found.items():
        name = "most moved in any second / cap"
        text = f"{OURS.label}, {label}"
        row = make_row(name, deployment, text, values[name], "", "<= 1.00", worst=True)
        rows.append(row)
        name = "moved / cap over the run"
        rows.append(make_row(name, deployment, text, values[name], "%"))
    return rows


def _measure(cell):
    facts = DEPLOYMENTS[cell.deployment]
    cap = CAPS[cell.variant.label]
    cfg = load_cfg(cell.deployment)
    regions = list(cfg["regions"])
    shift = {
        "service": facts.short,
        "from": regions[0],
        "to": regions[-1],
        "fraction": 0.5,
        "cap_requests": cap,
        "interval_s": 1.0,
    }
    cfg = cfg | {"shifts": {"move": shift}}
    paused = next(n for n, s in cfg["instances"].items() if s["region"] == regions[0])

    def rate(now):
        surge = SURGE_S[0] <= now < SURGE_S[1]
        return facts.per_s(0.9 if surge else 0.4)

    def pause(driver):
        driver.paused[paused] = PAUSE_S[1]

    result = run_driver(
        cfg,
        facts.short,
        [Stream("/status", rate, SERVICE_S)],
        cell.seed,
        STOP_S,
        events=[(PAUSE_S[0], pause)],
        **cell.variant.options,
    )
    return {
        "most moved in any second / cap": _most_in_a_second(result.moved) / cap,
        "moved / cap over the run": 100 * len(result.moved) / (cap * STOP_S),
    }


def _most_in_a_second(moments):
    ordered = sorted(moments)
    most = first = 0
    for place, moment in enumerate(ordered):
        while ordered[first] <= moment - 1.0:
            first += 1
        most = max(most, place - first + 1)
    return most
