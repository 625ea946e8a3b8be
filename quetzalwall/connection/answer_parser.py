"""Parse all that an endpoint sends on one connection, one answer after the other."""

from typing import NamedTuple

from geventhttpclient.header import Headers
from geventhttpclient.response import HTTPParseError, HTTPResponse

__all__ = ["AnswerParser", "ParsedAnswer"]

LOWEST_FINAL_STATUS = 200


class ParsedAnswer(NamedTuple):
    """A complete answer.

    Attributes
    ----------
    status : int
        HTTP status.
    headers : list of (str, str)
        Its headers.
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
    """

    def __init__(self, method):
        super().__init__(method, headers_type=Headers)
        self.answers = []
        self.received = 0

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

    def clean(self):
        """Return whether nothing has begun after the last complete answer.

        Returns
        -------
        bool
        """
        return self.message_complete and not self.parser_failed()

    def _on_message_complete(self):
        super()._on_message_complete()
        status = self.get_code()
        body, self._body_buffer = bytes(self._body_buffer), bytearray()
        if status >= LOWEST_FINAL_STATUS:
            headers = [(str(name), str(value)) for name, value in self.items()]
            self.answers.append(
                ParsedAnswer(status, headers, body, bool(self.should_keep_alive()))
            )
