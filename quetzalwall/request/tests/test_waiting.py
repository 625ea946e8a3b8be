from hypothesis import given
from hypothesis import strategies as st

from quetzalwall.request.waiting import WaitingLine
from quetzalwall.request.work import Work

REQUESTS = st.lists(
    st.tuples(st.integers(0, 3), st.sampled_from("abc"), st.floats(0, 10)), max_size=60
)


def work(number, rank=0, caller="a", deadline=10.0):
    return Work(f"r{number}", "s", "c", rank, False, True, caller, 0.0, deadline)


def drain(line):
    return [line.pop() for _ in range(len(line))]


@given(REQUESTS, st.integers(1, 20))
def test_length_is_bounded_and_nothing_is_lost(requests, length):
    line = WaitingLine(length)
    pushed, dropped = [], []
    for number, (rank, caller, deadline) in enumerate(requests):
        item = work(number, rank, caller, deadline)
        pushed.append(item)
        lost = line.push(item)
        if lost is not None:
            dropped.append(lost)
        assert len(line) <= length
    late = line.drop_hopeless(5.0, 0.0)
    assert all(item.deadline < 5.0 for item in late)
    assert sorted(drain(line) + dropped + late) == sorted(pushed)
    assert line.head() is None


@given(REQUESTS)
def test_more_important_classes_leave_first(requests):
    line = WaitingLine(1000)
    for number, (rank, caller, _) in enumerate(requests):
        line.push(work(number, rank, caller))
    ranks = [item.rank for item in drain(line)]
    assert ranks == sorted(ranks)


def test_callers_of_a_class_take_turns():
    line = WaitingLine(100)
    for number in range(10):
        line.push(work(number, caller="burst"))
    line.push(work(99, caller="quiet"))
    assert [item.caller for item in drain(line)][:2] == ["burst", "quiet"]


def test_full_line_drops_the_lowest_class_of_the_largest_caller():
    line = WaitingLine(3)
    for number in range(2):
        line.push(work(number, rank=3, caller="burst"))
    line.push(work(2, rank=3, caller="quiet"))
    assert line.push(work(3, rank=0)).caller == "burst"


def test_line_of_no_length_refuses():
    item = work(1)
    assert WaitingLine(0).push(item) is item


def test_ahead_counts_equal_and_more_important_classes():
    line = WaitingLine(10)
    for rank in (0, 1, 1, 2):
        line.push(work(rank, rank=rank))
    assert [line.ahead_of(rank) for rank in (0, 1, 2)] == [1, 3, 4]
