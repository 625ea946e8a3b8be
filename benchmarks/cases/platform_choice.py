"""Simulated choice of endpoints on the platform, by load pattern and policy."""

from benchmarks.choice_simulation import POLICIES, simulate
from benchmarks.load_pattern import (
    COLD_START,
    COLD_START_OVERLOAD,
    CROWDED_WITH_FAILURES,
    FEW_REQUESTS_PER_OBJECT,
    QUIET,
    REGION_LOST,
    SLOW_ENDPOINTS,
    SURGE,
)
from benchmarks.rows import make_row

__all__ = ["run"]

TITLE = "requests answered within their target, by load pattern and choice"
CONCLUSION = (
    "Endpoints answer sooner about objects that they served lately. Instances that "
    "tell one another which those are, and how many requests are open where, keep "
    "objects where they are held; the fewest open requests alone is no better than "
    "chance."
)
SEEDS = (1, 2, 3, 4, 5)
BOUND = ">= 80"
PATTERNS = {
    "quiet": QUIET,
    "cold start": COLD_START,
    "beyond cold": COLD_START_OVERLOAD,
    "few an object": FEW_REQUESTS_PER_OBJECT,
    "slow neighbours": SLOW_ENDPOINTS,
    "surge, 3 times": SURGE,
    "a region lost": REGION_LOST,
    "crowded, in trouble": CROWDED_WITH_FAILURES,
}


def run():
    """Run the case.

    Returns
    -------
    list of Row
    """
    return [
        _row(name, pattern, policy)
        for name, pattern in PATTERNS.items()
        for policy in POLICIES
    ]


def _row(name, pattern, policy):
    percents = [100 * simulate(pattern, policy, seed).in_target for seed in SEEDS]
    bound = BOUND if policy == "ours" else ""
    return make_row(f"in target, {name}", "model", policy, percents, "%", bound, True)
