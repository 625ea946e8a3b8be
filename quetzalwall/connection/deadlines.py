"""Deadlines in the headers of requests."""

import re

__all__ = ["parse_deadline_s"]

MAX_CHARACTERS = 32
PATTERN = re.compile(r"(-?)\+?([0-9]+(?:\.[0-9]*)?|\.[0-9]+)")


def parse_deadline_s(text):
    """Return the time that a caller will wait.

    Parameters
    ----------
    text : str
        Milliseconds. A fraction and leading zeros are allowed, and so is a sign, since
        a caller may compute what is left of an earlier time.

    Returns
    -------
    float or None
        Seconds, 0 for a time that has passed; None if the text is malformed.

    Examples
    --------
    >>> [parse_deadline_s(text) for text in ("1500", "0001500.5", "-3", "soon")]
    [1.5, 1.5005, 0.0, None]
    """
    match = PATTERN.fullmatch(text) if len(text) <= MAX_CHARACTERS else None
    if match is None:
        return None
    return 0.0 if match[1] else float(match[2]) / 1000
