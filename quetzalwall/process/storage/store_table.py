"""Rows of our own in the platform's store, with values in JSON.

Settings, their history and claims are kept in tables of their own, so that an instance
that follows the settings does not read the others.
"""

from typing import NamedTuple

import msgspec

from quetzalwall.exceptions import StoreUnavailable

__all__ = [
    "CLAIMS_TABLE",
    "HISTORY_TABLE",
    "SETTINGS_TABLE",
    "StoreTable",
    "TableRow",
    "TableTransaction",
    "create_store_table",
]

SETTINGS_TABLE = "settings"
HISTORY_TABLE = "settings-history"
CLAIMS_TABLE = "claims"
TABLES = {"config/history/": HISTORY_TABLE, "claim/": CLAIMS_TABLE}


class TableRow(NamedTuple):
    """A row.

    Attributes
    ----------
    version : int
        Grows with each write of the row; 0 if the row is absent.
    value : object
        Decoded JSON; None if the row is absent.
    """

    version: int
    value: object


class TableTransaction(NamedTuple):
    """Result of a transaction.

    Attributes
    ----------
    committed : bool
        Whether the writes took effect.
    rows : dict of str to TableRow
        When not committed, the rows whose version differed from the check.
    versions : dict of str to int
        When committed, the new versions of the rows written.
    """

    committed: bool
    rows: dict
    versions: dict


class StoreTable:
    """Rows by key, whichever table they stand in.

    Parameters
    ----------
    store : StoreClient
        The store.
    """

    def __init__(self, store):
        self._store = store
        self.timeout_s = store.timeout_s

    def read(self, keys):
        """Return rows, read one after another in the order of the keys given.

        Parameters
        ----------
        keys : sequence of str
            The keys.

        Returns
        -------
        dict of str to TableRow
            One entry for each key, also for an absent row.

        Raises
        ------
        StoreUnavailable
            No answer arrived.
        """
        found = {}
        for key in keys:
            row = self._store.read_row(_table(key), key)
            found[key] = TableRow(row.version, _decode(row.value))
        return found

    def read_range(self, first, end):
        """Return the rows whose keys lie in a range of one table, 500 at most.

        Parameters
        ----------
        first, end : str
            The first key, and the first one behind the range.

        Returns
        -------
        list of TableRow

        Raises
        ------
        StoreUnavailable
            No answer arrived.
        """
        rows = self._store.read_range(_table(first), first, end)
        return [TableRow(row.version, _decode(row.value)) for row in rows]

    def transact(self, checks, writes, timeout_s=None):
        """Write rows if other rows have the expected versions.

        Parameters
        ----------
        checks : dict of str to int
            Key to expected version; 0 expects the row to be absent.
        writes : dict of str to object
            Key to new value.
        timeout_s : float, default=None
            Seconds that the call may take.

        Returns
        -------
        TableTransaction

        Raises
        ------
        StoreUnavailable
            No answer arrived; the transaction may have taken effect.
        """
        result = self._store.transact(
            {(_table(key), key): version for key, version in checks.items()},
            {
                (_table(key), key): msgspec.json.encode(value)
                for key, value in writes.items()
            },
            timeout_s,
        )
        if result.committed:
            return TableTransaction(True, {}, dict.fromkeys(writes, result.version))
        now = {
            row.key: TableRow(row.version, _decode(row.value)) for _, row in result.rows
        }
        absent = TableRow(0, None)
        changed = {
            key: now.get(key, absent)
            for key, version in checks.items()
            if now.get(key, absent).version != version
        }
        return TableTransaction(False, changed, {})


def _table(key):
    for prefix, table in TABLES.items():
        if key.startswith(prefix):
            return table
    return SETTINGS_TABLE


def _decode(raw):
    try:
        return None if raw is None else msgspec.json.decode(raw)
    except (msgspec.DecodeError, RecursionError) as exc:
        raise StoreUnavailable(f"row is not JSON: {exc}", "read row", "store") from exc


def create_store_table(store):
    """Return the rows of our own in a store.

    Parameters
    ----------
    store : StoreClient
        The store.

    Returns
    -------
    StoreTable
    """
    return StoreTable(store)
