"""The schedule of faults of a seed."""

import random

__all__ = ["FAULTS", "make_schedule"]

FAULTS = (
    "kill",
    "term",
    "pause",
    "store down",
    "store slow",
    "store loses replies",
    "store drops history",
    "store connections refused",
    "store partition",
    "store connections reset",
    "endpoint loses responses",
    "endpoint sheds",
    "endpoint hangs",
    "endpoint sends extra responses",
    "endpoints send late responses",
    "endpoint truncates responses",
    "endless response headers",
    "endpoints slow",
    "configure",
    "configure",
    "older configuration",
    "drain",
    "drain",
    "cold endpoint",
    "hup",
    "requests with many headers",
    "idle callers",
)


# Each schedule has each of these once.
SEPARATE_FAULTS = (
    "endpoint advertises a limit",
    "store connections stalled",
    "store restored",
    "endpoint states that it leaves",
    "endpoint asks for no requests",
)
SEPARATE_FAULT_S = 8.0  # twice the time after which an advertised limit is checked


def make_schedule(seed, seconds, instance_count):
    """Return the faults of a seed.

    Parameters
    ----------
    seed : int
        The seed.
    seconds : float
        Duration of the traffic.
    instance_count : int
        Number of instances.

    Returns
    -------
    list of (float, str, int, float)
        Start in seconds, kind, index of the instance, and duration in seconds.
    """
    rng = random.Random(f"schedule {seed}")
    count = int(seconds * 0.8)
    times = sorted(rng.uniform(1.0, max(1.0, seconds - 4.0)) for _ in range(count))
    faults = [
        (at, rng.choice(FAULTS), rng.randrange(instance_count), rng.uniform(0.5, 3.0))
        for at in times
    ]
    # A random source of their own leaves the other faults of known seeds unchanged.
    rng = random.Random(f"later faults {seed}")
    for kind in SEPARATE_FAULTS:
        at = rng.uniform(1.0, max(1.0, seconds - SEPARATE_FAULT_S))
        faults.append((at, kind, rng.randrange(instance_count), SEPARATE_FAULT_S))
    return sorted(faults)
