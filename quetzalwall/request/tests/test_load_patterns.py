"""What callers get under loads that have hurt, played without a network."""

from nose2.tools import params

from benchmarks.load_pattern import (
    BEYOND_COLD,
    COLD_START,
    FEW_AN_OBJECT,
    FEW_HELD,
    QUIET,
    SLOW_NEIGHBOURS,
    TROUBLE,
)
from benchmarks.platform_load import play

SEEDS = (1, 2, 3)
MORE_SEEDS = (1, 2, 3, 4, 5)


def mean_in_target(pattern, choice="ours"):
    return sum(play(pattern, choice, seed).in_target for seed in SEEDS) / len(SEEDS)


@params(
    ("quiet", QUIET, 0.9),
    ("more work than cold endpoints can do", COLD_START, 0.9),
    ("far more work than cold endpoints can do", BEYOND_COLD, 0.9),
    ("endpoints that hold few objects", FEW_HELD, 0.85),
    ("few requests an object", FEW_AN_OBJECT, 0.8),
    ("slow neighbours", SLOW_NEIGHBOURS, 0.85),
)
def test_callers_are_served_in_time(name, pattern, least):
    ours = mean_in_target(pattern)
    assert ours >= least, (name, ours)
    for other in ("random", "shortest"):
        baseline = mean_in_target(pattern, other)
        assert ours > baseline, (name, ours, other, baseline)


def test_a_cold_start_ends_in_endpoints_that_hold_the_objects():
    for seed in SEEDS:
        result = play(COLD_START, seed=seed)
        assert result.timed_out < 0.05, result


def test_a_crowded_service_in_trouble_keeps_objects_where_they_are_held():
    # Scattered over all endpoints each object costs many times the first, long work.
    found = [play(TROUBLE, seed=seed).in_target for seed in MORE_SEEDS]
    assert sum(found) / len(found) >= 0.725, found
