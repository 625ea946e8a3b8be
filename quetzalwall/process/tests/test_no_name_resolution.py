"""An instance gets only IP addresses: it needs no name service and no native thread."""

import os
from contextlib import ExitStack, contextmanager

import gevent

from quetzalwall.tests.daemon_fixture import START_TIMEOUT_S, running_daemon
from quetzalwall.tests.platform_fixtures import (
    running_site,
    start_front,
    wait_for,
)

RESOLVE_S = 2.0  # an unresponsive name server takes 10 s and more
MAX_START_S = 1.5  # without any name resolution


class SlowResolver:
    """Resolver that responds late and records its queries."""

    def __init__(self, resolver):
        self.queries = []
        self._resolver = resolver

    def close(self):
        self._resolver.close()

    def __getattr__(self, name):
        def resolve(*args, **options):
            self.queries.append((name, *args))
            gevent.sleep(RESOLVE_S)
            return getattr(self._resolver, name)(*args, **options)

        return resolve


@contextmanager
def slow_name_service():
    hub = gevent.get_hub()
    former = hub.resolver
    hub.resolver = resolver = SlowResolver(former)
    try:
        yield resolver
    finally:
        hub.resolver = former


# "The system did not start", report 3: each listener, one after the other, looked up
# the name of its own address before it accepted connections.
def test_a_start_does_not_wait_for_a_name_service():
    with ExitStack() as stack:
        site = stack.enter_context(running_site(fronts=0))
        resolver = stack.enter_context(slow_name_service())
        start = gevent.spawn(start_front, stack, site, 0)
        stack.callback(start.kill)
        start.join(timeout=MAX_START_S)
        assert resolver.queries == []
        assert start.ready()
        wait_for(start.value.cluster_state.ready, MAX_START_S)
        assert resolver.queries == []


# Report 3: names were resolved in native threads, also for the store. Where no thread
# can be created the process ended at its start, and on several cores the threads have
# to take turns.
def test_a_daemon_runs_in_one_thread():
    with running_daemon() as run:
        wait_for(run.has_started, START_TIMEOUT_S)
        wait_for(lambda: "event=lost" in run.read_output(), START_TIMEOUT_S)
        threads = os.listdir(f"/proc/{run.process.pid}/task")
    assert len(threads) == 1
