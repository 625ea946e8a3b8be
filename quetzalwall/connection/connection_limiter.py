"""All connections of an instance to endpoints, counted, with a limit for them together.

A process without a free descriptor accepts no caller, reaches no endpoint and not the
store either. So connections at work and idle ones keep within a part of them.
"""

import errno
import math

from quetzalwall.connection.nodelay import connect
from quetzalwall.connection.yielding_socket import FairSocket
from quetzalwall.exceptions import NoRoom, NotConnected

__all__ = ["ConnectionLimiter", "failure"]

# Errors of a connection that say nothing of the other side.
OWN_LIMITS = frozenset(
    (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL)
)


class _CountedSocket(FairSocket):
    """Connection that tells when it is closed."""

    connections = None

    def close(self):
        """Close it."""
        super().close()
        connections, self.connections = self.connections, None
        if connections is not None:
            connections.closed(self)


class ConnectionLimiter:
    """Counts connections to endpoints, idle ones included.

    Attributes
    ----------
    most : float
        Connections open at once.
    open : int
        Those that are open or being opened.
    """

    def __init__(self):
        self.max_open = math.inf
        self.open_count = 0
        self._idle = {}

    def connect(self, place, timeout_s):
        """Open a connection; the oldest idle one ends if there is no room.

        Parameters
        ----------
        place : (str, int)
            IP number and port.
        timeout_s : float
            Seconds that opening it may take.

        Returns
        -------
        FairSocket

        Raises
        ------
        OSError
            Nobody accepts it in time, or there is no room for it.
        """
        if self.open_count >= self.max_open and not self._end_oldest():
            message = f"all {self.max_open} connections to endpoints are at work"
            raise OSError(errno.EMFILE, message)
        self.open_count += 1
        try:
            sock = connect(place, timeout_s, _CountedSocket)
        except BaseException:
            self.open_count -= 1
            raise
        sock.connections = self
        return sock

    def enter_idle(self, sock, kept):
        """Note that a connection is kept for another request.

        Parameters
        ----------
        sock : FairSocket
            The connection.
        kept : collections.deque
            Idle connections to the same endpoint, of which it is the last.
        """
        self._idle[sock] = kept, kept[-1]

    def leave_idle(self, sock):
        """Note that a connection is used again.

        Parameters
        ----------
        sock : FairSocket
            The connection.
        """
        self._idle.pop(sock, None)

    def closed(self, sock):
        """Note that a connection is closed.

        Parameters
        ----------
        sock : FairSocket
            The connection.
        """
        self.open_count -= 1
        self.leave_idle(sock)

    def _end_oldest(self):
        if not self._idle:
            return False
        sock, (kept, entry) = next(iter(self._idle.items()))
        kept.remove(entry)
        sock.close()
        return True


def failure(exc, name):
    """Return what it means that a connection could not be opened.

    Parameters
    ----------
    exc : OSError
        Why it could not.
    name : str
        Name of the endpoint.

    Returns
    -------
    NotRun
    """
    kind = NoRoom if exc.errno in OWN_LIMITS else NotConnected
    return kind(str(exc), step="connect", peer=name)
