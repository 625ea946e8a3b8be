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
        self._answered = False

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

    def own(self, request_id, names):
        """Return which answer is that of the request that was begun last.

        Parameters
        ----------
        request_id : str
            Identity of the request; empty if it has none.
        names : sequence of (str or None)
            Identities that the answers name, in the order in which they arrived.

        Returns
        -------
        int or None
        """
        first = not self._answered
        self._answered = self._answered or bool(names)
        if request_id and request_id in names:
            return names.index(request_id)
        # Later ones may answer an earlier request or nothing, refusals too.
        return 0 if first and names and not names[0] else None

    def close(self):
        """Close it."""
        self.sock.close()
