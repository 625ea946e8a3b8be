"""Open the addresses that a process listens on, also when they are not free at once."""

import gevent

from quetzalwall.exceptions import ListenError
from quetzalwall.logs import get_logger, log_event

__all__ = ["open_in_background", "open_listener"]

LIMIT_S = 10.0  # in which a former process has ended
RETRY_S = 0.5
BACKGROUND_RETRY_S = 2.0
LOG = get_logger("front")


def open_listener(name, place, start, monotonic):
    """Open a listener without which the process is of no use.

    Parameters
    ----------
    name : str
        What it is for.
    place : (str, int)
        IP number and port.
    start : callable
        Opens it; raises OSError if that fails.
    monotonic : callable
        Clock in seconds.

    Raises
    ------
    ListenError
        It could not be opened within some seconds.
    """
    until = monotonic() + LIMIT_S
    while True:
        try:
            return start()
        except OSError as exc:
            _log_closed(name, place, exc)
            if monotonic() >= until:
                host, port = place
                message = f"{name} at {host}:{port} can't be opened: {exc}"
                raise ListenError(message, step="listen") from exc
        gevent.sleep(RETRY_S)


def open_in_background(name, place, start):
    """Start a task that opens a listener without which the process can serve.

    Parameters
    ----------
    name : str
        What it is for.
    place : (str, int)
        IP number and port.
    start : callable
        Opens it; raises OSError if that fails.

    Returns
    -------
    gevent.Greenlet
    """
    return gevent.spawn(_keep_opening, name, place, start)


def _keep_opening(name, place, start):
    failed = False
    while True:
        try:
            start()
        except OSError as exc:
            if not failed:
                _log_closed(name, place, exc)
            failed = True
            gevent.sleep(BACKGROUND_RETRY_S)
            continue
        if failed:
            log_event(LOG, "listening", listener=name, port=place[1])
        return


def _log_closed(name, place, exc):
    log_event(
        LOG,
        "not-listening",
        "error",
        listener=name,
        address=place[0],
        port=place[1],
        reason=str(exc),
    )
