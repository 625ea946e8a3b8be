"""An instance that does not follow the store and lags behind the others."""

from contextlib import ExitStack
from types import SimpleNamespace

import gevent
import gevent.event

from quetzalwall.clock import system_clock
from quetzalwall.connection.http_server import create_server, json_response
from quetzalwall.platform.store import RowChange, Rows
from quetzalwall.process.cluster.fleet import create_fleet
from quetzalwall.process.cluster.peer_report import PeerInfo, PeerReport
from quetzalwall.process.cluster.peer_tables import create_peer_tables
from quetzalwall.process.cluster.store_readers import follows_store
from quetzalwall.process.cluster.store_watch import create_table_watch
from quetzalwall.tests.platform_fixtures import free_ports, own_address, wait_for

TABLE = "servers"
EXPORTED = {"version": 7, "whole": False, "rows": {}, "removed": {"ep-1": [7, False]}}
CHANGES = Rows([RowChange("ep-1", None, 7)], 7)


def create_fleet_with_peers(hosts, version):
    """Return a fleet with a peer at each host that reports a version of the table."""
    endpoints = SimpleNamespace(by_code=lambda code: None)
    info = PeerInfo("own", "north", "north-a", own_address(99))
    monotonic = system_clock().monotonic
    fleet = create_fleet(info, 1, endpoints, monotonic, 1)
    for n, host in enumerate(hosts):
        peer = PeerInfo(f"peer-{n}", "north", "north-a", host)
        tables = {TABLE: version}
        report = PeerReport(peer, 1, 1, False, True, tables, [], [], [])
        fleet.receive(report, monotonic())
    return fleet


def confirm_for(fleet, version, seconds):
    """Let the readers of a fleet confirm a version of the table for some seconds."""
    deadline = system_clock().monotonic() + seconds
    while (now := system_clock().monotonic()) < deadline:
        fleet.table_updates.receive_confirmation({TABLE: (version, now)}, None)
        gevent.sleep(0.1)


def serve(stack, host, port):
    server = create_server(
        host, port, lambda environ, start: json_response(start, 200, EXPORTED)
    )
    server.start()
    stack.callback(server.stop, timeout=0)


# A stopped instance was asked again and again until it counted as unresponsive, while
# others could have responded (incident DRAIN, known red of report 1).
def test_another_instance_is_asked_after_one_that_does_not_respond():
    port = free_ports(1)[0]
    hosts = [own_address(n) for n in range(3)]
    failure_counts = []
    for host in hosts:
        with ExitStack() as stack:
            serve(stack, host, port)
            fleet = create_fleet_with_peers(hosts, 7)
            monotonic = system_clock().monotonic
            tables = create_peer_tables(fleet, port, list, None, monotonic)
            found = [tables.fetch(TABLE, 5) for _ in range(4)]
        failure_counts.append(found.count(None))
        assert found[: failure_counts[-1]] == [None] * failure_counts[-1]
        assert {rows.version for rows, _ in found[failure_counts[-1] :]} == {7}
    # Whichever instance responds, each of the others is asked at most once.
    assert sorted(failure_counts) == [0, 1, 2]


# In the same incident, an instance without any response from others never asked the
# store.
def test_store_is_asked_for_changes_that_no_instance_provides():
    fleet = create_fleet_with_peers([own_address(n) for n in range(12)], 7)
    assert not follows_store(fleet)
    calls, applied = [], []

    def read(table):
        return Rows([], 5)

    def follow(table, after, wait_s):
        calls.append(after)
        return CHANGES

    def on_rows(rows, complete, after_outage):
        applied.append(rows)
        fleet.table_versions[TABLE] = rows.version

    watch = create_table_watch(
        SimpleNamespace(read=read, follow=follow),
        TABLE,
        on_rows,
        lambda after: None,
        fleet,
        system_clock().monotonic,
    )
    watch.start()
    try:
        wait_for(lambda: CHANGES in applied, 2.5)
    finally:
        watch.close()
    assert calls == [5]


# An instance stopped reading the store in favour of one that had just started and had
# not read it yet; nobody reported a removal in between (incident DRAIN).
def test_instance_reads_the_store_until_its_successor_does():
    hosts = [own_address(n) for n in range(12)]
    fleet = create_fleet_with_peers(hosts, 0)
    for peer in fleet.peers():
        peer.unresponsive = True
    assert follows_store(fleet)
    history, applied = [], []

    def follow(table, after, wait_s):
        gevent.sleep(0.05)
        return history[0] if history else Rows([], 5)

    watch = create_table_watch(
        SimpleNamespace(read=lambda table: Rows([], 5), follow=follow),
        TABLE,
        lambda rows, complete, after_outage: applied.append(rows),
        lambda after: None,
        fleet,
        system_clock().monotonic,
    )
    watch.start()
    try:
        wait_for(lambda: len(applied) > 1)
        for peer in fleet.peers():
            peer.unresponsive = False
        assert not follows_store(fleet)
        gevent.sleep(0.4)
        history.append(CHANGES)
        wait_for(lambda: CHANGES in applied, 0.8)
        confirm_for(fleet, 0, 1.6)
        before = len(applied)
        confirm_for(fleet, 0, 0.5)
        assert len(applied) == before
    finally:
        watch.close()


# All instances of a large fleet that start together follow the store until they have
# heard of one another. Each call returned at once, since endpoints register all the
# time, and each instance made four calls a second for each table.
def test_an_instance_that_has_just_started_makes_few_calls_to_the_store():
    fleet = create_fleet_with_peers([own_address(n) for n in range(12)], 0)
    for peer in fleet.peers():
        peer.unresponsive = True
    calls = []

    def follow(table, after, wait_s):
        calls.append(after)
        return Rows([RowChange("ep-1", b"", after + 1)], after + 1)

    watch = create_table_watch(
        SimpleNamespace(read=lambda table: Rows([], 5), follow=follow),
        TABLE,
        lambda rows, complete, after_outage: None,
        lambda after: None,
        fleet,
        system_clock().monotonic,
    )
    watch.start()
    try:
        wait_for(lambda: calls, 2.5)
        gevent.sleep(2.0)
    finally:
        watch.close()
    assert len(calls) <= 4, calls


# An instance that lagged behind long-polled the store on a connection that gave no
# response for 3.7 s, and asked nobody else meanwhile (incident DRAIN).
def test_instance_that_lags_behind_does_not_long_poll_the_store():
    fleet = create_fleet_with_peers([own_address(n) for n in range(12)], 7)
    long_polls_s = []

    def follow(table, after, wait_s):
        long_polls_s.append(wait_s)
        return CHANGES

    watch = create_table_watch(
        SimpleNamespace(read=lambda table: Rows([], 5), follow=follow),
        TABLE,
        lambda rows, complete, after_outage: fleet.table_versions.update(
            {TABLE: rows.version}
        ),
        lambda after: None,
        fleet,
        system_clock().monotonic,
    )
    watch.start()
    try:
        wait_for(lambda: long_polls_s, 2.5)
    finally:
        watch.close()
    assert long_polls_s[0] == 0


# A call to the store may return older states than another instance has provided since
# the call began (found with issue 23, incident CONFIG).
def test_response_of_the_store_does_not_restore_older_rows():
    fleet = create_fleet_with_peers([own_address(n) for n in range(3)], 7)
    applied, respond = [], gevent.event.Event()
    outdated = [RowChange("ep-1", b"ready", 6), RowChange("ep-1", None, 7)]

    def follow(table, after, wait_s):
        if after == 5:
            respond.wait()
            return Rows(outdated, 7)
        gevent.sleep(wait_s)
        return Rows([], 7)

    def on_rows(rows, complete, after_outage):
        applied.append(rows)
        fleet.read_versions[TABLE] = rows.version

    watch = create_table_watch(
        SimpleNamespace(read=lambda table: Rows([], 5), follow=follow),
        TABLE,
        on_rows,
        lambda after: (CHANGES, False),
        fleet,
        system_clock().monotonic,
    )
    watch.start()
    try:
        wait_for(lambda: CHANGES in applied, 2.5)
        respond.set()
        gevent.sleep(0.5)
    finally:
        watch.close()
    assert [rows.version for rows in applied[:2]] == [5, 7]
    assert not any(rows.rows == outdated for rows in applied)
