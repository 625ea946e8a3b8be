import random

from nose2.tools import params

from quetzalwall.platform.bounds import Bounds
from quetzalwall.process.limits.cold_start_limiter import (
    cold_endpoint_share,
    create_cold_start_limiter,
)
from quetzalwall.process.limits.retry_budget import create_retry_budget
from quetzalwall.process.limits.weighted_split import create_weighted_split
from quetzalwall.version.model import Route

BOUNDS = Bounds()


def split_route(split):
    return Route("r", "h", "/", True, None, 1.0, 1, 2, False, (), split)


@params(1, 2, 7, 8, 26, 36, 300)
def test_shares_of_a_cold_endpoint_never_exceed_its_limit(instances):
    names = [f"front-{n}" for n in range(instances)]
    for endpoint in ("ep-1", "ep-2", "ep-3"):
        for limit in (6.0, 8.0, 12.35):
            shares = [
                cold_endpoint_share(limit, name, endpoint, names) for name in names
            ]
            assert 0 < sum(shares) <= limit


def test_a_cold_endpoint_gets_no_more_than_its_limit_in_any_second():
    names = [f"front-{n}" for n in range(7)]
    limiters = [create_cold_start_limiter(name, BOUNDS) for name in names]
    rng = random.Random(1)
    sent_at = []
    for step in range(3000):
        now = step / 100
        for limiter in limiters:
            if rng.random() < 0.3 and limiter.allows("ep", 4.9, names, now):
                limiter.record_request("ep", now)
                sent_at.append(now)
    limit = 4.9 * BOUNDS.cold_overage + BOUNDS.cold_slack
    max_per_s = max(
        sum(1 for at in sent_at if start <= at < start + 1.0) for start in sent_at
    )
    assert 0 < max_per_s <= limit


def test_retries_of_all_instances_stay_within_the_budget():
    instances, per_s = 7, 100.0
    budgets = [create_retry_budget(BOUNDS) for _ in range(instances)]
    retries = requests = 0
    for step in range(1000):
        now = step / 100
        budget = budgets[step % instances]
        budget.record_request("desk", now)
        requests += 1
        while budget.try_acquire("desk", now, instances):
            retries += 1
    assert requests == per_s * 10
    assert retries <= BOUNDS.retry_ratio * requests + BOUNDS.retry_slack
    assert retries > 0


# Hedged requests must leave half of the budget to retries, and stay within their share
# at all instances together.
@params((0.2, 0.2), (0.02, 0.02), (0.0, 0.0))
def test_hedges_of_all_instances_stay_within_their_share(share, limit):
    budgets = [create_retry_budget(BOUNDS, share) for _ in range(7)]
    hedges = 0
    for step in range(1000):
        now, budget = step / 100, budgets[step % 7]
        budget.record_request("desk", now)
        if budget.hedge_obstacle("desk", now, 7) is None:
            budget.record_hedge("desk", now)
            hedges += 1
    within = 0.5 * (BOUNDS.retry_ratio * 1000 + BOUNDS.retry_slack)
    assert hedges <= min(limit * 1000, within) and (hedges > 0) == (share > 0)
    while budgets[0].try_acquire("desk", 10.0, 7):
        hedges += 1
    assert budgets[0].hedge_obstacle("desk", 10.0, 7) in ("share", "budget")


@params(((("a", 90.0), ("b", 10.0)),), ((("a", 1.0), ("b", 1.0), ("c", 2.0)),))
def test_a_split_follows_its_weights(split):
    weighted = create_weighted_split(random.Random(3))
    counts = dict.fromkeys([service for service, _ in split], 0)
    for _ in range(300):
        counts[weighted.next_service(split_route(split))] += 1
    total = sum(weight for _, weight in split)
    for service, weight in split:
        assert abs(counts[service] / 300 - weight / total) < 0.01


def test_a_service_of_weight_zero_gets_nothing():
    split = (("a", 1.0), ("b", 0.0))
    for seed in range(20):
        weighted = create_weighted_split(random.Random(seed))
        assert {weighted.next_service(split_route(split)) for _ in range(50)} == {"a"}
