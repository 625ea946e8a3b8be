"""Background tasks that run as long as the process."""

import gevent

from quetzalwall.logs import describe_failure, get_logger, log_event

__all__ = ["repeat"]

FAILURE_DELAY_S = 0.5  # additional pause after a round that failed
LOG = get_logger("tasks")


def repeat(step, pause_s):
    """Start a task that calls a function repeatedly.

    Parameters
    ----------
    step : callable
        One round; an exception that it raises is logged and does not end the task.
    pause_s : float or callable returning float
        Seconds between two rounds; 0 only lets other tasks run.

    Returns
    -------
    gevent.Greenlet
    """
    return gevent.spawn(_run, step, pause_s)


def _run(step, pause_s):
    while True:
        try:
            step()
        except Exception as exc:
            name = getattr(step, "__qualname__", str(step))
            log_event(LOG, "failed", "error", task=name, **describe_failure(exc))
            gevent.sleep(FAILURE_DELAY_S)
        gevent.sleep(pause_s() if callable(pause_s) else pause_s)
