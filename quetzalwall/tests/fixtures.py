"""Fixtures shared by the tests."""

import copy
import random
from contextlib import ExitStack, contextmanager

import gevent
import gevent.socket

from quetzalwall.clock import Clock
from quetzalwall.platform.listing import create_listing_client
from quetzalwall.platform.objects import create_object_client
from quetzalwall.platform.table import create_table_client
from quetzalwall.process.entry import create_entry
from standins.endpoints import create_endpoint_standin
from standins.platform import create_platform, load_tree

CLASSES = {
    "status": {"rank": 0, "max_duration_s": 2.0},
    "booking": {"rank": 1, "max_duration_s": 2.0},
    "photo": {"rank": 2, "max_duration_s": 10.0, "long": True},
    "promotion": {"rank": 3, "max_duration_s": 2.0},
}
ROUTES = [
    {"prefix": "/status", "class": "status", "idempotent": True},
    {"prefix": "/promotion", "class": "promotion", "idempotent": True},
    {"prefix": "/large", "class": "photo", "idempotent": True},
    {"prefix": "/photos", "class": "photo", "idempotent": True},
    {"prefix": "/bookings", "class": "booking", "idempotent": False},
]


class ManualClock:
    """Clock that a test moves."""

    def __init__(self, now=1000.0):
        self.now = now

    def clock(self):
        return Clock(lambda: self.now, lambda: self.now)


def make_tree(regions=("east", "west"), instances=1, endpoints=2, slots=4):
    """Return a small settings tree with ``instances`` and ``endpoints`` a region."""
    network = {
        "regions": {r: {"domains": [f"{r}-a", f"{r}-b"]} for r in regions},
        "classes": CLASSES,
        "lookup": {"ttl_s": 0.2, "answers": 3},
        "links": {
            f"{a}-{b}": {"between": [a, b], "bytes_per_s": 50_000_000}
            for i, a in enumerate(regions)
            for b in regions[i + 1 :]
        },
        "instances": {
            f"{r}-{n + 1}": _place(r, n, 7100)
            for r in regions
            for n in range(instances)
        },
    }
    service = {
        "routes": ROUTES,
        "queue_length": 100,
        "max_body_bytes": 50_000_000,
        "endpoints": {
            f"{r}-ep{n + 1}": {**_place(r, n, 7200), "slots": slots}
            for r in regions
            for n in range(endpoints)
        },
    }
    tree = {"network": network, "desk": {"services": {"desk": service}}}
    return copy.deepcopy(tree)


def _place(region, number, port):
    return {
        "address": "127.0.0.1",
        "port": port,
        "region": region,
        "domain": f"{region}-{'ab'[number % 2]}",
    }


@contextmanager
def running_platform():
    platform = create_platform()
    platform.start()
    try:
        yield platform
    finally:
        platform.close()


def platform_place(platform):
    return f"127.0.0.1:{platform.server.server_port}"


@contextmanager
def table_of(platform, timeout_s=0.3):
    table = create_table_client("127.0.0.1", platform.server.server_port, timeout_s)
    try:
        yield table
    finally:
        table.close()


@contextmanager
def objects_of(platform, timeout_s=0.3):
    port = platform.server.server_port
    objects = create_object_client("127.0.0.1", port, timeout_s)
    try:
        yield objects
    finally:
        objects.close()


@contextmanager
def listing_of(platform, timeout_s=0.3):
    port = platform.server.server_port
    listing = create_listing_client("127.0.0.1", port, timeout_s)
    try:
        yield listing
    finally:
        listing.close()


@contextmanager
def running_endpoint(name="ep", **options):
    endpoint = create_endpoint_standin(name, **options)
    endpoint.start()
    try:
        yield endpoint
    finally:
        endpoint.close()


class SmallDeployment:
    """Platform, endpoints and entry instances in this process."""

    def __init__(self, platform, endpoints, tree):
        self.platform = platform
        self.endpoints = endpoints
        self.tree = tree
        self.entries = {}

    def settings(self, name):
        spec = self.tree["network"]["instances"][name]
        place = platform_place(self.platform)
        others = self.tree["network"]["instances"]
        return {
            "instance": name,
            **spec,
            "platform": dict.fromkeys(("table", "objects", "listing"), place),
            "seeds": [
                f"{other['address']}:{other['port']}"
                for key, other in others.items()
                if key != name
            ],
            "store_timeout_s": 0.3,
        }

    def start_entry(self, name, seed=1):
        entry = create_entry(self.settings(name), seed=seed)
        self.entries[name] = entry
        entry.start()
        return entry

    def place(self, name):
        spec = self.tree["network"]["instances"][name]
        return spec["address"], spec["port"]

    def wait(self, condition, timeout_s=10.0):
        with gevent.Timeout(timeout_s):
            while not condition():
                gevent.sleep(0.02)

    def wait_ready(self, name):
        node = self.entries[name].node
        self.wait(
            lambda: (
                node.ledger.units
                and node.holders.registered()
                and node.clock.monotonic() < node.ledger.lease_until
            )
        )


@contextmanager
def small_deployment(names=None, **options):
    """Run a deployment in this process; ``names`` are the instances to start."""
    tree = make_tree(**options)
    with ExitStack() as stack:
        platform = stack.enter_context(running_platform())
        endpoints = {}
        specs = tree["desk"]["services"]["desk"]["endpoints"]
        for name, spec in specs.items():
            endpoint = stack.enter_context(
                running_endpoint(name, slots=spec["slots"], service_s=0.01)
            )
            spec["port"] = endpoint.server.server_port
            endpoints[name] = endpoint
        for spec in tree["network"]["instances"].values():
            spec["port"] = free_port()
        load_tree(platform, tree)
        deployment = SmallDeployment(platform, endpoints, tree)
        chosen = list(tree["network"]["instances"]) if names is None else names
        starts = [gevent.spawn(deployment.start_entry, name) for name in chosen]
        gevent.joinall(starts, raise_error=True)
        for name in chosen:
            deployment.wait_ready(name)
        try:
            yield deployment
        finally:
            for entry in deployment.entries.values():
                if entry.node is not None:
                    entry.close()


def free_port():
    with gevent.socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


def seeded(seed=0):
    return random.Random(seed)


@contextmanager
def scripted_server(handle):
    """Run ``handle(sock)`` for each accepted connection; yields the port."""
    listener = gevent.socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen(16)
    tasks = []

    def accept():
        while True:
            sock, _ = listener.accept()
            tasks.append(gevent.spawn(_serve, handle, sock))

    acceptor = gevent.spawn(accept)
    try:
        yield listener.getsockname()[1]
    finally:
        gevent.killall([acceptor, *tasks])
        listener.close()


def _serve(handle, sock):
    with sock:
        handle(sock)


def read_request(sock):
    """Return the head of the next request, or b"" if the connection closed."""
    data = b""
    while b"\r\n\r\n" not in data:
        block = sock.recv(65536)
        if not block:
            return data
        data += block
    return data


def echo_of(head):
    """Return the identifier in a request's head."""
    for line in head.decode().split("\r\n"):
        if line.lower().startswith("x-request-id:"):
            return line.split(":", 1)[1].strip()
    return ""
