"""The log line of an instance that lags behind the others."""

from types import SimpleNamespace

import logbook

from quetzalwall.clock import system_clock
from quetzalwall.platform.store import Rows
from quetzalwall.process.cluster.store_watch import create_table_watch
from quetzalwall.process.cluster.tests.test_store_watch import (
    TABLE,
    create_fleet_with_peers,
)
from quetzalwall.tests.platform_fixtures import ManualClock, own_address


# The log did not show whether a late change was awaited in a call to the store or had
# not been reported by other instances (issue 23, incident CONFIG).
def test_log_line_says_how_far_an_instance_lags_behind():
    fleet = create_fleet_with_peers([own_address(0)], 7)
    clock = ManualClock(system_clock().monotonic())
    watch = create_table_watch(
        SimpleNamespace(read=lambda table: Rows([], 5)),
        TABLE,
        lambda rows, complete, after_outage: None,
        lambda after: None,
        fleet,
        clock.monotonic,
    )
    with logbook.TestHandler() as handler:
        watch.check_staleness()
        clock.now += 1.5
        watch.check_staleness()
        fleet.read_versions[TABLE] = 7
        watch.check_staleness()
    lines = [record.message for record in handler.records]
    assert len(lines) == 1
    assert "event=late" in lines[0]
    assert "told=7" in lines[0]
    assert "late_s=1.5" in lines[0]
