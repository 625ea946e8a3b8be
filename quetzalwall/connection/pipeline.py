"""Order of the requests that a caller sends ahead on one connection.

HTTP/1.1 allows a caller to send requests before the earlier ones were answered, if the
responses follow in the order of the requests. This module decides which requests may
run, which wait and which response is the last. It needs no network.
"""

from collections import deque
from enum import Enum

__all__ = ["Admission", "Pipeline", "create_pipeline"]

MAX_RUNNING = 16  # requests of one connection
# Of responses of one connection that wait their turn. They count in the memory budget;
# fewer bytes let those behind a slow reader miss their deadlines.
MAX_WAITING_BYTES = 2 * 1024 * 1024


class Admission(Enum):
    """What happens to the next request of a connection."""

    START = "start"
    WAIT = "wait"
    DROP = "drop"


class Pipeline:
    """Requests of one connection whose responses have not been sent.

    Parameters
    ----------
    max_running : int
        Maximum number of requests that run side by side.

    Attributes
    ----------
    running : collections.deque
        The requests that were started, in order.
    closing : bool
        Whether no further request is started, so that the response of the last one
        that was started closes the connection.
    broken : bool
        Whether a response was not sent completely, so that none can follow it.
    """

    __slots__ = ("_exclusive", "_max_running", "broken", "closing", "running")

    def __init__(self, max_running):
        self.running = deque()
        self.closing = False
        self.broken = False
        self._exclusive = None  # the request that runs alone
        self._max_running = max_running

    def admit(self, parallel, waiting_bytes=0):
        """Return what happens to the next request.

        Parameters
        ----------
        parallel : bool
            Whether the request may run beside others.
        waiting_bytes : int, default=0
            Bytes of responses that wait their turn.

        Returns
        -------
        Admission
        """
        if self.closing or self.broken:
            return Admission.DROP
        if not self.running:
            return Admission.START
        if not parallel or self._exclusive is not None:
            return Admission.WAIT
        if len(self.running) >= self._max_running:
            return Admission.WAIT
        if waiting_bytes >= MAX_WAITING_BYTES:
            return Admission.WAIT
        return Admission.START

    def start(self, request, parallel):
        """Record that a request was started.

        Parameters
        ----------
        request : object
            Identity of the request.
        parallel : bool
            Whether others may run beside it.
        """
        self.running.append(request)
        if not parallel:
            self._exclusive = request

    def is_next(self, request):
        """Return whether all responses before that of a request have been sent.

        Parameters
        ----------
        request : object
            Identity of the request.

        Returns
        -------
        bool
        """
        return bool(self.running) and self.running[0] is request

    def is_last(self, request, wants_close):
        """Return whether the response of a request closes the connection.

        Requests that run behind it are answered first. A connection that is to be
        closed starts no further request.

        Parameters
        ----------
        request : object
            Identity of the request.
        wants_close : bool
            Whether the connection is to be closed behind this response.

        Returns
        -------
        bool
        """
        self.closing |= wants_close
        return self.closing and self.running[-1] is request

    def finish(self, request, complete):
        """Record the end of a request.

        Parameters
        ----------
        request : object
            Identity of the request.
        complete : bool
            Whether its response was sent completely.
        """
        self.running.remove(request)
        if self._exclusive is request:
            self._exclusive = None
        self.broken |= not complete


def create_pipeline(max_running=MAX_RUNNING):
    """Return the order of a connection without requests.

    Parameters
    ----------
    max_running : int, default=MAX_RUNNING
        As of `Pipeline`.

    Returns
    -------
    Pipeline
    """
    return Pipeline(max_running)
