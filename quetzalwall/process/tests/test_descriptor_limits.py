"""The daemon's sockets while its listeners have all the connections they may have."""

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
from standins.platform_endpoint import create_platform_endpoint

MEMORY_MB = 820.0
DESCRIPTORS = 400
ENDPOINTS = 34
SLOTS = 6
WORK_S = 0.2
BUSY_S = 3.0
PRINT_USABLE = """
from quetzalwall.process.resource_budget import usable_descriptors
print(usable_descriptors(4096), usable_descriptors(250))
"""


def start_site(stack):
    """Return a site with a store and running endpoints, without instances."""
    store = create_metadata_store()
    store.start()
    stack.callback(store.close)
    endpoints = [
        create_platform_endpoint(f"ep-{n}", work_s=WORK_S) for n in range(ENDPOINTS)
    ]
    site = Site(store, endpoints, [], None)
    site.write_config(config_body())
    for endpoint in endpoints:
        endpoint.start()
        stack.callback(endpoint.close)
        site.register(endpoint, slots=SLOTS)
    return site


def count_sockets(pid):
    """Return the number of sockets that a process has open."""
    count = 0
    for fd in os.listdir(f"/proc/{pid}/fd"):
        try:
            count += os.readlink(f"/proc/{pid}/fd/{fd}").startswith("socket")
        except OSError:
            continue  # closed meanwhile
    return count


def send_repeatedly(address, until):
    while time.monotonic() < until:
        try:
            call(*address, "/look/1")
        except OSError:
            gevent.sleep(WORK_S)


# Same kind of fault as report 3: listeners may use 75 % of the descriptors, and each
# request in flight uses a second one, so that the sum exceeded the limit.
def test_callers_and_connections_to_endpoints_fit_the_descriptors_together():
    with ExitStack() as stack:
        site = start_site(stack)
        host, port = site.store.server.address[:2]
        settings = {"memory_mb": MEMORY_MB, "connections": DESCRIPTORS}
        run = stack.enter_context(
            running_daemon(settings | {"store": f"{host}:{port}"})
        )
        wait_for(run.has_started, START_TIMEOUT_S)
        until = time.monotonic() + BUSY_S
        callers = max_connections(MEMORY_MB, DESCRIPTORS, "callers")
        tasks = [
            gevent.spawn(send_repeatedly, run.callers_address, until)
            for _ in range(callers)
        ]
        peak = 0
        while time.monotonic() < until:
            gevent.sleep(0.02)
            peak = max(peak, count_sockets(run.process.pid))
        gevent.joinall(tasks)
    assert peak > callers
    assert peak <= DESCRIPTORS - RESERVED_DESCRIPTORS


# Related: a request that found no free descriptor for its endpoint was retried in vain
# and counted as a failure of the endpoints. It has to be rejected at once.
def test_a_request_without_a_free_connection_is_rejected_at_once():
    with running_site(work_s=1.0) as site, ExitStack() as stack:
        front = start_front(stack, site, 1, connections=RESERVED_DESCRIPTORS + 20)
        wait_for(front.cluster_state.ready)
        address = front.settings.address, site.ports[0]
        max_open = front.endpoints.connection_limiter.max_open
        running = [gevent.spawn(call, *address, f"/look/{n}") for n in range(max_open)]
        wait_for(lambda: front.endpoints.connection_limiter.open_count == max_open)
        start = time.monotonic()
        status = call(*address, "/look/9")[0]
        assert status == 503 and time.monotonic() - start < 0.5
        assert not any(state.avoided(start) for state in front.endpoints)
        assert [task.get(timeout=5.0)[0] for task in running] == [200] * max_open
        assert call(*address, "/look/9")[0] == 200


# The settings default to 4,096 descriptors, but a process may be limited to 1,024 or
# fewer.
def test_usable_descriptors_are_capped_by_the_limit_of_the_system():
    former = resource.getrlimit(resource.RLIMIT_NOFILE)
    set_limit = partial(resource.setrlimit, resource.RLIMIT_NOFILE, (300, former[1]))
    command = [sys.executable, "-c", PRINT_USABLE]
    done = subprocess.run(command, preexec_fn=set_limit, capture_output=True, text=True)
    assert done.stdout.split() == ["300", "250"]
