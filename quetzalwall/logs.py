"""Structured logs: one line of key=value pairs for each event."""

import json
import sys

import logbook

__all__ = ["format_fields", "get_logger", "log_event", "setup_logs"]

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
