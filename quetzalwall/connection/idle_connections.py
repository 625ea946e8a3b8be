"""Connections that wait for a request, and room for others when there are too many."""

import gevent.socket

from quetzalwall.connection.nodelay import readable_now

__all__ = ["IdleConnections"]

LEAST_IDLE_S = 1.0  # a caller that has just connected or been answered may go on
SPARE_PART = 0.05  # of a server's connections, free for new callers


class IdleConnections:
    """Connections of a server on which no request is under way, oldest first.

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

    def enter(self, sock):
        """Note that a connection begins to wait for a request.

        Parameters
        ----------
        sock : FairSocket
            The connection.
        """
        self._since[sock] = self._monotonic()

    def leave(self, sock):
        """Note that a request comes, or that the connection ends.

        Parameters
        ----------
        sock : FairSocket
            The connection.
        """
        self._since.pop(sock, None)

    def evict(self, pool, spare_fraction=SPARE_PART, min_idle_s=LEAST_IDLE_S):
        """End the oldest idle connections if a server has no room for new ones.

        Parameters
        ----------
        pool : gevent.pool.Pool
            Tasks of the server's connections.
        spare_fraction : float, default=SPARE_PART
            Part of the server's connections that is to be free.
        min_idle_s : float, default=LEAST_IDLE_S
            Seconds for which those that end have been idle.

        Returns
        -------
        int
            Connections that end.
        """
        wanted = max(1, int(pool.size * spare_fraction)) - pool.free_count()
        if wanted <= 0:
            return 0
        ended = 0
        for sock, since in list(self._since.items()):
            if ended >= wanted or self._monotonic() - since < min_idle_s:
                break
            ended += self._end(sock)
        return ended

    def _end(self, sock):
        """Have a connection's task read its end; a request on its way is served."""
        self.leave(sock)
        try:
            if readable_now(sock):
                return False
            sock.shutdown(gevent.socket.SHUT_RD)
        except OSError:
            return False
        return True
