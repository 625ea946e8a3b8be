import logbook

from quetzalwall.process import self_watch
from quetzalwall.tests.platform_fixtures import ManualClock


def lines_of(looks):
    """Return what is logged by looks at (seconds since the last, resident bytes)."""
    clock = ManualClock()
    resident = []
    usage = {"in_flight": 7, "callers": 9}
    watch = self_watch.create_self_watch(300.0, lambda: usage, clock.monotonic)
    real, self_watch.resident_bytes = self_watch.resident_bytes, lambda: resident[-1]
    try:
        with logbook.TestHandler() as handler:
            for after_s, size in looks:
                clock.now += after_s
                resident.append(size)
                watch.look()
            return [record.message for record in handler.records]
    finally:
        self_watch.resident_bytes = real


# An instance that ended by itself left no word of a held loop or of its memory.
def test_a_held_event_loop_is_logged():
    lines = lines_of([(0.5, 0), (0.6, 0), (21.5, 0)])
    assert lines == ["event=held-up held_s=21 in_flight=7 callers=9"]


def test_each_new_step_of_memory_is_logged_once():
    mb = 1_000_000
    looks = [(0.5, 30 * mb), (0.5, 40 * mb), (0.5, 41 * mb), (0.5, 200 * mb)]
    assert lines_of(looks) == [
        "event=memory resident_mb=40 of_mb=300 in_flight=7 callers=9",
        "event=memory resident_mb=200 of_mb=300 in_flight=7 callers=9",
    ]


def test_the_own_memory_is_known():
    assert 10_000_000 < self_watch.resident_bytes() < 2_000_000_000
