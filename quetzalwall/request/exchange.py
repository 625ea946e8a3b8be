"""One exchange with one endpoint: send, read, free the slot."""

from typing import NamedTuple

import gevent

from quetzalwall.exceptions import (
    EndpointError,
    IncompleteAnswer,
    NotRun,
    OutcomeUnknown,
)

__all__ = ["BUFFER_BYTES", "AnswerBody", "Exchange", "FinishedAnswer"]

BUFFER_BYTES = 64 * 1024  # answers up to this length are read before one is passed on


class FinishedAnswer(NamedTuple):
    """An answer of which the beginning, or all, has been read.

    Attributes
    ----------
    status : int
        HTTP status.
    headers : list of (str, str)
        Headers to pass on.
    length : int or None
        Declared length, or the true one if all was read; None if not known.
    start : bytes
        The bytes read.
    rest : iterable of bytes or None
        The blocks that follow; None if all was read.
    """

    status: int
    headers: list
    length: int | None
    start: bytes
    rest: object


class Exchange:
    """A granted request on its way.

    Parameters
    ----------
    grant : Grant
        The slot.
    endpoint : EndpointClient
        The endpoint.
    admission : Admission
        To which the slot returns.
    clock : Clock
        Source of time.
    throttle : callable
        Waits until so many bytes may cross the link to the endpoint.
    """

    def __init__(self, grant, endpoint, admission, clock, throttle):
        self.grant = grant
        self._endpoint = endpoint
        self._admission = admission
        self._clock = clock
        self._throttle = throttle
        self._ended = False
        self._sent = False
        self._answer = None

    def run(self, req):
        """Send the request and read the answer, whole if it is short.

        Parameters
        ----------
        req : EndpointRequest
            The request.

        Returns
        -------
        FinishedAnswer

        Raises
        ------
        EndpointError
            No answer, or none that is whole.
        """
        timeout = gevent.Timeout(self._left_s(req))
        timeout.start()
        try:
            self._answer = self._send(req)
            start = self._read_start()
        except EndpointError:
            self._end(answered=False)
            raise
        except gevent.Timeout as exc:
            self._cancel()
            if exc is not timeout:
                raise
            raise self._late_error() from exc
        except BaseException:
            self._cancel()
            raise
        finally:
            timeout.close()
        return self._finished(start, req)

    def cancel(self):
        """Close the connection; the answer is no longer of use."""
        self._cancel()

    def next_block(self, req):
        """Return the next block of the body; empty at the end.

        Parameters
        ----------
        req : EndpointRequest
            The request.

        Returns
        -------
        bytes

        Raises
        ------
        IncompleteAnswer
            The answer ended before its declared end or the deadline passed.
        """
        late = IncompleteAnswer("deadline passed", "read body", self.grant.endpoint)
        try:
            with gevent.Timeout(self._left_s(req), late):
                block = self._endpoint.read_block(self._answer)
                self._throttle(len(block))
        except BaseException:
            self._cancel()
            raise
        if not block:
            self._end(answered=True)
        return block

    def _finished(self, start, req):
        answer = self._answer
        if answer.response.at_end():
            self._end(answered=True)
            return FinishedAnswer(
                answer.status, answer.headers, len(start), start, None
            )
        rest = AnswerBody(self, req)
        return FinishedAnswer(answer.status, answer.headers, answer.length, start, rest)

    def _send(self, req):
        if req.body.whole is None:
            body = req.body.blocks(self._throttle)
        else:
            body = req.body.whole
            self._throttle(len(body))
        return self._endpoint.send(req, body, before_send=self._mark_sent)

    def _read_start(self):
        blocks = []
        size = 0
        while size < BUFFER_BYTES:
            block = self._endpoint.read_block(self._answer)
            if not block:
                break
            self._throttle(len(block))
            blocks.append(block)
            size += len(block)
        return b"".join(blocks)

    def _mark_sent(self):
        self._sent = True

    def _left_s(self, req):
        return max(0.001, req.deadline - self._clock.monotonic())

    def _late_error(self):
        peer = self.grant.endpoint
        if self._sent:
            return OutcomeUnknown("no answer by the deadline", "wait", peer)
        return NotRun("no connection by the deadline", "connect", peer)

    def _end(self, answered):
        if not self._ended:
            self._ended = True
            if not answered and self._answer is not None:
                self._answer.response.discard()
            self._admission.finish(self.grant, answered)

    def _cancel(self):
        if not self._ended:
            self._ended = True
            if self._answer is not None:
                self._answer.response.discard()
            self._admission.cancel(self.grant)


class AnswerBody:
    """The rest of a long answer, block by block.

    It must be closed, also when it is never read, so that the slot becomes free.

    Parameters
    ----------
    exchange : Exchange
        The exchange that the answer belongs to.
    req : EndpointRequest
        The request.
    """

    def __init__(self, exchange, req):
        self._exchange = exchange
        self._req = req

    def __iter__(self):
        return self

    def __next__(self):
        block = self._exchange.next_block(self._req)
        if not block:
            raise StopIteration
        return block

    def close(self):
        """Cancel the exchange if it has not ended."""
        self._exchange.cancel()
