"""Decisions on hedged requests, without a network."""

from types import SimpleNamespace

from nose2.tools import params

from quetzalwall.platform.settings import Bounds
from quetzalwall.process.limits.retry_budget import create_retry_budget
from quetzalwall.request.choice import Choice
from quetzalwall.request.hedging import create_hedging
from quetzalwall.request.tests.test_choice_cpu_time import desk_route, make_chooser

NOW = 1000.0


def make_hedging(share=0.1, requests=1000, long_s=0.7):
    """Return hedging that has learned work of 0.1 s, with 4% of ``long_s``."""
    chooser, budget = make_chooser(3, 6, 0.0), create_retry_budget(Bounds(), share)
    chooser._latency._work = {("look", False): 0.1}
    endpoints, latency = chooser._endpoints, chooser._latency
    hedging = create_hedging(chooser, endpoints, latency, budget)
    cfg, route = desk_route()
    for number in range(requests):
        budget.record_request("desk", NOW)
        hedging.record_work(route, False, long_s if number % 25 == 0 else 0.1)
    first = Choice(endpoints.get("ep-0"), 0, False, None, 0.102, 0.0, 1.0, 6)
    req = SimpleNamespace(cfg=cfg, route=route, service="desk", object_key=None)
    req.deadline = NOW + 2.0
    return hedging, req, first, budget


def decide(hedging, req, first):
    found = hedging.decide(req, first, ["ep-0"], 0.11, NOW, 3)
    return found if isinstance(found, str) else "sent"


# The wait follows the endpoint: a slow or crowded one isn't late when a quick one is.
def test_the_time_until_late_follows_slowness_and_queueing():
    hedging, req, first, _ = make_hedging()
    assert abs(hedging.late_after_s(req.route, first, NOW) - 0.102) < 0.005
    slow = first._replace(slowness=2.5, expected_s=0.252 + 0.3, queueing_delay_s=0.3)
    assert abs(hedging.late_after_s(req.route, slow, NOW) - 0.552) < 0.005
    first.state.record_slowness(2.5, NOW)
    assert abs(hedging.late_after_s(req.route, first, NOW) - 0.252) < 0.005


# Without the cancelled attempts, each hedge that won would lower the quantile, until
# ordinary requests were hedged and long ones no longer expected.
def test_cancelled_attempts_lower_neither_quantile_nor_excess():
    hedging, req, first, _ = make_hedging()
    before_s = hedging.late_after_s(req.route, first, NOW)
    for number in range(1000):
        if number % 25 == 0:
            hedging.record_attempt(req.route, first, 0.21, NOW, complete=False)
        else:
            hedging.record_work(req.route, False, 0.1)
    assert hedging.late_after_s(req.route, first, NOW) >= before_s
    assert decide(hedging, req, first) == "sent"


@params(("sent", {}), ("share", {"share": 0.0}), ("not sooner", {"long_s": 0.12}))
def test_a_late_attempt_is_hedged_only_within_its_limits(expected, options):
    assert decide(*make_hedging(**options)[:3]) == expected


# Hedges come after retries, never reach a crowded service or a busy endpoint, and none
# is sent that would end after the deadline.
def test_budget_load_and_deadline_withhold_a_hedge():
    hedging, req, first, budget = make_hedging()
    states = list(hedging._endpoints)
    for state in states:
        state.peer_in_flight = 5
    assert decide(hedging, req, first) == "busy"
    for state in states:
        state.peer_in_flight = 4 if state.region == "north" else 0
    assert decide(hedging, req, first) == "no endpoint"
    for state in states:
        state.peer_in_flight = 0
    req.deadline = NOW + 0.05
    assert decide(hedging, req, first) == "not sooner"
    req.deadline = NOW + 2.0
    while hedging._budget.hedge_obstacle("desk", NOW, 3) is None:
        assert budget.try_acquire("desk", NOW, 3)
    assert decide(hedging, req, first) == "budget"
    assert budget.allows_retry("desk", NOW, 3)
