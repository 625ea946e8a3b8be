"""Confirmations of the store's tables on their way to all instances."""

import random
from types import SimpleNamespace

import msgspec
from nose2.tools import params

from quetzalwall.platform.rows import ENDPOINTS_TABLE, OPERATOR_TABLE
from quetzalwall.process.cluster.confirmation import (
    Confirmation,
    decode_confirmation,
    encode_confirmation,
    is_confirmation,
)
from quetzalwall.process.cluster.confirmation_relay import FANOUT, ConfirmationRelay
from quetzalwall.process.cluster.peer_report import Peer, PeerInfo, encode_report
from quetzalwall.process.cluster.table_updates import TableUpdates
from quetzalwall.process.cluster.tests.test_cluster_state import create_report
from quetzalwall.tests.platform_fixtures import ManualClock

MAX_BYTES = 100  # a report has about 1,000


def create_relays(count, regions, clock, seed=1):
    """Return the relay of each instance by host; all of them know one another."""
    rng = random.Random(seed)
    infos = [
        PeerInfo(f"i-{n}", f"r-{n % regions}", f"d-{n}", f"10.0.{n // 200}.{n % 200}")
        for n in range(count)
    ]
    relays = {}
    for n, own in enumerate(infos):
        peers = [Peer(info) for info in infos if info != own]
        for peer in peers:
            peer.unresponsive = False
            peer.last_seen = clock.now - rng.random()
            peer.process_id = infos.index(peer.info) + 1
        updates = TableUpdates(clock.monotonic)
        updates.freshness.record_drained(clock.now)
        updates.freshness.record_applied(3)
        fleet = SimpleNamespace(
            own_info=own,
            table_updates=updates,
            table_versions={ENDPOINTS_TABLE: 5, OPERATOR_TABLE: 3},
            read_versions={},
            peers=lambda peers=peers: peers,
        )
        relays[own.host] = ConfirmationRelay(fleet, n + 1, clock.monotonic)
    return relays


def deliver(relays, clock, lost=()):
    """Deliver what is due until nothing is; return datagrams and bytes by sender."""
    sent = dict.fromkeys(relays, 0)
    largest, hops = 0, 0
    while True:
        due = [
            (host, *pair)
            for host, relay in relays.items()
            if host not in lost
            for pair in relay.due(clock.now)
        ]
        if not due:
            return sent, largest, hops
        hops += 1
        clock.now += 0.05
        for host, confirmation, info in due:
            raw = encode_confirmation(confirmation)
            sent[host] += 1
            largest = max(largest, len(raw))
            if info.host not in lost:
                freshness = relays[info.host]._updates.freshness
                freshness.record_drained(clock.now)
                relays[info.host].receive(decode_confirmation(raw), clock.now)


def spread_from(relays, clock, number, at):
    relay = list(relays.values())[number]
    relay._updates.confirm(ENDPOINTS_TABLE, 5, at)
    relay._updates.confirm(OPERATOR_TABLE, 3, at)
    relay._updates.freshness.confirm(at, 0)
    relay.spread_own()


# The reports of an instance reach each other one less often in a larger fleet, so that
# the tables were confirmed too seldom for the bound on a draining endpoint.
@params((9, 1), (60, 1), (121, 3), (300, 1), (300, 3), (600, 1))
def test_a_confirmation_reaches_all_by_datagrams_that_do_not_grow(count, regions):
    clock = ManualClock(1000.0)
    relays = create_relays(count, regions, clock)
    at = clock.now
    spread_from(relays, clock, 0, at)
    sent, largest, hops = deliver(relays, clock)
    for relay in relays.values():
        assert relay._updates.known_as_of(ENDPOINTS_TABLE, 5) <= at + 0.05 * hops
        assert relay._updates.known_as_of(ENDPOINTS_TABLE, 5) >= at - 0.01
        assert relay._updates.freshness.age_s() <= clock.now - at + 0.01
    assert max(sent.values()) <= FANOUT + regions
    assert sum(sent.values()) <= count + regions
    assert largest <= MAX_BYTES
    assert hops <= 3


# With each hop at the next report only, others asked the store before the result of the
# first ones had reached them.
def test_a_confirmation_is_sent_and_passed_on_without_waiting_for_a_report():
    clock = ManualClock(1000.0)
    relays = list(create_relays(60, 1, clock).values())
    sent = []
    for relay in relays:
        relay.start(SimpleNamespace(send_confirmations=lambda due, _: sent.extend(due)))
    spread_from({"origin": relays[0]}, clock, 0, clock.now)
    assert len(sent) == FANOUT
    confirmation, info = sent.pop()
    relays[int(info.host.rsplit(".", 1)[1])].on_confirmation(confirmation)
    assert len(sent) > FANOUT - 1


# A recipient that has to fetch the changes first would send others to instances that
# don't have them either.
def test_a_confirmation_is_passed_on_once_its_versions_are_known():
    clock = ManualClock(1000.0)
    relays = create_relays(60, 1, clock)
    origin = relays["10.0.0.0"]
    origin._fleet.table_versions[ENDPOINTS_TABLE] = 6
    origin._updates.confirm(ENDPOINTS_TABLE, 6, clock.now)
    origin.spread_own()
    deliver(relays, clock)
    aware = [
        relay
        for relay in relays.values()
        if relay._updates.newest_version(ENDPOINTS_TABLE) == 6
    ]
    assert len(aware) == FANOUT
    stated = [
        peer.table_versions
        for peer in aware[0]._fleet.peers()
        if peer.info.host == "10.0.0.0"
    ]
    assert stated == [{ENDPOINTS_TABLE: 6}]
    assert all(
        relay._updates.known_as_of(ENDPOINTS_TABLE, 5) < clock.now - 100
        for relay in aware
    )
    for relay in aware:
        relay._fleet.read_versions[ENDPOINTS_TABLE] = 6
    deliver(relays, clock)
    assert all(
        relay._updates.newest_version(ENDPOINTS_TABLE) == 6
        for relay in relays.values()
        if relay is not origin
    )


# Recipients that are lost but not known to be cut off a share of the instances, which
# have to be reached by the confirmations of another reader.
def test_shares_of_lost_instances_are_reached_from_another_reader():
    clock = ManualClock(1000.0)
    relays = create_relays(300, 3, clock)
    lost = set(random.Random(3).sample(list(relays)[2:], 60))
    at = clock.now
    for round_number in range(4):
        spread_from(relays, clock, round_number % 2, clock.now)
        deliver(relays, clock, lost)
        clock.now += 0.4
        for relay in relays.values():
            for peer in relay._fleet.peers():
                if peer.info.host not in lost:
                    peer.last_seen = clock.now - random.Random(round_number).random()
    missed = [
        host
        for host, relay in relays.items()
        if host not in lost and relay._updates.known_as_of(ENDPOINTS_TABLE, 5) < at
    ]
    assert not missed


# Instances of an earlier build, and garbage, must not be taken for the other kind.
def test_confirmations_and_reports_are_told_apart():
    confirmation = Confirmation(2**62, 10**12, {ENDPOINTS_TABLE: (5, 40)}, None, 0, 0)
    raw = encode_confirmation(confirmation)
    assert is_confirmation(raw) and decode_confirmation(raw) == confirmation
    assert not is_confirmation(encode_report(create_report()))
    assert not is_confirmation(b"")
    for garbage in (raw[:-1], b"\x96" + b"\xc0" * 6, b"\x90"):
        assert is_confirmation(garbage)
        try:
            decode_confirmation(garbage)
        except msgspec.DecodeError:
            continue
        raise AssertionError(garbage)
