"""Load on endpoints that name limits, against the bound of the platform."""

from benchmarks.limit_load import LimitPattern, judge, play
from benchmarks.rows import make_row

__all__ = ["run"]

TITLE = "endpoints that name limits"
CONCLUSION = (
    "All instances together keep to a steady limit, and to one that comes and goes, "
    "also under kills, pauses, cuts and added instances. A limit that changes each "
    "second by up to 24 times can be overrun: after a second in which nobody sent "
    "anything, nobody knows that it has fallen."
)
SEEDS = {7: (1, 2, 3), 26: (1, 2, 3), 100: (1,)}
ENDPOINTS = 12
SECONDS = 32.0
DEMAND = 2.0  # of what the limits allow together
FIRST_S = 3.0  # before any limit is named
SWINGS = (0.5, 1, 2, 4, 8, 12)


def run():
    """Run the case.

    Returns
    -------
    list of Row
    """
    rows = []
    for instances, seeds in SEEDS.items():
        for name, limit, mean in _patterns():
            rows += _rows(instances, seeds, name, limit, mean, True)
        name, limit, mean = next(_patterns())
        rows += _rows(instances, seeds, name, limit, mean, False)
    return rows


def _patterns():
    yield "5 a second", _from_first(lambda number, now: 5.0), 5.0
    yield "0.5 a second", _from_first(lambda number, now: 0.5), 0.5
    yield "20 a second", _from_first(lambda number, now: 20.0), 20.0
    yield "every other endpoint, 3", _from_first(_some), 3.0
    yield "7 of 12 s, 4", _from_first(_comes_and_goes), 4.0
    yield "changing each second", _swinging(), 4.0


def _from_first(limit):
    return lambda number, now, rng: limit(number, now) if now >= FIRST_S else None


def _some(number, now):
    return 3.0 if number % 2 else None


def _comes_and_goes(number, now):
    return 4.0 if int(now) % 12 < 7 else None


def _swinging():
    drawn = {}

    def limit(number, now, rng):
        if now < FIRST_S:
            return None
        key = (number, int(now))
        if key not in drawn:
            drawn[key] = rng.choice(SWINGS)
        return drawn[key]

    return limit


def _rows(instances, seeds, name, limit, mean, keeps):
    hit = max(1, instances // 10)
    faults = (
        ("kill", 8.0, hit, 2.0),
        ("pause", 13.0, hit, 2.5),
        ("cut", 18.0, hit, 3.0),
        ("add", 23.0, hit, 0.0),
    )
    per_s = ENDPOINTS * mean * DEMAND
    pattern = LimitPattern(instances, ENDPOINTS, limit, per_s, SECONDS, faults, keeps)
    worst, used = [], []
    for seed in seeds:
        arrivals, named, _ = play(pattern, seed)
        judged = [judge(*pair) for pair in zip(arrivals, named, strict=True)]
        judged = [(most, part) for most, part in judged if most]
        worst.append(max(most for most, _ in judged))
        used.append(sum(part for _, part in judged) / len(judged))
    policy = "limits kept" if keeps else "without"
    place = f"{instances} instances, {name}"
    return [
        make_row("most in 4 s, of the bound", place, policy, worst, "", "<= 1", True),
        make_row("part of the limit that is used", place, policy, used, "", ">= 0.9"),
    ]
