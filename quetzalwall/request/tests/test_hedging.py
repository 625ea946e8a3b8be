import gevent

from quetzalwall.exceptions import OutcomeUnknown
from quetzalwall.request.exchange import FinishedAnswer
from quetzalwall.request.hedging import Attempt, run_hedged


class Recorder:
    """Makes attempts and records which were cancelled."""

    def __init__(self):
        self.started = []
        self.cancelled = []

    def attempt(self, name, seconds, error=None):
        def run():
            self.started.append(name)
            gevent.sleep(seconds)
            if error is not None:
                raise error
            return FinishedAnswer(200, [], None, name.encode(), None)

        return Attempt(run, lambda: self.cancelled.append(name))


def test_fast_answer_starts_no_second_attempt():
    rec = Recorder()
    answer = run_hedged(rec.attempt("a", 0.0), lambda: rec.attempt("b", 0), 0.2)
    assert (answer.start, rec.started, rec.cancelled) == (b"a", ["a"], [])


def test_first_answer_wins_and_the_other_attempt_is_cancelled():
    rec = Recorder()
    answer = run_hedged(rec.attempt("a", 5.0), lambda: rec.attempt("b", 0.01), 0.02)
    assert (answer.start, rec.cancelled) == (b"b", ["a"])


def test_second_attempt_that_never_ran_is_cancelled():
    # The first answers while the second is being made: its slot must become free.
    rec = Recorder()
    first = rec.attempt("a", 0.05)

    def start_second():
        gevent.sleep(0.1)
        return rec.attempt("b", 0.0)

    run_hedged(first, start_second, 0.01)
    assert rec.cancelled == ["b"]


def test_failure_waits_for_the_other_attempt():
    rec = Recorder()
    error = OutcomeUnknown("cut", "read head", "ep")
    first = rec.attempt("a", 0.03, error)
    answer = run_hedged(first, lambda: rec.attempt("b", 0.05), 0.01)
    assert answer.start == b"b"


def test_error_is_raised_when_every_attempt_failed():
    rec = Recorder()
    error = OutcomeUnknown("cut", "read head", "ep")
    try:
        run_hedged(rec.attempt("a", 0.0, error), lambda: None, 0.05)
        raise AssertionError("no error")
    except OutcomeUnknown as exc:
        assert exc is error
