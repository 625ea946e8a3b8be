"""Callers of the soak: one request at a time on a connection, or several ahead."""

import random
import time
from contextlib import suppress
from typing import NamedTuple

import gevent
from gevent.socket import create_connection
from geventhttpclient.response import HTTPParseError

from quetzalwall.connection.response_parser import ResponseParser
from quetzalwall.connection.single_attempt import OutgoingRequest, create_client
from quetzalwall.tests.platform_fixtures import HOST
from soak.checks import DEADLINE_S, Attempt
from soak.fleet import GRACE_PERIOD_S

__all__ = ["Callers", "create_callers"]

CONNECT_S = 1.0  # time-out
TIMEOUT_S = 4.0  # of a request, at the caller
MAX_PAUSE_S = 0.04  # between two requests on a connection
REQUESTS_PER_CONNECTION = 40
MAX_AHEAD = 8  # requests in one write
BATCHES_PER_CONNECTION = 8
AHEAD_EVERY = 4  # each so many callers, one sends ahead
READ_BYTES = 16 * 1024


class Request(NamedTuple):
    """A request that a caller is about to send."""

    request_id: str
    kind: str
    method: str
    headers: dict


class Callers:
    """Callers that send requests until the run ends.

    Parameters
    ----------
    site : SoakSite
        The instances.
    rng : random.Random
        Source of randomness.
    attempts : list of Attempt
        Receives each request with its result.

    Attributes
    ----------
    ending : bool
        Whether to send no more requests.
    """

    def __init__(self, site, rng, attempts):
        self.ending = False
        self._site = site
        self._rng = rng
        self._attempts = attempts
        self._count = 0

    def start(self, count):
        """Start callers and return their tasks.

        Parameters
        ----------
        count : int
            Number of callers.

        Returns
        -------
        list of gevent.Greenlet
        """
        return [gevent.spawn(self._run, number) for number in range(count)]

    def _run(self, number):
        rng = random.Random(f"{number} {self._rng.random()}")
        use = self._send_ahead if number % AHEAD_EVERY == 0 else self._send_one_by_one
        while not self.ending:
            index = rng.randrange(len(self._site.instances))
            instance = self._site.instances[index]
            if not instance.running():
                gevent.sleep(0.05)
                continue
            use(rng, index, instance)

    def _send_one_by_one(self, rng, index, instance):
        """Send requests on one connection, until it ends."""
        starts = instance.starts
        # geventhttpclient's own client would retry a request after a reset.
        client = create_client(
            instance.address, self._site.ports[0], "instance", CONNECT_S, size=1
        )
        try:
            for _ in range(REQUESTS_PER_CONNECTION):
                if self.ending or instance.starts != starts:
                    return
                attempt = self._send_request(rng, client, index, instance)
                self._attempts.append(attempt)
                if attempt.status == 0:
                    return
                gevent.sleep(rng.random() * MAX_PAUSE_S)
        finally:
            client.close()

    def _send_request(self, rng, client, index, instance):
        req = self._next_request(rng)
        starts, sent = instance.starts, time.monotonic()
        status, echo, body, connected = 0, "", "", []
        with suppress(Exception):
            outgoing = OutgoingRequest(req.method, f"/{req.kind}/x", req.headers)
            res = client.send(outgoing, TIMEOUT_S, lambda: connected.append(True))
            raw = bytes(res.read())
            status, echo = res.status_code, res.get("X-Quetzalwall-Request-Id") or ""
            body = raw.decode(errors="replace")
        result = status, echo, body
        attempt = self._attempt(req, index, instance, starts, sent, result)
        return attempt._replace(connected=bool(connected))

    def _send_ahead(self, rng, index, instance):
        """Send batches of requests on one connection, until it ends."""
        starts = instance.starts
        address = instance.address, self._site.ports[0]
        with (
            suppress(OSError),
            gevent.Timeout(BATCHES_PER_CONNECTION * TIMEOUT_S, False),
            create_connection(address, CONNECT_S) as sock,
        ):
            sock.settimeout(TIMEOUT_S)
            for _ in range(BATCHES_PER_CONNECTION):
                if self.ending or instance.starts != starts:
                    return
                if not self._send_batch(rng, sock, index, instance):
                    return
                gevent.sleep(rng.random() * MAX_PAUSE_S)

    def _send_batch(self, rng, sock, index, instance):
        """Send requests in one write; return whether all were answered."""
        batch = [self._next_request(rng) for _ in range(rng.randint(2, MAX_AHEAD))]
        # A booking comes last: its service time counts for what is behind it too.
        batch.sort(key=lambda req: req.kind == "book")
        last = next((n for n, req in enumerate(batch) if req.kind == "book"), None)
        batch = batch if last is None else batch[: last + 1]
        starts, sent = instance.starts, time.monotonic()
        parser = ResponseParser("GET")
        with suppress(OSError):
            sock.sendall(b"".join(_encode(req) for req in batch))
        for ahead, req in enumerate(batch):
            result = _read_response(sock, parser)
            attempt = self._attempt(req, index, instance, starts, sent, result, ahead)
            self._attempts.append(attempt)
            if not result[0]:
                break
        for dropped, req in enumerate(batch[ahead + 1 :], ahead + 1):
            attempt = self._attempt(
                req, index, instance, starts, sent, (0, "", ""), dropped
            )
            self._attempts.append(attempt)
        return result[0] != 0

    def _next_request(self, rng):
        self._count += 1
        request_id = f"r{self._count:08x}"
        version = max(1, self._site.version - rng.randrange(3))
        kind = rng.choices(("look", "book", f"v{version}"), (5, 4, 1))[0]
        headers = {
            "Host": HOST,
            "X-Quetzalwall-Request-Id": request_id,
            "X-Quetzalwall-Deadline-Ms": str(int(DEADLINE_S * 1000)),
            "Cookie": f"X-Quetzalwall-Affinity-Key={rng.randrange(40)}",
        }
        method = "POST" if kind == "book" else "GET"
        return Request(request_id, kind, method, headers)

    def _attempt(self, req, index, instance, starts, sent, result, ahead=0):
        status, echo, body = result
        same_process = instance.starts == starts
        ended = time.monotonic()
        planned = instance.stopping and same_process and not instance.killed
        planned &= not self._outlasted_grace_period(instance, req.request_id, ended)
        return Attempt(
            req.request_id,
            req.kind,
            index,
            starts,
            sent,
            ended,
            status,
            echo,
            body,
            planned,
            ahead,
        )

    def _outlasted_grace_period(self, instance, request_id, ended):
        """Return whether a request still ran in the last sixth of the grace period."""
        if ended - instance.sigterm_at < GRACE_PERIOD_S * 5 / 6:
            return False
        endpoints = [*self._site.endpoints.values(), *self._site.drained.values()]
        return not any(request_id in endpoint.responded_ids for endpoint in endpoints)


def _encode(req):
    lines = [f"{req.method} /{req.kind}/x HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in req.headers.items()]
    if req.method == "POST":
        lines.append("Content-Length: 0")
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


def _read_response(sock, parser):
    """Return status, request identity and body; status 0 if the connection ended."""
    while not parser.responses:
        try:
            data = sock.recv(READ_BYTES)
            if not data:
                return 0, "", ""
            parser.feed(data)
        except (OSError, HTTPParseError):
            return 0, "", ""
    response = parser.responses.pop(0)
    headers = {name.lower(): value for name, value in response.headers}
    echo = headers.get("x-quetzalwall-request-id", "")
    return response.status, echo, response.body.decode(errors="replace")


def create_callers(site, rng, attempts):
    """Return callers that are not yet started.

    Parameters
    ----------
    site, rng, attempts
        As of `Callers`.

    Returns
    -------
    Callers
    """
    return Callers(site, rng, attempts)
