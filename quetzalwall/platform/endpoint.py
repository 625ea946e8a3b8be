"""Requests to endpoints over HTTP.

An endpoint gets the request's identifier and the milliseconds left until its deadline,
after which it stops working on it. It echoes the identifier, and marks an answer that
means "not run" with a header.
"""

from typing import NamedTuple

from geventhttpclient.response import HTTPParseError

from quetzalwall.connection.single_attempt import SentRequest, create_client
from quetzalwall.exceptions import IncompleteAnswer, NotRun

__all__ = ["EndpointAnswer", "EndpointClient", "EndpointRequest", "create_endpoint"]

DEADLINE_HEADER = "X-Deadline-Ms"
NOT_RUN_HEADER = "X-Not-Run"
KEY_HEADER = "Idempotency-Key"
HOP_HEADERS = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "host",
        "expect",
        "x-request-id",
        "x-deadline-ms",
        "x-not-run",
    )
)
BODYLESS_STATUS = (204, 304)
MIN_LEFT_S = 0.001


class EndpointRequest(NamedTuple):
    """A request for an endpoint.

    Attributes
    ----------
    request_id : str
        Identifier to be echoed.
    method, target : str
        HTTP method, and path with query.
    headers : dict of str to str
        The caller's headers.
    body : CallerBody
        The body; its length is None if it is sent chunked.
    deadline : float
        Monotonic seconds after which the endpoint must have stopped.
    """

    request_id: str
    method: str
    target: str
    headers: dict
    body: object
    deadline: float


class EndpointAnswer(NamedTuple):
    """The beginning of an endpoint's answer.

    Attributes
    ----------
    status : int
        HTTP status.
    headers : list of (str, str)
        Headers to pass on.
    length : int or None
        Declared length; None if chunked.
    response : CheckedResponse
        From which `read_block` takes the body.
    """

    status: int
    headers: list
    length: int | None
    response: object


class EndpointClient:
    """Client of one endpoint.

    Parameters
    ----------
    name : str
        Name of the endpoint.
    host : str
        IP number.
    port : int
        TCP port.
    clock : Clock
        Source of time.
    connections : int, default=64
        Connections of this instance at most.
    """

    def __init__(self, name, host, port, clock, connections=64):
        self.name = name
        self.place = (host, port)
        self._clock = clock
        self._client = create_client(host, port, name, size=connections)

    def send(self, req, body, before_send=None):
        """Send a request once and return the beginning of the answer.

        Parameters
        ----------
        req : EndpointRequest
            The request.
        body : bytes or iterator of bytes
            The whole body, or its blocks in order.
        before_send : callable, default=None
            Called just before the first byte leaves.

        Returns
        -------
        EndpointAnswer

        Raises
        ------
        NotRun
            Nothing was sent, or the endpoint said that it did not run the request.
        OutcomeUnknown
            Something was sent and no answer arrived.
        """
        headers = {k: v for k, v in req.headers.items() if k.lower() not in HOP_HEADERS}
        left_s = req.deadline - self._clock.monotonic()
        headers[DEADLINE_HEADER] = str(max(0, int(left_s * 1000)))
        sent = SentRequest(
            req.method,
            req.target,
            headers,
            body=body,
            length=req.body.length,
            request_id=req.request_id,
        )

        def last_check():
            # A paused process may resume here long after the decision was made.
            if self._clock.monotonic() >= req.deadline - MIN_LEFT_S:
                raise NotRun("deadline passed before sending", "send", self.name)
            if before_send is not None:
                before_send()

        res = self._client.send(sent, max(MIN_LEFT_S, left_s), last_check)
        return self._accept(res, req.method)

    def close(self):
        """Close all connections."""
        self._client.close()

    def _accept(self, res, method):
        if res.get(NOT_RUN_HEADER) is not None:
            res.discard()
            raise NotRun("endpoint did not run the request", "endpoint", self.name)
        status = res.status_code
        chunked = "chunked" in str(res.get("transfer-encoding", "")).lower()
        empty = method == "HEAD" or status in BODYLESS_STATUS
        if not chunked and not empty and res.content_length is None:
            res.discard()
            raise IncompleteAnswer("answer has no length", "read head", self.name)
        headers = [(k, v) for k, v in res.items() if k.lower() not in HOP_HEADERS]
        length = 0 if empty else res.content_length
        return EndpointAnswer(status, headers, None if chunked else length, res)

    def read_block(self, answer):
        """Return the next bytes of an answer's body.

        Parameters
        ----------
        answer : EndpointAnswer
            From `send`.

        Returns
        -------
        bytes
            Empty at the end.

        Raises
        ------
        IncompleteAnswer
            The answer ended before its declared end.
        """
        try:
            block = answer.response.read_some()
        except (OSError, HTTPParseError) as exc:
            raise IncompleteAnswer(str(exc), "read body", self.name) from exc
        if not block and not answer.response.message_complete:
            raise IncompleteAnswer("answer was cut", "read body", self.name)
        return block


def create_endpoint(name, host, port, clock, connections=64):
    """Return a client of one endpoint.

    Parameters
    ----------
    name : str
        Name of the endpoint.
    host : str
        IP number.
    port : int
        TCP port.
    clock : Clock
        Source of time.
    connections : int, default=64
        Connections of this instance at most.

    Returns
    -------
    EndpointClient
    """
    return EndpointClient(name, host, port, clock, connections=connections)
