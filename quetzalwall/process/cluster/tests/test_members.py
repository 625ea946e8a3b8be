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


def card_of(name, rng):
    return PeerInfo(name, rng.choice(["north", "south"]), "a", "127.0.0.1")


# Who shares the limits is listed once for many requests; with an instance missed, the
# parts together would pass a limit, such as the rate that a cold endpoint bears.
def test_the_instances_that_share_limits_are_listed_as_they_come_and_go():
    rng, clock = random.Random(7), ManualClock()
    fleet, heard, cards = create(clock), {}, {}
    for sequence in range(3000):
        clock.now += rng.choice([0.1, 1.0, 0.4 * FORGET_AFTER_S])
        name = rng.choice(NAMES)
        if rng.random() < 0.2:
            if name not in heard:
                heard[name], cards[name] = clock.now, card_of(name, rng)
                fleet.add_registered(cards[name])
        else:
            if name not in cards or rng.random() < 0.1:
                cards[name] = card_of(name, rng)
            heard[name] = clock.now
            report = PeerReport(cards[name], 5, sequence, False, True, {}, [], [], [])
            fleet.receive(report, clock.now)
        counted = [n for n, at in heard.items() if clock.now - at < FORGET_AFTER_S]
        assert sorted(fleet.names()) == sorted([*counted, fleet.own_info.name]), (
            sequence
        )
        near = [n for n in counted if cards[n].region == fleet.own_info.region]
        assert sorted(fleet.names("north")) == sorted([*near, fleet.own_info.name])
        assert {info.name: info for info in fleet.members()[1:]} == {
            n: cards[n] for n in counted
        }


# The same after a pause of this instance, as a freeze, that was longer than instances
# are remembered for: it kept counting itself alone, and took each limit for itself.
def test_the_others_share_limits_again_after_a_long_pause_of_this_instance():
    rng, clock = random.Random(7), ManualClock()
    fleet, info = create(clock), card_of("front-1", rng)

    def hear(sequence):
        clock.now += 0.1
        fleet.expire(clock.now)
        report = PeerReport(info, 5, sequence, False, True, {}, [], [], [])
        fleet.receive(report, clock.now)

    hear(1)
    assert fleet.size() == 2
    clock.now += FORGET_AFTER_S + 1
    fleet.size()  # a request is served before the pause is noticed
    hear(2)
    assert fleet.size() == 2
