"""Client of the platform's metadata store: tables of rows with a change feed."""

import base64
from typing import NamedTuple
from urllib.parse import urlencode

from quetzalwall.connection.json_client import create_json_client
from quetzalwall.exceptions import PeerError, StoreError, StoreUnavailable
from quetzalwall.logs import get_logger, log_event
from quetzalwall.platform.store_era import (
    ERA_HEADERS,
    combine_version,
    era_of,
    parse_era,
    store_version,
)
from quetzalwall.platform.store_rows import (
    RowChange,
    Rows,
    decode_row,
    decode_rows,
    is_row,
    is_version,
    row_address,
)

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

    Attributes
    ----------
    era : int
        The latest known era of the store.
    on_new_era : list of callable
        Called with each later era, before the response that names it is used, and
        whether nothing was known of the store before. They must not wait.
    """

    def __init__(self, host, port, timeout_s=2.0):
        self._client = create_json_client(
            host, port, STORE_PEER, timeout_s, size=8, kept_headers=ERA_HEADERS
        )
        self.timeout_s = timeout_s
        self.era = 0
        self.on_new_era = []
        self._has_responded = False

    def learn_era(self, era):
        """Record an era that a response of the store or another instance names.

        Parameters
        ----------
        era : int
            The era; one that is not later changes nothing.
        """
        first, self._has_responded = not self._has_responded, True
        if era <= self.era:
            return
        log_event(LOG, "store-era", "warning", era=era, before=self.era)
        self.era = era
        for callback in self.on_new_era:
            callback(era, first)

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
        rows, first_version, first_era, start = [], None, None, ""
        while True:
            query = {"table": table, "part": "", "limit": PAGE_ROWS}
            if start:
                query["from"] = start
            body, era = self._get("/rows-get", query)
            if first_era is None:
                first_era, first_version = era, combine_version(era, body["ver"])
            if era != first_era:
                message = "restored while a table was read"
                raise StoreUnavailable(message, "/rows-get", STORE_PEER)
            page = decode_rows(body["rows"], era)
            rows += page
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
            The store no longer has all of these changes, or the version is of an
            earlier era, in which case the store may have assigned it again.
        StoreUnavailable
            No response arrived, or the store is rejecting calls.
        """
        era = self.era
        if era_of(after) < era:
            raise HistoryGone("version of an earlier era", "/rows-feed", STORE_PEER)
        wait_ms = int(wait_s * 1000)
        query = {"table": table, "after": store_version(after), "waitMs": wait_ms}
        body, found_era = self._get("/rows-feed", query, wait_s)
        if found_era > era_of(after):
            raise HistoryGone("restored since that version", "/rows-feed", STORE_PEER)
        rows = decode_rows(body["rows"], found_era)
        return Rows(rows, combine_version(found_era, body["ver"]))

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
        address = row_address(table, key)
        puts, deletes = [], []
        if value is None:
            deletes.append(address)
        else:
            puts.append(address | {"value": base64.b64encode(value).decode()})
        body = {"expectedRev": [], "puts": puts, "deletes": deletes}
        self._call("POST", "/rows-tx", body, None)

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
        body, era = self._get("/rows-get", query)
        return decode_rows(body["rows"], era)

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
            No response arrived, or the store was restored meanwhile; the transaction
            may have been applied. Or an expected version is of an earlier era.
        """
        era = self.era
        if any(version and era_of(version) != era for version in checks.values()):
            message = "version of an earlier era"
            raise StoreUnavailable(message, "/rows-tx", STORE_PEER)
        body = {
            "expectedRev": [
                row_address(table, key) | {"ver": store_version(version)}
                for (table, key), version in checks.items()
            ],
            "puts": [
                row_address(table, key) | {"value": base64.b64encode(value).decode()}
                for (table, key), value in writes.items()
            ],
            "deletes": [],
        }
        response, found_era = self._call(
            "POST", "/rows-tx", body, timeout_s, accepted=(200, 412)
        )
        if not found_era == era == self.era:
            message = "restored during a transaction"
            raise StoreUnavailable(message, "/rows-tx", STORE_PEER)
        result = response.body if isinstance(response.body, dict) else {}
        rows = [
            (row["table"], decode_row(row, era))
            for row in result.get("rows") or ()
            if is_row(row) and isinstance(row.get("table"), str)
        ]
        present = [pair for pair in rows if pair[1].value is not None]
        version = result.get("ver", 0)
        if not is_version(version):
            raise StoreUnavailable("answer has no version", "/rows-tx", STORE_PEER)
        version = combine_version(era, version)
        return TransactionResult(response.status == 200, version, present)

    def close(self):
        """Close all connections."""
        self._client.close()

    def _get(self, path, query, wait_s=0.0):
        target = f"{path}?{urlencode(query)}"
        timeout_s = self.timeout_s + wait_s
        response, era = self._call("GET", target, None, timeout_s)
        body = response.body
        if not isinstance(body, dict) or not isinstance(body.get("rows"), list):
            raise StoreUnavailable("answer has no rows", step=path, peer=STORE_PEER)
        if not is_version(body.get("ver")):
            raise StoreUnavailable("answer has no version", step=path, peer=STORE_PEER)
        return body, era

    def _call(self, method, target, body, timeout_s, accepted=(200,)):
        """Return the response and its era."""
        step, era = target.partition("?")[0], self.era
        try:
            response = self._client.call(method, target, body, timeout_s=timeout_s)
        except PeerError as exc:
            raise StoreUnavailable(exc.message, step=step, peer=STORE_PEER) from exc
        named_era = parse_era(response.headers)
        # Without a name it is of the era known when the call began, as another response
        # may have named a later one since.
        era = era if named_era is None else named_era
        self.learn_era(era)
        if response.status == 410:
            raise HistoryGone("history is gone", step=step, peer=STORE_PEER)
        if response.status in (429, 503) or response.status >= 500:
            raise StoreUnavailable(f"status {response.status}", step, STORE_PEER)
        if response.status not in accepted:
            raise StoreError(f"status {response.status}", step=step, peer=STORE_PEER)
        return response, era


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
