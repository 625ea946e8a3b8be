"""Structured logs: one line of key=value pairs for each event."""

import atexit
import io
import json
import os
import sys
import traceback
from collections import deque

import gevent
import gevent.os
import logbook

from quetzalwall.streams import open_standard_streams

__all__ = [
    "describe_failure",
    "format_fields",
    "get_logger",
    "log_event",
    "setup_bounded_logs",
    "setup_logs",
]

LOGGED_LINES = 5  # of a stack
MOST_WAITING_LINES = 5000
MOST_LINE_CHARACTERS = 500  # of what is not written by the system itself
WRITE_DELAY_S = 0.05  # lines of one moment are written together
PLAIN_CHARACTERS = frozenset(
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_./:,+#*%"
)


def get_logger(part):
    """Return the logger of one part of the system.

    Parameters
    ----------
    part : str
        Name written as ``part=`` on each line, for example ``"route"``.

    Returns
    -------
    logbook.Logger
    """
    return logbook.Logger(part)


def setup_logs(level="INFO", stream=None):
    """Install the handler that writes lines to a stream.

    Parameters
    ----------
    level : str, default="INFO"
        Lowest level written.
    stream : file object, default=None
        Where lines go; standard error if None.

    Returns
    -------
    logbook.StreamHandler
        The installed handler; call its ``pop_application`` to remove it.
    """
    handler = logbook.StreamHandler(stream or sys.stderr, level=level.upper())
    handler.formatter = _format_record
    handler.push_application()
    return handler


class BoundedHandler(logbook.Handler):
    """Handler that never blocks: lines wait in a bounded queue for one writing task.

    Parameters
    ----------
    descriptor : int
        Where the lines go.
    level : str
        Lowest level written.
    """

    def __init__(self, descriptor, level):
        super().__init__(level=level)
        self._descriptor = descriptor
        self._lines = deque()
        self._dropped = 0
        self._writer = None

    def emit(self, record):
        """Queue one line, or count it as dropped.

        Parameters
        ----------
        record : logbook.LogRecord
            The event.
        """
        if len(self._lines) >= MOST_WAITING_LINES:
            self._dropped += 1
            return
        self._lines.append(_format_record(record, self))
        if self._writer is None or self._writer.ready():
            self._writer = gevent.spawn_later(WRITE_DELAY_S, self._write)

    def flush(self):
        """Write what waits, as far as it can be written at once."""
        data = b""
        while data or self._lines or self._dropped:
            data = data or self._next_lines()
            try:
                data = data[os.write(self._descriptor, data) :]
            except OSError:
                return

    def _write(self):
        while self._lines or self._dropped:
            data = self._next_lines()
            try:
                while data:
                    data = data[gevent.os.nb_write(self._descriptor, data) :]
            except OSError:
                # Nobody reads any more; a stack would be the next line to fail.
                self._dropped += data.count(b"\n")
                return

    def _next_lines(self):
        lines = [self._lines.popleft() for _ in range(min(64, len(self._lines)))]
        dropped, self._dropped = self._dropped, 0
        if dropped:
            lines.append(f"level=WARNING part=log event=dropped lines={dropped}")
        return "".join(f"{line}\n" for line in lines).encode()


class ErrorStream(io.TextIOBase):
    """Standard error of a daemon: what libraries write there goes into the log.

    A pipe that nobody reads would hold the whole process up once it is full.
    """

    def __init__(self):
        self._text = ""
        self._writing = False
        self._log = get_logger("stderr")

    def writable(self):
        """Return True.

        Returns
        -------
        bool
        """
        return True

    def write(self, text):
        """Log each whole line.

        Parameters
        ----------
        text : str
            Any part of a line, or several lines.

        Returns
        -------
        int
        """
        if self._writing:  # the log itself has failed
            return len(text)
        *lines, self._text = (self._text + text).split("\n")
        self._text = self._text[:MOST_LINE_CHARACTERS]
        self._writing = True
        try:
            for line in filter(None, map(str.strip, lines)):
                line = line[:MOST_LINE_CHARACTERS]
                log_event(self._log, "written", "error", text=line)
        finally:
            self._writing = False
        return len(text)


def setup_bounded_logs(level="INFO", descriptor=1):
    """Install the handler of a daemon: bounded, and never in a request's way.

    Standard error is led into the log as well, and what waits is written at the exit.

    Parameters
    ----------
    level : str, default="INFO"
        Lowest level written.
    descriptor : int, default=1
        Where lines go; standard output by default.

    Returns
    -------
    BoundedHandler
    """
    open_standard_streams()
    os.set_blocking(descriptor, False)
    handler = BoundedHandler(descriptor, level.upper())
    handler.push_application()
    sys.stderr = ErrorStream()
    atexit.register(handler.flush)
    return handler


def describe_failure(exc):
    """Return what a line says of an exception that was not expected.

    Parameters
    ----------
    exc : Exception
        The exception.

    Returns
    -------
    dict of str to str
    """
    lines = traceback.format_exception(exc)
    text = "".join(lines).splitlines()[-LOGGED_LINES:]
    return {"reason": repr(exc), "trace": " | ".join(line.strip() for line in text)}


def log_event(logger, event, level="info", **fields):
    """Write one event as key=value pairs.

    Parameters
    ----------
    logger : logbook.Logger
        Logger of the part in which the event occurred.
    event : str
        Name of the event.
    level : str, default="info"
        Level of the line.
    **fields
        The figures of the event, in the order to be written.
    """
    getattr(logger, level)(format_fields(event, fields))


def format_fields(event, fields):
    """Return one line of key=value pairs.

    Parameters
    ----------
    event : str
        Name of the event, written first.
    fields : dict
        Name to value; floats are written with four significant digits and text
        with spaces or quotes as a JSON string.

    Returns
    -------
    str

    Examples
    --------
    >>> format_fields("route", {"endpoint": "b-01", "of": 20, "note": "two words"})
    'event=route endpoint=b-01 of=20 note="two words"'
    """
    pairs = [f"{name}={_format_value(value)}" for name, value in fields.items()]
    return " ".join([f"event={event}", *pairs])


def _format_record(record, handler):
    """Return one line; cheaper than a format string with a time in it."""
    time = record.time.isoformat(timespec="microseconds")
    return (
        f"time={time} level={record.level_name} part={record.channel} {record.message}"
    )


def _format_value(value):
    if isinstance(value, float):
        return f"{value:.4g}"
    text = str(value)
    if text and PLAIN_CHARACTERS.issuperset(text):
        return text
    return json.dumps(text)
