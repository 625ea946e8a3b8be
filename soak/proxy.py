"""Proxy on loopback that delays, resets, cuts or silences connections."""

import gevent
import gevent.server
import gevent.socket

__all__ = ["Proxy", "create_proxy"]

BLOCK_BYTES = 64 * 1024
CONNECT_S = 2.0


class Proxy:
    """A proxy to one address.

    ``fault`` is "" (none), "silent" (nothing passes), "to" or "from" (nothing passes
    that way) or "refuse" (connections are closed at once).

    Parameters
    ----------
    address : str
        IP number to listen on.
    target : (str, int)
        Where connections lead.
    """

    def __init__(self, address, target):
        self.fault = ""
        self.delay_s = 0.0
        self._target = target
        self._pairs = set()
        self._silenced = set()
        self.server = gevent.server.StreamServer((address, 0), self._serve)

    @property
    def address(self):
        """IP number and port."""
        return self.server.address

    def start(self):
        """Begin service."""
        self.server.start()

    def close(self):
        """End service at once."""
        self.server.stop(timeout=0)
        self.reset()

    def reset(self):
        """Close all connections."""
        for pair in list(self._pairs):
            for sock in pair:
                sock.close()

    def stall_connections(self):
        """Let nothing pass on the open connections any more; new ones work."""
        self._silenced |= self._pairs

    def _serve(self, sock, address):
        if self.fault == "refuse":
            return
        try:
            onward = gevent.socket.create_connection(self._target, CONNECT_S)
        except OSError:
            return
        onward.settimeout(None)  # a wait for an answer has no end here
        pair = (sock, onward)
        self._pairs.add(pair)
        tasks = [
            gevent.spawn(self._copy, pair, sock, onward, "to"),
            gevent.spawn(self._copy, pair, onward, sock, "from"),
        ]
        gevent.joinall(tasks, count=1)
        gevent.killall(tasks)
        self._pairs.discard(pair)
        self._silenced.discard(pair)
        for one in pair:
            one.close()

    def _copy(self, pair, source, sink, way):
        try:
            while data := source.recv(BLOCK_BYTES):
                if self.delay_s:
                    gevent.sleep(self.delay_s)
                while self.fault in ("silent", way) or pair in self._silenced:
                    gevent.sleep(0.05)
                sink.sendall(data)
        except OSError:
            return


def create_proxy(target, address="127.0.0.1"):
    """Return a proxy that is not yet started.

    Parameters
    ----------
    target : (str, int)
        Where connections lead.
    address : str, default="127.0.0.1"
        IP number to listen on.

    Returns
    -------
    Proxy
    """
    return Proxy(address, target)
