"""Parse all that an endpoint sends on one connection, one answer after the other."""

from typing import NamedTuple

from geventhttpclient.header import Headers
from geventhttpclient.response import HTTPParseError, HTTPResponse

from quetzalwall.connection.yielding_socket import MOST_HEAD_BYTES

__all__ = ["AnswerParser", "ParsedAnswer"]

LOWEST_FINAL_STATUS = 200
CODING = "transfer-encoding"
MOST_FRAMING = 8  # bytes of chunked framing for each byte of a body in tiny chunks


class ParsedAnswer(NamedTuple):
    """A complete answer.

    Attributes
    ----------
    status : int
        HTTP status.
    headers : list of (str, str)
        Its headers, without trailers.
    body : bytes
        Its whole body.
    reusable : bool
        Whether the connection may carry another request.
    """

    status: int
    headers: list
    body: bytes
    reusable: bool


class AnswerParser(HTTPResponse):
    """Parser that collects complete answers.

    An endpoint may send a second answer, or one to an earlier request, so that the
    answers on a connection are told apart by the request that they name.

    Parameters
    ----------
    method : str
        Method of the request.

    Attributes
    ----------
    answers : list of ParsedAnswer
        Complete answers in the order of their arrival.
    received : int
        Bytes so far.
    """

    def __init__(self, method):
        super().__init__(method, headers_type=Headers)
        self.answers = []
        self.received = 0
        self._body_bytes = 0
        self._head = []

    def feed(self, data):
        """Parse bytes from the connection.

        Parameters
        ----------
        data : bytes
            Empty at the end of the connection.

        Raises
        ------
        HTTPParseError
            The bytes are no answer, and no complete one came before them.
        """
        self.received += len(data)
        known = len(self.answers)
        try:
            super().feed(data)
        except HTTPParseError:
            if len(self.answers) == known:
                raise
            self.answers = [answer._replace(reusable=False) for answer in self.answers]

    def overlong(self):
        """Return whether there is more beside bodies than any answer needs.

        Returns
        -------
        bool
        """
        beside = self.received - self._body_bytes
        return beside > MOST_HEAD_BYTES + MOST_FRAMING * self._body_bytes

    def clean(self):
        """Return whether nothing has begun after the last complete answer.

        Returns
        -------
        bool
        """
        return self.message_complete and not self.parser_failed()

    def _on_body(self, buf):
        self._body_bytes += len(buf)
        super()._on_body(buf)

    def _on_headers_complete(self):
        result = super()._on_headers_complete()
        # Trailers come behind the body and speak of it, not of the request.
        self._head = [(str(name), str(value)) for name, value in self.items()]
        codings = [value for name, value in self._head if name.lower() == CODING]
        if any(value.strip().lower() != "chunked" for value in codings):
            raise HTTPParseError(f"body in an unknown coding: {codings}")
        return result

    def _on_message_complete(self):
        super()._on_message_complete()
        status = self.get_code()
        body, self._body_buffer = bytes(self._body_buffer), bytearray()
        if status >= LOWEST_FINAL_STATUS:
            self.answers.append(
                ParsedAnswer(status, self._head, body, bool(self.should_keep_alive()))
            )
