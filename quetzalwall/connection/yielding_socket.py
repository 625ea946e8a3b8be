"""TCP sockets whose reads let other tasks run, and limits on what is no body.

A read of gevent returns at once while bytes wait. A peer that sends faster than its
bytes are parsed would so hold the event loop, and with it every timer: no deadline,
health answer or signal. All TCP connections are of this kind.
"""

import gevent
import gevent.socket

__all__ = ["MOST_HEAD_BYTES", "YIELD_SLEEP_S", "FairSocket"]

SHARE_BYTES = 64 * 1024  # read before other tasks run
YIELD_SLEEP_S = 0.0001  # gevent runs up to 50 tasks that sleep for 0 before any timer
MOST_HEAD_BYTES = 128 * 1024  # heads, interim and foreign answers; common servers: 8 KB


class FairSocket(gevent.socket.socket):
    """Socket that lets other tasks run after each share of what it has read."""

    _unshared = 0

    def recv(self, *args):
        """Read what waits, as `socket.socket.recv` does.

        Parameters
        ----------
        *args
            Most bytes to read, and flags.

        Returns
        -------
        bytes
        """
        self._share()
        data = super().recv(*args)
        self._unshared += len(data)
        return data

    def recv_into(self, *args):
        """Read what waits into a buffer, as `socket.socket.recv_into` does.

        Parameters
        ----------
        *args
            The buffer, most bytes to read, and flags.

        Returns
        -------
        int
        """
        self._share()
        size = super().recv_into(*args)
        self._unshared += size
        return size

    def _share(self):
        if self._unshared >= SHARE_BYTES:
            self._unshared = 0
            gevent.sleep(YIELD_SLEEP_S)
