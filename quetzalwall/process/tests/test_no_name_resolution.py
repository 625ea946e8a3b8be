"""An instance is given IP numbers: it needs no name service and no native thread."""

import os
from contextlib import ExitStack, contextmanager

import gevent

from quetzalwall.tests.daemon_fixture import START_TIMEOUT_S, running_daemon
from quetzalwall.tests.platform_fixtures import (
    running_site,
    start_front,
    wait_for,
)

SLOW_S = 2.0  # a name server that does not answer takes 10 s and more
PROMPT_S = 1.5


class SlowResolver:
    """Name service that answers late, and notes what it is asked."""

    def __init__(self, resolver):
        self.asked = []
        self._resolver = resolver

    def close(self):
        self._resolver.close()

    def __getattr__(self, name):
        def ask(*args, **options):
            self.asked.append((name, *args))
            gevent.sleep(SLOW_S)
            return getattr(self._resolver, name)(*args, **options)

        return ask


@contextmanager
def slow_names():
    hub = gevent.get_hub()
    former = hub.resolver
    hub.resolver = slow = SlowResolver(former)
    try:
        yield slow
    finally:
        hub.resolver = former


# "The system did not start", report 3: each listener asked the name service for the
# name of its own address before it accepted anything, one after the other.
def test_a_start_does_not_wait_for_a_name_service():
    with ExitStack() as stack:
        site = stack.enter_context(running_site(fronts=0))
        slow = stack.enter_context(slow_names())
        start = gevent.spawn(start_front, stack, site, 0)
        stack.callback(start.kill)
        start.join(timeout=PROMPT_S)
        assert slow.asked == []
        assert start.ready()
        wait_for(start.value.cluster_state.ready, PROMPT_S)
        assert slow.asked == []


# Report 3: names were looked up in native threads, for the store as well; where none
# can be had the process ended at its start, and with several cores they take turns.
def test_a_daemon_runs_in_one_thread():
    with running_daemon() as run:
        wait_for(run.has_started, START_TIMEOUT_S)
        wait_for(lambda: "event=lost" in run.read_output(), START_TIMEOUT_S)
        threads = os.listdir(f"/proc/{run.process.pid}/task")
    assert len(threads) == 1
