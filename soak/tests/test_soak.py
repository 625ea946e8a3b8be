"""A short seeded soak, and each seed that once failed."""

import os
import signal
import time

from nose2.tools import params

from quetzalwall.connection.single_attempt import create_client
from soak.checks import Attempt, Calm, find_breaches
from soak.run import Soak, run_soak
from soak.schedule import make_schedule

SECONDS = 10.0


@params(1, 2)
def test_promises_hold_under_faults(seed):
    breaches, soak = run_soak(seed, SECONDS, fleet=3)
    assert not breaches, (soak.schedule, breaches[:5])
    assert sum(1 for a in soak.attempts if a.status == 200) > 200


def test_a_schedule_can_be_played_again():
    assert make_schedule(7, 30.0, 5) == make_schedule(7, 30.0, 5)
    assert make_schedule(7, 30.0, 5) != make_schedule(8, 30.0, 5)


class _Endpoint:
    def __init__(self, left_at=None, **runs):
        self.name = "ep-1"
        self.left_at = left_at
        self.limits = []
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


def _found(attempts, runs=None, calm=None, left_at=None):
    endpoints = [_Endpoint(left_at, **(runs or {}))]
    calm = calm or Calm([], [])
    return {b.promise for b in find_breaches(attempts, endpoints, calm)}


def test_checks_see_each_broken_promise():
    assert _found([_attempt(200)], {"r1": 1}) == set()
    assert _found([_attempt(200)], {"r1": 2}) == {"at most once"}
    assert _found([_attempt(503)], {"r1": 1}) == {"not run"}
    assert _found([_attempt(200, request_echo="r2")]) == {"own whole answer"}
    assert _found([_attempt(200, body="ep-1 r2 0")]) == {"own whole answer"}
    for status in (0, 500):
        assert _found([_attempt(status, planned=True)]) == {"planned stop"}
    old = _attempt(200, "v1")
    new = _attempt(200, "v2", sent=old.sent - 5.0, ended=old.sent - 4.0)
    assert _found([new, old]) == {"never back"}
    due = Calm([(old.sent - 9.0, 2)], [])
    assert _found([old], calm=due) == {"in force"}
    late = _attempt(404, "v2")
    assert _found([late], calm=due) == {"in force"}
    away = Calm(due.versions, [(old.sent - 1.0, old.sent, -1)])
    assert _found([late], calm=away) == set()
    gone = old.sent - 3.0
    assert _found([_attempt(200)], left_at=gone) == {"drain"}
    assert _found([_attempt(200)], left_at=old.sent - 2.0) == set()
    held = _attempt(0, "look", sent=old.sent - 4.0, ended=old.sent)
    assert _found([held]) == {"in time"}
    assert _found([held], calm=Calm([], [(old.sent - 1.0, old.sent, 0)])) == set()
    assert _found([held], calm=Calm([], [(old.sent - 1.0, old.sent, 1)])) == {"in time"}
    cut_off = Calm([], [(gone - 5.0, gone - 3.9, 0)])
    assert _found([_attempt(200)], calm=cut_off, left_at=gone) == set()
    assert _found([_attempt(200, instance=1)], calm=cut_off, left_at=gone) == {"drain"}


# Seed 4036: killed 0.2 s after it was told to stop, which no stop as planned survives.
def test_a_kill_during_a_stop_leaves_no_stop_as_planned():
    soak = Soak(4036, 1.0, 1)
    try:
        soak.world.start()
        instance = soak.world.instances[0]
        instance.stopping = True
        client = create_client(instance.address, soak.world.ports[0], "instance")
        assert soak._request(soak.rng, client, 0, instance).planned
        instance.signal(signal.SIGKILL)
        instance.process.wait()
        attempt = soak._request(soak.rng, client, 0, instance)
        assert attempt.status == 0 and not attempt.planned
        client.close()
    finally:
        soak.world.close()


def test_a_process_that_ends_by_itself_is_a_breach():
    soak = Soak(1, 1.0, 1)
    try:
        soak.world.start()
        instance = soak.world.instances[0]
        for number in (signal.SIGKILL, signal.SIGTERM):
            instance.signal(number)
            instance.process.wait()
            instance.start()
        soak._note_instances()
        assert not soak.breaches
        # Not through the instance, so that it was not told to end.
        os.kill(instance.process.pid, signal.SIGKILL)
        instance.process.wait()
        instance.start()
        soak._note_instances()
        assert [breach.promise for breach in soak.breaches] == ["runs on"]
    finally:
        soak.world.close()
