"""A connection to an endpoint, and the matching of responses to requests on it.

A faulty endpoint may respond more than once. A response is matched to a request only
if it names the request and the connection has not carried that identifier before, or
if it names none and is the first on its connection.
"""

from collections import deque

__all__ = ["EndpointConnection"]

MAX_RECENT_IDS = 16  # callers seldom reuse an identifier; more would waste memory


class EndpointConnection:
    """A connection to an endpoint.

    Parameters
    ----------
    sock : YieldingSocket
        The open connection.

    Attributes
    ----------
    sock : YieldingSocket
        The open connection.
    """

    def __init__(self, sock):
        self.sock = sock
        self._recent_ids = deque(maxlen=MAX_RECENT_IDS)
        self._response_seen = False

    @property
    def unused(self):
        """Whether the connection has not carried a request yet."""
        return not self._recent_ids

    def can_match(self, request_id):
        """Return whether a response to a request could be told from others.

        Parameters
        ----------
        request_id : str
            Identifier of the request; empty if it has none.

        Returns
        -------
        bool
        """
        return self.unused or (request_id != "" and request_id not in self._recent_ids)

    def record_request(self, request_id):
        """Record that a request is about to be sent.

        Parameters
        ----------
        request_id : str
            Identifier of the request; empty if it has none.
        """
        self._recent_ids.append(request_id)

    def match_response(self, request_id, response_ids):
        """Return the index of the response to the current request.

        Parameters
        ----------
        request_id : str
            Identifier of the request; empty if it has none.
        response_ids : sequence of (str or None)
            Request identifiers that the responses name, in the order of arrival.

        Returns
        -------
        int or None
            None if no response matches.
        """
        first = not self._response_seen
        self._response_seen = self._response_seen or bool(response_ids)
        if request_id and request_id in response_ids:
            return response_ids.index(request_id)
        # A later response without an identifier, also a rejection, may belong to an
        # earlier request or to none.
        return 0 if first and response_ids and not response_ids[0] else None

    def close(self):
        """Close the connection."""
        self.sock.close()
