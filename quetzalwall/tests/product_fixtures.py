"""Fixtures for tests of the product's own interface and settings tree."""

import copy
import json
import random
from contextlib import ExitStack, contextmanager

import gevent
import gevent.socket

from quetzalwall.connection.json_client import create_json_client
from quetzalwall.connection.product_dialect import OUTCOME_HEADER
from quetzalwall.connection.single_attempt import OutgoingRequest, create_client
from quetzalwall.platform.settings import read_settings
from quetzalwall.platform.store import create_store_client
from quetzalwall.process.front import create_front
from quetzalwall.process.storage.store_table import create_store_table
from quetzalwall.tests.platform_fixtures import (
    free_ports,
    own_address,
    wait_for,
    write_settings,
)
from standins.endpoints import create_endpoint_standin
from standins.metadata_store import create_metadata_store, load_tree

CLASSES = {
    "status": {"rank": 0, "max_duration_s": 2.0},
    "booking": {"rank": 1, "max_duration_s": 2.0},
    "photo": {"rank": 2, "max_duration_s": 3.0},
    "promotion": {"rank": 3, "max_duration_s": 2.0},
}
ROUTES = [
    {"prefix": "/status", "class": "status", "idempotent": True},
    {"prefix": "/promotion", "class": "promotion", "idempotent": True},
    {"prefix": "/large", "class": "photo", "idempotent": True},
    {"prefix": "/photos", "class": "photo", "idempotent": True},
    {"prefix": "/bookings", "class": "booking", "idempotent": False},
]
LISTENERS = ("callers", "health", "peers", "lookup", "metrics")


def make_tree(regions=("east", "west"), endpoints=2, slots=4):
    """Return a small settings tree with ``endpoints`` in each region."""
    network = {
        "regions": {r: {"domains": [f"{r}-a", f"{r}-b"]} for r in regions},
        "classes": CLASSES,
        "lookup": {"ttl_s": 0.2, "answers": 3},
    }
    service = {
        "routes": ROUTES,
        "max_body_bytes": 50_000_000,
        "endpoints": {
            f"{r}-ep{n + 1}": {**_location(r, n, 7200), "slots": slots}
            for r in regions
            for n in range(endpoints)
        },
    }
    tree = {"network": network, "desk": {"services": {"desk": service}}}
    return copy.deepcopy(tree)


def _location(region, number, port):
    return {
        "address": "127.0.0.1",
        "port": port,
        "region": region,
        "domain": f"{region}-{'ab'[number % 2]}",
    }


@contextmanager
def running_store():
    store = create_metadata_store()
    store.start()
    try:
        yield store
    finally:
        store.close()


@contextmanager
def open_store_table(store, timeout_s=0.3):
    client = create_store_client(*store.server.address, timeout_s)
    try:
        yield create_store_table(client)
    finally:
        client.close()


def read_row(store, table, key):
    """Return the decoded value of a row, or None if there is none."""
    row = store.rows.get((table, "", key))
    return None if row is None else json.loads(row[0])


@contextmanager
def running_endpoint(name="ep", **options):
    endpoint = create_endpoint_standin(name, **options)
    endpoint.start()
    try:
        yield endpoint
    finally:
        endpoint.close()


class SmallDeployment:
    """A store, endpoints and instances in this process, with a settings tree."""

    def __init__(self, store, endpoints, tree, regions, instances):
        self.store = store
        self.endpoints = endpoints
        self.tree = tree
        self.ports = dict(zip((*LISTENERS, "datagrams"), free_ports(6), strict=True))
        self.fronts = {}
        names = [(r, n) for r in regions for n in range(instances)]
        self.addresses = {
            f"{region}-{number + 1}": own_address(index)
            for index, (region, number) in enumerate(names)
        }

    def settings(self, name):
        region, _, number = name.partition("-")
        address = self.addresses[name]
        host, port = self.store.server.address
        return {
            "instance": name,
            "address": address,
            "region": region,
            "domain": f"{region}-{'ab'[(int(number) - 1) % 2]}",
            "domains": {},
            "listen": {
                listener: f"{address}:{self.ports[listener]}" for listener in LISTENERS
            },
            "peer_ports": [self.ports["datagrams"]] * 2,
            "seeds": [
                f"{other}:{self.ports['peers']}" for other in self.addresses.values()
            ],
            "store": f"{host}:{port}",
            "configuration": "tree",
            "bounds": {"grace": "2s"},
        }

    def start_front(self, name, seed=1):
        file = write_settings(self.settings(name))
        front = create_front(read_settings(file), file, seed=seed)
        self.fronts[name] = front
        front.start()
        return front

    def listen_address(self, name, listener="callers"):
        return self.addresses[name], self.ports[listener]

    def wait(self, condition, timeout_s=10.0):
        wait_for(condition, timeout_s)

    def wait_for_version(self, version):
        self.wait(
            lambda: all(
                front.cluster_state.ready()
                and front.cluster_state.configuration().version >= version
                for front in self.fronts.values()
            )
        )

    def send(self, name, method, path, body=b"", length=0, key=None, timeout_s=8.0):
        """Send one request to the callers' listener; return its `Reply`."""
        headers = {"Idempotency-Key": key} if key else {}
        client = create_client(*self.listen_address(name), name)
        try:
            req = OutgoingRequest(method, f"/s/desk{path}", headers, body, length)
            res = client.send(req, timeout_s)
            return Reply(res, bytes(res.read()))
        finally:
            client.close()

    def call(self, name, method, target, body=None, headers=None):
        """Send a request to the look-up listener of an instance."""
        client = create_json_client(
            *self.listen_address(name, "lookup"), name, timeout_s=5.0
        )
        try:
            return client.call(method, target, body, headers=headers)
        finally:
            client.close()

    def put(self, name, change, base, credential="c"):
        """Put a changed subtree of the team ``desk``."""
        subtree = copy.deepcopy(self.tree["desk"])
        change(subtree)
        body = {"team": "desk", "subtree": subtree, "base": base, "author": "tester"}
        headers = {"Authorization": f"Bearer {credential}"}
        return self.call(name, "PUT", "/settings", body, headers)

    def run_count(self, key):
        """Return how often requests with an idempotency key ran at all endpoints."""
        return sum(e.runs.get(key, 0) for e in self.endpoints.values())


class Reply:
    """Response that a caller received, with its outcome header."""

    def __init__(self, res, body):
        self.status = res.status_code
        self.outcome = res.get(OUTCOME_HEADER)
        self.res = res
        self.body = body


# SHA-256 of "c", the credential of the team "desk" in tests.
DESK_CREDENTIAL = "2e7d2c03a9507ae265ecf5b5356885a53393a2029d241394997265a1a25aefc6"


@contextmanager
def small_deployment(names=None, regions=("east", "west"), instances=1, **options):
    """Run a deployment in this process.

    ``names`` are the instances to start; all of them if None.
    """
    tree = make_tree(regions=regions, **options)
    tree["network"]["credentials"] = {"desk": DESK_CREDENTIAL}
    with ExitStack() as stack:
        store = stack.enter_context(running_store())
        endpoints = {}
        specs = tree["desk"]["services"]["desk"]["endpoints"]
        for name, spec in specs.items():
            endpoint = stack.enter_context(
                running_endpoint(name, slots=spec["slots"], service_s=0.01)
            )
            spec["port"] = endpoint.server.server_port
            endpoints[name] = endpoint
        load_tree(store, tree)
        deployment = SmallDeployment(store, endpoints, tree, regions, instances)
        started = list(deployment.addresses) if names is None else names
        try:
            for name in started:
                deployment.start_front(name)
            deployment.wait_for_version(1)
            live_count = len(started)
            deployment.wait(
                lambda: all(
                    len(front.fleet.live()) == live_count
                    for front in deployment.fronts.values()
                )
            )
            yield deployment
        finally:
            for front in deployment.fronts.values():
                front.close()


def free_port():
    with gevent.socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


def seeded_rng(seed=0):
    return random.Random(seed)


@contextmanager
def scripted_server(handle):
    """Run ``handle(sock)`` for each accepted connection; yield the port."""
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


def read_request_head(sock):
    """Return the head of the next request; b"" if the connection was closed."""
    data = b""
    while b"\r\n\r\n" not in data:
        block = sock.recv(65536)
        if not block:
            return data
        data += block
    return data


def parse_request_id(head):
    """Return the request id in the head of a request; empty if there is none."""
    for line in head.decode().split("\r\n"):
        if line.lower().startswith("x-request-id:"):
            return line.split(":", 1)[1].strip()
    return ""
