import random

from hypothesis import given, settings
from hypothesis import strategies as st

from quetzalwall.process.placing.loads import record_failure
from quetzalwall.process.placing.steering import create_steering
from quetzalwall.process.sharing.ledger import Ledger
from quetzalwall.request.classify import RequestFacts, classify
from quetzalwall.request.work import Grant, Shed
from quetzalwall.tests.fixtures import make_tree
from quetzalwall.version.shares import slot_totals
from quetzalwall.version.tree import merge_tree


def make_steering(shifts=None, **options):
    cfg = merge_tree(make_tree(**options))
    cfg["shifts"] = shifts or {}
    ledger = Ledger()
    units = slot_totals(cfg, "desk") | {
        f"shift/{n}": s["cap_requests"] for n, s in cfg["shifts"].items()
    }
    ledger.set_share(units, {})
    ledger.lease_until = 1e9
    steering = create_steering(cfg, "east", 0.0, random.Random(1), ledger)
    steering.tick(0.0)
    return steering


def work(steering, number, path="/status/1", now=0.0, caller="c", **facts):
    found = RequestFacts(f"r{number}", "desk", "GET", path, caller, **facts)
    return classify(steering.cfg, found, now)


def submit(steering, *args, now=0.0, **options):
    return steering.submit(work(steering, *args, now=now, **options), now)


def only_grant(decisions):
    assert len(decisions) == 1 and isinstance(decisions[0], Grant), decisions
    return decisions[0]


def learn(steering, endpoint, seconds, times=8):
    """Let an endpoint answer some requests, each taking so long."""
    service = steering.services["desk"]
    service.loads[endpoint].update(samples=times, ewma_s=seconds)
    service.typical = 0.02


def test_own_region_is_preferred():
    steering = make_steering()
    for number in range(4):
        grant = only_grant(submit(steering, number))
        assert grant.endpoint.startswith("east")


def test_short_work_never_waits_behind_long():
    steering = make_steering(endpoints=1, slots=3, regions=("east",))
    for number in range(5):
        submit(steering, number, "/photos", body_bytes=10**7)
    assert len(steering.services["desk"].lines["long"]) == 4
    grants = [only_grant(submit(steering, 10 + n)) for n in range(2)]
    assert {grant.key for grant in grants} == {"east-ep1/short"}


def test_more_important_class_leaves_the_line_first():
    steering = make_steering(endpoints=1, slots=1, regions=("east",))
    first = only_grant(submit(steering, 0))
    submit(steering, 1, "/promotion")
    submit(steering, 2, "/status/2")
    steering.finish(first, 0.01, answered=True)
    assert only_grant(steering.pump("desk", 0.01)).work.request_id == "r2"


def test_request_that_would_wait_too_long_is_refused_at_once():
    steering = make_steering(endpoints=1, slots=1, regions=("east",))
    only_grant(submit(steering, 0))
    steering.services["desk"].mean_s["short"] = 1.5
    steering.tick(0.2)
    submit(steering, 1, now=0.2)
    submit(steering, 2, now=0.2)
    refused = submit(steering, 3, now=0.2)
    assert [d.reason for d in refused] == ["would wait past its deadline"]


def test_waiting_request_is_refused_when_its_deadline_passes():
    steering = make_steering(endpoints=1, slots=1, regions=("east",))
    only_grant(submit(steering, 0))
    assert submit(steering, 1) == []
    decisions = steering.tick(2.5)
    assert [type(d) for d in decisions] == [Shed]


def test_leaving_endpoint_gets_nothing():
    steering = make_steering()
    steering.set_leaving(["east-ep1"])
    for number in range(4):
        assert only_grant(submit(steering, number)).endpoint == "east-ep2"


def test_slow_endpoint_is_avoided_and_probed_by_copies():
    steering = make_steering()
    learn(steering, "east-ep1", 0.02)
    learn(steering, "east-ep2", 0.02)
    for number in range(3):
        load = steering.services["desk"].loads["east-ep1"]
        record_failure(load, f"x{number}", 0.0)
    steering.services["desk"].slow.add("east-ep1")
    grants = [only_grant(submit(steering, n)) for n in range(4)]
    assert {grant.endpoint for grant in grants} == {"east-ep2"}
    steering.services["desk"].budget.credit = 2.0
    item = work(steering, 50, now=5.0)
    for grant in grants:
        steering.finish(grant, 5.0, answered=True)
    probe = steering.probe(item, 5.0)
    assert probe.endpoint == "east-ep1"
    assert steering.probe(work(steering, 51, now=5.0), 5.0) is None


def test_when_all_look_slow_all_are_used():
    steering = make_steering(regions=("east",))
    service = steering.services["desk"]
    for name, load in service.loads.items():
        load.update(slow=True, samples=10)
        service.slow.add(name)
    assert isinstance(only_grant(submit(steering, 1)), Grant)


def test_hedges_stay_within_the_budget_and_only_for_idempotent_short_work():
    steering = make_steering(slots=50)
    hedges = 0
    for number in range(200):
        grant = only_grant(submit(steering, number))
        copy = grant.work._replace(request_id=f"h{number}")
        hedge = steering.hedge(copy, grant.endpoint, 0.0)
        if hedge is not None:
            assert hedge.endpoint != grant.endpoint
            hedges += 1
            steering.finish(hedge, 0.0, answered=True)
        steering.finish(grant, 0.0, answered=True)
    assert 5 <= hedges <= 10
    steering.services["desk"].budget.credit = 5.0
    for path in ("/bookings", "/photos"):
        assert steering.hedge(work(steering, 999, path), "", 0.0) is None


SHIFT = {
    "service": "desk",
    "from": "east",
    "to": "west",
    "fraction": 1.0,
    "cap_requests": 3,
    "interval_s": 1.0,
}


@settings(max_examples=40, deadline=None, derandomize=True)
@given(st.lists(st.tuples(st.floats(0, 0.4), st.booleans()), max_size=60))
def test_shift_and_overflow_together_keep_the_cap(steps):
    steering = make_steering({"move": SHIFT}, endpoints=1, slots=3)
    steering.shifts["move"].fraction = 1.0
    now, moved, running = 0.0, [], []
    for number, (pause, finish) in enumerate(steps):
        now += pause
        steering.shifts["move"].fraction = 1.0
        for decision in submit(steering, number, now=now) + steering.tick(now):
            if isinstance(decision, Grant):
                running.append(decision)
                if decision.endpoint.startswith("west"):
                    moved.append(now)
        if finish and running:
            steering.finish(running.pop(0), now, answered=True)
    for start in moved:
        assert sum(start <= at < start + 1.0 for at in moved) <= 3


def test_shift_holds_and_slows_by_what_is_measured():
    steering = make_steering({"move": SHIFT})
    progress = steering.shifts["move"]
    progress.fraction = 0.4
    progress._baseline_s = 0.02
    steps = ((0.02, 0.0, 0.9, 0.5), (0.02, 9.0, 0.9, 0.5), (0.09, 0.0, 0.9, 0.25))
    for number, (measured, age, headroom, expected) in enumerate(steps, 1):
        progress.step(measured, age, headroom, 10.0 * number)
        assert round(progress.fraction, 3) == expected
    progress.step(0.02, 0.0, 0.05, 100.0)
    assert round(progress.fraction, 3) == 0.125
    progress.spec = {**progress.spec, "state": "stopped"}
    progress.step(0.02, 0.0, 0.9, 200.0)
    assert progress.fraction == 0.0


def test_stopped_shift_keeps_overflow_out_of_the_region():
    steering = make_steering({"move": SHIFT | {"state": "stopped"}}, endpoints=1)
    grants = [d for n in range(12) for d in submit(steering, n)]
    assert {grant.endpoint for grant in grants} == {"east-ep1"}


def test_endpoint_wrongly_taken_for_slow_is_tried_again_under_full_load():
    # No probes are sent while no slot is spare; a request that waited must try it.
    steering = make_steering(regions=("east",), endpoints=4, slots=1)
    service = steering.services["desk"]
    for name in service.endpoints:
        learn(steering, name, 0.02)
    load = service.loads["east-ep1"]
    load.update(slow=True, penalty_s=8.0, probe_at=99.0)
    service.slow.add("east-ep1")
    for number in range(3):
        only_grant(submit(steering, number))
    assert submit(steering, 9) == []
    grant = only_grant(steering.tick(0.5))
    assert grant.endpoint == "east-ep1"
    steering.finish(grant, 0.52, answered=True)
    assert not len(service.slow)
