"""How long an instance that is gone is named to callers, in a large deployment."""

import random

from quetzalwall.process.cluster.peer_report import PeerInfo, PeerReport
from quetzalwall.process.cluster.tests.test_members import create
from quetzalwall.tests.platform_fixtures import ManualClock

INSTANCES = 300
REGIONS = ("north", "south", "east")
GONE = {1, 3}  # one of the own region and one of another
STABLE_S = 4.0
BEYOND_S = 3.0  # after which the platform counts it
TICK_S = 0.1


def play(fleet, clock, rng, seconds, gone):
    """Have each instance but those gone report as often as it does at this size."""
    every = {a.near: round(a.period_s() / TICK_S) for a in fleet._audiences}
    for _ in range(round(seconds / TICK_S)):
        clock.now += TICK_S
        tick = round(clock.now / TICK_S)
        for n in set(range(INSTANCES)) - gone:
            region = REGIONS[n % len(REGIONS)]
            if (tick + 7 * n) % every[region == fleet.own_info.region] == 0:
                info = PeerInfo(f"front-{n}", region, "a", "127.0.0.1")
                report = PeerReport(info, 5, tick, False, True, {}, [], [], [])
                fleet.receive(report, clock.now - rng.random() * TICK_S)
        fleet.expire(clock.now)


def named(fleet):
    return {info.name for info in fleet.live()}


# DRAIN, at scale: an instance that was killed was named for 10 s in its region and for
# 30 s in others, since so many report less often.
def test_an_instance_that_is_gone_is_not_named_longer_where_there_are_many():
    rng, clock = random.Random(7), ManualClock()
    fleet = create(clock)
    for n in range(INSTANCES):
        fleet.add_registered(PeerInfo(f"front-{n}", REGIONS[n % 3], "a", "127.0.0.1"))
    play(fleet, clock, rng, 12.0, set())
    assert len(named(fleet)) == INSTANCES + 1
    play(fleet, clock, rng, STABLE_S + BEYOND_S, GONE)
    assert not named(fleet) & {f"front-{n}" for n in GONE}
    assert len(named(fleet)) == INSTANCES + 1 - len(GONE)
