"""TCP sockets whose reads let other tasks run, and limits on what is no body.

A read of gevent returns at once while bytes wait. A peer that sends faster than its
bytes are parsed would so hold the event loop, and with it every timer: no deadline,
health answer or signal. The sockets of all clients come from here.
"""

import gevent
import gevent.socket

from quetzalwall.connection.nodelay import set_nodelay

__all__ = ["MOST_HEAD_BYTES", "FairSocket", "connect"]

SHARE_BYTES = 64 * 1024  # read before other tasks run
SHARE_PAUSE_S = 0.0001  # gevent runs up to 50 tasks that sleep for 0 before any timer
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
        if self._unshared >= SHARE_BYTES:
            self._unshared = 0
            gevent.sleep(SHARE_PAUSE_S)
        data = super().recv(*args)
        self._unshared += len(data)
        return data


def connect(place, timeout_s):
    """Return a connection without Nagle's algorithm and without a time limit.

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
        Nobody accepts it in time.
    """
    sock = FairSocket(gevent.socket.AF_INET, gevent.socket.SOCK_STREAM)
    try:
        sock.settimeout(timeout_s)
        sock.connect(place)
        set_nodelay(sock)
        sock.settimeout(None)
    except BaseException:
        sock.close()
        raise
    return sock
