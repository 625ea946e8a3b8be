"""Client of the platform's metadata store: tables of rows, with a feed of changes."""

import base64
from typing import NamedTuple
from urllib.parse import urlencode

from quetzalwall.connection.json_client import create_json_client
from quetzalwall.exceptions import PeerError, StoreError, StoreUnavailable

__all__ = [
    "HistoryGone",
    "RowChange",
    "Rows",
    "StoreClient",
    "Transacted",
    "create_store_client",
]

STORE_PEER = "store"
PAGE_ROWS = 500


class HistoryGone(StoreError):
    """The changes asked for are no longer kept; the rows must be read again."""


class RowChange(NamedTuple):
    """A row as it is now, or its removal.

    Attributes
    ----------
    key : str
        Key of the row.
    value : bytes or None
        Content; None if the row was removed.
    version : int
        Version of the transaction that changed it.
    """

    key: str
    value: bytes | None
    version: int


class Rows(NamedTuple):
    """Rows as of one moment.

    Attributes
    ----------
    rows : list of RowChange
        The rows, or the changes in order.
    version : int
        Newest version of the store; the feed goes on from it.
    expired : frozenset of str, default=frozenset()
        Keys of removed rows that may come back, since the store was away.
    return_grace_s : float or None, default=None
        Seconds in which they may; None if it was just found.
    """

    rows: list
    version: int
    expired: frozenset = frozenset()
    return_grace_s: float | None = None


class Transacted(NamedTuple):
    """Result of a transaction.

    Attributes
    ----------
    committed : bool
        Whether the writes took effect.
    version : int
        When committed, the version of every row written.
    rows : list of (str, RowChange)
        Otherwise the checked rows as they are, each with its table; a removed or
        absent one is left out.
    """

    committed: bool
    version: int
    rows: list


class StoreClient:
    """Client of the metadata store.

    Parameters
    ----------
    host : str
        IP number of the store.
    port : int
        TCP port of the store.
    timeout_s : float, default=2.0
        Seconds that a call may take, beside the time it may wait for a change.
    """

    def __init__(self, host, port, timeout_s=2.0):
        self._client = create_json_client(host, port, STORE_PEER, timeout_s, size=8)
        self.timeout_s = timeout_s

    def read(self, table):
        """Return all rows of a table with an empty part.

        Parameters
        ----------
        table : str
            Name of the table.

        Returns
        -------
        Rows

        Raises
        ------
        StoreUnavailable
            No answer arrived, or the store refuses calls for now.
        """
        rows, first, start = [], None, ""
        while True:
            query = {"table": table, "part": "", "limit": PAGE_ROWS}
            if start:
                query["from"] = start
            body = self._get("/rows-get", query)
            rows += [_row(row) for row in body["rows"]]
            first = body["ver"] if first is None else first
            if not body.get("hasMore") or not body["rows"]:
                return Rows(rows, first)
            # Zero is the least byte, so this is the next possible key.
            start = body["rows"][-1]["key"] + "\0"

    def follow(self, table, after, wait_s):
        """Return the changes of a table since a version.

        Parameters
        ----------
        table : str
            Name of the table.
        after : int
            Version up to which the changes are known.
        wait_s : float
            Seconds that the store may wait for the first change.

        Returns
        -------
        Rows

        Raises
        ------
        HistoryGone
            The store no longer keeps these changes.
        StoreUnavailable
            No answer arrived, or the store refuses calls for now.
        """
        query = {"table": table, "after": after, "waitMs": int(wait_s * 1000)}
        body = self._get("/rows-feed", query, wait_s)
        return Rows([_row(row) for row in body["rows"]], body["ver"])

    def put(self, table, key, value):
        """Write one row, whatever it held before.

        Parameters
        ----------
        table, key : str
            Place of the row; its part is empty.
        value : bytes or None
            Content; None removes the row.

        Raises
        ------
        StoreUnavailable
            No answer arrived; the write may have taken effect.
        """
        place = _place(table, key)
        puts, deletes = [], []
        if value is None:
            deletes.append(place)
        else:
            puts.append(place | {"value": base64.b64encode(value).decode()})
        body = {"expectedRev": [], "puts": puts, "deletes": deletes}
        self._checked("POST", "/rows-tx", body, None)

    def read_row(self, table, key):
        """Return one row.

        Parameters
        ----------
        table, key : str
            Place of the row; its part is empty.

        Returns
        -------
        RowChange
            With no value and version 0 if there is no such row.

        Raises
        ------
        StoreUnavailable
            No answer arrived, or the store refuses calls for now.
        """
        rows = self.read_range(table, key, key + "\0")
        return rows[0] if rows else RowChange(key, None, 0)

    def read_range(self, table, first, end):
        """Return the rows whose keys lie in a range, 500 at most.

        Parameters
        ----------
        table : str
            Name of the table.
        first, end : str
            The first key, and the first one behind the range.

        Returns
        -------
        list of RowChange

        Raises
        ------
        StoreUnavailable
            No answer arrived, or the store refuses calls for now.
        """
        query = {"table": table, "part": "", "from": first, "target": end}
        return [_row(row) for row in self._get("/rows-get", query)["rows"]]

    def transact(self, checks, writes, timeout_s=None):
        """Write rows if other rows have the expected versions, all or nothing.

        Parameters
        ----------
        checks : dict of (str, str) to int
            Table and key to expected version; 0 expects the row to be absent.
        writes : dict of (str, str) to bytes
            Table and key to new value.
        timeout_s : float, default=None
            Seconds that the call may take.

        Returns
        -------
        Transacted

        Raises
        ------
        StoreUnavailable
            No answer arrived; the transaction may have taken effect.
        """
        body = {
            "expectedRev": [
                _place(table, key) | {"ver": version}
                for (table, key), version in checks.items()
            ],
            "puts": [
                _place(table, key) | {"value": base64.b64encode(value).decode()}
                for (table, key), value in writes.items()
            ],
            "deletes": [],
        }
        answer = self._call("POST", "/rows-tx", body, timeout_s, accepted=(200, 412))
        found = answer.body if isinstance(answer.body, dict) else {}
        rows = [(row["table"], _row(row)) for row in found.get("rows") or ()]
        present = [pair for pair in rows if pair[1].value is not None]
        return Transacted(answer.status == 200, int(found.get("ver", 0)), present)

    def close(self):
        """Close all connections."""
        self._client.close()

    def _get(self, path, query, wait_s=0.0):
        target = f"{path}?{urlencode(query)}"
        body = self._checked("GET", target, None, self.timeout_s + wait_s)
        if not isinstance(body, dict) or not isinstance(body.get("rows"), list):
            raise StoreUnavailable("answer has no rows", step=path, peer=STORE_PEER)
        if not isinstance(body.get("ver"), int):
            raise StoreUnavailable("answer has no version", step=path, peer=STORE_PEER)
        return body

    def _checked(self, method, target, body, timeout_s):
        return self._call(method, target, body, timeout_s).body

    def _call(self, method, target, body, timeout_s, accepted=(200,)):
        step = target.partition("?")[0]
        try:
            answer = self._client.call(method, target, body, timeout_s=timeout_s)
        except PeerError as exc:
            raise StoreUnavailable(exc.message, step=step, peer=STORE_PEER) from exc
        if answer.status == 410:
            raise HistoryGone("history is gone", step=step, peer=STORE_PEER)
        if answer.status in (429, 503) or answer.status >= 500:
            raise StoreUnavailable(f"status {answer.status}", step, STORE_PEER)
        if answer.status not in accepted:
            raise StoreError(f"status {answer.status}", step=step, peer=STORE_PEER)
        return answer


def _place(table, key):
    return {"table": table, "part": "", "key": key}


def _row(row):
    version = int(row.get("ver", 0))
    if row.get("removed"):
        return RowChange(row["key"], None, version)
    try:
        value = base64.b64decode(row.get("value") or "", validate=True)
    except (ValueError, TypeError):
        value = b""
    return RowChange(row["key"], value, version)


def create_store_client(host, port, timeout_s=2.0):
    """Return a client of the metadata store.

    Parameters
    ----------
    host, port, timeout_s
        As of `StoreClient`.

    Returns
    -------
    StoreClient
    """
    return StoreClient(host, port, timeout_s)
