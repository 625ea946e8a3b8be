"""Short work beside uploads offered at twice their capacity."""

from benchmarks.deployments import DEPLOYMENTS, SERVICE_S, load_cfg
from benchmarks.grid import BASELINES, OURS, Measure, grid_rows, run_grid
from benchmarks.load_driver import Stream, run_driver
from benchmarks.rows import quantile

__all__ = ["run"]

TITLE = "short work beside uploads 30x as long, offered at twice their capacity"
CONCLUSION = (
    "Uploads hold only the slots set aside for long work, and wait in a line of their "
    "own, so short work never waits behind one. The baselines mix both in the "
    "endpoints' queues."
)
STOP_S = 25.0
BEGIN_S = 5.0
SHORT_LOAD = 0.3  # of all slots of the service
LONG_FACTOR = 30
UPLOAD_BYTES = 5_000_000
MEASURES = (
    Measure("short p99 with uploads / without", "", "<= 1.25"),
    Measure("uploads answered, of their capacity", "%", ""),
    Measure("short requests refused", "", ""),
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
    cfg = load_cfg(cell.deployment)
    endpoints = cfg["services"][facts.long]["endpoints"].values()
    slots = sum(spec["slots"] for spec in endpoints)
    short_rate = SHORT_LOAD * slots / SERVICE_S
    long_s = LONG_FACTOR * SERVICE_S
    capacity = facts.long_slots / long_s
    short = Stream("/status", lambda now: short_rate, SERVICE_S)
    long = Stream("/photos", lambda now: 2 * capacity, long_s, UPLOAD_BYTES, "POST")
    alone = _run(cell, cfg, facts, [short])
    mixed = _run(cell, cfg, facts, [short, long])
    uploads = [1 for at, s in mixed.latencies.get("/photos", []) if at + s >= BEGIN_S]
    return {
        "short p99 with uploads / without": _p99(mixed) / _p99(alone),
        "uploads answered, of their capacity": 100
        * len(uploads)
        / (capacity * (STOP_S - BEGIN_S)),
        "short requests refused": len(mixed.refused.get("/status", [])),
    }


def _run(cell, cfg, facts, streams):
    return run_driver(
        cfg, facts.long, streams, cell.seed, STOP_S, **cell.variant.options
    )


def _p99(result):
    answered = [s for at, s in result.latencies["/status"] if at >= BEGIN_S]
    refused = [2.0 for at in result.refused.get("/status", []) if at >= BEGIN_S]
    return quantile(answered + refused, 0.99)
