"""The daemon's sockets, with all places of its listeners taken."""

import os
import time
from contextlib import ExitStack

import gevent
import gevent.socket

from quetzalwall.process.memory_plan import FILE_DESCRIPTORS, most_connections
from quetzalwall.tests.daemon_fixture import STARTED_S, daemon
from quetzalwall.tests.platform_fixtures import Site, call, config_body, wait_for
from standins.metadata_store import create_metadata_store
from standins.served_endpoint import create_served_endpoint

MEMORY_MB = 820.0
DESCRIPTORS = 400
ENDPOINTS = 34
SLOTS = 6
WORK_S = 0.2
BUSY_S = 3.0


def site_of(stack):
    """Return a store that names endpoints, all of them running."""
    store = create_metadata_store()
    store.start()
    stack.callback(store.close)
    endpoints = [
        create_served_endpoint(f"ep-{n}", work_s=WORK_S) for n in range(ENDPOINTS)
    ]
    site = Site(store, endpoints, [], None)
    site.write_config(config_body())
    for endpoint in endpoints:
        endpoint.start()
        stack.callback(endpoint.close)
        site.register(endpoint, slots=SLOTS)
    return site


def sockets(process):
    """Return the number of sockets that a process has open."""
    count = 0
    for number in os.listdir(f"/proc/{process}/fd"):
        try:
            count += os.readlink(f"/proc/{process}/fd/{number}").startswith("socket")
        except OSError:
            continue  # closed meanwhile
    return count


def keep_asking(place, until):
    while time.monotonic() < until:
        try:
            call(*place, "/look/1")
        except OSError:
            gevent.sleep(WORK_S)


# Found by class with report 3: listeners may take 75 % of the descriptors, and each
# request at work has a second one, so that together they are more than there are.
def test_callers_and_connections_to_endpoints_fit_the_descriptors_together():
    with ExitStack() as stack:
        site = site_of(stack)
        host, port = site.store.server.address[:2]
        settings = {"memory_mb": MEMORY_MB, "connections": DESCRIPTORS}
        run = stack.enter_context(daemon(settings | {"store": f"{host}:{port}"}))
        wait_for(run.started, STARTED_S)
        until = time.monotonic() + BUSY_S
        callers = most_connections(MEMORY_MB, DESCRIPTORS, "callers")
        tasks = [gevent.spawn(keep_asking, run.callers, until) for _ in range(callers)]
        most = 0
        while time.monotonic() < until:
            gevent.sleep(0.02)
            most = max(most, sockets(run.process.pid))
        gevent.joinall(tasks)
    assert most > callers
    assert most <= DESCRIPTORS - FILE_DESCRIPTORS
