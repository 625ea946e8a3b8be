"""As of which moment the operators' table is known, from the store and from peers."""

import math
from contextlib import suppress
from types import SimpleNamespace

import gevent
import gevent.socket
from nose2.tools import params

from quetzalwall.clock import system_clock
from quetzalwall.platform.bounds import Bounds
from quetzalwall.platform.rows import OPERATOR_TABLE
from quetzalwall.platform.store import Rows
from quetzalwall.platform.store_era import combine_version
from quetzalwall.process.cluster.fleet import create_fleet
from quetzalwall.process.cluster.freshness import (
    DELAY_WINDOW_S,
    MARGIN_S,
    MAX_DRAIN_GAP_S,
    create_freshness,
)
from quetzalwall.process.cluster.peer_report import PeerInfo, decode_report
from quetzalwall.process.cluster.peer_socket import MAX_IDLE_S, PeerSocket
from quetzalwall.process.cluster.report_group import MIN_REPORT_PERIOD_S, ReportGroup
from quetzalwall.process.cluster.report_groups import LOCAL_DATAGRAMS_PER_S
from quetzalwall.process.cluster.store_readers import ALL_READ_BELOW, follows_store
from quetzalwall.process.cluster.store_watch import (
    CALL_PAUSE_S,
    FIRST_READER_LONG_POLL_S,
    create_table_watch,
)
from quetzalwall.process.cluster.tests.test_cluster_state import create_report
from quetzalwall.process.cluster.tests.test_store_watch import create_fleet_with_peers
from quetzalwall.tests.platform_fixtures import ManualClock, free_ports, own_address

CLOSED = Bounds(fail_closed=True)
MEMBER = PeerInfo("a", "north", "north-a", "127.0.0.1")
REGIONS = 3
CALL_S = 0.1  # of a call beyond its wait, between regions
TRANSIT_S = 0.04  # of a report within a region
START_S, STEP_S = 1000.0, 0.01


def create():
    clock = ManualClock()
    freshness = create_freshness(clock.monotonic)
    freshness.configure(CLOSED)
    freshness.record_drained(clock.now)
    return freshness, clock


# A process that has just started counted its start as a confirmation: a restart while
# the store is down would accept keys that were revoked before.
def test_a_process_that_has_just_started_has_proved_nothing():
    freshness, clock = create()
    assert freshness.is_stale() and freshness.own_proof(clock.now) is None
    # That of a peer whose table is empty.
    freshness.receive(1, (clock.now * 1000, 0), 0, clock.now)
    assert freshness.is_stale()


# The arrival of a response proves nothing: it may have waited in the network, or in the
# socket of a process that was stopped.
@params(
    (1.0, 1.0, 1.0),
    (1.0, 1.4, 1.0),
    (1.0, 0.9, 0.0),
    (1.0, 6.0, 0.0),
    (0.0, 0.3, 0.0),
)
def test_a_call_proves_its_wait_only_if_the_response_arrives_then(wait_s, s, proved_s):
    freshness, clock = create()
    sent = clock.now
    clock.now += s
    freshness.confirm(sent, wait_s)
    assert math.isclose(freshness.age_s(), s - proved_s)
    told_ms = freshness.own_proof(clock.now)[1]
    assert 0 <= told_ms - 1000 * (s - proved_s) < 1.001


def test_the_bound_is_enforced_only_as_the_settings_say():
    freshness, clock = create()
    freshness.confirm(clock.now, 0)
    clock.now += CLOSED.revoke_s - MARGIN_S
    assert not freshness.is_stale()
    clock.now += 0.01
    assert freshness.is_stale()
    freshness.configure(CLOSED._replace(revoke_s=9.0))
    assert not freshness.is_stale()
    clock.now += 3600
    assert freshness.is_stale()
    freshness.configure(Bounds())
    assert not freshness.is_stale()


# A peer that knows a later version confirms that one, not what is known here.
def test_a_report_of_a_later_version_counts_once_that_is_applied():
    freshness, clock = create()
    freshness.record_applied(5)
    freshness.receive(1, (clock.now * 1000, 300), 6, clock.now)
    assert freshness.is_stale()
    freshness.record_applied(5)
    assert freshness.is_stale()
    freshness.record_applied(7)
    assert math.isclose(freshness.age_s(), 0.3)


# What the store had proved before it was restored says nothing about the copy: a
# restarted instance that reads the copy may lack a revocation that the proof covers.
def test_a_proof_of_an_earlier_era_of_the_store_does_not_count():
    freshness, clock = create()
    freshness.record_applied(combine_version(1, 4))
    freshness.receive(1, (clock.now * 1000, 300), combine_version(0, 6), clock.now)
    assert freshness.is_stale()
    freshness.receive(1, (clock.now * 1000, 300), combine_version(1, 4), clock.now)
    assert math.isclose(freshness.age_s(), 0.3)


# An age that went from peer to peer would be told for ever while all are cut off.
def test_only_what_the_store_itself_proved_is_told_on():
    freshness, clock = create()
    freshness.record_applied(5)
    freshness.receive(1, (clock.now * 1000, 300), 5, clock.now)
    assert not freshness.is_stale() and freshness.own_proof(clock.now) is None


# Datagrams wait in the socket of a stopped process; their ages leave out that time.
def test_a_report_read_after_a_stall_proves_nothing_until_the_socket_is_empty():
    freshness, clock = create()
    freshness.record_applied(5)
    clock.now += MAX_DRAIN_GAP_S - 0.1
    freshness.receive(1, (clock.now * 1000, 100), 5, clock.now)
    # It may have come at any moment since the socket was empty.
    assert math.isclose(freshness.age_s(), MAX_DRAIN_GAP_S)
    clock.now += 6.0
    freshness.receive(1, (clock.now * 1000, 0), 5, clock.now)
    assert freshness.is_stale()
    freshness.record_drained(clock.now)
    freshness.receive(1, (clock.now * 1000, 0), 5, clock.now)
    assert not freshness.is_stale()


# The network may hold a report back, for example behind a response on a slow link.
def test_a_report_that_took_longer_than_others_proves_less():
    freshness, clock = create()
    freshness.record_applied(5)
    other_clock_ms = 77_000_000
    freshness.receive(1, (other_clock_ms, 100), 5, clock.now)
    assert math.isclose(freshness.age_s(), 0.1)
    for seconds in (2.0, DELAY_WINDOW_S - 1, DELAY_WINDOW_S + 1):
        clock.now = START_S + seconds
        freshness.record_drained(clock.now)
        built_ms = other_clock_ms + 1000 * (seconds - 1.5)
        freshness.receive(1, (built_ms, 100), 5, clock.now)
        assert math.isclose(freshness.age_s(), 1.6)


# Rows that were not applied, since a peer had provided later ones or applying them
# failed, must not count as known.
def test_a_response_that_is_not_applied_proves_nothing():
    clock, fail = ManualClock(), []
    info = PeerInfo("own", "north", "north-a", "127.0.0.1")
    fleet = create_fleet(info, 1, None, clock.monotonic, 1)

    def follow(table, after, wait_s):
        clock.now += 1.0
        if fail:
            return Rows([], 6)
        watch._apply(Rows([], 7), False, False, after)
        return Rows([], 6)

    def on_rows(rows, complete, after_outage):
        if fail:
            raise ValueError

    store = SimpleNamespace(read=lambda table: Rows([], 5), follow=follow)
    watch = create_table_watch(
        store, "op", on_rows, lambda after: None, fleet, clock.monotonic
    )
    watch._call(1.0)
    assert fleet.table_updates.freshness.age_s() == 0
    watch._call(1.0)
    assert fleet.table_updates.freshness.age_s() == 1.0
    fail.append(True)
    with suppress(ValueError):
        watch._call(1.0)
    assert fleet.table_updates.freshness.age_s() == 2.0


# An instance that relies on others would reject keys while their reports prove nothing,
# though they confirm the table otherwise and the store responds.
@params((True, True), (False, False))
def test_the_store_is_asked_if_reports_prove_too_little(fail_closed, expected):
    fleet = create_fleet_with_peers([own_address(n) for n in range(12)], 0)
    fleet.table_updates.freshness.configure(Bounds(fail_closed=fail_closed))
    monotonic = system_clock().monotonic
    watch = create_table_watch(None, "op", None, None, fleet, monotonic)
    assert not follows_store(fleet)
    assert watch._needs_store() == expected


def largest_regular_age_s(instances):
    """Return the largest age at an instance that relies on the reports of a reader.

    Every call of the reader returns rows just before its wait ends, so that it proves
    only when it was sent, and each report waits in the socket for longest.
    """
    group = ReportGroup(True, LOCAL_DATAGRAMS_PER_S)
    group.peers = math.ceil(instances / REGIONS) - 1
    period_s, clock = group.period_s(), ManualClock()
    reader, other = (create_freshness(clock.monotonic) for _ in range(2))
    other.record_applied(1)
    asked = reader if instances <= ALL_READ_BELOW else other
    call_s = FIRST_READER_LONG_POLL_S + CALL_S
    wait_s = MAX_IDLE_S + MIN_REPORT_PERIOD_S + TRANSIT_S
    ages_s, told, sent, next_report = [], [], clock.now, clock.now
    while clock.now < START_S + 60.0:
        clock.now += STEP_S
        if asked.age_s() < math.inf:
            ages_s.append(asked.age_s())
        if clock.now >= sent + call_s:
            reader.confirm(sent, 0)
            sent += call_s + CALL_PAUSE_S
        if clock.now >= next_report:
            told.append((clock.now, reader.own_proof(clock.now)))
            next_report += period_s
        if told and clock.now >= told[0][0] + wait_s:
            sent_at, proof = told.pop(0)
            other.record_drained(sent_at)
            other.receive(1, proof, 1, clock.now)
    return max(ages_s)


# 1.0 s of long poll and 0.25 s of pause, and reports up to 0.7 s apart: the check must
# never reject a request while nothing fails.
@params(7, 36, 121)
def test_in_normal_operation_the_table_is_never_stale(instances):
    assert largest_regular_age_s(instances) < CLOSED.revoke_s - MARGIN_S


def test_reports_that_were_held_up_before_they_were_sent_tell_no_age():
    port, now = free_ports(1)[0], [1000.0]
    received = []
    freshness = create_freshness(lambda: now[0])
    sender = PeerSocket(
        own_address(0), port, received.append, lambda: 0, None, freshness
    )
    receiver = gevent.socket.socket(gevent.socket.AF_INET, gevent.socket.SOCK_DGRAM)
    receiver.bind((own_address(1), port))
    receiver.settimeout(2.0)
    try:
        peer = SimpleNamespace(host=own_address(1), region="north", domain="north-a")
        report = create_report(operators_proof=(7, 40))
        for built_at, expected in ((1000.0, (7, 40)), (994.0, None)):
            sender.send(report, [peer], built_at)
            assert decode_report(receiver.recv(2000)).operators_proof == expected
    finally:
        receiver.close()
        sender.close()


# A late response proves only when its call was sent. With the wait of a long poll, two
# such calls in a row took longer than the bound, and valid keys were rejected.
@params(0.004, 0.6, 1.0, 1.19)
def test_one_reader_of_a_slow_store_is_never_stale(call_s):
    clock, ages_s = ManualClock(), []
    fleet = create_fleet(MEMBER, 1, None, clock.monotonic, 7)
    freshness = fleet.table_updates.freshness
    freshness.configure(CLOSED)

    def follow(table, after, wait_s):
        clock.now += wait_s + call_s
        ages_s.append(freshness.age_s())
        return Rows([], 1)

    def read(table):
        return follow(table, 0, 0.0)

    store = SimpleNamespace(read=read, follow=follow)
    watch = create_table_watch(
        store, OPERATOR_TABLE, lambda *_: None, None, fleet, clock.monotonic
    )
    for _ in range(20):
        watch._call(watch._long_poll_s())
        clock.now += CALL_PAUSE_S
    assert max(ages_s[1:]) < CLOSED.revoke_s - MARGIN_S
