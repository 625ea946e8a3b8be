"""Disable Nagle's algorithm on every socket of the system.

With it, a small request that is written in two pieces waits for the delayed
acknowledgement of the first, about 40 ms.
"""

import select

import gevent.socket
from gevent.pywsgi import WSGIServer

__all__ = ["NoDelayServer", "readable_now", "set_nodelay"]


def set_nodelay(sock):
    """Set TCP_NODELAY on a socket.

    Parameters
    ----------
    sock : gevent.socket.socket
        A TCP socket.
    """
    sock.setsockopt(gevent.socket.IPPROTO_TCP, gevent.socket.TCP_NODELAY, 1)


def readable_now(sock):
    """Return whether bytes, an error or the end wait on a socket.

    Parameters
    ----------
    sock : gevent.socket.socket
        A TCP socket.

    Returns
    -------
    bool
    """
    # select(2) fails from descriptor 1024 on.
    poller = select.poll()
    poller.register(sock.fileno(), select.POLLIN)
    return bool(poller.poll(0))


class NoDelayServer(WSGIServer):
    """WSGI server whose accepted sockets have TCP_NODELAY set."""

    def handle(self, sock, address):
        """Serve one accepted connection.

        Parameters
        ----------
        sock : gevent.socket.socket
            The accepted socket.
        address : tuple
            Address of the peer.
        """
        set_nodelay(sock)
        super().handle(sock, address)
