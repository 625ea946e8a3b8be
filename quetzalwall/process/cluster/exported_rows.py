"""Rows of a table as one instance exports them to another."""

import base64

from quetzalwall.exceptions import PeerError
from quetzalwall.platform.store import RowChange, Rows

__all__ = ["read_exported"]


def read_exported(body, peer):
    """Return the rows that another instance exported.

    Parameters
    ----------
    body : object
        Decoded JSON of `ClusterState.export`.
    peer : str
        The other instance, for error messages.

    Returns
    -------
    (Rows, bool)
        The rows, and whether they are all rows of the table.

    Raises
    ------
    PeerError
        The body is malformed.
    """
    try:
        rows = [
            RowChange(key, base64.b64decode(value, validate=True), int(version))
            for key, (value, version) in body["rows"].items()
        ]
        rows += [
            RowChange(key, None, int(version))
            for key, (version, _) in body["removed"].items()
        ]
        returning = {key: float(s) for key, (_, s) in body["removed"].items() if s}
        grace_s = min(returning.values(), default=None)
        rows.sort(key=lambda change: change.version)
        version = int(body["version"])
        listed = frozenset(body["keys"]) if "keys" in body else None
        found = Rows(rows, version, frozenset(returning), grace_s, listed)
        return found, bool(body["whole"])
    except (KeyError, TypeError, ValueError, AttributeError) as exc:
        raise PeerError(f"bad rows: {exc!r}", step="read rows", peer=peer) from exc
