"""A connection to an endpoint, and which of its answers belongs to a request.

Endpoints in trouble write answers more than once. Only an answer that is proved to be
a request's own tells what became of it: it names the request on a connection that has
not carried that name before, or it names none and is the first on its connection.
"""

from collections import deque

__all__ = ["EndpointConnection"]

RECENT = 16  # callers name each request anew, so that few are worth their memory


class EndpointConnection:
    """A connection to an endpoint.

    Parameters
    ----------
    sock : FairSocket
        The open connection.

    Attributes
    ----------
    sock : FairSocket
        The open connection.
    """

    def __init__(self, sock):
        self.sock = sock
        self._recent = deque(maxlen=RECENT)

    @property
    def fresh(self):
        """Whether it has carried no request yet."""
        return not self._recent

    def fits(self, request_id):
        """Return whether an answer could be told to be that of a request.

        Parameters
        ----------
        request_id : str
            Identity of the request; empty if it has none.

        Returns
        -------
        bool
        """
        return self.fresh or (request_id != "" and request_id not in self._recent)

    def begin(self, request_id):
        """Note that a request is about to be sent.

        Parameters
        ----------
        request_id : str
            Identity of the request; empty if it has none.
        """
        self._recent.append(request_id)

    def is_own(self, request_id, named):
        """Return whether an answer is that of the request that was begun last.

        Parameters
        ----------
        request_id : str
            Identity of the request; empty if it has none.
        named : str or None
            Identity that the answer names.

        Returns
        -------
        bool
        """
        if not named:
            # On a kept connection it may answer an earlier request, a refusal too.
            return len(self._recent) == 1
        return named == request_id

    def close(self):
        """Close it."""
        self.sock.close()
