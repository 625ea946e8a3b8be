"""Fetches tables of the store from other instances."""

import math

import xxhash

from quetzalwall.connection.compression import ACCEPTED
from quetzalwall.connection.json_client import create_json_client
from quetzalwall.exceptions import PeerError
from quetzalwall.logs import get_logger, log_event
from quetzalwall.process.cluster.cluster_state import read_exported
from quetzalwall.process.cluster.store_readers import peers_ahead

__all__ = ["PeerTables", "create_peer_tables"]

REQUEST_TIMEOUT_S = 0.8
FAILURE_TTL_S = 5.0  # an instance that failed is asked after all others for so long
LOG = get_logger("front")


class PeerTables:
    """Asks instances that have newer tables, another one after each failure.

    Parameters
    ----------
    fleet : Fleet
        The other instances and the versions of their tables.
    port : int
        TCP port on which instances serve their tables to one another.
    seeds : callable
        Returns the addresses to ask while no instance is known, each as (IP address,
        port).
    rng : random.Random
        Spreads the first requests over the seeds.
    monotonic : callable
        Clock in seconds.
    """

    def __init__(self, fleet, port, seeds, rng, monotonic):
        self._fleet = fleet
        self._port = port
        self._seeds = seeds
        self._rng = rng
        self._monotonic = monotonic
        self._failed_at = {}

    def fetch(self, table, after):
        """Return what another instance knows of a table, by one request.

        The seeds are asked while neither the table nor an instance with it is known.

        Parameters
        ----------
        table : str
            Name of the table.
        after : int
            Version up to which this instance knows the table; 0 asks for all rows.

        Returns
        -------
        (Rows, bool) or None
            The rows, and whether they are all rows of the table; None without a usable
            response.
        """
        ahead = sorted(peers_ahead(self._fleet, table), key=self._sort_key)
        addresses = [(info.host, self._port) for info in ahead]
        if not addresses and not after:
            own_address = (self._fleet.own_info.host, self._port)
            addresses = [address for address in self._seeds() if address != own_address]
            self._rng.shuffle(addresses)
        if not addresses:
            return None
        self._drop_old_failures()
        # Instances that failed come last, the latest failure at the end.
        address = min(
            addresses, key=lambda address: self._failed_at.get(address, -math.inf)
        )
        found = _request_table(address, table, after)
        if found is None:
            self._failed_at[address] = self._monotonic()
        return found

    def fetch_from(self, host, table):
        """Return all rows of a table that one instance exports.

        Parameters
        ----------
        host : str
            IP address of the instance.
        table : str
            Name of the table.

        Returns
        -------
        Rows or None
            None without a usable response.
        """
        found = _request_table((host, self._port), table, 0)
        return found[0] if found is not None and found[1] else None

    def _sort_key(self, info):
        """Return a key that puts the own region first.

        Within a region each instance has another order by rendezvous hashing, since all
        instances would ask the same one otherwise.
        """
        own = self._fleet.own_info
        digest = xxhash.xxh64_intdigest(f"{own.name}\n{info.name}".encode())
        return info.region != own.region, digest

    def _drop_old_failures(self):
        now = self._monotonic()
        self._failed_at = {
            address: at
            for address, at in self._failed_at.items()
            if now - at < FAILURE_TTL_S
        }


def _request_table(address, table, after):
    client = create_json_client(*address, f"instance {address[0]}", REQUEST_TIMEOUT_S)
    try:
        target = f"/tables/{table}?after={after}&listing=1"
        response = client.call("GET", target, headers=ACCEPTED)
        if response.status != 200:
            return None
        return read_exported(response.body, address[0])
    except PeerError as exc:
        log_event(LOG, "peer-failed", "warning", peer=exc.peer, reason=exc.message)
        return None
    finally:
        client.close()


def create_peer_tables(fleet, port, seeds, rng, monotonic):
    """Return a client for the other instances' tables.

    Parameters
    ----------
    fleet, port, seeds, rng, monotonic
        As of `PeerTables`.

    Returns
    -------
    PeerTables
    """
    return PeerTables(fleet, port, seeds, rng, monotonic)
