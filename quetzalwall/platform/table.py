"""Client of the platform's transactional table service.

The only primitive is a transaction that checks the versions of rows and writes rows,
all or nothing. Another implementation needs the methods `txn`, `read` and `scan`.
"""

from typing import NamedTuple

from quetzalwall.connection.json_call import create_json_client
from quetzalwall.exceptions import PeerError, StoreError, StoreUnavailable

__all__ = ["Row", "TableClient", "TxnResult", "create_table_client"]

ABSENT = 0
TABLE_PEER = "table"


class Row(NamedTuple):
    """A row of the table.

    Attributes
    ----------
    version : int
        Grows with each write of the row; 0 if the row is absent.
    value : object
        Decoded JSON; None if the row is absent.
    """

    version: int
    value: object


class TxnResult(NamedTuple):
    """Result of a transaction.

    Attributes
    ----------
    committed : bool
        Whether the writes took effect.
    rows : dict of str to Row
        When not committed, the rows whose version differed from the check.
    versions : dict of str to int
        When committed, the new versions of the rows written.
    """

    committed: bool
    rows: dict
    versions: dict


class TableClient:
    """Client of the table service.

    Parameters
    ----------
    host : str
        IP number of the service.
    port : int
        TCP port of the service.
    timeout_s : float, default=2.0
        Seconds that a call may take.
    """

    def __init__(self, host, port, timeout_s=2.0):
        self.timeout_s = timeout_s
        self._client = create_json_client(
            host, port, TABLE_PEER, timeout_s=timeout_s, size=32
        )

    def txn(self, checks, writes, timeout_s=None):
        """Write rows if other rows have the expected versions.

        Parameters
        ----------
        checks : dict of str to int
            Key to expected version; 0 expects the row to be absent.
        writes : dict of str to object
            Key to new value; None removes the row.
        timeout_s : float, default=None
            Seconds that the call may take.

        Returns
        -------
        TxnResult

        Raises
        ------
        StoreUnavailable
            No answer arrived; the transaction may have taken effect.
        """
        body = {"checks": checks, "writes": writes}
        answer = self._call("/table/txn", body, timeout_s, accepted=(200, 409))
        rows = {key: Row(**row) for key, row in answer.body.get("rows", {}).items()}
        versions = answer.body.get("versions", {})
        return TxnResult(answer.status == 200, rows, versions)

    def read(self, keys, timeout_s=None):
        """Return rows as of one moment, never older than a finished write.

        Parameters
        ----------
        keys : sequence of str
            The keys.
        timeout_s : float, default=None
            Seconds that the call may take.

        Returns
        -------
        dict of str to Row
            One entry for each key, also for an absent row.

        Raises
        ------
        StoreUnavailable
            No answer arrived.
        """
        answer = self._call("/table/read", {"keys": list(keys)}, timeout_s)
        return {key: Row(**row) for key, row in answer.body["rows"].items()}

    def scan(self, prefix, limit=1000, timeout_s=None):
        """Return rows whose key begins with a prefix.

        Parameters
        ----------
        prefix : str
            Beginning of the keys.
        limit : int, default=1000
            Rows at most, in the order of their keys.
        timeout_s : float, default=None
            Seconds that the call may take.

        Returns
        -------
        dict of str to Row
        """
        body = {"prefix": prefix, "limit": limit}
        answer = self._call("/table/scan", body, timeout_s)
        return {key: Row(**row) for key, row in answer.body["rows"].items()}

    def close(self):
        """Close all connections."""
        self._client.close()

    def _call(self, target, body, timeout_s, accepted=(200,)):
        try:
            answer = self._client.call("POST", target, body, timeout_s=timeout_s)
        except PeerError as exc:
            raise StoreUnavailable(exc.message, step=target, peer=TABLE_PEER) from exc
        if answer.status in accepted and isinstance(answer.body, dict):
            return answer
        if answer.status >= 500:
            raise StoreUnavailable(f"status {answer.status}", target, TABLE_PEER)
        raise StoreError(f"status {answer.status}", step=target, peer=TABLE_PEER)


def create_table_client(host, port, timeout_s=2.0):
    """Return a client of the table service.

    Parameters
    ----------
    host : str
        IP number of the service.
    port : int
        TCP port of the service.
    timeout_s : float, default=2.0
        Seconds that a call may take.

    Returns
    -------
    TableClient
    """
    return TableClient(host, port, timeout_s=timeout_s)
