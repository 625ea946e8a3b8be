"""The order of requests that are sent ahead, without a network."""

from hypothesis import given
from hypothesis import strategies as st

from quetzalwall.connection.pipeline import (
    MAX_RUNNING,
    MAX_WAITING_BYTES,
    Admission,
    create_pipeline,
)


def start(pipeline, request, parallel=True):
    assert pipeline.admit(parallel) is Admission.START
    pipeline.start(request, parallel)


def test_requests_that_may_be_repeated_run_side_by_side():
    pipeline = create_pipeline()
    for number in range(MAX_RUNNING):
        start(pipeline, number)
    assert pipeline.admit(True) is Admission.WAIT
    pipeline.finish(0, complete=True)
    assert pipeline.admit(True) is Admission.START


def test_a_request_that_must_not_be_repeated_runs_alone():
    pipeline = create_pipeline()
    start(pipeline, "look")
    assert pipeline.admit(False) is Admission.WAIT
    pipeline.finish("look", complete=True)
    start(pipeline, "book", parallel=False)
    assert pipeline.admit(True) is Admission.WAIT
    assert pipeline.admit(False) is Admission.WAIT
    pipeline.finish("book", complete=True)
    assert pipeline.admit(True) is Admission.START


def test_responses_follow_in_the_order_of_the_requests():
    pipeline = create_pipeline()
    start(pipeline, "first")
    start(pipeline, "second")
    assert pipeline.is_next("first") and not pipeline.is_next("second")
    pipeline.finish("first", complete=True)
    assert pipeline.is_next("second")


def test_a_connection_closes_behind_the_last_request_that_runs():
    pipeline = create_pipeline()
    start(pipeline, "first")
    start(pipeline, "second")
    assert not pipeline.is_last("first", wants_close=True)
    assert pipeline.admit(True) is Admission.DROP
    pipeline.finish("first", complete=True)
    assert pipeline.is_last("second", wants_close=False)


def test_nothing_starts_behind_an_incomplete_response():
    pipeline = create_pipeline()
    start(pipeline, "first")
    pipeline.finish("first", complete=False)
    assert pipeline.admit(True) is Admission.DROP


def test_nothing_starts_while_too_many_bytes_wait_for_their_turn():
    pipeline = create_pipeline()
    start(pipeline, "first")
    assert pipeline.admit(True, MAX_WAITING_BYTES - 1) is Admission.START
    assert pipeline.admit(True, MAX_WAITING_BYTES) is Admission.WAIT


STEPS = st.lists(
    st.tuples(st.sampled_from(["look", "book", "end", "cut", "close"]), st.integers(0)),
    max_size=60,
)


@given(STEPS)
def test_any_sequence_keeps_order_and_runs_unrepeatable_requests_alone(steps):
    pipeline = create_pipeline(4)
    kinds, running, ended = {}, [], False
    for step, which in steps:
        if step in ("look", "book"):
            parallel = step == "look"
            admission = pipeline.admit(parallel)
            assert (admission is Admission.DROP) == ended
            if admission is Admission.START:
                number = len(kinds)
                kinds[number] = step
                running.append(number)
                pipeline.start(number, parallel)
        elif running and step in ("end", "cut"):
            number = running.pop(which % len(running))
            pipeline.finish(number, complete=step == "end")
            ended |= step == "cut"
        elif running and step == "close":
            last = pipeline.is_last(running[0], wants_close=True)
            assert last == (len(running) == 1)
            ended = True
        assert list(pipeline.running) == running
        assert len(running) <= 4
        if any(kinds[number] == "book" for number in running):
            assert len(running) == 1
