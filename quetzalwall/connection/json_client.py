"""Client for calls between processes: JSON requests and responses over HTTP."""

from typing import NamedTuple

import gevent
import msgspec
from geventhttpclient.response import HTTPParseError

from quetzalwall.connection.compression import decompress
from quetzalwall.connection.single_attempt import OutgoingRequest, create_client
from quetzalwall.exceptions import EndpointError, PeerError

__all__ = ["JsonResponse", "JsonClient", "create_json_client"]

MAX_RESPONSE_BYTES = 4 * 1024 * 1024  # the store sends pages of 1 MB
MAX_DECODED_BYTES = 16 * 1024 * 1024  # of a compressed response
JSON_HEADERS = {"Content-Type": "application/json"}


class JsonResponse(NamedTuple):
    """Status code, decoded body, and the kept headers by lower-case name."""

    status: int
    body: object
    headers: dict = {}


class JsonClient:
    """Client of one peer, for JSON over HTTP.

    Parameters
    ----------
    host : str
        IP address of the peer.
    port : int
        TCP port of the peer.
    peer : str
        Name of the peer, for error messages.
    timeout_s : float, default=1.0
        Seconds that a complete call may take.
    size : int, default=8
        Maximum number of connections.
    kept_headers : frozenset of str, default=frozenset()
        Headers of responses to return, in lower case.

    Attributes
    ----------
    exchanged_bytes : int
        Length of all bodies sent and received so far.
    """

    def __init__(
        self, host, port, peer, timeout_s=1.0, size=8, kept_headers=frozenset()
    ):
        self.exchanged_bytes = 0
        self._kept_headers = kept_headers
        self.peer = peer
        self.timeout_s = timeout_s
        self._http = create_client(
            host, port, peer, connect_timeout_s=timeout_s, size=size
        )

    def call(self, method, target, body=None, headers=None, timeout_s=None):
        """Send one request and return the decoded response.

        Parameters
        ----------
        method : str
            HTTP method.
        target : str
            Path and query string.
        body : object, default=None
            Encoded as JSON; None sends no body.
        headers : dict, default=None
            Further headers.
        timeout_s : float, default=None
            Seconds that the complete call may take; the client's default if None.

        Returns
        -------
        JsonResponse

        Raises
        ------
        PeerError
            No complete JSON response arrived in time; the request may have taken
            effect.
        """
        limit_s = self.timeout_s if timeout_s is None else timeout_s
        data = b"" if body is None else msgspec.json.encode(body)
        req = OutgoingRequest(method, target, JSON_HEADERS | (headers or {}), data)
        timeout = gevent.Timeout(limit_s)
        timeout.start()
        try:
            return self._send(req, limit_s, target)
        except gevent.Timeout as exc:
            if exc is not timeout:
                raise
            # The cause of the time-out may have affected the idle connections too.
            self._http.close_idle()
            raise PeerError(f"no answer in {limit_s} s", target, self.peer) from exc
        finally:
            timeout.close()

    def close(self):
        """Close all connections."""
        self._http.close()

    def _send(self, req, limit_s, target):
        try:
            res = self._http.send(req, limit_s)
            raw = _read_bounded(res)
            self.exchanged_bytes += len(req.body) + len(raw)
            coding = str(res.get("content-encoding") or "")
            raw = decompress(raw, coding, MAX_DECODED_BYTES)
        except (EndpointError, HTTPParseError, OSError, ValueError) as exc:
            raise PeerError(str(exc), target, self.peer) from exc
        try:
            decoded = msgspec.json.decode(raw) if raw else None
            headers = {
                str(name).lower(): str(value)
                for name, value in res.items()
                if str(name).lower() in self._kept_headers
            }
            return JsonResponse(res.status_code, decoded, headers)
        except msgspec.DecodeError as exc:
            raise PeerError("answer is not JSON", target, self.peer) from exc


def _read_bounded(res):
    try:
        raw = res.read(MAX_RESPONSE_BYTES)
        if not res.message_complete:
            raise OSError(f"answer is longer than {MAX_RESPONSE_BYTES} bytes")
        return raw
    finally:
        res.release()


def create_json_client(
    host, port, peer, timeout_s=1.0, size=8, kept_headers=frozenset()
):
    """Return a JSON client of one peer.

    Parameters
    ----------
    host, port, peer, timeout_s, size, kept_headers
        See `JsonClient`.

    Returns
    -------
    JsonClient
    """
    return JsonClient(host, port, peer, timeout_s, size, kept_headers)
