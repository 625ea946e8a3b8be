"""Checks of responses that the HTTP library leaves to its users."""

import errno
import fcntl
import math
import re
import socket
import struct
import termios
import time

import gevent
from geventhttpclient.response import HTTPParseError, HTTPResponse

__all__ = ["StrictResponse", "is_closed_in_order"]

STATUSES = range(100, 600)
MAX_FIELDS = 256  # of a head, with trailers; each takes far more memory than its bytes
FIELD_NAME_PATTERN = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]*")  # RFC 9110, token
CLOSE_WAIT = 8  # state in tcp_info: the peer has sent FIN, and neither side a reset
UNKNOWN_STATE = 0  # of systems that don't tell it; no state has this number
ACKNOWLEDGEMENT_POLL_S = 0.005


class StrictResponse(HTTPResponse):
    """Parser that rejects heads which the library accepts.

    The library accepts each status of three digits. It rejects blanks and control bytes
    in the names of fields; the check here doesn't depend on its leniency settings.
    """

    def _on_headers_complete(self):
        status = self.get_code()
        if status not in STATUSES:
            raise HTTPParseError(f"status out of range: {status}")
        result = super()._on_headers_complete()
        # Else the library ignores each error in bytes that follow the head of a
        # response to HEAD, also if that was an interim one.
        self._message_ended_in_skip_body = False
        return result

    def _on_header_field(self, string):
        if not FIELD_NAME_PATTERN.fullmatch(string):
            raise HTTPParseError(f"not the name of a field: {string[:40]!r}")
        super()._on_header_field(string)
        if self._header_position > MAX_FIELDS:
            raise HTTPParseError(f"more than {MAX_FIELDS} fields")

    def _on_message_begin(self):
        super()._on_message_begin()
        self._header_position = 1


def is_closed_in_order(sock, is_sent=None, timeout_s=None):
    """Return whether a connection ended by FIN, after the peer got the whole request.

    To be called at the end of the stream. That alone doesn't tell a close from a reset:
    the error of a reset is reported once, to whichever task reads or writes first. A
    peer that closes while a request arrives sends a reset, but maybe after a FIN. So
    this waits until the peer has acknowledged the request. On a system that doesn't
    tell the state of a connection, only a pending error tells of a reset; the caller
    has to know of an error that was reported to the task which writes.

    Parameters
    ----------
    sock : gevent.socket.socket
        The connection.
    is_sent : callable, default=None
        Returns whether the writing of the request has ended; None if it has.
    timeout_s : float, default=None
        Seconds to wait at most; None waits until the task's own time-out.

    Returns
    -------
    bool
        False also if the time is over.
    """
    deadline = time.monotonic() + (math.inf if timeout_s is None else timeout_s)
    while (state := _tcp_state(sock)) in (CLOSE_WAIT, UNKNOWN_STATE):
        if (is_sent is None or is_sent()) and not _unacknowledged_bytes(sock):
            if state == UNKNOWN_STATE:
                return not sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            # A reset may have come between the two calls.
            return _tcp_state(sock) == CLOSE_WAIT
        if time.monotonic() >= deadline:
            return False
        gevent.sleep(ACKNOWLEDGEMENT_POLL_S)
    return False


def _tcp_state(sock):
    try:
        return sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0]
    except OSError as exc:
        if exc.errno == errno.EBADF:
            raise
        return UNKNOWN_STATE


def _unacknowledged_bytes(sock):
    try:
        size = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(4))
    except OSError as exc:
        if exc.errno == errno.EBADF:
            raise
        return 0
    return struct.unpack("i", size)[0]
