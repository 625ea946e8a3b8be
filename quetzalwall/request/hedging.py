"""Send a slow idempotent request a second time, and take the first answer."""

from collections.abc import Callable
from typing import NamedTuple

import gevent
from gevent.queue import Empty, Queue

from quetzalwall.exceptions import EndpointError

__all__ = ["Attempt", "run_hedged"]


class Attempt(NamedTuple):
    """One way to get the answer.

    Attributes
    ----------
    run : callable
        Returns the answer or raises `EndpointError`.
    cancel : callable
        Frees what the attempt holds, also if it never ran; harmless when repeated.
    """

    run: Callable
    cancel: Callable


class _Outcome(NamedTuple):
    attempt: Attempt
    answer: object
    error: Exception | None


def run_hedged(first, start_second, delay_s):
    """Return the first answer of one or two attempts.

    Parameters
    ----------
    first : Attempt
        The attempt to begin with.
    start_second : callable
        Returns a second `Attempt`, or None if it may not be made.
    delay_s : float
        Seconds after which the second attempt begins.

    Returns
    -------
    FinishedAnswer

    Raises
    ------
    EndpointError
        Every attempt failed; the error of the last one.
    """
    results = Queue()
    attempts = [first]
    tasks = [gevent.spawn(_run_into, results, first)]
    outcome = None
    try:
        outcome = _next_outcome(results, delay_s)
        if outcome is None:
            second = start_second()
            if second is not None:
                attempts.append(second)
                tasks.append(gevent.spawn(_run_into, results, second))
            outcome = results.get()
        if isinstance(outcome.error, EndpointError) and len(attempts) == 2:
            outcome = results.get()
    finally:
        gevent.killall(tasks)
        for attempt in attempts:
            if outcome is None or attempt is not outcome.attempt:
                attempt.cancel()
    if outcome.error is not None:
        raise outcome.error
    return outcome.answer


def _run_into(results, attempt):
    try:
        results.put(_Outcome(attempt, attempt.run(), None))
    except Exception as exc:
        results.put(_Outcome(attempt, None, exc))


def _next_outcome(results, timeout_s):
    try:
        return results.get(timeout=timeout_s)
    except Empty:
        return None
