"""What the kernel holds of a response for a caller: how much was read, and its limit.

The kernel goes on sending what it holds after the end of the process.
"""

import socket
import struct
from contextlib import suppress

__all__ = ["acknowledged_bytes", "enlarge_send_buffer", "limit_unsent_bytes"]

MAX_UNSENT_BYTES = 128 * 1024  # in the kernel, for each connection of a server
NO_UNSENT_LIMIT = 2**31 - 1
# In the kernel's `struct tcp_info`, since Linux 4.1.
ACKNOWLEDGED_OFFSET = 120
TCP_INFO_BYTES = 128


def limit_unsent_bytes(sock):
    """Limit the bytes of responses that the kernel holds for a connection.

    Responses that nobody reads would take some MB of the machine's memory each, beside
    that of the process.

    Parameters
    ----------
    sock : socket.socket
        A TCP socket.
    """
    option = socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT
    sock.setsockopt(*option, MAX_UNSENT_BYTES)


def acknowledged_bytes(sock):
    """Return how many bytes the peer of a connection has acknowledged so far.

    Parameters
    ----------
    sock : socket.socket
        A TCP socket.

    Returns
    -------
    int or None
        None if the kernel doesn't tell.
    """
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
    except OSError:
        return None
    if len(info) < TCP_INFO_BYTES:
        return None
    return struct.unpack_from("Q", info, ACKNOWLEDGED_OFFSET)[0] or None


def enlarge_send_buffer(sock, size):
    """Let the kernel hold as much of a response as the system allows.

    Parameters
    ----------
    sock : socket.socket
        A TCP socket.
    size : int
        Bytes that are to be held.
    """
    option = socket.SOL_SOCKET, socket.SO_SNDBUF
    with suppress(OSError), socket.socket() as probe:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT, NO_UNSENT_LIMIT)
        # A fixed size also ends the growth of a buffer, which may be larger by now.
        probe.setsockopt(*option, size)
        if probe.getsockopt(*option) > sock.getsockopt(*option):
            sock.setsockopt(*option, size)
