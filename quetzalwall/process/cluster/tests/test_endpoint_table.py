import random

from quetzalwall.process.cluster.endpoint_table import create_endpoint_table
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
        table.preferred_ranks("desk", key * 7919)
    assert resident_bytes() - before < MOST_BYTES


def test_the_order_of_an_object_changes_only_where_endpoints_change():
    table = table_of(12)
    first = [table.preferred_ranks("desk", key) for key in range(200)]
    table.put(entry("ep-new", 99))
    for key in range(200):
        names = [
            name for name in table.preferred_ranks("desk", key) if name != "ep-new"
        ]
        known = [name for name in first[key] if name in names]
        assert names == known


def usable_of(table, service):
    """Return what `routable_endpoints` has to return, from all states."""
    return {
        state.name
        for state in table
        if state.entry.service == service
        and state.usable()
        and state.entry.domain not in table.evacuated
    }


# What is found by service and by address is kept up with each change; a change that is
# missed would send requests to endpoints that leave, or that others have replaced.
def test_what_is_found_by_service_follows_each_change():
    rng, table = random.Random(7), table_of(0)
    for step in range(3000):
        name = f"ep-{rng.randrange(8)}"
        what = rng.randrange(8)
        if what == 0:
            table.remove(name, rng.random() < 0.5)
        elif what == 1:
            table.evacuate({"a"} if rng.random() < 0.5 else set(), lambda _: 1.0)
        elif what == 2 and table.get(name) is not None:
            table.get(name).wrong_address = True
        else:
            service, domain = rng.choice(["desk", "shop"]), rng.choice("ab")
            place = "127.0.0.1", rng.randrange(1, 5)
            fields = domain, 3, rng.random() < 0.2, 0.0, rng.randrange(3)
            known = {state.name: state.usable() for state in table}
            born = {state.name: state.entry.born for state in table}
            there = {s.name for s in table if (s.entry.host, s.entry.port) == place}
            was = table.get(name)
            table.put(EndpointEntry(name, service, *place, *fields))
            if table.get(name) is not was:
                for other in there - {name}:
                    if born[other] <= fields[-1]:
                        known[other] = False
                    assert table.get(other).usable() == known[other], step
        for service in ("desk", "shop"):
            found = [state.name for state in table.routable_endpoints(service)]
            assert len(found) == len(set(found))
            assert set(found) == usable_of(table, service), step
