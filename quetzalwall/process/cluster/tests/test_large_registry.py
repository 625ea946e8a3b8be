"""Endpoints by the thousand: one reading of the registry brings them all at once."""

import gevent
import msgspec

from quetzalwall.platform.headers import parse_response
from quetzalwall.platform.store import RowChange, Rows
from quetzalwall.process.cluster.cluster_state import ROWS_AT_ONCE, create_cluster_state
from quetzalwall.process.cluster.endpoint_table import (
    RETURN_GRACE_S,
    create_endpoint_table,
)
from quetzalwall.process.cluster.fleet import create_fleet
from quetzalwall.process.cluster.peer_report import PeerInfo
from quetzalwall.process.self_watch import LOOP_LAG_LIMIT_S
from quetzalwall.tests.platform_fixtures import (
    DOMAINS,
    LoopMonitor,
    ManualClock,
    config_body,
    entry_body,
)

LARGE = 3000  # about 600 instances of a site with 5 endpoints an instance
CARD = PeerInfo("one", "north", "north-a", "127.0.0.1")


def create():
    clock = ManualClock()
    endpoints = create_endpoint_table(DOMAINS, parse_response, clock.monotonic)
    fleet = create_fleet(CARD, 1, endpoints, clock.monotonic, 7)
    return create_cluster_state(endpoints, fleet)


def rows_of(count, version, born):
    bodies = {
        f"ep-{n}": msgspec.json.encode(entry_body((f"10.0.0.{n % 250}", n), born=born))
        for n in range(1, count + 1)
    }
    return Rows([RowChange(k, v, version) for k, v in bodies.items()], version)


def removals(count, version):
    return Rows([RowChange(f"ep-{n}", None, version) for n in range(1, count)], version)


def held_s(cluster_state, rows, whole):
    """Return how long the event loop is held by rows that are taken over."""
    beat = LoopMonitor()
    cluster_state.apply("servers", rows, whole, False)
    gevent.sleep(0.05)
    return beat.stop()[0]


# "Its processes do not hand back the processor", report 3, at scale: each endpoint that
# came was compared with all others and had the whole index made anew.
def test_a_large_registry_does_not_hold_the_event_loop():
    assert held_s(create(), rows_of(LARGE, 1, 1), True) < LOOP_LAG_LIMIT_S


# The same when a release starts all endpoints anew.
def test_endpoints_that_all_start_anew_do_not_hold_the_event_loop():
    cluster_state = create()
    cluster_state.apply("servers", rows_of(LARGE, 1, 1), True, False)
    assert held_s(cluster_state, rows_of(LARGE, 2, 2), False) < LOOP_LAG_LIMIT_S


# The same when all are taken out of the registry.
def test_endpoints_that_all_leave_do_not_hold_the_event_loop():
    cluster_state = create()
    cluster_state.apply("servers", rows_of(LARGE, 1, 1), True, False)
    assert held_s(cluster_state, removals(LARGE, 2), False) < LOOP_LAG_LIMIT_S


# Taken over in parts, a large registry must not serve requests by the first part of it.
def test_an_instance_is_not_ready_while_its_registry_is_half_taken_over():
    cluster_state = create()
    config = RowChange("config", msgspec.json.encode(config_body()), 1)
    cluster_state.apply("op", Rows([config], 1), True, False)
    seen = []

    def look():
        while not cluster_state.ready():
            seen.append(len(cluster_state.endpoints))
            gevent.sleep(0)

    task = gevent.spawn(look)
    cluster_state.apply("servers", rows_of(LARGE, 1, 1), True, False)
    task.join()
    assert len(seen) > 1 and len(cluster_state.endpoints) == LARGE


# Between the parts only tasks that wait for nothing ran: no timer, and no connection or
# datagram, was looked at until the whole registry was taken over.
def test_what_waits_for_time_or_others_runs_while_a_registry_is_taken_over():
    cluster_state, seen = create(), []

    def look():
        while len(cluster_state.endpoints) < LARGE:
            seen.append(len(cluster_state.endpoints))
            gevent.sleep(0.0001)

    task = gevent.spawn(look)
    gevent.sleep(0)
    cluster_state.apply("servers", rows_of(LARGE, 1, 1), True, False)
    task.join()
    assert len(set(seen)) > LARGE / ROWS_AT_ONCE / 2, seen


# An instance told others that entries were gone which it was about to take for lapsed.
def test_an_instance_tells_nothing_of_a_registry_that_is_half_taken_over():
    cluster_state, told = create(), []
    cluster_state.apply("servers", rows_of(LARGE // 2, 1, 1), True, False)

    def ask():
        for _ in range(3):
            told.append(cluster_state.export("servers", 1))
            gevent.sleep(0)

    task = gevent.spawn(ask)
    cluster_state.apply("servers", Rows([], 2), True, True)
    task.join()
    told.append(cluster_state.export("servers", 1))
    left = [[s for _, s in body["removed"].values()] for body in told if body]
    assert left and all(s == [RETURN_GRACE_S] * (LARGE // 2) for s in left)
