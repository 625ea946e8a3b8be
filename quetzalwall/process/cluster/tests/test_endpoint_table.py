"""The table of endpoints: its memory, preferred endpoints and indexes."""

import random

from quetzalwall.process.cluster.endpoint_table import create_endpoint_table
from quetzalwall.process.self_watch import resident_bytes
from quetzalwall.tests.platform_fixtures import ManualClock
from quetzalwall.version.model import EndpointEntry

MAX_GROWTH_BYTES = 4_000_000


def create_entry(name, port):
    return EndpointEntry(name, "desk", "127.0.0.1", port, "a", 3, False, 0.0, 0)


def create_table(count):
    clock = ManualClock()
    table = create_endpoint_table({"a": "north"}, lambda *_: None, clock.monotonic)
    for n in range(count):
        table.put(create_entry(f"ep-{n}", n + 1))
    return table


# Callers may send any number of object keys. Memory grew with each of them until
# processes ended (incident report 2).
def test_object_keys_of_callers_take_bounded_memory():
    table = create_table(60)
    before = resident_bytes()
    for key in range(20_000):
        table.preferred_ranks("desk", key * 7919)
    assert resident_bytes() - before < MAX_GROWTH_BYTES


def test_new_endpoint_keeps_the_order_of_preferred_endpoints():
    table = create_table(12)
    before = [table.preferred_ranks("desk", key) for key in range(200)]
    table.put(create_entry("ep-new", 99))
    for key in range(200):
        names = [
            name for name in table.preferred_ranks("desk", key) if name != "ep-new"
        ]
        previous = [name for name in before[key] if name in names]
        assert names == previous


def expected_routable(table, service):
    """Return the names that `routable_endpoints` has to find, from all states."""
    return {
        state.name
        for state in table
        if state.entry.service == service
        and state.usable()
        and state.entry.domain not in table.evacuated
    }


# The indexes by service and by address are updated by each change. Without an update,
# requests would go to endpoints that are draining or whose address others have taken.
def test_index_by_service_follows_each_change():
    rng, table = random.Random(7), create_table(0)
    for step in range(3000):
        name = f"ep-{rng.randrange(8)}"
        action = rng.randrange(8)
        if action == 0:
            table.remove(name, rng.random() < 0.5)
        elif action == 1:
            table.set_evacuated({"a"} if rng.random() < 0.5 else set(), lambda _: 1.0)
        elif action == 2 and table.get(name) is not None:
            table.get(name).wrong_address = True
        else:
            service, domain = rng.choice(["desk", "shop"]), rng.choice("ab")
            address = "127.0.0.1", rng.randrange(1, 5)
            fields = domain, 3, rng.random() < 0.2, 0.0, rng.randrange(3)
            usable = {state.name: state.usable() for state in table}
            incarnations = {state.name: state.entry.incarnation for state in table}
            at_address = {
                s.name for s in table if (s.entry.host, s.entry.port) == address
            }
            previous = table.get(name)
            table.put(EndpointEntry(name, service, *address, *fields))
            if table.get(name) is not previous:
                for other in at_address - {name}:
                    if incarnations[other] <= fields[-1]:
                        usable[other] = False
                    assert table.get(other).usable() == usable[other], step
        for service in ("desk", "shop"):
            found = [state.name for state in table.routable_endpoints(service)]
            assert len(found) == len(set(found))
            assert set(found) == expected_routable(table, service), step
