"""The faults of a seed, in the order in which the soak plays them."""

import random

__all__ = ["FAULTS", "make_schedule"]

FAULTS = (
    "kill",
    "term",
    "pause",
    "store down",
    "store slow",
    "store loses replies",
    "store forgets",
    "store refuses one",
    "cut from store",
    "reset store",
    "endpoint loses answers",
    "endpoint sheds",
    "endpoint hangs",
    "endpoint answers twice",
    "endpoints answer late",
    "endpoint cut short",
    "endpoint without end",
    "endpoints slow",
    "configure",
    "configure",
    "older configuration",
    "drain",
    "drain",
    "add cold",
    "hup",
    "heads of many lines",
    "callers without requests",
)


LATER_FAULTS = ("endpoint names a limit", "store connections silent")
LIMIT_S = 8.0  # until its bound holds, and as long again


def make_schedule(seed, seconds, fleet):
    """Return the faults of a seed.

    Parameters
    ----------
    seed : int
        The seed.
    seconds : float
        Length of the traffic.
    fleet : int
        Instances.

    Returns
    -------
    list of (float, str, int, float)
        Second, kind, instance, and length in seconds.
    """
    rng = random.Random(f"schedule {seed}")
    count = int(seconds * 0.8)
    times = sorted(rng.uniform(1.0, max(1.0, seconds - 4.0)) for _ in range(count))
    faults = [
        (at, rng.choice(FAULTS), rng.randrange(fleet), rng.uniform(0.5, 3.0))
        for at in times
    ]
    # Drawn apart, so that the schedules of earlier seeds stay as they were.
    rng = random.Random(f"later faults {seed}")
    for kind in LATER_FAULTS:
        at = rng.uniform(1.0, max(1.0, seconds - LIMIT_S))
        faults.append((at, kind, rng.randrange(fleet), LIMIT_S))
    return sorted(faults)
