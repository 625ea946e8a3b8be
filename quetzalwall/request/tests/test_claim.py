import json

import gevent

from quetzalwall.clock import system_clock
from quetzalwall.exceptions import NotRun
from quetzalwall.process.storage.write_batcher import create_write_batcher
from quetzalwall.request.claim import (
    Claim,
    RecordedAnswer,
    create_claims,
    request_digest,
)
from quetzalwall.tests.product_fixtures import (
    open_store_table,
    read_row,
    running_store,
    seeded_rng,
)

DIGEST = request_digest("POST", "/bookings", b"x")


class Attempts:
    """Claims of two instances on one store."""

    def __init__(self, store, table):
        self.store = store
        self.clock = system_clock()
        self.batchers = [
            create_write_batcher(table, self.clock, seeded_rng(n)) for n in range(2)
        ]
        self.claims = [
            create_claims(batcher, self.clock, f"instance-{n}", gevent.spawn)
            for n, batcher in enumerate(self.batchers)
        ]

    def claim(self, instance=0, key="k", digest=DIGEST, seconds=1.0):
        until = self.clock.monotonic() + seconds
        return self.claims[instance].claim("desk", key, digest, 2.0, until)

    def row(self, key="k"):
        return read_row(self.store, "claims", f"claim/desk/{key}")

    def write(self, value, key="k"):
        self.store.put("claims", f"claim/desk/{key}", json.dumps(value).encode())


def with_attempts(test):
    def run():
        with running_store() as store, open_store_table(store) as table:
            attempts = Attempts(store, table)
            for batcher in attempts.batchers:
                batcher.start()
            try:
                test(attempts)
            finally:
                for batcher in attempts.batchers:
                    batcher.close()

    run.__name__ = test.__name__
    return run


def eventually(condition):
    with gevent.Timeout(5.0):
        while not condition():
            gevent.sleep(0.02)


@with_attempts
def test_only_one_of_many_attempts_gets_a_key(attempts):
    tasks = [gevent.spawn(attempts.claim, n % 2) for n in range(20)]
    gevent.joinall(tasks)
    results = [task.value for task in tasks]
    assert sum(isinstance(result, Claim) for result in results) == 1
    states = {r.state for r in results if not isinstance(r, Claim)}
    assert states == {"in-progress"}


@with_attempts
def test_lost_reply_is_resolved_by_the_own_token(attempts):
    attempts.store.set_faults(lose_replies=1)
    claim = attempts.claim(seconds=3.0)
    assert isinstance(claim, Claim)
    assert attempts.row()["token"] == claim.token


@with_attempts
def test_write_that_takes_effect_late_does_not_free_the_key(attempts):
    attempts.store.set_faults(lose_replies=1, late_s=0.6)
    claim = attempts.claim(seconds=3.0)
    gevent.sleep(0.6)
    assert attempts.row()["token"] == claim.token
    assert attempts.claim(1).state == "in-progress"


@with_attempts
def test_repeat_gets_the_recorded_answer(attempts):
    claim = attempts.claim()
    answer = RecordedAnswer(201, [("X-Booking", "7")], b"booked")
    attempts.claims[0].record_answer(claim, answer)
    eventually(lambda: attempts.row()["state"] == "done")
    repeat = attempts.claim(1)
    assert (repeat.state, repeat.answer) == ("done", answer)


@with_attempts
def test_crash_after_the_claim_leaves_the_outcome_unknown(attempts):
    attempts.claim()
    row = attempts.row()
    row["at"] -= 3600
    attempts.write(row)
    assert attempts.claim(1).state == "unknown"


@with_attempts
def test_key_of_another_request_is_refused(attempts):
    attempts.claim()
    other = request_digest("POST", "/bookings", b"y")
    assert attempts.claim(1, digest=other).state == "mismatch"


@with_attempts
def test_claim_recorded_as_not_run_may_be_claimed_again(attempts):
    claim = attempts.claim()
    attempts.claims[0].record_not_run(claim)
    eventually(lambda: attempts.row()["state"] == "not-run")
    again = attempts.claim(1)
    assert isinstance(again, Claim)
    assert attempts.claim(0).state == "in-progress"


@with_attempts
def test_store_down_means_not_run_and_leaves_the_key_free(attempts):
    attempts.store.set_faults(down=True)
    try:
        attempts.claim(seconds=0.3)
        raise AssertionError("the claim went through")
    except NotRun as exc:
        assert (exc.step, exc.peer) == ("claim", "table")
    attempts.store.set_faults(down=False)
    eventually(lambda: attempts.row() is not None)
    assert attempts.row()["state"] == "not-run"
    assert isinstance(attempts.claim(1), Claim)


@with_attempts
def test_given_up_claim_never_undoes_the_claim_of_another(attempts):
    # The first attempt gives up; its write never arrives. The second claims the key.
    # What the first writes afterwards must not free the key for a third.
    attempts.store.set_faults(down=True)
    try:
        attempts.claim(0, seconds=0.2)
    except NotRun:
        pass
    attempts.store.put(
        "claims", "claim/desk/k", json.dumps(_claim_of("other")).encode()
    )
    attempts.store.set_faults(down=False)
    gevent.sleep(2.5)
    assert attempts.row()["state"] == "claimed"
    assert attempts.claim(1).state == "in-progress"


def _claim_of(token):
    now = system_clock().wall()
    return {
        "token": token,
        "instance": "instance-9",
        "state": "claimed",
        "digest": DIGEST,
        "at": now,
        "duration_s": 60.0,
    }


@with_attempts
def test_claims_share_transactions(attempts):
    tasks = [gevent.spawn(attempts.claim, 0, f"k{n}") for n in range(200)]
    gevent.joinall(tasks)
    assert all(isinstance(task.value, Claim) for task in tasks)
    assert attempts.store.calls <= 20
