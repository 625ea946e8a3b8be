"""Rows of the metadata store, and their decoding."""

import base64
from typing import NamedTuple

from quetzalwall.logs import get_logger, log_event
from quetzalwall.platform.store_era import VERSIONS_PER_ERA, combine_version

__all__ = [
    "RowChange",
    "Rows",
    "decode_row",
    "decode_rows",
    "is_row",
    "is_version",
    "row_address",
]

LOG = get_logger("store")


class RowChange(NamedTuple):
    """Current state of a row, or its removal.

    Attributes
    ----------
    key : str
        Key of the row.
    value : bytes or None
        Content; None if the row was removed.
    version : int
        Version of the transaction that changed the row, as of `combine_version`.
    """

    key: str
    value: bytes | None
    version: int


class Rows(NamedTuple):
    """Rows of a table, or changes to them, up to one version.

    Attributes
    ----------
    rows : list of RowChange
        The rows, or the changes in the order of versions.
    version : int
        Version up to which they are known, as of `combine_version`; the feed continues
        from it.
    expired : frozenset of str, default=frozenset()
        Keys of removed rows that may return, since the store was unavailable.
    return_grace_s : float or None, default=None
        Seconds within which they may return; None if the removal has just been found.
    listed : frozenset of str or None, default=None
        Keys of all rows of the table at that version, where ``rows`` are changes; known
        rows with other keys have been removed. None if removals are among the changes.
    """

    rows: list
    version: int
    expired: frozenset = frozenset()
    return_grace_s: float | None = None
    listed: frozenset | None = None


def row_address(table, key):
    """Return the address of a row whose part is empty.

    Parameters
    ----------
    table, key : str
        Its table and key.

    Returns
    -------
    dict
    """
    return {"table": table, "part": "", "key": key}


def is_version(value):
    """Return whether a decoded value can be a version of the store.

    Parameters
    ----------
    value : object
        Decoded JSON.

    Returns
    -------
    bool
    """
    return isinstance(value, int) and 0 <= value < VERSIONS_PER_ERA


def decode_rows(rows, era):
    """Return the rows that name a key and a version; the others are logged.

    Parameters
    ----------
    rows : list
        Decoded JSON.
    era : int
        Era of the response.

    Returns
    -------
    list of RowChange
    """
    valid = [row for row in rows if is_row(row)]
    if len(valid) < len(rows):
        log_event(LOG, "bad-row", "warning", rows=len(rows) - len(valid))
    return [decode_row(row, era) for row in valid]


def is_row(row):
    """Return whether a decoded value is a row with a key and a version.

    Parameters
    ----------
    row : object
        Decoded JSON.

    Returns
    -------
    bool
    """
    return (
        isinstance(row, dict)
        and isinstance(row.get("key"), str)
        and is_version(row.get("ver", 0))
    )


def decode_row(row, era):
    """Return a row.

    Parameters
    ----------
    row : dict
        Decoded JSON for which `is_row` holds.
    era : int
        Era of the response.

    Returns
    -------
    RowChange
    """
    version = combine_version(era, row.get("ver", 0))
    if row.get("removed"):
        return RowChange(row["key"], None, version)
    try:
        value = base64.b64decode(row.get("value") or "", validate=True)
    except (ValueError, TypeError):
        value = b""
    return RowChange(row["key"], value, version)
