"""Reports on endpoints that have stated that they are draining."""

import msgspec

from quetzalwall.process.cluster.draining_signals import incarnation_code
from quetzalwall.process.cluster.endpoint_stats import EndpointStats
from quetzalwall.process.cluster.endpoint_table import create_endpoint_table
from quetzalwall.process.cluster.peer_report import decode_report
from quetzalwall.tests.platform_fixtures import ManualClock
from quetzalwall.version.model import EndpointEntry


def create(clock):
    table = create_endpoint_table({"a": "north"}, lambda *_: None, clock.monotonic)
    return table, EndpointStats(table)


def entry(incarnation=5, port=1):
    return EndpointEntry(
        "ep", "desk", "127.0.0.1", port, "a", 3, False, 0.0, incarnation
    )


def is_routable(table):
    return bool(table.routable_endpoints("desk"))


# A late report about an earlier start must not take out the present one, whether its
# entry was known before the report or comes after it.
def test_a_late_report_applies_only_to_the_start_that_it_names():
    clock = ManualClock()
    table, _ = create(clock)
    table.put(entry(6))
    table.draining_signals.record(incarnation_code(entry(5)), clock.now, "two")
    assert is_routable(table)
    table.put(entry(6, port=2))
    assert is_routable(table)
    table.put(entry(5))
    assert not is_routable(table)


# An instance that started after the statement learns it only if the others repeat it;
# its age must survive being passed on.
def test_a_statement_is_passed_on_with_its_age_in_each_report_that_names_its_sender():
    clock = ManualClock()
    table, stats = create(clock)
    table.put(entry())
    table.draining_signals.record(incarnation_code(entry()), clock.now - 2.0, "two")
    assert stats.collect(0.0, clock.now, False)["draining"]
    clock.now += 30
    assert not stats.collect(clock.now - 0.1, clock.now, False)["draining"]
    found = stats.collect(clock.now - 0.1, clock.now, True)["draining"]
    assert found == [(incarnation_code(entry()), 32_000)]


# Without the moment of the start, a return after removal may be a new start: peers that
# have not yet seen the removal must not take it out again.
def test_an_entry_without_a_start_is_usable_again_after_its_removal():
    clock = ManualClock()
    table, _ = create(clock)
    table.put(entry(0))
    table.draining_signals.record(incarnation_code(entry(0)), clock.now, "answer")
    clock.now += 1
    table.remove("ep", False)
    table.put(entry(0))
    table.draining_signals.record(incarnation_code(entry(0)), clock.now - 1.0, "two")
    assert is_routable(table)


# Instances of two builds exchange reports during an update.
def test_a_report_of_an_older_build_decodes():
    raw = msgspec.msgpack.encode([None, 1, 1, False, True, {}, [], [], [], {}, []])
    assert decode_report(raw).draining == []
