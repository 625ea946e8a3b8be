"""The requests that a shift moves never exceed its cap, over all instances."""

import random

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from quetzalwall.platform.headers import parse_response
from quetzalwall.process.cluster.endpoint_table import create_endpoint_table
from quetzalwall.process.cluster.fleet import create_fleet
from quetzalwall.process.cluster.peer_report import PeerInfo
from quetzalwall.process.limits.share import even_share
from quetzalwall.process.limits.traffic_shifts import create_traffic_shifts
from quetzalwall.tests.platform_fixtures import ManualClock
from quetzalwall.version.model import EndpointEntry, Shift

DOMAINS = {"north-a": "north", "south-a": "south"}
MOVE = Shift("move", "desk", "north", "south", 0.5, 7, 2.0, True)


class Instance:
    """One instance's shifts, with one endpoint in each region."""

    def __init__(self, name, clock, region="north"):
        self.endpoints = create_endpoint_table(DOMAINS, parse_response, clock.monotonic)
        info = PeerInfo(name, region, f"{region}-a", "127.0.0.1")
        self.fleet = create_fleet(info, 1, self.endpoints, clock.monotonic, 1)
        rng = random.Random(name)
        self.shifts = create_traffic_shifts(
            self.endpoints, self.fleet, rng, clock.monotonic
        )
        self.shifts.configure([MOVE])
        for domain in DOMAINS:
            entry = EndpointEntry(
                f"ep-{domain}", "desk", "127.0.0.1", 9, domain, 10, False, 0.0, 1
            )
            self.endpoints.put(entry)

    def send_request(self, now):
        """Send one request to the service; return whether the shift moves it."""
        progress = self.shifts.choose_shift("desk", now)
        if progress is not None:
            self.shifts.record_move(progress, now)
        return progress is not None


def create_instances(clock, names=("a", "b", "c")):
    """Return instances of one region that know of each other."""
    instances = [Instance(name, clock) for name in names]
    for instance in instances:
        for peer in instances:
            instance.fleet.add_registered(peer.fleet.own_info)
    return instances


def adjust_shifts(clock, instances, count):
    """Adjust the shifts a number of times, one second apart."""
    for _ in range(count):
        clock.now += 1.0
        for instance in instances:
            instance.shifts.adjust()


@settings(suppress_health_check=[HealthCheck.too_slow])
@given(st.integers(0, 1000), st.sets(st.text("abc", min_size=1), min_size=1))
def test_even_shares_of_a_limit_add_up_to_it(limit, names):
    names = sorted(names)
    assert sum(even_share(limit, "k", name, names) for name in names) == limit


def test_no_more_requests_than_the_cap_move_in_any_interval():
    clock = ManualClock()
    instances = create_instances(clock)
    adjust_shifts(clock, instances, 5)
    moved = []
    for _ in range(4000):
        clock.now += 0.004
        for instance in instances:
            if instance.send_request(clock.now):
                moved.append(clock.now)
    for at in moved:
        assert sum(at <= other < at + MOVE.interval_s for other in moved) <= MOVE.cap
    assert len(moved) > 4 * MOVE.cap


def test_a_restarted_instance_knows_its_share_before_the_first_peer_report():
    # It has read the other instances from the store; no report has arrived from them.
    clock = ManualClock()
    instances = create_instances(clock)
    restarted = Instance("a", clock)
    for peer in instances:
        restarted.fleet.add_registered(peer.fleet.own_info)
    assert (
        restarted.shifts.cap_share(MOVE)
        == instances[0].shifts.cap_share(MOVE)
        < MOVE.cap
    )


def test_instances_of_another_region_move_nothing():
    clock = ManualClock()
    instance = Instance("z", clock, region="south")
    adjust_shifts(clock, [instance], 10)
    assert not any(instance.send_request(clock.now) for _ in range(100))
    assert instance.shifts.status()["move"]["limit"] == 0


def test_a_shift_decreases_when_the_receiving_region_has_no_free_slots():
    clock = ManualClock()
    instance = Instance("a", clock)
    adjust_shifts(clock, [instance], 5)
    before = instance.shifts.status()["move"]["fraction"]
    instance.endpoints.get("ep-south-a").own_in_flight = 10
    adjust_shifts(clock, [instance], 2)
    status = instance.shifts.status()["move"]
    assert status["fraction"] <= before / 4
    assert status["reason"] == "headroom"


def test_a_shift_decreases_when_the_receiving_region_gets_slower():
    clock = ManualClock()
    instance = Instance("a", clock)
    adjust_shifts(clock, [instance], 5)
    before = instance.shifts.status()["move"]["fraction"]
    instance.endpoints.get("ep-south-a").record_slowness(4.0, clock.now + 1.0, own=True)
    adjust_shifts(clock, [instance], 1)
    assert instance.shifts.status()["move"]["fraction"] == before / 2


def test_a_stopped_shift_moves_nothing_more():
    clock = ManualClock()
    instance = Instance("a", clock)
    adjust_shifts(clock, [instance], 5)
    instance.shifts.configure([MOVE._replace(running=False)])
    assert not any(instance.send_request(clock.now) for _ in range(100))


def test_a_change_of_other_settings_does_not_reset_the_count():
    clock = ManualClock()
    instance = Instance("a", clock)
    adjust_shifts(clock, [instance], 5)
    while instance.shifts.status()["move"]["moved"] < MOVE.cap:
        instance.send_request(clock.now)
    instance.shifts.configure([MOVE._replace(fraction=0.9)])
    assert not any(instance.send_request(clock.now) for _ in range(100))
