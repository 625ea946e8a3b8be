"""Requests of one client account at all instances, compared with its allotment."""

from benchmarks.allotment_simulation import AllotmentPattern, simulate_allotment
from benchmarks.rows import make_row

__all__ = ["run"]

TITLE = "allotments of client accounts"
CONCLUSION = (
    "Most in any window of 5 s, as a fraction of (rate x 5 + burst) x 1.1 + 20, and "
    "the requests admitted as a fraction of those that one token bucket would admit. "
    "One over 1 admits some of the overage that the bound allows."
)
SEEDS_BY_INSTANCE_COUNT = {7: (1, 2, 3), 36: (1,), 121: (1,)}
ALLOTMENTS = ((2, 4), (30, 30), (390, 390))  # requests a second, burst
DEMAND_RATIO = 7.0  # demand of a large account at times, to its rate


def run():
    """Run the case.

    Returns
    -------
    list of Row
    """
    rows = []
    for instances, seeds in SEEDS_BY_INSTANCE_COUNT.items():
        for per_s, burst in ALLOTMENTS:
            for name, demand, duration_s, faults in _patterns(instances, per_s):
                pattern = AllotmentPattern(
                    instances, per_s, burst, demand, duration_s, faults
                )
                results = [simulate_allotment(pattern, seed) for seed in seeds]
                rows += _rows(
                    f"{instances} instances, {per_s}+{burst}, {name}", results
                )
    return rows


def _rows(deployment, results):
    measures = (
        ("most in 5 s, of the bound", "<= 1", True),
        ("part of the allotment that is used", ">= 0.95", False),
    )
    return [
        make_row(
            measure, deployment, "shared", [result[n] for result in results], "", *bound
        )
        for n, (measure, *bound) in enumerate(measures)
    ]


def _patterns(instances, per_s):
    """Yield name, demand, duration and faults of each pattern."""
    high_per_s, few = DEMAND_RATIO * per_s, max(1, instances // 10)

    def steady(now):
        return high_per_s, None

    def bursts(now):
        return (high_per_s if now % 15 > 10 else 0.0), None

    def late_burst(now):
        return (high_per_s if 16 < now < 24 else 0.0), None

    def step(now):
        return (high_per_s if now % 15 > 10 else 0.8 * per_s), None

    yield "seven times the rate", steady, 30.0, ()
    yield "0.9 of the rate", lambda now: (0.9 * per_s, None), 30.0, ()
    yield "all at one instance", lambda now: (high_per_s, 0), 30.0, ()
    yield "bursts after silence", bursts, 45.0, ()
    yield "bursts at one instance", lambda now: (bursts(now)[0], 0), 45.0, ()
    yield "from 0.8 to seven times the rate", step, 45.0, ()
    yield "moving each 2 s", lambda now: (2 * per_s, int(now / 2)), 30.0, ()
    kills = (("kill", 10.0, few, 2.0), ("kill", 18.0, few, 2.0))
    yield "kills", steady, 30.0, kills
    hot_kill = (("kill", 10.1, 1, 2.0),)
    yield "the one instance killed", lambda now: (2 * per_s, 0), 30.0, hot_kill
    yield "all restarted", steady, 30.0, (("restart", 15.0, instances, 0.4),)
    yield "all restarted in a burst", bursts, 45.0, (("restart", 26.0, instances, 0.4),)
    yield "partition of 6 s", steady, 35.0, (("cut", 10.0, 0, 6.0),)
    yield "burst in a partition", late_burst, 35.0, (("cut", 15.0, 0, 6.0),)
    yield "pauses of 6 s", steady, 30.0, (("pause", 10.0, few, 6.0),)
    yield "instances added", steady, 30.0, (("add", 10.0, max(2, instances // 3), 0.0),)
