from quetzalwall.process.knowledge.endpoint_table import create_endpoint_table
from quetzalwall.process.self_watch import resident_bytes
from quetzalwall.tests.platform_fixtures import ManualClock
from quetzalwall.version.model import EndpointEntry

MOST_BYTES = 4_000_000


def entry(name, port):
    return EndpointEntry(name, "desk", "127.0.0.1", port, "a", 3, False, 0.0, 0)


def table_of(count):
    clock = ManualClock()
    table = create_endpoint_table({"a": "north"}, lambda *_: None, clock.monotonic)
    for n in range(count):
        table.put(entry(f"ep-{n}", n + 1))
    return table


# "Its processes ended by themselves", report 2: memory grew with each object that a
# caller named, and callers name what they like.
def test_objects_that_callers_name_take_bounded_memory():
    table = table_of(60)
    before = resident_bytes()
    for key in range(20_000):
        table.order("desk", key * 7919)
    assert resident_bytes() - before < MOST_BYTES


def test_the_order_of_an_object_changes_only_where_endpoints_change():
    table = table_of(12)
    first = [table.order("desk", key) for key in range(200)]
    table.put(entry("ep-new", 99))
    for key in range(200):
        names = [name for name in table.order("desk", key) if name != "ep-new"]
        known = [name for name in first[key] if name in names]
        assert names == known
