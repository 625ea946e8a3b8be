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

TRACE_LINES = 5  # last lines of a stack trace that are logged
MAX_QUEUED_LINES = 5000
MAX_TEXT_CHARACTERS = 500  # of a line that a library wrote to standard error
WRITE_DELAY_S = 0.05  # lines logged within this time are written together
UNQUOTED_CHARACTERS = frozenset(
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_./:,+#*%"
)


def get_logger(component):
    """Return the logger of one component of the system.

    Parameters
    ----------
    component : str
        Name written as ``part=`` on each line, for example ``"route"``.

    Returns
    -------
    logbook.Logger
    """
    return logbook.Logger(component)


def setup_logs(level="INFO", stream=None):
    """Install a handler that writes lines to a stream.

    Parameters
    ----------
    level : str, default="INFO"
        Lowest level written.
    stream : file object, default=None
        Stream to write to; standard error if None.

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
    """Handler that never blocks: one task writes the lines from a bounded queue.

    Parameters
    ----------
    descriptor : int
        Descriptor to write to.
    level : str
        Lowest level written.
    """

    def __init__(self, descriptor, level):
        super().__init__(level=level)
        self._descriptor = descriptor
        self._lines = deque()
        self._dropped = 0
        self._write_task = None

    def emit(self, record):
        """Queue one line, or count it as dropped if the queue is full.

        Parameters
        ----------
        record : logbook.LogRecord
            The event.
        """
        if len(self._lines) >= MAX_QUEUED_LINES:
            self._dropped += 1
            return
        self._lines.append(_format_record(record, self))
        if self._write_task is None or self._write_task.ready():
            self._write_task = gevent.spawn_later(WRITE_DELAY_S, self._write)

    def flush(self):
        """Write queued lines until the descriptor would block."""
        data = b""
        while data or self._lines or self._dropped:
            data = data or self._pop_batch()
            try:
                data = data[os.write(self._descriptor, data) :]
            except OSError:
                return

    def _write(self):
        while self._lines or self._dropped:
            data = self._pop_batch()
            try:
                while data:
                    data = data[gevent.os.nb_write(self._descriptor, data) :]
            except OSError:
                # The reader is gone; logging the exception would fail as well.
                self._dropped += data.count(b"\n")
                return

    def _pop_batch(self):
        lines = [self._lines.popleft() for _ in range(min(64, len(self._lines)))]
        dropped, self._dropped = self._dropped, 0
        if dropped:
            lines.append(f"level=WARNING part=log event=dropped lines={dropped}")
        return "".join(f"{line}\n" for line in lines).encode()


class ErrorStream(io.TextIOBase):
    """Standard error of a daemon: logs what libraries write there.

    Writing to a pipe that nobody reads would block the whole process once it is full.
    """

    def __init__(self):
        self._partial_line = ""
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
        """Log each complete line.

        Parameters
        ----------
        text : str
            Part of a line, or several lines.

        Returns
        -------
        int
        """
        if self._writing:  # the logger itself failed and writes here
            return len(text)
        *lines, self._partial_line = (self._partial_line + text).split("\n")
        self._partial_line = self._partial_line[:MAX_TEXT_CHARACTERS]
        self._writing = True
        try:
            for line in filter(None, map(str.strip, lines)):
                line = line[:MAX_TEXT_CHARACTERS]
                log_event(self._log, "written", "error", text=line)
        finally:
            self._writing = False
        return len(text)


def setup_bounded_logs(level="INFO", descriptor=1):
    """Install the bounded, non-blocking handler of a daemon.

    Standard error is redirected to the log, and queued lines are flushed at exit.

    Parameters
    ----------
    level : str, default="INFO"
        Lowest level written.
    descriptor : int, default=1
        Descriptor to write to; standard output by default.

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
    """Return the log fields of an unexpected exception.

    Parameters
    ----------
    exc : Exception
        The exception.

    Returns
    -------
    dict of str to str
    """
    lines = traceback.format_exception(exc)
    text = "".join(lines).splitlines()[-TRACE_LINES:]
    return {"reason": repr(exc), "trace": " | ".join(line.strip() for line in text)}


def log_event(logger, event, level="info", **fields):
    """Write one event as key=value pairs.

    Parameters
    ----------
    logger : logbook.Logger
        Logger of the component in which the event occurred.
    event : str
        Name of the event.
    level : str, default="info"
        Level of the line.
    **fields
        Further fields of the line, in the order in which they are written.
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
    """Return one line; cheaper than logbook's format strings with a time."""
    time = record.time.isoformat(timespec="microseconds")
    return (
        f"time={time} level={record.level_name} part={record.channel} {record.message}"
    )


def _format_value(value):
    if isinstance(value, float):
        return f"{value:.4g}"
    text = str(value)
    if text and UNQUOTED_CHARACTERS.issuperset(text):
        return text
    return json.dumps(text)
