"""Fake endpoints of the product's own dialect, many of them in one process.

Each endpoint has slots, a service time and a limit on connections. ``POST /control`` on
its port sets its behaviour:

- ``slow``: factor on the service time
- ``leaving``: drain, that is, reject all requests and report it
- ``cold``: number of requests that are served at a third of the speed
- ``shed``: reject all requests
- ``fault``: ``cut`` (truncate responses), ``wrong-id`` (respond with the identity of
  another request), ``no-echo`` (respond without identity) or ``hang`` (never respond)
- ``report``: a false load report
"""

import argparse
import json
import random
from collections import defaultdict

import gevent
import gevent.event
import gevent.socket
from gevent import signal_handler

from quetzalwall.connection.http_server import (
    HttpLimits,
    QuietHandler,
    create_server,
    json_response,
    read_json,
)

__all__ = ["Endpoint", "create_endpoint_standin"]

SOCKET_KEY = "standin.socket"
BLOCK_BYTES = 64 * 1024
COLD_SLOWDOWN = 3.0
NOT_RUN_HEADERS = [("X-Not-Run", "1")]


class ConcurrencyCounter:
    """Counts the requests that run concurrently at several endpoints.

    Attributes
    ----------
    current, peak : int
        Requests that run now, and the maximum so far.
    """

    def __init__(self):
        self.current = 0
        self.peak = 0

    def add(self, change):
        """Count a request that starts or ends.

        Parameters
        ----------
        change : int
            1 at its start, -1 at its end.
        """
        self.current += change
        self.peak = max(self.peak, self.current)


class Endpoint:
    """One endpoint.

    Parameters
    ----------
    name : str
        Name of the endpoint.
    address : str
        IP address to listen on.
    port : int
        TCP port to listen on; 0 chooses a free one.
    slots : int, default=3
        Maximum number of concurrent requests.
    service_s : float, default=0.02
        Mean service time of a request, in seconds.
    seed : int, default=0
        Seed of the service times.
    concurrency : ConcurrencyCounter, default=None
        Counter shared with other endpoints; None counts this endpoint alone.
    """

    def __init__(
        self, name, address, port, slots=3, service_s=0.02, seed=0, concurrency=None
    ):
        self.name = name
        self.slots = slots
        self.service_s = service_s
        self.behaviour = {
            "slow": 1.0,
            "leaving": False,
            "cold": 0,
            "shed": False,
            "fault": "",
            "report": None,
        }
        self.concurrency = concurrency or ConcurrencyCounter()
        self.busy = 0
        self.counts = {"served": 0, "shed": 0, "over_limit": 0, "most_busy": 0}
        self.runs = {}
        self.cancelled = 0
        self._rng = random.Random(f"{name} {seed}")
        limits = HttpLimits(max_connections=400)
        self.server = create_server(
            address, port, self._application, limits, handler=_SocketHandler
        )

    def start(self):
        """Start serving."""
        self.server.start()

    def close(self):
        """Stop serving, without waiting for requests in progress."""
        self.server.stop(timeout=0)

    def _application(self, environ, start_response):
        path = environ["PATH_INFO"]
        if path == "/control":
            if environ["REQUEST_METHOD"] == "POST":
                self.behaviour.update(read_json(environ))
            return json_response(start_response, 200, self._load_report())
        if path == "/load":
            report = self.behaviour["report"] or self._load_report()
            return json_response(start_response, 200, report)
        return self._serve(environ, start_response)

    def _load_report(self):
        return {
            "outstanding": self.busy,
            "most_together": self.concurrency.peak,
            "slots": self.slots,
            "leaving": self.behaviour["leaving"],
            "counts": self.counts,
            "runs": self.runs,
            "cancelled": self.cancelled,
        }

    def _serve(self, environ, start_response):
        echo_headers = [("X-Request-Id", environ.get("HTTP_X_REQUEST_ID", ""))]
        if self.behaviour["shed"] or self.behaviour["leaving"]:
            self.counts["shed"] += 1
            return json_response(
                start_response, 503, {}, echo_headers + NOT_RUN_HEADERS
            )
        if self.busy >= self.slots:
            self.counts["over_limit"] += 1
            return json_response(
                start_response, 503, {}, echo_headers + NOT_RUN_HEADERS
            )
        self.busy += 1
        self.concurrency.add(1)
        self.counts["most_busy"] = max(self.counts["most_busy"], self.busy)
        try:
            size = self._read_body(environ)
            self._run_request(environ)
            self.counts["served"] += 1
            body = {"endpoint": self.name, "bytes": size}
            body["path"] = environ["PATH_INFO"]
            return self._respond(environ, start_response, body, echo_headers)
        except (gevent.Timeout, _Cancelled):
            self.cancelled += 1
            return json_response(start_response, 504, {}, echo_headers)
        finally:
            self.busy -= 1
            self.concurrency.add(-1)

    def _read_body(self, environ):
        size = 0
        try:
            while block := environ["wsgi.input"].read(BLOCK_BYTES):
                size += len(block)
        except OSError as exc:
            raise _Cancelled from exc
        return size

    def _run_request(self, environ):
        key = environ.get("HTTP_IDEMPOTENCY_KEY")
        if key:
            self.runs[key] = self.runs.get(key, 0) + 1
        duration_s = self._rng.expovariate(1 / self.service_s) * 0.5
        duration_s += self.service_s * 0.5
        duration_s *= self.behaviour["slow"]
        if self.behaviour["cold"]:
            self.behaviour["cold"] -= 1
            duration_s *= COLD_SLOWDOWN
        deadline_ms = environ.get("HTTP_X_DEADLINE_MS", "60000")
        with gevent.Timeout(max(0.001, int(deadline_ms) / 1000)):
            _sleep_unless_closed(environ[SOCKET_KEY], duration_s)

    def _respond(self, environ, start_response, body, echo_headers):
        fault = self.behaviour["fault"]
        if fault == "hang":
            gevent.sleep(3600)
        if fault == "wrong-id":
            echo_headers = [("X-Request-Id", "of-another-request")]
        if fault == "no-echo":
            echo_headers = []
        if environ["PATH_INFO"].startswith("/large"):
            return self._respond_large(environ, start_response, echo_headers, fault)
        if fault == "cut":
            raw = json.dumps(body).encode()
            headers = [("Content-Length", str(len(raw) + 10)), *echo_headers]
            start_response("200 OK", headers)
            return _TruncatedBody([raw])
        return json_response(start_response, 200, body, echo_headers)

    def _respond_large(self, environ, start_response, echo_headers, fault):
        blocks = int(environ["PATH_INFO"].rsplit("/", 1)[1])
        body = [bytes([65 + n % 26]) * BLOCK_BYTES for n in range(blocks)]
        headers = list(echo_headers)
        if not environ["PATH_INFO"].startswith("/large-chunked"):
            headers.append(("Content-Length", str(blocks * BLOCK_BYTES)))
        start_response("200 OK", headers)
        if fault == "cut":
            return _TruncatedBody(body[: blocks // 2])
        return iter(body)


class _Cancelled(Exception):
    """The client closed the connection while its request was in progress."""


class _SocketHandler(QuietHandler):
    """Request handler that passes the connection to the application."""

    def get_environ(self):
        return super().get_environ() | {SOCKET_KEY: self.socket}


def _sleep_unless_closed(sock, seconds):
    try:
        gevent.socket.wait_read(sock.fileno(), timeout=seconds)
    except TimeoutError:
        return
    if not sock.recv(1, gevent.socket.MSG_PEEK):
        raise _Cancelled


class _TruncatedBody:
    """Response body that resets the connection after its last block."""

    def __init__(self, blocks):
        self._blocks = iter(blocks)

    def __iter__(self):
        return self

    def __next__(self):
        for block in self._blocks:
            return block
        raise ConnectionResetError(104, "response truncated on purpose")


def create_endpoint_standin(name, address="127.0.0.1", port=0, **options):
    """Return an endpoint that is not yet started.

    Parameters
    ----------
    name : str
        Name of the endpoint.
    address : str, default="127.0.0.1"
        IP address to listen on.
    port : int, default=0
        TCP port to listen on; 0 chooses a free one.
    **options
        Further parameters of `Endpoint`.

    Returns
    -------
    Endpoint
    """
    return Endpoint(name, address, port, **options)


def main():
    """Run all endpoints of a settings tree until terminated."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--tree", required=True, help="file with the settings tree")
    parser.add_argument("--service-ms", type=float, default=20.0)
    parser.add_argument("--seed", type=int, default=0)
    args = parser.parse_args()
    with open(args.tree, encoding="utf-8") as file:
        tree = json.load(file)
    counters = defaultdict(ConcurrencyCounter)
    endpoints = [
        create_endpoint_standin(
            name,
            spec["address"],
            spec["port"],
            slots=spec["slots"],
            service_s=args.service_ms / 1000,
            seed=args.seed,
            concurrency=counters[service_name, spec["region"]],
        )
        for subtree in tree.values()
        for service_name, service in subtree.get("services", {}).items()
        for name, spec in service["endpoints"].items()
    ]
    for endpoint in endpoints:
        endpoint.start()
    stop = gevent.event.Event()
    signal_handler(15, stop.set)
    stop.wait()


if __name__ == "__main__":
    main()
