import logbook

from quetzalwall.process import self_watch
from quetzalwall.tests.platform_fixtures import ManualClock


def logged_lines(checks):
    """Return what checks at (seconds since the last one, resident bytes) log."""
    clock = ManualClock()
    sizes = []
    usage = {"in_flight": 7, "callers": 9}
    watch = self_watch.create_self_watch(300.0, lambda: usage, clock.monotonic)
    original, self_watch.resident_bytes = self_watch.resident_bytes, lambda: sizes[-1]
    try:
        with logbook.TestHandler() as handler:
            for after_s, size in checks:
                clock.now += after_s
                sizes.append(size)
                watch.look()
            return [record.message for record in handler.records]
    finally:
        self_watch.resident_bytes = original


# An instance that ended by itself had not logged a blocked event loop or its memory.
def test_a_blocked_event_loop_is_logged():
    lines = logged_lines([(0.5, 0), (0.6, 0), (21.5, 0)])
    assert lines == ["event=held-up held_s=21 in_flight=7 callers=9"]


def test_each_new_step_of_memory_is_logged_once():
    mb = 1_000_000
    checks = [(0.5, 30 * mb), (0.5, 40 * mb), (0.5, 41 * mb), (0.5, 200 * mb)]
    assert logged_lines(checks) == [
        "event=memory resident_mb=40 of_mb=300 in_flight=7 callers=9",
        "event=memory resident_mb=200 of_mb=300 in_flight=7 callers=9",
    ]


def test_the_memory_of_this_process_is_read():
    assert 10_000_000 < self_watch.resident_bytes() < 2_000_000_000
