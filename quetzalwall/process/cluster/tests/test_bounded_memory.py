"""Bounds of what instances keep of removed endpoints and routes."""

import json

from quetzalwall.platform.store import RowChange, Rows
from quetzalwall.process.cluster.cluster_state import MAX_REMOVALS, read_exported
from quetzalwall.process.cluster.tests.test_cluster_state import create, routable_names
from quetzalwall.process.front_metrics import create_front_metrics
from quetzalwall.tests.platform_fixtures import entry_body

ADDRESS = ("127.0.0.1", 80)


def apply_change(cluster_state, name, row, registered):
    value = json.dumps(entry_body(ADDRESS)).encode() if registered else None
    rows = Rows([RowChange(name, value, row)], row)
    cluster_state.apply("servers", rows, False, False)


# Every instance kept the removals of all endpoints since its start.
def test_only_the_latest_removals_are_kept():
    cluster_state, _ = create()
    for n in range(MAX_REMOVALS + 500):
        apply_change(cluster_state, f"ep-{n}", 2 * n + 1, True)
        apply_change(cluster_state, f"ep-{n}", 2 * n + 2, False)
    exported = cluster_state.export("servers", after=2 * MAX_REMOVALS)
    assert not exported["whole"] and len(exported["removed"]) == 500
    assert len(cluster_state._removed["servers"]) == MAX_REMOVALS


def test_instance_that_lacks_a_dropped_removal_gets_the_complete_table():
    cluster_state, _ = create()
    other, _ = create()
    apply_change(other, "ep-0", 1, True)
    apply_change(cluster_state, "ep-0", 1, True)
    for n in range(MAX_REMOVALS + 1):
        apply_change(cluster_state, f"ep-{n}", n + 2, False)
    exported = cluster_state.export("servers", after=1)
    assert exported["whole"]
    rows, complete = read_exported(exported, "one")
    other.apply("servers", rows, complete, False)
    assert not routable_names(other)


# The metrics kept every route that ever had a request.
def test_metrics_of_removed_routes_are_dropped():
    metrics = create_front_metrics()
    for n in range(50):
        metrics.record_finished(f"r-{n}", "answered", 200, 0.1)
        metrics.record_rejection(f"r-{n}", "overload")
    metrics.record_rejection("", "no configuration")
    metrics.record_failed_attempt("desk", "NotRun")
    metrics.prune_routes({"r-1"})
    text = metrics.render().decode()
    assert 'route="r-1"' in text and 'route="r-2"' not in text
    assert 'reason="no configuration"' in text and 'service="desk"' in text
    metrics.record_finished("r-2", "answered", 200, 0.1)
    assert 'route="r-2"' in metrics.render().decode()
