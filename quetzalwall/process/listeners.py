"""Opens listening sockets; retries while an address is in use."""

import gevent

from quetzalwall.exceptions import ListenError
from quetzalwall.logs import get_logger, log_event

__all__ = ["open_in_background", "open_listener"]

OPEN_TIMEOUT_S = 10.0  # a previous process on the address has ended by then
RETRY_S = 0.5
BACKGROUND_RETRY_S = 2.0
LOG = get_logger("front")


def open_listener(name, address, start, monotonic):
    """Open a listener that the process can't work without.

    Parameters
    ----------
    name : str
        Name of the listener, for logs and errors.
    address : (str, int)
        IP address and port.
    start : callable
        Opens the listener; raises OSError if that fails.
    monotonic : callable
        Clock in seconds.

    Raises
    ------
    ListenError
        The listener could not be opened within `OPEN_TIMEOUT_S`.
    """
    deadline = monotonic() + OPEN_TIMEOUT_S
    while True:
        try:
            return start()
        except OSError as exc:
            _log_open_failure(name, address, exc)
            if monotonic() >= deadline:
                host, port = address
                message = f"{name} at {host}:{port} can't be opened: {exc}"
                raise ListenError(message, step="listen") from exc
        gevent.sleep(RETRY_S)


def open_in_background(name, address, start):
    """Start a task that opens a listener that the process can work without.

    Parameters
    ----------
    name : str
        Name of the listener, for logs.
    address : (str, int)
        IP address and port.
    start : callable
        Opens the listener; raises OSError if that fails.

    Returns
    -------
    gevent.Greenlet
    """
    return gevent.spawn(_retry_open, name, address, start)


def _retry_open(name, address, start):
    failed = False
    while True:
        try:
            start()
        except OSError as exc:
            if not failed:
                _log_open_failure(name, address, exc)
            failed = True
            gevent.sleep(BACKGROUND_RETRY_S)
            continue
        if failed:
            log_event(LOG, "listening", listener=name, port=address[1])
        return


def _log_open_failure(name, address, exc):
    log_event(
        LOG,
        "not-listening",
        "error",
        listener=name,
        address=address[0],
        port=address[1],
        reason=str(exc),
    )
