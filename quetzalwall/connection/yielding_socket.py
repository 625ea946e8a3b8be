"""TCP sockets whose reads yield to other tasks, and the limit on HTTP heads.

A gevent read returns without yielding while bytes are buffered. A peer that sends
faster than its bytes are parsed would block the event loop: no deadline, health check
or signal would be handled. All TCP connections use these sockets.
"""

import gevent
import gevent.socket

__all__ = ["MAX_HEAD_BYTES", "YIELD_SLEEP_S", "YieldingSocket"]

YIELD_AFTER_BYTES = 64 * 1024
YIELD_SLEEP_S = 0.0001  # gevent runs up to 50 tasks that sleep for 0 before any timer
# Heads, interim responses and responses to other requests; common servers allow 8 KB.
MAX_HEAD_BYTES = 128 * 1024


class YieldingSocket(gevent.socket.socket):
    """Socket that yields to other tasks once per `YIELD_AFTER_BYTES` read.

    After the end of the stream it yields before each further read.
    """

    _bytes_since_yield = 0

    def recv(self, *args):
        """Read bytes, as `socket.socket.recv` does.

        Parameters
        ----------
        *args
            Maximum number of bytes, and flags.

        Returns
        -------
        bytes
        """
        self._yield_if_due()
        data = super().recv(*args)
        self._bytes_since_yield += len(data) or YIELD_AFTER_BYTES
        return data

    def recv_into(self, *args):
        """Read bytes into a buffer, as `socket.socket.recv_into` does.

        Parameters
        ----------
        *args
            The buffer, maximum number of bytes, and flags.

        Returns
        -------
        int
        """
        self._yield_if_due()
        size = super().recv_into(*args)
        self._bytes_since_yield += size or YIELD_AFTER_BYTES
        return size

    def _yield_if_due(self):
        if self._bytes_since_yield >= YIELD_AFTER_BYTES:
            self._bytes_since_yield = 0
            gevent.sleep(YIELD_SLEEP_S)
