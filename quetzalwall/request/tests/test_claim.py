import json

import gevent

from quetzalwall.clock import system_clock
from quetzalwall.exceptions import NotRun
from quetzalwall.process.storage.write_batcher import create_write_batcher
from quetzalwall.request.claim import (
    Claim,
    RecordedResponse,
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


class TwoInstances:
    """Claims of two instances that share one store."""

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
        deadline = self.clock.monotonic() + seconds
        return self.claims[instance].claim("desk", key, digest, 2.0, deadline)

    def row(self, key="k"):
        return read_row(self.store, "claims", f"claim/desk/{key}")

    def write(self, value, key="k"):
        self.store.put("claims", f"claim/desk/{key}", json.dumps(value).encode())


def with_two_instances(test):
    def run():
        with running_store() as store, open_store_table(store) as table:
            instances = TwoInstances(store, table)
            for batcher in instances.batchers:
                batcher.start()
            try:
                test(instances)
            finally:
                for batcher in instances.batchers:
                    batcher.close()

    run.__name__ = test.__name__
    return run


def wait_until(condition):
    with gevent.Timeout(5.0):
        while not condition():
            gevent.sleep(0.02)


@with_two_instances
def test_only_one_of_many_attempts_gets_a_key(instances):
    tasks = [gevent.spawn(instances.claim, n % 2) for n in range(20)]
    gevent.joinall(tasks)
    results = [task.value for task in tasks]
    assert sum(isinstance(result, Claim) for result in results) == 1
    states = {r.state for r in results if not isinstance(r, Claim)}
    assert states == {"in-progress"}


@with_two_instances
def test_lost_reply_is_resolved_by_the_token_of_the_attempt(instances):
    instances.store.set_faults(lose_replies=1)
    claim = instances.claim(seconds=3.0)
    assert isinstance(claim, Claim)
    assert instances.row()["token"] == claim.token


@with_two_instances
def test_late_write_does_not_free_the_key(instances):
    instances.store.set_faults(lose_replies=1, late_s=0.6)
    claim = instances.claim(seconds=3.0)
    gevent.sleep(0.6)
    assert instances.row()["token"] == claim.token
    assert instances.claim(1).state == "in-progress"


@with_two_instances
def test_repeated_request_gets_the_recorded_response(instances):
    claim = instances.claim()
    response = RecordedResponse(201, [("X-Booking", "7")], b"booked")
    instances.claims[0].record_response(claim, response)
    wait_until(lambda: instances.row()["state"] == "done")
    repeat = instances.claim(1)
    assert (repeat.state, repeat.response) == ("done", response)


@with_two_instances
def test_crash_after_the_claim_leaves_the_outcome_unknown(instances):
    instances.claim()
    row = instances.row()
    row["at"] -= 3600
    instances.write(row)
    assert instances.claim(1).state == "unknown"


@with_two_instances
def test_key_of_another_request_is_rejected(instances):
    instances.claim()
    other = request_digest("POST", "/bookings", b"y")
    assert instances.claim(1, digest=other).state == "mismatch"


@with_two_instances
def test_claim_recorded_as_not_run_may_be_claimed_again(instances):
    claim = instances.claim()
    instances.claims[0].record_not_run(claim)
    wait_until(lambda: instances.row()["state"] == "not-run")
    again = instances.claim(1)
    assert isinstance(again, Claim)
    assert instances.claim(0).state == "in-progress"


@with_two_instances
def test_store_down_means_not_run_and_leaves_the_key_free(instances):
    instances.store.set_faults(down=True)
    try:
        instances.claim(seconds=0.3)
        raise AssertionError("the claim went through")
    except NotRun as exc:
        assert (exc.step, exc.peer) == ("claim", "table")
    instances.store.set_faults(down=False)
    wait_until(lambda: instances.row() is not None)
    assert instances.row()["state"] == "not-run"
    assert isinstance(instances.claim(1), Claim)


@with_two_instances
def test_abandoned_claim_never_undoes_another_claim(instances):
    # The first attempt abandons its claim, whose write never arrives, and another one
    # claims the key. What the first writes afterwards must not free it for a third one.
    instances.store.set_faults(down=True)
    try:
        instances.claim(0, seconds=0.2)
    except NotRun:
        pass
    instances.store.put(
        "claims", "claim/desk/k", json.dumps(_claim_row("other")).encode()
    )
    instances.store.set_faults(down=False)
    gevent.sleep(2.5)
    assert instances.row()["state"] == "claimed"
    assert instances.claim(1).state == "in-progress"


def _claim_row(token):
    now = system_clock().wall()
    return {
        "token": token,
        "instance": "instance-9",
        "state": "claimed",
        "digest": DIGEST,
        "at": now,
        "duration_s": 60.0,
    }


@with_two_instances
def test_concurrent_claims_share_transactions(instances):
    tasks = [gevent.spawn(instances.claim, 0, f"k{n}") for n in range(200)]
    gevent.joinall(tasks)
    assert all(isinstance(task.value, Claim) for task in tasks)
    assert instances.store.calls <= 20
