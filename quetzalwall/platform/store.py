"""Client of the platform's metadata store: tables of rows with a change feed."""

import base64
from typing import NamedTuple
from urllib.parse import urlencode

from quetzalwall.connection.json_client import create_json_client
from quetzalwall.exceptions import PeerError, StoreError, StoreUnavailable
from quetzalwall.logs import get_logger, log_event

__all__ = [
    "HistoryGone",
    "RowChange",
    "Rows",
    "StoreClient",
    "TransactionResult",
    "create_store_client",
]

STORE_PEER = "store"
PAGE_ROWS = 500
LOG = get_logger("store")


class HistoryGone(StoreError):
    """The requested changes are no longer stored; the table must be read again."""


class RowChange(NamedTuple):
    """Current state of a row, or its removal.

    Attributes
    ----------
    key : str
        Key of the row.
    value : bytes or None
        Content; None if the row was removed.
    version : int
        Version of the transaction that changed the row.
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
        Version up to which they are known; the feed continues from it.
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


class TransactionResult(NamedTuple):
    """Result of a transaction.

    Attributes
    ----------
    committed : bool
        Whether the writes were applied.
    version : int
        If committed, the version of every row written.
    rows : list of (str, RowChange)
        If not committed, table and current state of each checked row that exists.
    """

    committed: bool
    version: int
    rows: list


class StoreClient:
    """Client of the metadata store.

    Parameters
    ----------
    host : str
        IP address of the store.
    port : int
        TCP port of the store.
    timeout_s : float, default=2.0
        Time-out of a call in seconds. For `follow`, the time that the store may wait
        for a change is added to it.
    """

    def __init__(self, host, port, timeout_s=2.0):
        self._client = create_json_client(host, port, STORE_PEER, timeout_s, size=8)
        self.timeout_s = timeout_s

    @property
    def exchanged_bytes(self):
        """Length of all bodies exchanged with the store so far."""
        return self._client.exchanged_bytes

    def read(self, table):
        """Return all rows of a table that have an empty part.

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
            No response arrived, or the store is rejecting calls.
        """
        rows, first_version, start = [], None, ""
        while True:
            query = {"table": table, "part": "", "limit": PAGE_ROWS}
            if start:
                query["from"] = start
            body = self._get("/rows-get", query)
            page = _decode_rows(body["rows"])
            rows += page
            first_version = body["ver"] if first_version is None else first_version
            if not body.get("hasMore") or not page:
                return Rows(rows, first_version)
            # No key sorts between a key and the same key with a zero byte appended.
            start = page[-1].key + "\0"

    def follow(self, table, after, wait_s):
        """Return the changes of a table since a version.

        Parameters
        ----------
        table : str
            Name of the table.
        after : int
            Version up to which the changes are known.
        wait_s : float
            Seconds for which the store may wait for the first change.

        Returns
        -------
        Rows

        Raises
        ------
        HistoryGone
            The store no longer has all of these changes.
        StoreUnavailable
            No response arrived, or the store is rejecting calls.
        """
        query = {"table": table, "after": after, "waitMs": int(wait_s * 1000)}
        body = self._get("/rows-feed", query, wait_s)
        return Rows(_decode_rows(body["rows"]), body["ver"])

    def put(self, table, key, value):
        """Write or remove one row unconditionally.

        Parameters
        ----------
        table, key : str
            Table and key of the row; its part is empty.
        value : bytes or None
            Content; None removes the row.

        Raises
        ------
        StoreUnavailable
            No response arrived; the write may have been applied.
        """
        row_address = _row_address(table, key)
        puts, deletes = [], []
        if value is None:
            deletes.append(row_address)
        else:
            puts.append(row_address | {"value": base64.b64encode(value).decode()})
        body = {"expectedRev": [], "puts": puts, "deletes": deletes}
        self._call_for_body("POST", "/rows-tx", body, None)

    def read_row(self, table, key):
        """Return one row.

        Parameters
        ----------
        table, key : str
            Table and key of the row; its part is empty.

        Returns
        -------
        RowChange
            Without a value and with version 0 if there is no such row.

        Raises
        ------
        StoreUnavailable
            No response arrived, or the store is rejecting calls.
        """
        rows = self.read_range(table, key, key + "\0")
        return rows[0] if rows else RowChange(key, None, 0)

    def read_range(self, table, first, end):
        """Return the rows whose keys lie in a range, at most 500.

        Parameters
        ----------
        table : str
            Name of the table.
        first, end : str
            First key of the range, and the first key after it.

        Returns
        -------
        list of RowChange

        Raises
        ------
        StoreUnavailable
            No response arrived, or the store is rejecting calls.
        """
        query = {"table": table, "part": "", "from": first, "target": end}
        return _decode_rows(self._get("/rows-get", query)["rows"])

    def transact(self, checks, writes, timeout_s=None):
        """Write rows atomically if other rows have the expected versions.

        Parameters
        ----------
        checks : dict of (str, str) to int
            Table and key to expected version; 0 expects the row to be absent.
        writes : dict of (str, str) to bytes
            Table and key to new value.
        timeout_s : float, default=None
            Time-out of the call in seconds; that of the client if None.

        Returns
        -------
        TransactionResult

        Raises
        ------
        StoreUnavailable
            No response arrived; the transaction may have been applied.
        """
        body = {
            "expectedRev": [
                _row_address(table, key) | {"ver": version}
                for (table, key), version in checks.items()
            ],
            "puts": [
                _row_address(table, key) | {"value": base64.b64encode(value).decode()}
                for (table, key), value in writes.items()
            ],
            "deletes": [],
        }
        response = self._call("POST", "/rows-tx", body, timeout_s, accepted=(200, 412))
        result = response.body if isinstance(response.body, dict) else {}
        rows = [
            (row["table"], _decode_row(row))
            for row in result.get("rows") or ()
            if _is_row(row) and isinstance(row.get("table"), str)
        ]
        present = [pair for pair in rows if pair[1].value is not None]
        version = result.get("ver", 0)
        if not isinstance(version, int):
            raise StoreUnavailable("answer has no version", "/rows-tx", STORE_PEER)
        return TransactionResult(response.status == 200, version, present)

    def close(self):
        """Close all connections."""
        self._client.close()

    def _get(self, path, query, wait_s=0.0):
        target = f"{path}?{urlencode(query)}"
        body = self._call_for_body("GET", target, None, self.timeout_s + wait_s)
        if not isinstance(body, dict) or not isinstance(body.get("rows"), list):
            raise StoreUnavailable("answer has no rows", step=path, peer=STORE_PEER)
        if not isinstance(body.get("ver"), int):
            raise StoreUnavailable("answer has no version", step=path, peer=STORE_PEER)
        return body

    def _call_for_body(self, method, target, body, timeout_s):
        return self._call(method, target, body, timeout_s).body

    def _call(self, method, target, body, timeout_s, accepted=(200,)):
        step = target.partition("?")[0]
        try:
            response = self._client.call(method, target, body, timeout_s=timeout_s)
        except PeerError as exc:
            raise StoreUnavailable(exc.message, step=step, peer=STORE_PEER) from exc
        if response.status == 410:
            raise HistoryGone("history is gone", step=step, peer=STORE_PEER)
        if response.status in (429, 503) or response.status >= 500:
            raise StoreUnavailable(f"status {response.status}", step, STORE_PEER)
        if response.status not in accepted:
            raise StoreError(f"status {response.status}", step=step, peer=STORE_PEER)
        return response


def _row_address(table, key):
    return {"table": table, "part": "", "key": key}


def _decode_rows(rows):
    """Return the rows that name a key and a version; the others are logged."""
    valid = [row for row in rows if _is_row(row)]
    if len(valid) < len(rows):
        log_event(LOG, "bad-row", "warning", rows=len(rows) - len(valid))
    return [_decode_row(row) for row in valid]


def _is_row(row):
    return (
        isinstance(row, dict)
        and isinstance(row.get("key"), str)
        and isinstance(row.get("ver", 0), int)
    )


def _decode_row(row):
    version = row.get("ver", 0)
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
