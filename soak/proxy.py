"""TCP proxy on loopback that delays, stalls, resets or refuses connections."""

import gevent
import gevent.server
import gevent.socket

__all__ = ["Proxy", "create_proxy"]

BLOCK_BYTES = 64 * 1024
CONNECT_TIMEOUT_S = 2.0


class Proxy:
    """A proxy to one address.

    Parameters
    ----------
    address : str
        IP address to listen on; the port is a free one.
    target : (str, int)
        Address and port that connections are forwarded to.

    Attributes
    ----------
    fault : str
        "" for none, "silent" (data is held back in both directions), "to" or "from"
        (data to or from the target is held back) or "refuse" (new connections are
        closed at once). Data that was held back is forwarded when the fault ends.
    delay_s : float
        Seconds by which each block of data is delayed.
    """

    def __init__(self, address, target):
        self.fault = ""
        self.delay_s = 0.0
        self._target = target
        self._open_pairs = set()
        self._stalled_pairs = set()
        self.server = gevent.server.StreamServer((address, 0), self._serve)

    @property
    def address(self):
        """IP address and port that the proxy listens on."""
        return self.server.address

    def start(self):
        """Start accepting connections."""
        self.server.start()

    def close(self):
        """Stop accepting connections and close the open ones."""
        self.server.stop(timeout=0)
        self.reset()

    def reset(self):
        """Close all connections."""
        for pair in list(self._open_pairs):
            for sock in pair:
                sock.close()

    def stall_connections(self):
        """Forward nothing more on the open connections; new connections work."""
        self._stalled_pairs |= self._open_pairs

    def _serve(self, sock, address):
        if self.fault == "refuse":
            return
        try:
            upstream = gevent.socket.create_connection(self._target, CONNECT_TIMEOUT_S)
        except OSError:
            return
        upstream.settimeout(None)  # the proxy itself never times out a connection
        pair = (sock, upstream)
        self._open_pairs.add(pair)
        tasks = [
            gevent.spawn(self._copy, pair, sock, upstream, "to"),
            gevent.spawn(self._copy, pair, upstream, sock, "from"),
        ]
        gevent.joinall(tasks, count=1)
        gevent.killall(tasks)
        self._open_pairs.discard(pair)
        self._stalled_pairs.discard(pair)
        for end in pair:
            end.close()

    def _copy(self, pair, source, sink, direction):
        try:
            while data := source.recv(BLOCK_BYTES):
                if self.delay_s:
                    gevent.sleep(self.delay_s)
                while (
                    self.fault in ("silent", direction) or pair in self._stalled_pairs
                ):
                    gevent.sleep(0.05)
                sink.sendall(data)
        except OSError:
            return


def create_proxy(target, address="127.0.0.1"):
    """Return a proxy that is not yet started.

    Parameters
    ----------
    target : (str, int)
        Address and port that connections are forwarded to.
    address : str, default="127.0.0.1"
        IP address to listen on; the port is a free one.

    Returns
    -------
    Proxy
    """
    return Proxy(address, target)
