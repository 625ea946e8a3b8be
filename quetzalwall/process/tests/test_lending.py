import random

from quetzalwall.process.placing.steering import create_steering
from quetzalwall.process.sharing.ledger import Ledger, Loan
from quetzalwall.process.sharing.lending import (
    Wish,
    loans_to_return,
    units_to_lend,
    wishes,
)
from quetzalwall.tests.fixtures import make_tree
from quetzalwall.version.tree import merge_tree

KEYS = ("east-ep1/short", "east-ep2/short")


def make_steering(units):
    cfg = merge_tree(make_tree())
    ledger = Ledger()
    ledger.set_share(units, {})
    ledger.lease_until = 1e9
    steering = create_steering(cfg, "east", 0.0, random.Random(1), ledger)
    steering.tick(0.0)
    return steering


def use(steering, key, count):
    for _ in range(count):
        assert steering.ledger.acquire(key, 0.0, 1.0)


def test_waiting_requests_ask_the_own_region_first_and_others_later():
    from quetzalwall.request.classify import RequestFacts, classify

    steering = make_steering({})
    for number in range(3):
        facts = RequestFacts(f"r{number}", "desk", "GET", "/status/1", "c")
        steering.submit(classify(steering.cfg, facts, 0.0), 0.0)
    assert wishes(steering, 0.01) == [Wish("desk", "short", "east", 3, 3)]
    later = wishes(steering, 0.5)
    assert later[1:] == [Wish("desk", "short", "west", 3)]


def test_peer_that_waits_gets_what_is_free_now():
    steering = make_steering(dict.fromkeys(KEYS, 3))
    use(steering, KEYS[0], 3)
    steering.services["desk"].peak_used["short"] = 6.0
    urgent = Wish("desk", "short", "east", 9, 4)
    assert units_to_lend(steering, urgent, 0.0) == {KEYS[1]: 3}
    calm = Wish("desk", "short", "east", 9, 0)
    assert units_to_lend(steering, calm, 0.0) == {}


def test_lender_with_a_longer_line_keeps_its_units():
    steering = make_steering(dict.fromkeys(KEYS, 3))
    steering.services["desk"].lines["short"].push(_work("own"))
    wish = Wish("desk", "short", "east", 9, 1)
    assert sum(units_to_lend(steering, wish, 0.0).values()) <= 5


def test_leaving_endpoints_and_unknown_services_are_not_lent():
    steering = make_steering(dict.fromkeys(KEYS, 3))
    steering.set_leaving(["east-ep1"])
    wish = Wish("desk", "short", "east", 9, 1)
    assert units_to_lend(steering, wish, 0.0) == {KEYS[1]: 3}
    assert units_to_lend(steering, wish._replace(service="no"), 0.0) == {}


def test_idle_loans_are_returned_and_needed_ones_kept():
    steering = make_steering({})
    steering.ledger.borrow(Loan("a", "p", {KEYS[0]: 1}, 99.0), 0.0)
    steering.ledger.borrow(Loan("b", "p", {KEYS[1]: 1}, 99.0), 0.0)
    assert sorted(loans_to_return(steering, 0.0)) == ["a", "b"]
    use(steering, KEYS[0], 1)
    assert loans_to_return(steering, 0.0) == []


def _work(number):
    from quetzalwall.request.work import Work

    return Work(number, "desk", "status", 0, False, True, "c", 0.0, 9.0)
