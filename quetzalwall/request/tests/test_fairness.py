"""Shares of client accounts in a service that can't serve all requests."""

import math
import random
from collections import Counter
from types import SimpleNamespace

from quetzalwall.request.fairness import create_fairness, fair_shares

CAPACITY_PER_S = 100.0
TARGET_S = 0.5
WARM_UP_S, DURATION_S = 10.0, 40.0
ROUTE = SimpleNamespace(target_s=TARGET_S, split=(("desk", 1),))
HOSTS = {"host": (ROUTE,)}
SMALL = {(1, f"small-{n}"): 1.0 for n in range(80)}


def served_fractions(demands, seed=1, warm_up_s=WARM_UP_S, duration_s=DURATION_S):
    """Return served requests as a fraction of those asked for: by account, and of all.

    An endpoint serves in order of arrival; its backlog is the queueing delay.
    """
    rng = random.Random(seed)
    fairness, cfg = create_fairness(rng), SimpleNamespace(accounts={}, hosts=HOSTS)
    keys, weights = list(demands), list(demands.values())
    now = backlog = 0.0
    asked, served = Counter(), Counter()
    while now < duration_s:
        elapsed_s = rng.expovariate(sum(weights))
        now, backlog = now + elapsed_s, max(0.0, backlog - elapsed_s * CAPACITY_PER_S)
        rank, name = rng.choices(keys, weights)[0]
        req = SimpleNamespace(
            cfg=cfg,
            service="desk",
            route=SimpleNamespace(name="look", rank=rank, target_s=TARGET_S),
            account=SimpleNamespace(name=name),
        )
        limit_s, _ = fairness.max_queueing_s(req, now)
        accepted = backlog / CAPACITY_PER_S <= limit_s
        if accepted:
            backlog += 1
            fairness.record_accepted(req, now)
        if now > warm_up_s:
            asked[rank, name] += 1
            served[rank, name] += accepted
    fractions = {key: served[key] / asked[key] for key in asked}
    return fractions, served.total() / asked.total(), served.total()


def check_all_served_a_quarter(fractions, fraction_of_all):
    assert min(fractions.values()) >= fraction_of_all / 4


def check_capacity_is_used(served):
    assert served >= 0.97 * CAPACITY_PER_S * (DURATION_S - WARM_UP_S)


def test_one_hot_account_is_cut_before_the_small_ones():
    fractions, of_all, served = served_fractions(SMALL | {(1, "hot"): 70.0})
    small = sum(fractions[key] for key in SMALL) / len(SMALL)
    assert small >= 0.97
    assert fractions[1, "hot"] <= 0.4
    check_all_served_a_quarter(fractions, of_all)
    check_capacity_is_used(served)


def test_two_hot_accounts_beside_eighty_small_ones_get_equal_parts():
    hot = {(1, "hot"): 70.0, (1, "hotter"): 140.0}
    fractions, of_all, served = served_fractions(SMALL | hot)
    small = sum(fractions[key] for key in SMALL) / len(SMALL)
    assert small >= 0.95
    check_all_served_a_quarter(fractions, of_all)
    check_capacity_is_used(served)


# While the queue filled, the capacity was overestimated: requests within the share of
# the hot account filled the queue, and one in ten of the small account was rejected.
def test_a_small_account_is_served_from_the_onset_of_a_shortage():
    demands = {(1, "small"): 20.0, (1, "hot"): 200.0}
    for seed in (1, 2, 3):
        fractions, _, served = served_fractions(demands, seed, 0.0, 10.0)
        assert fractions[1, "small"] >= 0.97
        assert served >= CAPACITY_PER_S * 10.0


def test_with_all_at_one_and_a_half_times_the_capacity_none_is_starved():
    demands = {(1, f"account-{n}"): 7.5 for n in range(20)}
    fractions, of_all, served = served_fractions(demands)
    assert min(fractions.values()) >= 0.8 * of_all
    check_all_served_a_quarter(fractions, of_all)
    check_capacity_is_used(served)


def test_a_surge_of_the_rarer_and_more_urgent_kind_goes_first_and_starves_none():
    demands = {(0, "urgent"): 80.0, (1, "usual"): 90.0}
    fractions, of_all, served = served_fractions(demands)
    assert fractions[0, "urgent"] >= 0.95
    check_all_served_a_quarter(fractions, of_all)
    check_capacity_is_used(served)


def test_nothing_is_rejected_while_all_can_be_served():
    fractions, _, _ = served_fractions(SMALL)
    assert min(fractions.values()) == 1


def test_shares_add_up_to_the_capacity_and_no_share_exceeds_its_demand():
    rng = random.Random(3)
    for _ in range(200):
        demands = {
            (rng.randrange(3), str(n)): rng.expovariate(1) ** 3 for n in range(9)
        }
        capacity = rng.random() * sum(demands.values())
        shares = fair_shares(demands, capacity)
        assert math.isclose(sum(shares.values()), capacity)
        assert all(shares[key] <= demands[key] + 1e-9 for key in demands)
        minimum = 0.25 * capacity / sum(demands.values())
        assert all(shares[key] >= minimum * demands[key] for key in demands)


def test_a_configuration_without_accounts_keeps_the_limits_of_the_routes():
    req = SimpleNamespace(cfg=SimpleNamespace(accounts=None))
    assert create_fairness(random.Random(1)).max_queueing_s(req, 0.0) == (None, False)
