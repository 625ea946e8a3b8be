import json

from quetzalwall.platform.store import RowChange, Rows
from quetzalwall.process.cluster.cluster_state import MOST_REMOVED, read_exported
from quetzalwall.process.cluster.tests.test_knowledge import create, usable
from quetzalwall.process.front_metrics import create_front_metrics
from quetzalwall.tests.platform_fixtures import entry_body

PLACE = ("127.0.0.1", 80)


def change(cluster_state, name, row, present):
    value = json.dumps(entry_body(PLACE)).encode() if present else None
    rows = Rows([RowChange(name, value, row)], row)
    cluster_state.apply("servers", rows, False, False)


# Each endpoint that ever left stayed in the memory of every instance.
def test_only_the_latest_removals_are_remembered():
    cluster_state, _ = create()
    for n in range(MOST_REMOVED + 500):
        change(cluster_state, f"ep-{n}", 2 * n + 1, True)
        change(cluster_state, f"ep-{n}", 2 * n + 2, False)
    exported = cluster_state.export("servers", after=2 * MOST_REMOVED)
    assert not exported["whole"] and len(exported["removed"]) == 500
    assert len(cluster_state._removed["servers"]) == MOST_REMOVED


def test_one_that_lacks_a_forgotten_removal_gets_the_whole_table():
    cluster_state, _ = create()
    other, _ = create()
    change(other, "ep-0", 1, True)
    change(cluster_state, "ep-0", 1, True)
    for n in range(MOST_REMOVED + 1):
        change(cluster_state, f"ep-{n}", n + 2, False)
    exported = cluster_state.export("servers", after=1)
    assert exported["whole"]
    rows, whole = read_exported(exported, "one")
    other.apply("servers", rows, whole, False)
    assert not usable(other)


# Each route that ever had a request stayed among the metrics.
def test_metrics_of_routes_that_are_gone_are_dropped():
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
