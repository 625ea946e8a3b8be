"""What configurations allowed that may still be active at other instances."""

from typing import NamedTuple

__all__ = ["ReplacedConfigurations", "create_replaced_configurations"]


class _Replaced(NamedTuple):
    """What a configuration allowed and the one after it does not."""

    at: float  # when it was replaced
    prefixes: frozenset  # of removed routes, with their hosts
    max_body_bytes: int


class ReplacedConfigurations:
    """Configurations that were replaced within the time in which changes take effect.

    Only the routes are kept that the next configuration lacks. Keys are not: one that
    was taken away is refused as soon as that is known.

    Parameters
    ----------
    freshness : Freshness
        Has the clock, and the time in which a change has to be active.
    """

    def __init__(self, freshness):
        self._freshness = freshness
        self._replaced = []

    def add(self, old, new):
        """Record that a configuration was replaced.

        Parameters
        ----------
        old, new : Configuration
            The replaced configuration and the one that is active now.
        """
        self._forget()
        removed = frozenset(_prefixes(old) - _prefixes(new))
        limit = old.limits.max_body_bytes
        now = self._freshness.now()
        self._replaced.append(_Replaced(now, removed, limit))

    def had_route(self, host, path):
        """Return whether a route that was removed matches a request.

        Parameters
        ----------
        host, path : str
            Of the request.

        Returns
        -------
        bool
        """
        self._forget()
        return any(
            host == route_host and path.startswith(prefix)
            for replaced in self._replaced
            for route_host, prefix in replaced.prefixes
        )

    def max_body_bytes(self):
        """Return the largest body that was allowed.

        Returns
        -------
        int
            0 if no configuration was replaced lately.
        """
        self._forget()
        return max((replaced.max_body_bytes for replaced in self._replaced), default=0)

    def _forget(self):
        since = self._freshness.now() - self._freshness.config_s
        while self._replaced and self._replaced[0].at <= since:
            del self._replaced[0]


def _prefixes(cfg):
    return {
        (host, route.prefix) for host, routes in cfg.hosts.items() for route in routes
    }


def create_replaced_configurations(freshness):
    """Return the record of an instance that has replaced none.

    Parameters
    ----------
    freshness : Freshness
        As of `ReplacedConfigurations`.

    Returns
    -------
    ReplacedConfigurations
    """
    return ReplacedConfigurations(freshness)
