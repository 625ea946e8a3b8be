"""The daemon's sockets, with all places of its listeners taken."""

import os
import resource
import subprocess
import sys
import time
from contextlib import ExitStack
from functools import partial

import gevent
import gevent.socket

from quetzalwall.process.resource_budget import RESERVED_DESCRIPTORS, max_connections
from quetzalwall.tests.daemon_fixture import START_TIMEOUT_S, running_daemon
from quetzalwall.tests.platform_fixtures import (
    Site,
    call,
    config_body,
    running_site,
    start_front,
    wait_for,
)
from standins.metadata_store import create_metadata_store
from standins.served_endpoint import create_served_endpoint

MEMORY_MB = 820.0
DESCRIPTORS = 400
ENDPOINTS = 34
SLOTS = 6
WORK_S = 0.2
BUSY_S = 3.0
PLAN = """
from quetzalwall.process.resource_budget import usable_descriptors
print(usable_descriptors(4096), usable_descriptors(250))
"""


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
        run = stack.enter_context(
            running_daemon(settings | {"store": f"{host}:{port}"})
        )
        wait_for(run.has_started, START_TIMEOUT_S)
        until = time.monotonic() + BUSY_S
        callers = max_connections(MEMORY_MB, DESCRIPTORS, "callers")
        tasks = [
            gevent.spawn(keep_asking, run.callers_address, until)
            for _ in range(callers)
        ]
        most = 0
        while time.monotonic() < until:
            gevent.sleep(0.02)
            most = max(most, sockets(run.process.pid))
        gevent.joinall(tasks)
    assert most > callers
    assert most <= DESCRIPTORS - RESERVED_DESCRIPTORS


# Beside it: a request at work without a descriptor for its endpoint was tried in vain
# and held against the endpoints; what can't be served is refused at once.
def test_what_finds_no_connection_left_is_refused_at_once():
    with running_site(work_s=1.0) as site, ExitStack() as stack:
        front = start_front(stack, site, 1, connections=RESERVED_DESCRIPTORS + 20)
        wait_for(front.cluster_state.ready)
        place = front.settings.address, site.ports[0]
        most = front.endpoints.connections.max_open
        at_work = [gevent.spawn(call, *place, f"/look/{n}") for n in range(most)]
        wait_for(lambda: front.endpoints.connections.open_count == most)
        began = time.monotonic()
        status = call(*place, "/look/9")[0]
        assert status == 503 and time.monotonic() - began < 0.5
        assert not any(state.avoided(began) for state in front.endpoints)
        assert [task.get(timeout=5.0)[0] for task in at_work] == [200] * most
        assert call(*place, "/look/9")[0] == 200


# The settings' default is 4,096 descriptors, where a process may have 1,024 or less.
def test_the_plan_is_for_the_descriptors_that_the_system_gives():
    former = resource.getrlimit(resource.RLIMIT_NOFILE)
    limit = partial(resource.setrlimit, resource.RLIMIT_NOFILE, (300, former[1]))
    command = [sys.executable, "-c", PLAN]
    done = subprocess.run(command, preexec_fn=limit, capture_output=True, text=True)
    assert done.stdout.split() == ["300", "250"]
