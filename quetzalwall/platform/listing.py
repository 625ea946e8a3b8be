"""Client of the platform's lagging list of live and leaving members."""

from typing import NamedTuple

from quetzalwall.connection.json_call import create_json_client
from quetzalwall.exceptions import PeerError, StoreUnavailable

__all__ = ["Listing", "ListingClient", "create_listing_client"]

LISTING_PEER = "instance list"


class Listing(NamedTuple):
    """The platform's list at one moment; it lags behind the truth.

    Attributes
    ----------
    instances : dict of str to str
        Instance to ``"live"`` or ``"leaving"``; absent instances are gone.
    endpoints : dict of str to str
        Endpoint to ``"live"`` or ``"leaving"``.
    """

    instances: dict
    endpoints: dict


class ListingClient:
    """Client of the instance list.

    Parameters
    ----------
    host : str
        IP number of the service.
    port : int
        TCP port of the service.
    timeout_s : float, default=1.0
        Seconds that a call may take.
    """

    def __init__(self, host, port, timeout_s=1.0):
        self._client = create_json_client(host, port, LISTING_PEER, timeout_s=timeout_s)

    def read(self):
        """Return the list.

        Returns
        -------
        Listing

        Raises
        ------
        StoreUnavailable
            No valid answer arrived.
        """
        try:
            answer = self._client.call("GET", "/listing")
        except PeerError as exc:
            raise StoreUnavailable(exc.message, "read list", LISTING_PEER) from exc
        body = answer.body
        if answer.status != 200 or not isinstance(body, dict):
            raise StoreUnavailable(f"status {answer.status}", "read list", LISTING_PEER)
        return Listing(body.get("instances", {}), body.get("endpoints", {}))

    def close(self):
        """Close all connections."""
        self._client.close()


def create_listing_client(host, port, timeout_s=1.0):
    """Return a client of the instance list.

    Parameters
    ----------
    host : str
        IP number of the service.
    port : int
        TCP port of the service.
    timeout_s : float, default=1.0
        Seconds that a call may take.

    Returns
    -------
    ListingClient
    """
    return ListingClient(host, port, timeout_s=timeout_s)
