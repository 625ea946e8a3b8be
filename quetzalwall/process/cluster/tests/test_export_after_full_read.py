"""Exports of an instance that has read a complete table, to peers that lag behind."""

import json

from nose2.tools import params

from quetzalwall.platform.headers import parse_response
from quetzalwall.platform.store import RowChange, Rows
from quetzalwall.process.cluster.cluster_state import (
    create_cluster_state,
    read_exported,
)
from quetzalwall.process.cluster.endpoint_table import create_endpoint_table
from quetzalwall.process.cluster.fleet import create_fleet
from quetzalwall.process.cluster.peer_report import PeerInfo, PeerReport
from quetzalwall.process.cluster.store_readers import known_version, peers_ahead
from quetzalwall.tests.platform_fixtures import DOMAINS, ManualClock, entry_body

TABLE = "servers"


def create(name):
    clock = ManualClock()
    info = PeerInfo(name, "north", "north-a", "127.0.0.1")
    endpoints = create_endpoint_table(DOMAINS, parse_response, clock.monotonic)
    return create_cluster_state(
        endpoints, create_fleet(info, 1, endpoints, clock.monotonic, 7)
    )


def row(number, version):
    body = entry_body(("127.0.0.1", 80 + number))
    return RowChange(f"ep-{number}", json.dumps(body).encode(), version)


def apply(cluster_state, version, *changes, complete=False):
    cluster_state.apply(TABLE, Rows(list(changes), version), complete, False)


def fetch(asker, source):
    """Let one instance apply the changes that another one exports as JSON."""
    body = source.export(TABLE, known_version(asker.fleet, TABLE))
    rows, complete = read_exported(json.loads(json.dumps(body)), "source")
    asker.apply(TABLE, rows, complete, False)


def routable_names(cluster_state):
    return sorted(
        state.name for state in cluster_state.endpoints.routable_endpoints("desk")
    )


# An instance that had read the complete table, after its start or because the store had
# dropped its history, did not know earlier removals. It exported only later changes, so
# that others used a removed endpoint for ever (incident DRAIN, known red of report 1).
@params("started", "history gone")
def test_removals_before_a_complete_read_reach_instances_that_ask(reason):
    asker, source = create("asker"), create("source")
    apply(asker, 10, row(1, 8), row(2, 9), complete=True)
    if reason == "history gone":
        apply(source, 5, row(2, 4), complete=True)
    # ep-1 is removed at version 15, before the source reads the table.
    apply(source, 20, row(2, 9), complete=True)
    apply(source, 22, row(3, 22))
    fetch(asker, source)
    assert routable_names(source) == routable_names(asker) == ["ep-2", "ep-3"]


# The same if the source has the table from another instance.
def test_removals_before_a_complete_read_are_passed_on():
    asker, source, first = create("asker"), create("source"), create("first")
    apply(asker, 10, row(1, 8), row(2, 9), complete=True)
    apply(first, 20, row(2, 9), complete=True)
    fetch(source, first)
    apply(first, 22, row(3, 22))
    fetch(source, first)
    fetch(asker, source)
    assert routable_names(asker) == ["ep-2", "ep-3"]


# An instance that has read the table does not lag behind one that knows an older
# removal as its last change, and does not ask it again and again.
def test_no_peer_is_ahead_of_an_instance_that_read_a_newer_table():
    own = create("own")
    apply(own, 20, row(2, 9), complete=True)
    info = PeerInfo("peer", "north", "north-b", "127.0.0.2")
    report = PeerReport(info, 1, 1, False, True, {TABLE: 15}, [], [], [])
    own.fleet.receive(report, 1000.0)
    assert peers_ahead(own.fleet, TABLE) == []
    report = report._replace(sequence=2, table_versions={TABLE: 21})
    own.fleet.receive(report, 1000.0)
    assert peers_ahead(own.fleet, TABLE) == [info]


# An instance with the version at which the source read the table gets only the changes.
def test_instance_with_the_version_of_the_complete_read_gets_changes_only():
    asker, source = create("asker"), create("source")
    apply(asker, 20, row(2, 9), complete=True)
    apply(source, 20, row(2, 9), complete=True)
    apply(source, 22, row(3, 22))
    body = source.export(TABLE, known_version(asker.fleet, TABLE))
    assert not body["whole"] and list(body["rows"]) == ["ep-3"]
