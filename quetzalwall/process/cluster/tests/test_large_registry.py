"""Thousands of endpoints that one read of the registry returns at once."""

import gevent
import msgspec

from quetzalwall.platform.headers import parse_response
from quetzalwall.platform.store import RowChange, Rows
from quetzalwall.process.cluster.cluster_state import create_cluster_state
from quetzalwall.process.cluster.endpoint_table import (
    EXPIRY_GRACE_S,
    create_endpoint_table,
)
from quetzalwall.process.cluster.fleet import create_fleet
from quetzalwall.process.cluster.peer_report import PeerInfo
from quetzalwall.process.cluster.registry_entries import ROWS_PER_SLICE
from quetzalwall.process.self_watch import LOOP_LAG_LIMIT_S
from quetzalwall.tests.platform_fixtures import (
    DOMAINS,
    LoopMonitor,
    ManualClock,
    config_body,
    entry_body,
)

ENDPOINTS = 3000  # as with about 600 instances and 5 endpoints for each
OWN_INFO = PeerInfo("one", "north", "north-a", "127.0.0.1")


def create():
    clock = ManualClock()
    endpoints = create_endpoint_table(DOMAINS, parse_response, clock.monotonic)
    fleet = create_fleet(OWN_INFO, 1, endpoints, clock.monotonic, 7)
    return create_cluster_state(endpoints, fleet)


def registered_rows(count, version, incarnation):
    bodies = {
        f"ep-{n}": msgspec.json.encode(
            entry_body((f"10.0.0.{n % 250}", n), born=incarnation)
        )
        for n in range(1, count + 1)
    }
    return Rows([RowChange(k, v, version) for k, v in bodies.items()], version)


def removed_rows(count, version):
    return Rows([RowChange(f"ep-{n}", None, version) for n in range(1, count)], version)


def blocked_s(cluster_state, rows, complete):
    """Return how long applying the rows blocks the event loop."""
    monitor = LoopMonitor()
    cluster_state.apply("servers", rows, complete, False)
    gevent.sleep(0.05)
    return monitor.stop()[0]


# Each added endpoint was compared with all others and the whole index was rebuilt for
# it, which blocked the event loop (incident report 3, at scale).
def test_large_registry_does_not_block_the_event_loop():
    assert (
        blocked_s(create(), registered_rows(ENDPOINTS, 1, 1), True) < LOOP_LAG_LIMIT_S
    )


# The same when a release restarts all endpoints.
def test_restart_of_all_endpoints_does_not_block_the_event_loop():
    cluster_state = create()
    cluster_state.apply("servers", registered_rows(ENDPOINTS, 1, 1), True, False)
    assert (
        blocked_s(cluster_state, registered_rows(ENDPOINTS, 2, 2), False)
        < LOOP_LAG_LIMIT_S
    )


# The same when all endpoints are removed from the registry.
def test_removal_of_all_endpoints_does_not_block_the_event_loop():
    cluster_state = create()
    cluster_state.apply("servers", registered_rows(ENDPOINTS, 1, 1), True, False)
    assert (
        blocked_s(cluster_state, removed_rows(ENDPOINTS, 2), False) < LOOP_LAG_LIMIT_S
    )


# A large registry is applied in slices, and the first of them must not serve requests
# alone.
def test_instance_is_not_ready_while_its_registry_is_partly_applied():
    cluster_state = create()
    config = RowChange("config", msgspec.json.encode(config_body()), 1)
    cluster_state.apply("op", Rows([config], 1), True, False)
    counts = []

    def count_endpoints():
        while not cluster_state.ready():
            counts.append(len(cluster_state.endpoints))
            gevent.sleep(0)

    task = gevent.spawn(count_endpoints)
    cluster_state.apply("servers", registered_rows(ENDPOINTS, 1, 1), True, False)
    task.join()
    assert len(counts) > 1 and len(cluster_state.endpoints) == ENDPOINTS


# Between the slices only tasks that were ready ran: timers, connections and datagrams
# were not polled until the whole registry was applied.
def test_tasks_that_wait_run_while_a_registry_is_applied():
    cluster_state, counts = create(), []

    def count_endpoints():
        while len(cluster_state.endpoints) < ENDPOINTS:
            counts.append(len(cluster_state.endpoints))
            gevent.sleep(0.0001)

    task = gevent.spawn(count_endpoints)
    gevent.sleep(0)
    cluster_state.apply("servers", registered_rows(ENDPOINTS, 1, 1), True, False)
    task.join()
    assert len(set(counts)) > ENDPOINTS / ROWS_PER_SLICE / 2, counts


# An instance exported entries as removed that it was about to treat as expired.
def test_partly_applied_registry_is_not_exported():
    cluster_state, exports = create(), []
    cluster_state.apply("servers", registered_rows(ENDPOINTS // 2, 1, 1), True, False)

    def export():
        for _ in range(3):
            exports.append(cluster_state.export("servers", 1))
            gevent.sleep(0)

    task = gevent.spawn(export)
    cluster_state.apply("servers", Rows([], 2), True, True)
    task.join()
    exports.append(cluster_state.export("servers", 1))
    graces_s = [[s for _, s in body["removed"].values()] for body in exports if body]
    assert graces_s and all(s == [EXPIRY_GRACE_S] * (ENDPOINTS // 2) for s in graces_s)
