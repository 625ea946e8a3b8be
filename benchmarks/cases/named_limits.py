"""Load on endpoints that advertise limits, compared with the platform's bound."""

from benchmarks.limit_simulation import LimitPattern, compare_with_limit, simulate
from benchmarks.rows import make_row

__all__ = ["run"]

TITLE = "endpoints that name limits"
CONCLUSION = (
    "All instances together keep to a steady limit, and to one that comes and goes, "
    "also under kills, pauses, cuts and added instances. A limit that changes each "
    "second by up to 24 times can be overrun: after a second in which nobody sent "
    "anything, nobody knows that it has fallen."
)
SEEDS_BY_INSTANCE_COUNT = {7: (1, 2, 3), 26: (1, 2, 3), 100: (1,)}
ENDPOINT_COUNT = 12
DURATION_S = 32.0
DEMAND_RATIO = 2.0  # callers' requests to what all limits together allow
FIRST_LIMIT_S = 3.0  # before it no endpoint advertises a limit
CHANGING_LIMITS = (0.5, 1, 2, 4, 8, 12)


def run():
    """Run the case.

    Returns
    -------
    list of Row
    """
    rows = []
    for instances, seeds in SEEDS_BY_INSTANCE_COUNT.items():
        for name, limit, usual_per_s in _limit_patterns():
            rows += _rows(instances, seeds, name, limit, usual_per_s, True)
        name, limit, usual_per_s = next(_limit_patterns())
        rows += _rows(instances, seeds, name, limit, usual_per_s, False)
    return rows


def _limit_patterns():
    """Yield name, limit function and usual limit (requests a second) of each pattern.

    The load is a multiple of the usual limit, which some patterns have only at times or
    at some endpoints.
    """
    yield "5 a second", _after_first_limit(lambda number, now: 5.0), 5.0
    yield "0.5 a second", _after_first_limit(lambda number, now: 0.5), 0.5
    yield "20 a second", _after_first_limit(lambda number, now: 20.0), 20.0
    yield "every other endpoint, 3", _after_first_limit(_every_other), 3.0
    yield "7 of 12 s, 4", _after_first_limit(_intermittent), 4.0
    yield "changing each second", _changing(), 4.0


def _after_first_limit(limit):
    return lambda number, now, rng: limit(number, now) if now >= FIRST_LIMIT_S else None


def _every_other(number, now):
    return 3.0 if number % 2 else None


def _intermittent(number, now):
    return 4.0 if int(now) % 12 < 7 else None


def _changing():
    limits = {}

    def limit(number, now, rng):
        if now < FIRST_LIMIT_S:
            return None
        key = (number, int(now))
        if key not in limits:
            limits[key] = rng.choice(CHANGING_LIMITS)
        return limits[key]

    return limit


def _rows(instances, seeds, name, limit, usual_per_s, enforced):
    fault_count = max(1, instances // 10)
    faults = (
        ("kill", 8.0, fault_count, 2.0),
        ("pause", 13.0, fault_count, 2.5),
        ("cut", 18.0, fault_count, 3.0),
        ("add", 23.0, fault_count, 0.0),
    )
    requests_per_s = ENDPOINT_COUNT * usual_per_s * DEMAND_RATIO
    pattern = LimitPattern(
        instances, ENDPOINT_COUNT, limit, requests_per_s, DURATION_S, faults, enforced
    )
    max_fractions, used_fractions = [], []
    for seed in seeds:
        arrivals, advertised, _ = simulate(pattern, seed)
        usage = [
            compare_with_limit(*pair) for pair in zip(arrivals, advertised, strict=True)
        ]
        usage = [
            (max_fraction, used_fraction)
            for max_fraction, used_fraction in usage
            if max_fraction
        ]
        max_fractions.append(max(max_fraction for max_fraction, _ in usage))
        used_fractions.append(
            sum(used_fraction for _, used_fraction in usage) / len(usage)
        )
    policy = "limits kept" if enforced else "without"
    deployment = f"{instances} instances, {name}"
    return [
        make_row(
            "most in 4 s, of the bound",
            deployment,
            policy,
            max_fractions,
            "",
            "<= 1",
            True,
        ),
        make_row(
            "part of the limit that is used",
            deployment,
            policy,
            used_fractions,
            "",
            ">= 0.9",
        ),
    ]
