"""Limit on what a request body contains besides its data, and on what is dropped."""

import gevent

__all__ = ["BoundedBody"]

MAX_FRAMING_BYTES = 24 * 1024  # chunk extensions and trailers of a request
# The library reads framing byte by byte. What exceeds this is read with pauses, so that
# some hundred callers that send only framing don't use all processor time.
FREE_FRAMING_BYTES = 4 * 1024
PAUSE_PER_BYTES = 1024
PAUSE_S = 0.1
MAX_FRAMING_RATIO = 8  # bytes of framing per byte of body, if sent in tiny chunks
MAX_DROPPED_BYTES = 64 * 1024 * 1024  # of a body that is read after its response


class BoundedBody:
    """Reader of a connection for the library's input of one request body.

    Beyond a limit it returns the end of the stream, which the library takes for
    malformed input.

    Parameters
    ----------
    body_input : gevent.pywsgi.Input
        Input that reads from it.
    rfile : io.BufferedReader
        Reads from the connection.
    on_exceeded : callable
        Called when a limit is exceeded; must cause the connection to be closed.
    """

    __slots__ = ("_data_bytes", "_framing_bytes", "_input", "_max_data_bytes")
    __slots__ += ("_on_exceeded", "_rfile")

    def __init__(self, body_input, rfile, on_exceeded):
        self._input = body_input
        self._rfile = rfile
        self._on_exceeded = on_exceeded
        self._data_bytes = self._framing_bytes = 0
        self._max_data_bytes = None

    def limit_rest(self, size=MAX_DROPPED_BYTES):
        """Limit the data that is read from now on.

        Parameters
        ----------
        size : int, default=MAX_DROPPED_BYTES
            Number of bytes.
        """
        self._max_data_bytes = self._data_bytes + size

    def read(self, size):
        """Read as from a file.

        Parameters
        ----------
        size : int
            Maximum number of bytes.

        Returns
        -------
        bytes
        """
        if self._exceeds():
            self._on_exceeded()
            return b""
        data = self._rfile.read(size)
        body = self._input
        if body.chunked_input and body.position >= body.chunk_length:
            self._framing_bytes += len(data)
            free = FREE_FRAMING_BYTES + MAX_FRAMING_RATIO * self._data_bytes
            if self._framing_bytes > free and not self._framing_bytes % PAUSE_PER_BYTES:
                gevent.sleep(PAUSE_S)
        else:
            self._data_bytes += len(data)
        return data

    def readline(self, size):
        """Read a line of the data.

        Parameters
        ----------
        size : int
            Maximum number of bytes.

        Returns
        -------
        bytes
        """
        data = self._rfile.readline(size)
        self._data_bytes += len(data)
        return data

    def _exceeds(self):
        allowed = MAX_FRAMING_BYTES + MAX_FRAMING_RATIO * self._data_bytes
        if self._framing_bytes >= allowed:
            return True
        limit = self._max_data_bytes
        return limit is not None and self._data_bytes >= limit
