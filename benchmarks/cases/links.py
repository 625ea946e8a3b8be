"""Bytes over a link between two regions, with every instance sending all it can."""

import random

from benchmarks.deployments import DEPLOYMENTS, load_cfg
from benchmarks.rows import make_row
from quetzalwall.clock import Clock
from quetzalwall.process.placing.endpoint_directory import LinkMeter
from quetzalwall.process.sharing.ledger import Ledger
from quetzalwall.version.shares import divide_slots, link_key

__all__ = ["run"]

TITLE = "bytes over a link in any second, over its limit"
CONCLUSION = (
    "Each instance counts its part of the link in sliding windows, so no second, "
    "wherever it begins, holds more than the limit. Long work gets its part only. "
    "What the operating system has received ahead of a read is not counted here."
)
SEEDS = (1, 2, 3, 4, 5)
SECONDS = 8.0
STEP_S = 0.002
PIECE_BYTES = 16 * 1024
PAUSE_S = (2.0, 4.5)


def run():
    """Run the case.

    Returns
    -------
    list of Row
    """
    rows = []
    for name in DEPLOYMENTS:
        for label, long in (("short and long work", False), ("long work alone", True)):
            results = [_measure(name, seed, long) for seed in SEEDS]
            most = [found[0] for found in results]
            mean = [100 * found[1] for found in results]
            measure = "most bytes in a second / limit"
            bound = "<= 1.00"
            rows.append(make_row(measure, name, label, most, "", bound, worst=True))
            rows.append(make_row("mean use of the link", name, label, mean, "%"))
    return rows


def _measure(name, seed, long):
    cfg = load_cfg(name)
    link = next(iter(cfg["links"]))
    now = [0.0]
    clock = Clock(lambda: now[0], lambda: now[0])
    meters = []
    for share in divide_slots(cfg).values():
        if link_key(link) not in share.units:
            continue
        ledger = Ledger()
        ledger.set_share(share.units, share.reserve)
        ledger.lease_until = 1e9
        meter = LinkMeter(link_key(link), clock, ledger)
        meter.long_fraction = cfg["links"][link]["long_fraction"]
        meters.append(meter)
    sent = _send(meters, now, random.Random(seed), long)
    limit = cfg["links"][link]["bytes_per_s"]
    return _most_in_a_second(sent) / limit, sum(b for _, b in sent) / SECONDS / limit


def _send(meters, now, rng, long):
    """Let every meter send what it may; one of them pauses for a while."""
    sent = []
    while now[0] < SECONDS:
        now[0] += STEP_S * rng.random() * 2
        for number, meter in enumerate(meters):
            if number == 0 and PAUSE_S[0] <= now[0] < PAUSE_S[1]:
                continue
            pieces = 0
            while meter.take(PIECE_BYTES, long or pieces % 2 == 1, now[0]):
                pieces += 1
            sent.append((now[0], pieces * PIECE_BYTES))
    return sent


def _most_in_a_second(sent):
    most = total = first = 0
    for moment, amount in sent:
        total += amount
        while sent[first][0] <= moment - 1.0:
            total -= sent[first][1]
            first += 1
        most = max(most, total)
    return most
