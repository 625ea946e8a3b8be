"""An instance that does not follow the store, while the others know more."""

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
TOLD = {"version": 7, "whole": False, "rows": {}, "removed": {"ep-1": [7, False]}}
CHANGES = Rows([RowChange("ep-1", None, 7)], 7)


def fleet_of(hosts, version):
    """Return a fleet in which another instance at each host knows a version."""
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


def serve(stack, host, port):
    server = create_server(
        host, port, lambda environ, start: json_response(start, 200, TOLD)
    )
    server.start()
    stack.callback(server.stop, timeout=0)


# DRAIN, known red of report 1: an instance that had ended was asked again and again,
# until it counted as silent, while others could have told.
def test_another_instance_is_asked_after_one_that_does_not_answer():
    port = free_ports(1)[0]
    hosts = [own_address(n) for n in range(3)]
    failed = []
    for host in hosts:
        with ExitStack() as stack:
            serve(stack, host, port)
            fleet = fleet_of(hosts, 7)
            now = system_clock().monotonic
            tables = create_peer_tables(fleet, port, list, None, now)
            found = [tables.ask(TABLE, 5) for _ in range(4)]
        failed.append(found.count(None))
        assert found[: failed[-1]] == [None] * failed[-1]
        assert {rows.version for rows, _ in found[failed[-1] :]} == {7}
    # Whichever of them answers, the others are asked once at most.
    assert sorted(failed) == [0, 1, 2]


# The same: without an answer of any instance it never asked the store.
def test_the_store_is_asked_for_what_no_instance_tells():
    fleet = fleet_of([own_address(n) for n in range(12)], 7)
    assert not follows_store(fleet)
    calls, taken = [], []

    def read(table):
        return Rows([], 5)

    def follow(table, after, wait_s):
        calls.append(after)
        return CHANGES

    def take(rows, whole, away):
        taken.append(rows)
        fleet.tables[TABLE] = rows.version

    watch = create_table_watch(
        SimpleNamespace(read=read, follow=follow),
        TABLE,
        take,
        lambda after: None,
        fleet,
        system_clock().monotonic,
    )
    watch.start()
    try:
        wait_for(lambda: CHANGES in taken, 2.5)
    finally:
        watch.close()
    assert calls == [5]


# DRAIN: an instance that gave reading the store up to one that had just started did so
# before that one had read; a removal in between was told by nobody.
def test_an_instance_reads_the_store_until_its_successor_does():
    hosts = [own_address(n) for n in range(12)]
    fleet = fleet_of(hosts, 0)
    for peer in fleet.peers():
        peer.silent = True
    assert follows_store(fleet)
    history, taken = [], []

    def follow(table, after, wait_s):
        gevent.sleep(0.05)
        return history[0] if history else Rows([], 5)

    watch = create_table_watch(
        SimpleNamespace(read=lambda table: Rows([], 5), follow=follow),
        TABLE,
        lambda rows, whole, away: taken.append(rows),
        lambda after: None,
        fleet,
        system_clock().monotonic,
    )
    watch.start()
    try:
        wait_for(lambda: len(taken) > 1)
        for peer in fleet.peers():
            peer.silent = False
        assert not follows_store(fleet)
        gevent.sleep(0.4)
        history.append(CHANGES)
        wait_for(lambda: CHANGES in taken, 0.8)
        gevent.sleep(1.6)
        before = len(taken)
        gevent.sleep(0.5)
        assert len(taken) == before
    finally:
        watch.close()


# DRAIN: an instance that was behind the others asked the store on a connection that
# gave no answer for 3.7 s, and nobody else meanwhile.
def test_an_instance_that_is_behind_does_not_wait_for_the_store_in_vain():
    fleet = fleet_of([own_address(n) for n in range(12)], 7)
    waits = []

    def follow(table, after, wait_s):
        waits.append(wait_s)
        return CHANGES

    watch = create_table_watch(
        SimpleNamespace(read=lambda table: Rows([], 5), follow=follow),
        TABLE,
        lambda rows, whole, away: fleet.tables.update({TABLE: rows.version}),
        lambda after: None,
        fleet,
        system_clock().monotonic,
    )
    watch.start()
    try:
        wait_for(lambda: waits, 2.5)
    finally:
        watch.close()
    assert waits[0] == 0


# CONFIG, issue 23: found while mending it. The store's answer to a question from before
# another instance told of later changes holds states that were left behind.
def test_an_answer_of_the_store_does_not_bring_older_rows_back():
    fleet = fleet_of([own_address(n) for n in range(3)], 7)
    taken, answer = [], gevent.event.Event()
    older = [RowChange("ep-1", b"ready", 6), RowChange("ep-1", None, 7)]

    def follow(table, after, wait_s):
        if after == 5:
            answer.wait()
            return Rows(older, 7)
        gevent.sleep(wait_s)
        return Rows([], 7)

    def take(rows, whole, away):
        taken.append(rows)
        fleet.read_up_to[TABLE] = rows.version

    watch = create_table_watch(
        SimpleNamespace(read=lambda table: Rows([], 5), follow=follow),
        TABLE,
        take,
        lambda after: (CHANGES, False),
        fleet,
        system_clock().monotonic,
    )
    watch.start()
    try:
        wait_for(lambda: CHANGES in taken, 2.5)
        answer.set()
        gevent.sleep(0.5)
    finally:
        watch.close()
    assert [rows.version for rows in taken[:2]] == [5, 7]
    assert not any(rows.rows == older for rows in taken)
