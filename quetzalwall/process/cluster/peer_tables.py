"""Ask other instances for what they know of the store's tables."""

import math

import xxhash

from quetzalwall.connection.json_client import create_json_client
from quetzalwall.exceptions import PeerError
from quetzalwall.logs import get_logger, log_event
from quetzalwall.process.cluster.cluster_state import read_exported
from quetzalwall.process.cluster.store_readers import ahead_of

__all__ = ["PeerTables", "create_peer_tables"]

TIMEOUT_S = 0.8
FAILED_S = 5.0  # for which an instance that did not answer is asked after all others
LOG = get_logger("front")


class PeerTables:
    """Asks instances that know more, another one after each failure.

    Parameters
    ----------
    fleet : Fleet
        The other instances, and what they know.
    port : int
        Port on which instances ask one another.
    seeds : callable
        Returns the instances to ask while none is known, each as (IP number, port).
    rng : random.Random
        Spreads the first questions over the seeds.
    monotonic : callable
        Clock in seconds.
    """

    def __init__(self, fleet, port, seeds, rng, monotonic):
        self._fleet = fleet
        self._port = port
        self._seeds = seeds
        self._rng = rng
        self._monotonic = monotonic
        self._failed = {}

    def ask(self, table, after):
        """Return what another instance knows of a table.

        Before any configuration is known, the seeds are asked as well.

        Parameters
        ----------
        table : str
            Name of the table.
        after : int
            Version up to which it is known here; 0 asks for all of it.

        Returns
        -------
        (Rows, bool) or None
            The rows, and whether they are all rows; None if none could tell.
        """
        cards = sorted(ahead_of(self._fleet, table), key=self._rank)
        places = [(info.host, self._port) for info in cards]
        if not places and not after:
            own = (self._fleet.own_info.host, self._port)
            places = [place for place in self._seeds() if place != own]
            self._rng.shuffle(places)
        if not places:
            return None
        self._forget_failures()
        # Those that failed come last, the one that failed last behind all others.
        place = min(places, key=lambda place: self._failed.get(place, -math.inf))
        found = _ask(place, table, after)
        if found is None:
            self._failed[place] = self._monotonic()
        return found

    def _rank(self, info):
        """Return a key that puts the own region first, and is another one elsewhere.

        Instances that know the same would all ask the first one otherwise.
        """
        own = self._fleet.own_info
        drawn = xxhash.xxh64_intdigest(f"{own.name}\n{info.name}".encode())
        return info.region != own.region, drawn

    def _forget_failures(self):
        now = self._monotonic()
        self._failed = {
            place: at for place, at in self._failed.items() if now - at < FAILED_S
        }


def _ask(place, table, after):
    client = create_json_client(*place, f"instance {place[0]}", TIMEOUT_S)
    try:
        answer = client.call("GET", f"/tables/{table}?after={after}")
        if answer.status != 200:
            return None
        return read_exported(answer.body, place[0])
    except PeerError as exc:
        log_event(LOG, "peer-failed", "warning", peer=exc.peer, reason=exc.message)
        return None
    finally:
        client.close()


def create_peer_tables(fleet, port, seeds, rng, monotonic):
    """Return a view of the other instances' tables.

    Parameters
    ----------
    fleet, port, seeds, rng, monotonic
        As of `PeerTables`.

    Returns
    -------
    PeerTables
    """
    return PeerTables(fleet, port, seeds, rng, monotonic)
