"""The table of endpoints: its memory, preferred endpoints and indexes."""

import random

from quetzalwall.process.cluster.draining_signals import incarnation_code
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


class AddressModel:
    """Determines from all registrations which endpoints are at their addresses."""

    def __init__(self, table):
        self.order = []  # names, the endpoint registered last at the end
        self.misdirected = set()
        # Starts of endpoints that were removed while they were draining.
        self.draining_starts = set()
        self.services = None
        self._table = table

    def leave(self, name):
        """Record that an endpoint leaves its address, which others may have again."""
        if name in self.order:
            self.order.remove(name)
            self.misdirected -= {name, *self._at_address_of(name)}

    def enter(self, name):
        self.order.append(name)

    def _at_address_of(self, name):
        entry = self._table.get(name).entry
        return [
            other
            for other in self.order
            if self._table.get(other).entry[2:4] == entry[2:4]
        ]

    def usable(self, name):
        state = self._table.get(name)
        if not state.registered or state.entry.draining or name in self.misdirected:
            return False
        if incarnation_code(state.entry) in self.draining_starts:
            return False
        later = self.order[self.order.index(name) + 1 :]
        return not any(
            other in later
            and other not in self.misdirected
            and self._table.get(other).registered
            and (
                not self.services
                or self._table.get(other).entry.service in self.services
            )
            and self._table.get(other).entry.incarnation >= state.entry.incarnation
            for other in self._at_address_of(name)
        )


# The indexes by service and by address are updated by each change. Without an update,
# requests would go to endpoints that are draining or whose address others have taken,
# and none to those whose address has become free again.
def test_indexes_follow_each_change():
    rng, table = random.Random(7), create_table(0)
    model = AddressModel(table)
    for step in range(6000):
        name = f"ep-{rng.randrange(8)}"
        state, action = table.get(name), rng.randrange(11)
        if action == 0 and state is not None:
            after_outage = rng.random() < 0.5
            if not (after_outage and state.registered and not state.entry.draining):
                model.leave(name)
                if state.entry.draining and state.entry.incarnation:
                    model.draining_starts.add(incarnation_code(state.entry))
            table.remove(name, after_outage)
        elif action == 1:
            table.set_evacuated({"a"} if rng.random() < 0.5 else set(), lambda _: 1.0)
        elif action == 2 and state is not None:
            model.misdirected.add(name)
            table.addresses.record_wrong_address(state)
        elif action == 3:
            table.invalidate(name)
        elif action == 4:
            model.services = rng.choice([{"desk"}, {"desk", "shop"}])
            table.addresses.set_services(model.services)
        elif action > 4:
            service, domain = rng.choice(["desk", "shop"]), rng.choice("ab")
            address = "127.0.0.1", rng.randrange(1, 5)
            fields = domain, 3, rng.random() < 0.2, 0.0, rng.randrange(3)
            entry = EndpointEntry(name, service, *address, *fields)
            old = state and (*state.entry[2:4], state.entry.incarnation)
            if old != (*address, entry.incarnation):
                model.leave(name)
                model.enter(name)
            table.put(entry)
        for state in table:
            assert state.usable() == model.usable(state.name), (step, state.name)
        for service in ("desk", "shop"):
            found = [state.name for state in table.routable_endpoints(service)]
            assert len(found) == len(set(found))
            assert set(found) == expected_routable(table, service), step
