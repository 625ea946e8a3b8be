from hypothesis import given
from hypothesis import strategies as st

from quetzalwall.process.sliding_window import SlidingWindow

STEPS = st.lists(st.tuples(st.floats(0, 0.7), st.integers(1, 5)), max_size=60)


@given(STEPS, st.integers(1, 12))
def test_no_interval_exceeds_the_limit(steps, limit):
    window = SlidingWindow(1.0)
    now = 0.0
    added = []
    for pause, amount in steps:
        now += pause
        if window.try_add(amount, limit, now):
            added.append((now, amount))
    for start, _ in added:
        in_interval = sum(size for at, size in added if start <= at < start + 1.0)
        assert in_interval <= limit


@given(STEPS)
def test_an_amount_fits_after_the_wait(steps):
    window = SlidingWindow(1.0, resolution_s=0.02)
    now = 0.0
    for pause, amount in steps:
        now += pause
        wait_s = window.wait_s(amount, 6, now)
        if wait_s > 0:
            assert window.total(now) + amount > 6
            now += wait_s + 1e-6
        assert window.try_add(amount, 6, now)


def test_an_amount_over_the_limit_never_fits():
    assert SlidingWindow(1.0).wait_s(7, 6, 0.0) == float("inf")
