"""Short soak runs, the soak's checks, and its treatment of signalled processes."""

import os
import signal
import time

from nose2.tools import params

from quetzalwall.connection.single_attempt import create_client
from soak.checks import Attempt, Timeline, find_breaches
from soak.run import Soak, run_soak
from soak.schedule import make_schedule

SECONDS = 10.0


@params(1, 2)
def test_promises_hold_under_faults(seed):
    breaches, soak = run_soak(seed, SECONDS, instance_count=3)
    assert not breaches, (soak.schedule, breaches[:5])
    assert sum(1 for a in soak.attempts if a.status == 200) > 200


def test_schedule_is_reproducible():
    assert make_schedule(7, 30.0, 5) == make_schedule(7, 30.0, 5)
    assert make_schedule(7, 30.0, 5) != make_schedule(8, 30.0, 5)


class _Endpoint:
    def __init__(self, draining_since=None, **runs):
        self.name = "ep-1"
        self.draining_since = draining_since
        self.advertised_limits = []
        self.pauses = []
        self.arrivals, self.arrival_times = [], []
        self.runs = runs


def _attempt(status, kind="book", **fields):
    now = time.monotonic()
    values = {
        "request_id": "r1",
        "kind": kind,
        "instance": 0,
        "starts": 1,
        "sent": now,
        "ended": now + 1.0,
        "status": status,
        "request_echo": "r1",
        "body": "ep-1 r1 0",
        "planned": False,
    }
    return Attempt(**(values | fields))


def _breached(attempts, runs=None, timeline=None, draining_since=None):
    endpoints = [_Endpoint(draining_since, **(runs or {}))]
    timeline = timeline or Timeline([], [])
    return {b.promise for b in find_breaches(attempts, endpoints, timeline)}


@params(
    (404, "look", True), (413, "book", True), (429, "book", False), (404, "v3", False)
)
def test_a_proper_request_must_not_be_rejected_as_wrong(status, kind, expected):
    found = _breached([_attempt(status, kind)])
    assert ("proper requests" in found) == expected


# A check that never finds anything would hide that an endpoint's request is ignored.
def test_requests_within_the_time_that_an_endpoint_asks_for_are_found():
    endpoint, attempt = _Endpoint(), _attempt(503, "look")
    endpoint.pauses.append((attempt.sent, attempt.sent + 9.0, 3.0))
    for delay_s in (0.0, 0.4, 1.0, 2.0, 3.1):
        endpoint.arrivals.append(("r1", {}))
        endpoint.arrival_times.append(attempt.sent + delay_s)
    assert not find_breaches([attempt], [endpoint], Timeline([], []))
    endpoint.arrivals.append(("r1", {}))
    endpoint.arrival_times.append(attempt.sent + 2.9)
    found = find_breaches([attempt], [endpoint], Timeline([], []))
    assert [breach.promise for breach in found] == ["no requests asked for"]


def test_each_kind_of_breach_is_found():
    assert _breached([_attempt(200)], {"r1": 1}) == set()
    assert _breached([_attempt(200)], {"r1": 2}) == {"at most once"}
    assert _breached([_attempt(503)], {"r1": 1}) == {"not run"}
    assert _breached([_attempt(200, request_echo="r2")]) == {"own complete response"}
    assert _breached([_attempt(200, body="ep-1 r2 0")]) == {"own complete response"}
    for status in (0, 500):
        assert _breached([_attempt(status, planned=True)]) == {"planned stop"}
    old = _attempt(200, "v1")
    new = _attempt(200, "v2", sent=old.sent - 5.0, ended=old.sent - 4.0)
    assert _breached([new, old]) == {"never reverts"}
    version_due = Timeline([(old.sent - 9.0, 2)], [])
    assert _breached([old], timeline=version_due) == {"active configuration"}
    no_route = _attempt(404, "v2")
    assert _breached([no_route], timeline=version_due) == {"active configuration"}
    disrupted = Timeline(version_due.versions, [(old.sent - 1.0, old.sent, -1)])
    assert _breached([no_route], timeline=disrupted) == set()
    drain_began = old.sent - 3.0
    assert _breached([_attempt(200)], draining_since=drain_began) == {"drain"}
    assert _breached([_attempt(200)], draining_since=old.sent - 2.0) == set()
    overdue = _attempt(0, "look", sent=old.sent - 4.0, ended=old.sent)
    assert _breached([overdue]) == {"deadline"}
    assert (
        _breached([overdue], timeline=Timeline([], [(old.sent - 1.0, old.sent, 0)]))
        == set()
    )
    assert _breached(
        [overdue], timeline=Timeline([], [(old.sent - 1.0, old.sent, 1)])
    ) == {"deadline"}
    cut_off = Timeline([], [(drain_began - 5.0, drain_began - 3.9, 0)])
    assert (
        _breached([_attempt(200)], timeline=cut_off, draining_since=drain_began)
        == set()
    )
    assert _breached(
        [_attempt(200, instance=1)], timeline=cut_off, draining_since=drain_began
    ) == {"drain"}


# Seed 9343: idle callers held all connections of a stopping instance, and the connect
# of another one timed out.
def test_a_request_that_got_no_connection_is_not_cut_off():
    for status, connected, runs, expected in [
        (0, False, {}, set()),
        (0, False, {"r1": 1}, {"planned stop"}),
        (0, True, {}, {"planned stop"}),
    ]:
        attempt = _attempt(status, planned=True, connected=connected)
        assert _breached([attempt], runs) == expected


# Seed 4036 killed an instance 0.2 s after SIGTERM. The promise about planned stops does
# not cover requests that the kill cuts off.
def test_a_kill_during_a_stop_makes_it_unplanned():
    soak = Soak(4036, 1.0, 1)
    try:
        soak.site.start()
        instance = soak.site.instances[0]
        instance.stopping = True
        client = create_client(instance.address, soak.site.ports[0], "instance")
        assert soak.callers._send_request(soak.rng, client, 0, instance).planned
        instance.signal(signal.SIGKILL)
        instance.process.wait()
        attempt = soak.callers._send_request(soak.rng, client, 0, instance)
        assert attempt.status == 0 and not attempt.planned
        client.close()
    finally:
        soak.site.close()


def test_an_unexpected_exit_is_a_breach():
    soak = Soak(1, 1.0, 1)
    try:
        soak.site.start()
        instance = soak.site.instances[0]
        for number in (signal.SIGKILL, signal.SIGTERM):
            instance.signal(number)
            instance.process.wait()
            instance.start()
        soak._check_instances()
        assert not soak.breaches
        # Sent past `Instance.signal`, so that the exit counts as unexpected.
        os.kill(instance.process.pid, signal.SIGKILL)
        instance.process.wait()
        instance.start()
        soak._check_instances()
        assert [breach.promise for breach in soak.breaches] == ["stays up"]
    finally:
        soak.site.close()
