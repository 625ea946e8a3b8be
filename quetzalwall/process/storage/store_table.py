"""The instances' own rows in the platform's store, with JSON values.

Settings, their history and claims are in separate tables, so that an instance that
follows changes of the settings does not read the other rows.
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
    "TransactionResult",
    "create_store_table",
]

SETTINGS_TABLE = "settings"
HISTORY_TABLE = "settings-history"
CLAIMS_TABLE = "claims"
TABLE_BY_KEY_PREFIX = {"config/history/": HISTORY_TABLE, "claim/": CLAIMS_TABLE}


class TableRow(NamedTuple):
    """A row of the store; or, with version 0, the absence of a row.

    Attributes
    ----------
    version : int
        Increases with each write of the row; 0 if the row is absent.
    value : object
        Decoded JSON; None if the row is absent.
    """

    version: int
    value: object


class TransactionResult(NamedTuple):
    """Result of a transaction.

    Attributes
    ----------
    committed : bool
        Whether the writes took effect.
    rows : dict of str to TableRow
        If not committed, the rows whose versions were not the expected ones.
    versions : dict of str to int
        If committed, the new versions of the written rows.
    """

    committed: bool
    rows: dict
    versions: dict


class StoreTable:
    """Reads and writes rows by key; the prefix of a key decides which table has it.

    Parameters
    ----------
    store : StoreClient
        Client of the store.

    Attributes
    ----------
    timeout_s : float
        Time-out of a call to the store, in seconds.
    """

    def __init__(self, store):
        self._store = store
        self.timeout_s = store.timeout_s

    @property
    def era(self):
        """Latest known era of the store."""
        return self._store.era

    def read(self, keys):
        """Return rows by key, read one after another in the given order.

        Parameters
        ----------
        keys : sequence of str
            The keys.

        Returns
        -------
        dict of str to TableRow
            Has an entry for each key, also if the row is absent.

        Raises
        ------
        StoreUnavailable
            The store did not respond or rejects calls, or a value is not valid JSON.
        """
        rows = {}
        for key in keys:
            row = self._store.read_row(_table_of_key(key), key)
            rows[key] = TableRow(row.version, _decode(row.value))
        return rows

    def read_range(self, first, end):
        """Return the rows of a range of keys in one table, 500 at most.

        Parameters
        ----------
        first, end : str
            First key of the range, and the first key after it.

        Returns
        -------
        list of TableRow

        Raises
        ------
        StoreUnavailable
            The store did not respond or rejects calls, or a value is not valid JSON.
        """
        rows = self._store.read_range(_table_of_key(first), first, end)
        return [TableRow(row.version, _decode(row.value)) for row in rows]

    def transact(self, checks, writes, timeout_s=None):
        """Write rows in one transaction if other rows have the expected versions.

        Parameters
        ----------
        checks : dict of str to int
            Key to expected version; 0 if the row has to be absent.
        writes : dict of str to object
            Key to new value.
        timeout_s : float, default=None
            Time-out of the call in seconds; None for that of the store client.

        Returns
        -------
        TransactionResult

        Raises
        ------
        StoreUnavailable
            The store did not respond or rejects calls, or a value is not valid JSON. If
            it did not respond, the transaction may have taken effect.
        """
        result = self._store.transact(
            {(_table_of_key(key), key): version for key, version in checks.items()},
            {
                (_table_of_key(key), key): msgspec.json.encode(value)
                for key, value in writes.items()
            },
            timeout_s,
        )
        if result.committed:
            return TransactionResult(True, {}, dict.fromkeys(writes, result.version))
        current = {
            row.key: TableRow(row.version, _decode(row.value)) for _, row in result.rows
        }
        absent = TableRow(0, None)
        conflicts = {
            key: current.get(key, absent)
            for key, version in checks.items()
            if current.get(key, absent).version != version
        }
        return TransactionResult(False, conflicts, {})


def _table_of_key(key):
    for prefix, table in TABLE_BY_KEY_PREFIX.items():
        if key.startswith(prefix):
            return table
    return SETTINGS_TABLE


def _decode(raw):
    try:
        return None if raw is None else msgspec.json.decode(raw)
    except (msgspec.DecodeError, RecursionError) as exc:
        raise StoreUnavailable(f"row is not JSON: {exc}", "read row", "store") from exc


def create_store_table(store):
    """Return access to the instances' own rows in a store.

    Parameters
    ----------
    store : StoreClient
        Client of the store.

    Returns
    -------
    StoreTable
    """
    return StoreTable(store)
