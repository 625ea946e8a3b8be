"""TCP connections and servers without Nagle's algorithm.

With Nagle's algorithm, a small request that is written in two pieces waits about 40 ms
for the delayed acknowledgement of the first.
"""

import select

import gevent.socket
from gevent.pywsgi import WSGIServer

from quetzalwall.connection.send_buffers import limit_unsent_bytes
from quetzalwall.connection.yielding_socket import YieldingSocket

__all__ = ["NoDelayServer", "connect", "is_readable", "set_nodelay"]


def set_nodelay(sock):
    """Set TCP_NODELAY on a socket.

    Parameters
    ----------
    sock : gevent.socket.socket
        A TCP socket.
    """
    sock.setsockopt(gevent.socket.IPPROTO_TCP, gevent.socket.TCP_NODELAY, 1)


def is_readable(sock):
    """Return whether bytes, an error or the end of the stream can be read at once.

    Parameters
    ----------
    sock : gevent.socket.socket
        A TCP socket.

    Returns
    -------
    bool
    """
    # select(2) does not support descriptors from 1024 on.
    poller = select.poll()
    poller.register(sock.fileno(), select.POLLIN)
    return bool(poller.poll(0))


class NoDelayServer(WSGIServer):
    """WSGI server that accepts connections as yielding sockets with TCP_NODELAY."""

    def update_environ(self):
        """Name the server by its IP address; the library would look up a host name."""
        self.environ.setdefault("SERVER_NAME", str(self.address[0]))
        super().update_environ()

    def do_read(self):
        """Accept a connection.

        Returns
        -------
        (YieldingSocket, tuple) or None
            The connection and the address of its peer; None if none is pending.
        """
        accepted = super().do_read()
        if accepted is None:
            return None
        sock, address = accepted
        options = sock.family, sock.type, sock.proto
        return YieldingSocket(*options, fileno=sock.detach()), address

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
        limit_unsent_bytes(sock)
        super().handle(sock, address)


def connect(address, timeout_s, socket_class=YieldingSocket):
    """Open a connection with TCP_NODELAY set, whose reads and writes never time out.

    Parameters
    ----------
    address : (str, int)
        IP address and port.
    timeout_s : float
        Seconds that connecting may take.
    socket_class : type, default=YieldingSocket
        Class of the socket.

    Returns
    -------
    YieldingSocket

    Raises
    ------
    OSError
        The connection was not accepted in time.
    """
    sock = socket_class(gevent.socket.AF_INET, gevent.socket.SOCK_STREAM)
    try:
        sock.settimeout(timeout_s)
        sock.connect(address)
        set_nodelay(sock)
        sock.settimeout(None)
    except BaseException:
        sock.close()
        raise
    return sock
