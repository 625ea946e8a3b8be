"""Fixtures for tests on the platform: store, endpoints and instances in one process."""

import json
import os
import random
import socket
import tempfile
import time
from contextlib import ExitStack, contextmanager

import gevent
import msgspec
from geventhttpclient import HTTPClient

from quetzalwall.clock import Clock
from quetzalwall.platform.settings import read_settings
from quetzalwall.process.front import create_front
from quetzalwall.process.self_watch import resident_bytes
from standins.metadata_store import create_metadata_store
from standins.platform_endpoint import create_platform_endpoint

HOST = "shop.example"
DOMAINS = {"north-a": "north", "north-b": "north", "south-a": "south"}
WAIT_TIMEOUT_S = 5.0
MAX_INSTANCES = 10  # of a test


class ManualClock:
    """Clock that a test advances."""

    def __init__(self, now=1000.0):
        self.now = now

    def monotonic(self):
        return self.now

    def clock(self):
        return Clock(self.monotonic, self.monotonic)


class LoopMonitor:
    """Measures how long the event loop is blocked, and the growth of memory.

    Blocked time is processor time of this process, so that it does not depend on the
    load of the machine.
    """

    def __init__(self):
        self.blocked_s = 0.0
        self.start_bytes = self.peak_bytes = resident_bytes()
        self._task = gevent.spawn(self._run)
        gevent.sleep(0.05)

    def _run(self):
        while True:
            before_s = time.process_time()
            gevent.sleep(0.01)
            self.blocked_s = max(self.blocked_s, time.process_time() - before_s)
            self.peak_bytes = max(self.peak_bytes, resident_bytes())

    def stop(self):
        """Return the longest blocked time in seconds and the growth in bytes."""
        gevent.sleep(0.02)
        self._task.kill()
        return self.blocked_s, self.peak_bytes - self.start_bytes


def config_body(version=1, routes=None, services=("desk",)):
    """Return the body of a configuration as operators write it."""
    routes = routes or [
        route_row("look", "/look/"),
        route_row("book", "/book/", "unsafe"),
    ]
    columns = ["name", "hostname", "prefix", "kind", "timeout", "slo", "priority"]
    columns += ["service", "maxAttempts", "sticky", "allowedRegions", "trafficSplit"]
    return {
        "version": f"r{version}",
        "routes": {"columns": columns, "rows": routes},
        "services": {
            "columns": ["name", "healthPath", "maxConns", "coldStart", "coldPerS"],
            "rows": [[name, "/health", 390, "3s", 4.0] for name in services],
        },
        "limits": {"maxBodyBytes": 1_000_000, "idleTimeout": "15000ms"},
    }


def route_row(name, prefix, kind="safe", timeout="2s", service="desk", split=None):
    """Return one row of the routes of a configuration."""
    service = None if split else service
    return [name, HOST, prefix, kind, timeout, "500ms", 1, service, 2, True, [], split]


def entry_body(location, service="desk", state="ready", domain="north-a", **fields):
    """Return the entry of an endpoint in the store.

    ``location`` is its IP address and port; ``fields`` replace or add fields.
    """
    body = {
        "service": service,
        "address": f"{location[0]}:{location[1]}",
        "zone": domain,
        "version": "v1",
        "slots": 3,
        "state": state,
        "coldLeft": "0ms",
        "seq": 1,
        "born": 1_700_000_000_000,
    }
    return body | fields


def settings_body(address, store, ports, instance="one", domain="north-a", seeds=()):
    """Return the settings of an instance."""
    return {
        "instance": instance,
        "address": address,
        "region": DOMAINS[domain],
        "domain": domain,
        "domains": DOMAINS,
        "listen": {
            name: f"{address}:{port}"
            for name, port in zip(
                ("callers", "health", "peers", "lookup", "metrics"), ports, strict=False
            )
        },
        "peer_ports": [ports[5], ports[5]],
        "seeds": list(seeds),
        "store": f"{store[0]}:{store[1]}",
        "link_mbps": 1000.0,
        "bounds": {"grace": "2s", "drain": "2500ms", "stable": "4000ms"},
    }


def write_settings(body):
    """Return the path of a new settings file."""
    with tempfile.NamedTemporaryFile("w", suffix=".json", delete=False) as file:
        json.dump(body, file)
    return file.name


def own_address(number):
    """Return a loopback address that no other test process uses."""
    pid = os.getpid()
    return f"127.{32 + pid % 192}.{pid // 192 % 256}.{number + 1}"


def free_ports(count):
    """Return ports that are free at each address of `own_address` that a test uses."""
    socks, ports = [], []
    try:
        while len(ports) < count:
            first = socket.socket()
            socks.append(first)
            first.bind((own_address(0), 0))
            port = first.getsockname()[1]
            try:
                for number in range(1, MAX_INSTANCES):
                    socks.append(socket.socket())
                    socks[-1].bind((own_address(number), port))
            except OSError:
                continue
            ports.append(port)
        return ports
    finally:
        for sock in socks:
            sock.close()


class Site:
    """A running store with endpoints and instances."""

    def __init__(self, store, endpoints, fronts, ports):
        self.store = store
        self.endpoints = endpoints
        self.fronts = fronts
        self.ports = ports

    def write_config(self, body):
        self.store.put("op", "config", msgspec.json.encode(body))

    def register(self, endpoint, **fields):
        body = entry_body(endpoint.address, **fields)
        self.store.put("servers", endpoint.name, msgspec.json.encode(body))

    def get(self, target, front=0, method="GET", body=b"", **headers):
        """Return status, headers and body of one request on a new connection."""
        return call(
            self.fronts[front].settings.address,
            self.ports[0],
            target,
            method,
            body,
            **headers,
        )


def call(address, port, target, method="GET", body=b"", **headers):
    """Send one request; return status, headers and body."""
    client = HTTPClient(address, port=port, network_timeout=10.0)
    fields = {
        "Host": HOST,
        "X-Quetzalwall-Request-Id": f"{random.getrandbits(64):016x}",
    }
    fields |= {name.replace("_", "-"): value for name, value in headers.items()}
    try:
        res = client.request(method, target, body=body, headers=fields)
        return res.status_code, dict(res.items()), bytes(res.read())
    finally:
        client.close()


def wait_for(condition, timeout_s=WAIT_TIMEOUT_S):
    """Wait until a condition holds; fail if it does not within the time-out."""
    with gevent.Timeout(timeout_s, AssertionError(f"not met in {timeout_s} s")):
        while not condition():
            gevent.sleep(0.01)


@contextmanager
def running_site(fronts=1, endpoints=2, work_s=0.01, store_down=False, **options):
    """Run a store, endpoints of one service, and instances that are ready."""
    ports = free_ports(6)
    with ExitStack() as stack:
        store = create_metadata_store()
        store.start()
        stack.callback(store.close)
        standins = [
            create_platform_endpoint(f"ep-{n}", work_s=work_s, **options)
            for n in range(endpoints)
        ]
        site = Site(store, standins, [], ports)
        site.write_config(config_body())
        for endpoint in standins:
            endpoint.start()
            stack.callback(endpoint.close)
            site.register(endpoint)
        for number in range(fronts):
            site.fronts.append(start_front(stack, site, number))
        for front in site.fronts:
            wait_for(front.cluster_state.ready)
        wait_for(lambda: all(len(f.fleet.live()) == fronts for f in site.fronts))
        yield site


def start_front(stack, site, number, seeds=(), clock=None, **fields):
    """Start one more instance, which is closed with the stack."""
    address = own_address(number)
    domain = ("north-a", "north-b", "south-a")[number % 3]
    body = settings_body(
        address, site.store.server.address, site.ports, f"front-{number}", domain, seeds
    )
    file = write_settings(body | fields)
    front = create_front(read_settings(file), file, clock, seed=number)
    front.start()
    stack.callback(front.close)
    return front
