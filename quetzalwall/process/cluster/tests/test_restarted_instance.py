"""What an instance that has read a whole table tells those that know an older one."""

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
from quetzalwall.process.cluster.store_readers import ahead_of, known_up_to
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


def take(cluster_state, version, *changes, whole=False):
    cluster_state.apply(TABLE, Rows(list(changes), version), whole, False)


def ask(asker, told):
    """Have one instance take over what another one knows, as over the network."""
    body = told.export(TABLE, known_up_to(asker.fleet, TABLE))
    rows, whole = read_exported(json.loads(json.dumps(body)), "told")
    asker.apply(TABLE, rows, whole, False)


def usable(cluster_state):
    return sorted(
        state.name for state in cluster_state.endpoints.routable_endpoints("desk")
    )


# DRAIN, known red of report 1: who had read the table anew, after a start or when the
# store had dropped its history, did not know what had gone before and told others only
# of later changes: they used an endpoint that had left for ever.
@params("started", "history gone")
def test_those_who_ask_an_instance_that_read_the_table_anew_learn_what_had_gone(why):
    asker, told = create("asker"), create("told")
    take(asker, 10, row(1, 8), row(2, 9), whole=True)
    if why == "history gone":
        take(told, 5, row(2, 4), whole=True)
    # ep-1 is removed at 15; only then the other instance reads the table.
    take(told, 20, row(2, 9), whole=True)
    take(told, 22, row(3, 22))
    ask(asker, told)
    assert usable(told) == usable(asker) == ["ep-2", "ep-3"]


# The same, told on by one that has it from another instance.
def test_what_had_gone_is_also_learnt_at_third_hand():
    asker, told, first = create("asker"), create("told"), create("first")
    take(asker, 10, row(1, 8), row(2, 9), whole=True)
    take(first, 20, row(2, 9), whole=True)
    ask(told, first)
    take(first, 22, row(3, 22))
    ask(told, first)
    ask(asker, told)
    assert usable(asker) == ["ep-2", "ep-3"]


# An instance that has read the table is not behind one that was told of older removals,
# and does not ask it again and again.
def test_an_instance_that_read_a_newer_table_is_behind_nobody():
    own = create("own")
    take(own, 20, row(2, 9), whole=True)
    info = PeerInfo("peer", "north", "north-b", "127.0.0.2")
    report = PeerReport(info, 1, 1, False, True, {TABLE: 15}, [], [], [])
    own.fleet.receive(report, 1000.0)
    assert ahead_of(own.fleet, TABLE) == []
    report = report._replace(sequence=2, tables={TABLE: 21})
    own.fleet.receive(report, 1000.0)
    assert ahead_of(own.fleet, TABLE) == [info]


# Who knows as much as that instance did when it read the table is told of changes only.
def test_an_instance_that_knows_the_table_is_told_of_changes_only():
    asker, told = create("asker"), create("told")
    take(asker, 20, row(2, 9), whole=True)
    take(told, 20, row(2, 9), whole=True)
    take(told, 22, row(3, 22))
    body = told.export(TABLE, known_up_to(asker.fleet, TABLE))
    assert not body["whole"] and list(body["rows"]) == ["ep-3"]
