"""Idle connections of a server, and their eviction when it runs out of connections."""

import gevent.socket

from quetzalwall.connection.nodelay import is_readable

__all__ = ["IdleConnections", "shortfall_of"]

MIN_IDLE_S = 1.0  # a caller that just connected or got a response may send a request
SPARE_FRACTION = 0.05  # of a server's connections, kept free for new callers


class IdleConnections:
    """Connections of a server that are waiting for a request, longest idle first.

    Parameters
    ----------
    monotonic : callable
        Clock in seconds.
    """

    def __init__(self, monotonic):
        self._monotonic = monotonic
        self._since = {}

    def __len__(self):
        return len(self._since)

    def add(self, sock):
        """Record that a connection starts to wait for a request.

        Parameters
        ----------
        sock : YieldingSocket
            The connection.
        """
        self._since[sock] = self._monotonic()

    def remove(self, sock):
        """Record that a request arrived on a connection, or that it was closed.

        Parameters
        ----------
        sock : YieldingSocket
            The connection.
        """
        self._since.pop(sock, None)

    def evict(self, pool, spare_fraction=SPARE_FRACTION, min_idle_s=MIN_IDLE_S):
        """Shut down the longest idle connections if too few are left for new callers.

        Parameters
        ----------
        pool : gevent.pool.Pool
            Tasks of the server's connections.
        spare_fraction : float, default=SPARE_FRACTION
            Fraction of the server's connections to keep free; at least one.
        min_idle_s : float, default=MIN_IDLE_S
            Connections that have been idle for less, in seconds, stay.

        Returns
        -------
        int
            Number of connections shut down.
        """
        shortfall = shortfall_of(pool, spare_fraction)
        if shortfall <= 0:
            return 0
        shut_down = 0
        for sock, since in list(self._since.items()):
            if shut_down >= shortfall or self._monotonic() - since < min_idle_s:
                break
            shut_down += self._shut_down(sock)
        return shut_down

    def _shut_down(self, sock):
        """Shut down reading, so that the connection's task sees its end.

        A connection on which a request has arrived is left alone.
        """
        self.remove(sock)
        try:
            if is_readable(sock):
                return False
            sock.shutdown(gevent.socket.SHUT_RD)
        except OSError:
            return False
        return True


def shortfall_of(pool, spare_fraction=SPARE_FRACTION):
    """Return how many connections of a server are missing for new callers.

    Parameters
    ----------
    pool : gevent.pool.Pool
        Tasks of the server's connections.
    spare_fraction : float, default=SPARE_FRACTION
        Fraction of the server's connections to keep free; at least one.

    Returns
    -------
    int
        Zero or less if there are enough.
    """
    return max(1, int(pool.size * spare_fraction)) - pool.free_count()
