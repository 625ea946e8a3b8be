"""What an instance writes while others know more than it does."""

from types import SimpleNamespace

import logbook

from quetzalwall.clock import system_clock
from quetzalwall.platform.store import Rows
from quetzalwall.process.cluster.store_watch import create_table_watch
from quetzalwall.process.cluster.tests.test_behind_others import TABLE, fleet_of
from quetzalwall.tests.platform_fixtures import ManualClock, own_address


# CONFIG, issue 23: nothing told whether a late change was waited for in a call to the
# store, or had not been told by others.
def test_a_line_says_what_an_instance_does_while_others_know_more():
    fleet = fleet_of([own_address(0)], 7)
    clock = ManualClock(system_clock().monotonic())
    watch = create_table_watch(
        SimpleNamespace(read=lambda table: Rows([], 5)),
        TABLE,
        lambda rows, whole, away: None,
        lambda after: None,
        fleet,
        clock.monotonic,
    )
    with logbook.TestHandler() as handler:
        watch.check_staleness()
        clock.now += 1.5
        watch.check_staleness()
        fleet.read_up_to[TABLE] = 7
        watch.check_staleness()
    lines = [record.message for record in handler.records]
    assert len(lines) == 1
    assert "event=late" in lines[0]
    assert "told=7" in lines[0]
    assert "late_s=1.5" in lines[0]
