"""Clients of all endpoints, and the limits of the links to them."""

import gevent

from quetzalwall.platform.endpoint import create_endpoint
from quetzalwall.process.window import SlidingWindow
from quetzalwall.version.shares import LINK_UNIT_BYTES_PER_S, link_key

__all__ = ["EndpointDirectory", "LinkMeter", "create_endpoint_directory"]

LINK_SPAN_S = 1.0
LINK_GRAIN_S = 0.02
DEFAULT_LONG_FRACTION = 0.6
LONGEST_WAIT_S = 0.2
DEFAULT_CONNECTIONS = 400


class EndpointDirectory:
    """What an instance needs to reach endpoints.

    Parameters
    ----------
    cfg : dict
        Merged configuration.
    region : str
        Region of this instance.
    clock : Clock
        Source of time.
    ledger : Ledger
        Holds this instance's parts of the links.
    """

    def __init__(self, cfg, region, clock, ledger):
        self._region = region
        self._clock = clock
        self._ledger = ledger
        self._clients = {}
        self._regions = {}
        self.meters = {}
        self.configure(cfg)

    def configure(self, cfg):
        """Take over another version of the configuration.

        Parameters
        ----------
        cfg : dict
            Merged configuration.
        """
        known = {}
        for spec in cfg["services"].values():
            known.update(spec["endpoints"])
        for name in [name for name in self._clients if name not in known]:
            # Its connections close when the exchanges that hold them end.
            del self._clients[name]
        instances = max(1, len(cfg["instances"]))
        for name, spec in known.items():
            self._regions[name] = spec["region"]
            place = (spec["address"], spec["port"])
            old = self._clients.get(name)
            if old is None or old.place != place:
                limit = spec.get("connections", DEFAULT_CONNECTIONS) // instances
                self._clients[name] = create_endpoint(
                    name, *place, self._clock, connections=max(1, limit)
                )
        self._configure_links(cfg)

    def client(self, endpoint):
        """Return the client of an endpoint.

        Parameters
        ----------
        endpoint : str
            Name of the endpoint.

        Returns
        -------
        EndpointClient

        Raises
        ------
        KeyError
            The configuration in force has no such endpoint.
        """
        return self._clients[endpoint]

    def link(self, endpoint, long):
        """Return a function that waits until bytes may go to or from an endpoint.

        Parameters
        ----------
        endpoint : str
            Name of the endpoint.
        long : bool
            Whether the bytes belong to long work, which gets a part of the link.

        Returns
        -------
        callable
            Takes a number of bytes.
        """
        meter = self.meters.get(self._regions.get(endpoint))
        if meter is None:
            return _no_wait
        return lambda amount: meter.wait(amount, long)

    def refresh(self, now):
        """Tell the ledger how much of each link is in use.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        """
        for meter in self.meters.values():
            meter.refresh(now)

    def close(self):
        """Close all connections."""
        for client in self._clients.values():
            client.close()

    def _configure_links(self, cfg):
        for name, link in cfg["links"].items():
            if self._region not in link["between"]:
                continue
            other = next(r for r in link["between"] if r != self._region)
            fraction = link.get("long_fraction", DEFAULT_LONG_FRACTION)
            meter = self.meters.get(other)
            if meter is None:
                meter = LinkMeter(link_key(name), self._clock, self._ledger)
                self.meters[other] = meter
            meter.long_fraction = fraction


class LinkMeter:
    """Bytes of one instance over one link in the last second.

    Parameters
    ----------
    key : str
        Ledger key of the link.
    clock : Clock
        Source of time.
    ledger : Ledger
        Holds this instance's part of the link.
    """

    def __init__(self, key, clock, ledger):
        self.key = key
        self.long_fraction = DEFAULT_LONG_FRACTION
        self._clock = clock
        self._ledger = ledger
        self._all = SlidingWindow(LINK_SPAN_S, LINK_GRAIN_S)
        self._long = SlidingWindow(LINK_SPAN_S, LINK_GRAIN_S)

    def wait(self, amount, long):
        """Wait until an amount may cross the link.

        Parameters
        ----------
        amount : int
            Bytes; more than the limit of one second goes in pieces.
        long : bool
            Whether the bytes belong to long work.
        """
        while amount > 0:
            piece = min(amount, LINK_UNIT_BYTES_PER_S // 4)
            while not self.take(piece, long, self._clock.monotonic()):
                gevent.sleep(self._pause_s(piece, long))
            amount -= piece

    def take(self, amount, long, now):
        """Take an amount if this instance's part of the link allows it.

        Parameters
        ----------
        amount : int
            Bytes.
        long : bool
            Whether the bytes belong to long work.
        now : float
            Monotonic seconds.

        Returns
        -------
        bool
        """
        limit = self._limit(now)
        if self._all.total(now) + amount > limit:
            return False
        if long and not self._long.take(amount, limit * self.long_fraction, now):
            return False
        self._all.take(amount, limit, now)
        self.refresh(now)
        return True

    def refresh(self, now):
        """Tell the ledger how much of the link is in use.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        """
        used = -(-self._all.total(now) // LINK_UNIT_BYTES_PER_S)
        if used:
            self._ledger.used[self.key] = used
        else:
            self._ledger.used.pop(self.key, None)

    def _limit(self, now):
        units = self._ledger.entitled(self.key, now, LINK_SPAN_S)
        return units * LINK_UNIT_BYTES_PER_S

    def _pause_s(self, amount, long):
        now = self._clock.monotonic()
        limit = self._limit(now)
        pause_s = self._all.wait_s(amount, limit, now)
        if long:
            part = limit * self.long_fraction
            pause_s = max(pause_s, self._long.wait_s(amount, part, now))
        return min(LONGEST_WAIT_S, max(0.001, pause_s))


def _no_wait(amount):
    del amount


def create_endpoint_directory(cfg, region, clock, ledger):
    """Return the clients of all endpoints.

    Parameters
    ----------
    cfg : dict
        Merged configuration.
    region : str
        Region of this instance.
    clock : Clock
        Source of time.
    ledger : Ledger
        Holds this instance's parts of the links.

    Returns
    -------
    EndpointDirectory
    """
    return EndpointDirectory(cfg, region, clock, ledger)
