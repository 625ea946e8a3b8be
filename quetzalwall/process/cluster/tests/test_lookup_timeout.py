"""How long look-ups return a stopped instance in a large deployment."""

import random

from quetzalwall.process.cluster.peer_report import PeerInfo, PeerReport
from quetzalwall.process.cluster.tests.test_members import create
from quetzalwall.tests.platform_fixtures import ManualClock

INSTANCES = 300
REGIONS = ("north", "south", "east")
STOPPED = {1, 3}  # one of the own region and one of another
STABLE_S = 4.0  # after a fault, until the bounds of the platform hold again
TOLERANCE_S = 3.0  # the platform counts look-ups with a stopped instance after that
TICK_S = 0.1


def run_fleet(fleet, clock, rng, seconds, stopped):
    """Let all but the stopped instances report as often as in a fleet of this size."""
    ticks = {g.same_region: round(g.period_s() / TICK_S) for g in fleet._report_groups}
    for _ in range(round(seconds / TICK_S)):
        clock.now += TICK_S
        tick = round(clock.now / TICK_S)
        for n in set(range(INSTANCES)) - stopped:
            region = REGIONS[n % len(REGIONS)]
            if (tick + 7 * n) % ticks[region == fleet.own_info.region] == 0:
                info = PeerInfo(f"front-{n}", region, "a", "127.0.0.1")
                report = PeerReport(info, 5, tick, False, True, {}, [], [], [])
                fleet.receive(report, clock.now - rng.random() * TICK_S)
        fleet.check_timeouts(clock.now)


def live_names(fleet):
    return {info.name for info in fleet.live()}


# With many instances each reports less often. Look-ups returned a killed instance for
# 10 s in its region and for 30 s in others (incident DRAIN, at scale).
def test_stopped_instance_is_not_returned_longer_in_a_large_fleet():
    rng, clock = random.Random(7), ManualClock()
    fleet = create(clock)
    for n in range(INSTANCES):
        fleet.add_registered(PeerInfo(f"front-{n}", REGIONS[n % 3], "a", "127.0.0.1"))
    run_fleet(fleet, clock, rng, 12.0, set())
    assert len(live_names(fleet)) == INSTANCES + 1
    run_fleet(fleet, clock, rng, STABLE_S + TOLERANCE_S, STOPPED)
    assert not live_names(fleet) & {f"front-{n}" for n in STOPPED}
    assert len(live_names(fleet)) == INSTANCES + 1 - len(STOPPED)
