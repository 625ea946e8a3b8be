"""Parser of the HTTP responses that an endpoint sends on one connection."""

from typing import NamedTuple

from geventhttpclient.header import Headers
from geventhttpclient.response import HTTPParseError

from quetzalwall.connection.response_checks import StrictResponse
from quetzalwall.connection.yielding_socket import MAX_HEAD_BYTES

__all__ = ["ResponseParser", "ParsedResponse"]

MIN_FINAL_STATUS = 200
TRANSFER_ENCODING = "transfer-encoding"
MAX_FRAMING_RATIO = 8  # bytes of framing per byte of body, if sent in tiny chunks


class ParsedResponse(NamedTuple):
    """A complete response.

    Attributes
    ----------
    status : int
        HTTP status.
    headers : list of (str, str)
        Headers, without trailers.
    body : bytes
        The complete body.
    reusable : bool
        Whether the connection may carry another request.
    """

    status: int
    headers: list
    body: bytes
    reusable: bool


class ResponseParser(StrictResponse):
    """Parser that collects complete responses.

    An endpoint may send a second response, or a late one to an earlier request. All are
    collected, and `EndpointConnection.match_response` selects one by the request that
    it names.

    Parameters
    ----------
    method : str
        Method of the request.

    Attributes
    ----------
    responses : list of ParsedResponse
        Complete responses in the order of their arrival.
    received_bytes : int
        Bytes received so far.
    """

    def __init__(self, method):
        super().__init__(method, headers_type=Headers)
        self.responses = []
        self.received_bytes = 0
        self._body_bytes = 0
        self._final_headers = []

    def feed(self, data):
        """Parse bytes from the connection.

        Parameters
        ----------
        data : bytes
            Empty at the end of the connection.

        Raises
        ------
        HTTPParseError
            The bytes are no valid response, and no complete response precedes them.
        """
        self.received_bytes += len(data)
        complete = len(self.responses)
        try:
            super().feed(data)
        except HTTPParseError:
            if len(self.responses) == complete:
                raise
            self.responses = [
                response._replace(reusable=False) for response in self.responses
            ]

    def discard(self):
        """Free the memory of everything that was received."""
        self.responses = []
        self._final_headers = []
        self._headers_index.clear()
        self._body_buffer = bytearray()

    def exceeds_overhead(self):
        """Return whether heads and framing are longer than any response needs.

        Returns
        -------
        bool
        """
        overhead = self.received_bytes - self._body_bytes
        return overhead > MAX_HEAD_BYTES + MAX_FRAMING_RATIO * self._body_bytes

    def between_responses(self):
        """Return whether the last response is complete and no other has begun.

        Returns
        -------
        bool
        """
        return self.message_complete and not self.parser_failed()

    def unfinished_head(self):
        """Return the response whose head has arrived completely, but not its body.

        Returns
        -------
        ParsedResponse or None
            Without a body; None if there is no such response.
        """
        status = self.get_code() if self.headers_complete else 0
        if self.message_complete or status < MIN_FINAL_STATUS:
            return None
        return ParsedResponse(status, self._final_headers, b"", False)

    def _on_body(self, buf):
        self._body_bytes += len(buf)
        super()._on_body(buf)

    def _on_headers_complete(self):
        result = super()._on_headers_complete()
        # Copied before the body, as trailers describe the body, not the request.
        self._final_headers = [(str(name), str(value)) for name, value in self.items()]
        codings = [
            value
            for name, value in self._final_headers
            if name.lower() == TRANSFER_ENCODING
        ]
        if any(value.strip().lower() != "chunked" for value in codings):
            raise HTTPParseError(f"body in an unknown coding: {codings}")
        return result

    def _on_message_complete(self):
        super()._on_message_complete()
        status = self.get_code()
        body, self._body_buffer = bytes(self._body_buffer), bytearray()
        if status >= MIN_FINAL_STATUS:
            self.responses.append(
                ParsedResponse(
                    status, self._final_headers, body, bool(self.should_keep_alive())
                )
            )
