"""The instances that share limits, as they join, leave and return."""

import random

from quetzalwall.platform.headers import parse_response
from quetzalwall.process.cluster.endpoint_table import create_endpoint_table
from quetzalwall.process.cluster.fleet import create_fleet
from quetzalwall.process.cluster.members import FORGET_AFTER_S
from quetzalwall.process.cluster.peer_report import PeerInfo, PeerReport
from quetzalwall.tests.platform_fixtures import DOMAINS, ManualClock

NAMES = [f"front-{n}" for n in range(6)]


def create(clock):
    info = PeerInfo("own", "north", "north-a", "127.0.0.1")
    endpoints = create_endpoint_table(DOMAINS, parse_response, clock.monotonic)
    return create_fleet(info, 1, endpoints, clock.monotonic, 7)


def random_info(name, rng):
    return PeerInfo(name, rng.choice(["north", "south"]), "a", "127.0.0.1")


# The list of instances that share limits is cached. If it lacks an instance, the sum of
# the shares exceeds a limit, such as the rate that a cold endpoint tolerates.
def test_members_follow_instances_that_join_and_leave():
    rng, clock = random.Random(7), ManualClock()
    fleet, last_seen, infos = create(clock), {}, {}
    for sequence in range(3000):
        clock.now += rng.choice([0.1, 1.0, 0.4 * FORGET_AFTER_S])
        name = rng.choice(NAMES)
        if rng.random() < 0.2:
            if name not in last_seen:
                last_seen[name], infos[name] = clock.now, random_info(name, rng)
                fleet.add_registered(infos[name])
        else:
            if name not in infos or rng.random() < 0.1:
                infos[name] = random_info(name, rng)
            last_seen[name] = clock.now
            report = PeerReport(infos[name], 5, sequence, False, True, {}, [], [], [])
            fleet.receive(report, clock.now)
        expected = [n for n, at in last_seen.items() if clock.now - at < FORGET_AFTER_S]
        assert sorted(fleet.names()) == sorted([*expected, fleet.own_info.name]), (
            sequence
        )
        same_region = [n for n in expected if infos[n].region == fleet.own_info.region]
        assert sorted(fleet.names("north")) == sorted(
            [*same_region, fleet.own_info.name]
        )
        assert {info.name: info for info in fleet.members()[1:]} == {
            n: infos[n] for n in expected
        }


# After a stall of this process (such as a freeze) for longer than `FORGET_AFTER_S`, it
# counted only itself as a member and took each limit for itself.
def test_other_instances_share_limits_again_after_a_long_stall():
    rng, clock = random.Random(7), ManualClock()
    fleet, info = create(clock), random_info("front-1", rng)

    def receive_report(sequence):
        clock.now += 0.1
        fleet.check_timeouts(clock.now)
        report = PeerReport(info, 5, sequence, False, True, {}, [], [], [])
        fleet.receive(report, clock.now)

    receive_report(1)
    assert fleet.size() == 2
    clock.now += FORGET_AFTER_S + 1
    fleet.size()  # a request is served before the stall is detected
    receive_report(2)
    assert fleet.size() == 2
