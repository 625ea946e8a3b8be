"""Processor time for one decision, by number of endpoints."""

import math
import random
import time

from benchmarks.rows import make_row
from quetzalwall.process.placing.steering import create_steering
from quetzalwall.process.sharing.ledger import Ledger
from quetzalwall.request.classify import RequestFacts, classify
from quetzalwall.request.work import Grant
from quetzalwall.version.shares import slot_totals
from quetzalwall.version.tree import merge_tree

__all__ = ["run"]

TITLE = "processor time for a decision: take in a request, choose, finish"
CONCLUSION = (
    "A bounded sample of the endpoints with a free slot is compared, so a decision "
    "costs about the same among 20 endpoints as among 1,000. What grows is the refresh "
    "ten times a second, given apart."
)
SIZES = (20, 100, 1000)
DECISIONS = 5000
ROUNDS = 5
OPEN = 10  # requests in flight


def run():
    """Run the case.

    Returns
    -------
    list of Row
    """
    decisions = {size: [] for size in SIZES}
    ticks = {size: [] for size in SIZES}
    for _ in range(ROUNDS):
        for size in SIZES:
            steering = _steering(size)
            decisions[size].append(_decision_us(steering))
            ticks[size].append(_tick_us(steering))
    rows = []
    for size in SIZES:
        label = f"{size} endpoints"
        rows.append(make_row("decision", label, "ours", decisions[size], "us"))
        rows.append(make_row("refresh", label, "ours", ticks[size], "us"))
    growth = [
        large / small
        for small, large in zip(decisions[20], decisions[1000], strict=True)
    ]
    bound = f"<= {math.log(1000) / math.log(20):.3f}"
    name = "decision among 1,000 / among 20"
    rows.append(make_row(name, "one instance", "ours", growth, "", bound))
    return rows


def _steering(size):
    cfg = _cfg(size)
    ledger = Ledger()
    ledger.set_share(slot_totals(cfg, "s"), {})
    ledger.lease_until = 1e12
    steering = create_steering(cfg, "r", 0.0, random.Random(1), ledger)
    steering.tick(0.0)
    return steering


def _cfg(size):
    place = {"address": "127.0.0.1", "port": 1, "region": "r", "domain": "r-a"}
    endpoints = {f"e{n}": {**place, "slots": 3} for n in range(size)}
    routes = [{"prefix": "/", "class": "status", "idempotent": True}]
    return merge_tree(
        {
            "t": {
                "regions": {"r": {"domains": ["r-a"]}},
                "classes": {"status": {"rank": 0, "max_duration_s": 2.0}},
                "instances": {"i": place},
                "services": {"s": {"endpoints": endpoints, "routes": routes}},
            }
        }
    )


def _decision_us(steering):
    now = 1.0
    running = []
    began = time.process_time()
    for number in range(DECISIONS):
        now += 0.0001
        facts = RequestFacts(f"r{number}", "s", "GET", "/status", "caller")
        work = classify(steering.cfg, facts, now)
        running += [d for d in steering.submit(work, now) if isinstance(d, Grant)]
        if len(running) > OPEN:
            steering.finish(running.pop(0), now, answered=True)
    return 1e6 * (time.process_time() - began) / DECISIONS


def _tick_us(steering):
    began = time.process_time()
    for number in range(20):
        steering.tick(10.0 + number)
    return 1e6 * (time.process_time() - began) / 20
