"""Ways to notice a death: false removals, time, messages."""

from multiprocessing import get_context

from benchmarks.membership_ways import WAYS
from benchmarks.rows import make_row
from quetzalwall.process.membership.membership import HEARTBEAT_S

__all__ = ["run"]

TITLE = "membership of 7 instances: 5% of messages lost for 30 minutes of rounds"
CONCLUSION = (
    "A member that goes only when none of three sponsors has heard it is not removed "
    "by loss, and its death is known to all in time; the idea is that of "
    "acknowledgement by k others (Barbosa and Karlsson), without synchronous rounds."
)
NAMES = [f"i{n}" for n in range(7)]
ROUNDS = int(1800 / HEARTBEAT_S)
LOSS = 0.05
SEEDS = (1, 2, 3, 4, 5)


def run():
    """Run the case.

    Returns
    -------
    list of Row
    """
    cells = [(way, seed) for way in WAYS for seed in SEEDS]
    with get_context("spawn").Pool(7) as pool:
        results = pool.starmap(_measure, cells, chunksize=1)
    found = {}
    for (way, _), values in zip(cells, results, strict=True):
        for measure, value in values.items():
            found.setdefault((way, measure), []).append(value)
    bounds = {
        "false removals in 30 minutes": ("", "<= 0"),
        "false removals, one-way cut for 60 s": ("", "<= 0"),
        "false removals, one member paused 20 s": ("", "<= 0"),
        "death noticed by all": ("s", "<= 3"),
        "messages an instance": ("1/s", ""),
    }
    rows = []
    for way in WAYS:
        for measure, (unit, bound) in bounds.items():
            text = bound if way.startswith("ours") else ""
            values = found[way, measure]
            rows.append(
                make_row(measure, "7 instances", way, values, unit, text, worst=True)
            )
    return rows


def _measure(way, seed):
    network = WAYS[way](NAMES, seed, LOSS)
    removed = _false_removals(network, ROUNDS)
    rate = network.messages / (ROUNDS * HEARTBEAT_S) / len(NAMES)
    cut = WAYS[way](NAMES, seed, 0.0)
    cut.cut.add(("i0", "i1"))
    paused = WAYS[way](NAMES, seed, 0.0)
    _false_removals(paused, 8)
    paused.down.add("i3")
    for _ in range(80):
        paused.step()
    paused.down.discard("i3")
    # What others concluded while it was silent is true; what it concludes is not.
    others = [name for name in NAMES if name != "i3"]
    wrong = 0
    for _ in range(8):
        paused.step()
        wrong += sum("i3" in paused.believed_dead(name) for name in others)
    return {
        "false removals in 30 minutes": removed,
        "false removals, one-way cut for 60 s": _false_removals(cut, 240),
        "false removals, one member paused 20 s": wrong,
        "death noticed by all": _noticed_s(way, seed),
        "messages an instance": rate,
    }


def _false_removals(network, rounds):
    """Return how often a live member came to be taken for dead by another."""
    removed = 0
    before = set()
    for _ in range(rounds):
        network.step()
        pairs = {(o, n) for n in NAMES for o in network.believed_dead(n)}
        removed += len(pairs - before)
        before = pairs
    return removed


def _noticed_s(way, seed):
    network = WAYS[way](NAMES, seed, LOSS)
    for _ in range(20):
        network.step()
    network.down.add("i2")
    began = network.now
    while len(network.believed_dead("i2")) < len(NAMES) - 1:
        network.step()
        if network.now > began + 60:
            return 60.0
    return network.now - began
