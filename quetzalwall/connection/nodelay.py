"""Disable Nagle's algorithm on every socket of the system.

With it, a small request that is written in two pieces waits for the delayed
acknowledgement of the first, about 40 ms.
"""

import select

import gevent.socket
from gevent.pywsgi import WSGIServer

from quetzalwall.connection.yielding_socket import FairSocket

__all__ = ["NoDelayServer", "connect", "readable_now", "set_nodelay"]


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
    """WSGI server whose accepted sockets are fair and have TCP_NODELAY set."""

    def update_environ(self):
        """Name the server by its IP number; the library asks for the host's name."""
        self.environ.setdefault("SERVER_NAME", str(self.address[0]))
        super().update_environ()

    def do_read(self):
        """Accept a connection.

        Returns
        -------
        (FairSocket, tuple) or None
            The connection and the address of its peer; None if none waits.
        """
        accepted = super().do_read()
        if accepted is None:
            return None
        sock, address = accepted
        kind = sock.family, sock.type, sock.proto
        return FairSocket(*kind, fileno=sock.detach()), address

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


def connect(place, timeout_s, kind=FairSocket):
    """Return a connection without Nagle's algorithm and without a time limit.

    Parameters
    ----------
    place : (str, int)
        IP number and port.
    timeout_s : float
        Seconds that opening it may take.
    kind : type, default=FairSocket
        Class of the socket.

    Returns
    -------
    FairSocket

    Raises
    ------
    OSError
        Nobody accepts it in time.
    """
    sock = kind(gevent.socket.AF_INET, gevent.socket.SOCK_STREAM)
    try:
        sock.settimeout(timeout_s)
        sock.connect(place)
        set_nodelay(sock)
        sock.settimeout(None)
    except BaseException:
        sock.close()
        raise
    return sock
