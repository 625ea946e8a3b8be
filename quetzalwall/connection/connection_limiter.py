"""Limit on the connections of an instance to all endpoints together.

A process without a free file descriptor can neither accept callers nor connect to
endpoints or the store. Connections to endpoints, idle ones included, therefore get a
share of the descriptors only.
"""

import errno
import math

from quetzalwall.connection.nodelay import connect
from quetzalwall.connection.yielding_socket import YieldingSocket
from quetzalwall.exceptions import NoRoom, NotConnected

__all__ = ["ConnectionLimiter", "connect_error"]

# Errors of this process or its machine, which say nothing about the endpoint.
LOCAL_ERRNOS = frozenset(
    (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL)
)


class _LimitedSocket(YieldingSocket):
    """Socket that reports its closing to the limiter."""

    limiter = None

    def close(self):
        """Close the socket and report it, once."""
        super().close()
        limiter, self.limiter = self.limiter, None
        if limiter is not None:
            limiter.on_closed(self)


class ConnectionLimiter:
    """Opens and counts connections to endpoints, idle ones included.

    Attributes
    ----------
    max_open : float
        Maximum number of open connections.
    open_count : int
        Connections that are open or being opened.
    """

    def __init__(self):
        self.max_open = math.inf
        self.open_count = 0
        self._idle = {}

    def connect(self, address, timeout_s):
        """Open a connection; at the limit, close the longest idle one first.

        Parameters
        ----------
        address : (str, int)
            IP address and port.
        timeout_s : float
            Seconds that connecting may take.

        Returns
        -------
        YieldingSocket

        Raises
        ------
        OSError
            The connection was not accepted in time, or all connections are in use.
        """
        if self.open_count >= self.max_open and not self._close_oldest_idle():
            message = f"all {self.max_open} connections to endpoints are at work"
            raise OSError(errno.EMFILE, message)
        self.open_count += 1
        try:
            sock = connect(address, timeout_s, _LimitedSocket)
        except BaseException:
            self.open_count -= 1
            raise
        sock.limiter = self
        return sock

    def add_idle(self, sock, client_idle):
        """Record that a connection became idle.

        Parameters
        ----------
        sock : YieldingSocket
            The connection.
        client_idle : collections.deque
            Idle connections to the same endpoint; the connection is the last of them.
        """
        self._idle[sock] = client_idle, client_idle[-1]

    def remove_idle(self, sock):
        """Record that a connection is in use again.

        Parameters
        ----------
        sock : YieldingSocket
            The connection.
        """
        self._idle.pop(sock, None)

    def on_closed(self, sock):
        """Record that a connection was closed.

        Parameters
        ----------
        sock : YieldingSocket
            The connection.
        """
        self.open_count -= 1
        self.remove_idle(sock)

    def _close_oldest_idle(self):
        if not self._idle:
            return False
        sock, (client_idle, entry) = next(iter(self._idle.items()))
        client_idle.remove(entry)
        sock.close()
        return True


def connect_error(exc, name):
    """Return the exception for a connection that could not be opened.

    Parameters
    ----------
    exc : OSError
        Why it could not be opened.
    name : str
        Name of the endpoint.

    Returns
    -------
    NoRoom or NotConnected
    """
    error = NoRoom if exc.errno in LOCAL_ERRNOS else NotConnected
    return error(str(exc), step="connect", peer=name)
