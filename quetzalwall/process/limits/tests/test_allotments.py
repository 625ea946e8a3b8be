"""Allotments of client accounts at instances that exchange reports."""

import random
from types import SimpleNamespace

from nose2.tools import params

from benchmarks.allotment_simulation import AllotmentPattern, simulate_allotment
from quetzalwall.platform.bounds import Bounds
from quetzalwall.process.cluster.peer_report import PeerInfo
from quetzalwall.process.limits.allotments import START_S, create_allotments
from quetzalwall.version.accounts import ClientAccount, create_accounts

ACCOUNT = ClientAccount("acme", None, 10.0, 20.0)
MIN_USED_FRACTION = 0.95
MEMBERS = [PeerInfo(name, "north", "north-a", "127.0.0.1") for name in "ab"]


def create(own="a", members=MEMBERS[:1], account=ACCOUNT, started_at=0.0):
    allotments = create_allotments(own, lambda: members, random.Random(1))
    configure(allotments, account)
    allotments.own_report(started_at)
    return allotments


def configure(allotments, account):
    accounts = create_accounts([(account, ["key"])])
    allotments.configure(SimpleNamespace(accounts=accounts), Bounds())


def run_until(allotments, begin, end):
    """Let time pass in which an instance reports as usual."""
    for tick in range(int(begin * 10), int(end * 10) + 1):
        allotments.own_report(tick / 10)


def admitted(allotments, count, now):
    return sum(allotments.try_admit(ACCOUNT, now) is None for _ in range(count))


# A process that starts with a full bucket adds a burst to what the one before admitted.
def test_the_bucket_of_a_new_process_is_empty_and_fills_at_the_rate():
    allotments = create()
    assert admitted(allotments, 50, 0.5) == 0
    run_until(allotments, 0.5, START_S + 1)
    assert 8 <= admitted(allotments, 50, START_S + 1) <= 10


def test_an_instance_alone_uses_the_whole_burst_after_silence():
    allotments = create()
    run_until(allotments, 0, 20)
    assert 20 <= admitted(allotments, 100, 20.0) <= 30


def test_a_returned_credit_is_admitted_again():
    allotments = create()
    run_until(allotments, 0, 20)
    admitted(allotments, 100, 20.0)
    assert admitted(allotments, 5, 20.0) == 0
    for _ in range(3):
        allotments.give_back(ACCOUNT, 20.0)
    assert admitted(allotments, 5, 20.0) == 3


# The clock runs on while a process is stopped, and others use the allotment meanwhile.
def test_a_stalled_process_gains_no_credit():
    allotments = create()
    run_until(allotments, 0, 20)
    admitted(allotments, 100, 20.0)
    assert admitted(allotments, 50, 40.0) == 0


def test_admissions_of_another_instance_are_taken_off():
    first, second = (create(name, MEMBERS) for name in "ab")
    for tick in range(201):
        now = tick / 10
        second.receive_report("a", first.own_report(now), now)
        first.receive_report("b", second.own_report(now), now)
    taken = admitted(first, 1, 20.0)
    for tick in range(201, 211):
        now = tick / 10
        taken += admitted(first, 20, now)
        second.receive_report("a", first.own_report(now), now)
        first.receive_report("b", second.own_report(now), now)
    assert taken >= 20
    assert admitted(second, 50, 21.0) <= 10


def test_a_raised_limit_holds_at_once_and_none_is_no_limit():
    allotments = create()
    run_until(allotments, 0, 20)
    admitted(allotments, 100, 20.0)
    configure(allotments, ACCOUNT._replace(per_s=100.0, burst=100.0))
    run_until(allotments, 20.1, 21.0)
    assert admitted(allotments, 200, 21.0) >= 80
    configure(allotments, ACCOUNT._replace(per_s=0.0))
    assert admitted(allotments, 1000, 21.0) == 1000


def test_an_account_without_requests_is_not_reported():
    allotments = create()
    assert allotments.own_report(0.1) == []
    admitted(allotments, 1, 0.2)
    assert len(allotments.own_report(0.3)) == 1
    run_until(allotments, 0.4, 6.0)
    assert allotments.own_report(6.1) == []


def steady(now):
    return 210.0, None


def one_instance(now):
    return 210.0, 0


def bursts(now):
    return (210.0 if now % 15 > 10 else 0.0), None


def burst_at_one(now):
    return bursts(now)[0], 0


# Each case is a way to exceed the bound: reports that are late, lost or missing.
@params(
    (steady, ()),
    (one_instance, ()),
    (bursts, ()),
    (burst_at_one, ()),
    (steady, (("kill", 10.0, 2, 2.0),)),
    (steady, (("cut", 10.0, 0, 6.0),)),
    (bursts, (("cut", 10.0, 0, 6.0),)),
    (steady, (("pause", 10.0, 2, 6.0),)),
    (steady, (("add", 10.0, 3, 0.0),)),
    (bursts, (("restart", 11.0, 7, 0.4),)),
)
def test_seven_instances_keep_the_bound_and_use_the_allotment(demand, faults):
    pattern = AllotmentPattern(7, 30.0, 30.0, demand, 25.0, faults)
    result = simulate_allotment(pattern, 1)
    assert result.max_fraction <= 1
    assert result.used_fraction >= MIN_USED_FRACTION


# What the others had admitted in the window before the start was taken off the empty
# bucket: the instance rejected every request of a busy account for 10 s or more,
# although the account was within its allotment.
@params(0.5, 0.9)
def test_started_instance_soon_admits_an_account_within_its_allotment(demand_ratio):
    account = ACCOUNT._replace(per_s=100.0, burst=50.0)
    others = create("b", MEMBERS, account)
    started, started_at = None, 20.0
    asked = taken = 0
    for tick in range(300):
        now = tick / 10
        for _ in range(round(demand_ratio * 10)):
            others.try_admit(account, now)
        report = others.own_report(now)
        if now == started_at:
            started = create("a", MEMBERS, account, now)
        if now >= started_at:
            others.receive_report("a", started.own_report(now), now)
            started.receive_report("b", report, now)
        if started_at + START_S + 1 <= now < started_at + START_S + 4 and tick % 2:
            asked += 1
            taken += started.try_admit(account, now) is None
    assert asked == 15
    assert taken >= MIN_USED_FRACTION * asked
