"""Client of the platform's object store."""

from quetzalwall.connection.json_call import create_json_client
from quetzalwall.exceptions import PeerError, StoreError, StoreUnavailable

__all__ = ["ObjectClient", "create_object_client"]

OBJECTS_PEER = "object store"


class ObjectClient:
    """Client of the object store; objects are JSON documents.

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
        self._client = create_json_client(host, port, OBJECTS_PEER, timeout_s=timeout_s)

    def put(self, name, document):
        """Store a document under a name, in place of any earlier one.

        Parameters
        ----------
        name : str
            Name of the object.
        document : object
            Encoded as JSON.

        Raises
        ------
        StoreUnavailable
            No answer arrived; the document may have been stored.
        """
        self._call("PUT", name, document)

    def get(self, name):
        """Return the document stored under a name.

        Parameters
        ----------
        name : str
            Name of the object.

        Returns
        -------
        object
            None if there is no such object.
        """
        answer = self._call("GET", name, None)
        return answer.body if answer.status == 200 else None

    def close(self):
        """Close all connections."""
        self._client.close()

    def _call(self, method, name, document):
        try:
            answer = self._client.call(method, f"/objects/{name}", document)
        except PeerError as exc:
            raise StoreUnavailable(exc.message, method, OBJECTS_PEER) from exc
        if answer.status in (200, 404):
            return answer
        if answer.status >= 500:
            raise StoreUnavailable(f"status {answer.status}", method, OBJECTS_PEER)
        raise StoreError(f"status {answer.status}", method, OBJECTS_PEER)


def create_object_client(host, port, timeout_s=2.0):
    """Return a client of the object store.

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
    ObjectClient
    """
    return ObjectClient(host, port, timeout_s=timeout_s)
