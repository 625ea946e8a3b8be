import copy

from quetzalwall.process.placing.steering import hold_limits
from quetzalwall.process.sharing.holders import create_holders
from quetzalwall.process.sharing.ledger import Ledger
from quetzalwall.process.sharing.rights import wait_after_s
from quetzalwall.process.sharing.share_keeper import create_share_keeper
from quetzalwall.tests.fixtures import make_tree
from quetzalwall.version.tree import create_configuration

KEY = "east-ep1/short"
NAMES = ("east-1", "east-2")


def configuration(version, slots):
    tree = copy.deepcopy(make_tree(regions=("east",), instances=2, endpoints=1))
    endpoints = tree["desk"]["services"]["desk"]["endpoints"]
    endpoints["east-ep1"]["slots"] = slots
    return create_configuration(version, {}, tree)


class Side:
    """One instance's ledger and keeper, registered and with a lease."""

    def __init__(self, name, first):
        roster = first.merged["instances"]
        self.ledger = Ledger()
        self.holders = create_holders(name, 1, roster)
        running = dict.fromkeys(NAMES, 1)
        self.holders.learn(1, {"holders": {}, "running": running}, 1e6, 1e6)
        self.holders.unclean = False
        self.keeper = create_share_keeper(self.ledger, self.holders)
        self.configure(first, 0.0)

    def configure(self, newer, now):
        self.keeper.configure(newer, hold_limits(newer.merged), now)

    def entitled(self, now=0.0):
        return self.ledger.entitled(KEY, now)


def sides(slots=8):
    first = configuration(1, slots)
    found = [Side(name, first) for name in NAMES]
    for one, other in (found, found[::-1]):
        one.keeper.note_settled(other.holders.instance, 1)
        one.keeper.refresh(0.0)
    return found


def test_first_version_counts_after_everybody_confirmed_it():
    side = Side("east-1", configuration(1, 8))
    assert side.entitled() == 0
    side.keeper.note_settled("east-2", 1)
    side.keeper.refresh(0.0)
    assert side.entitled() > 0


def test_increase_waits_for_the_others_and_decrease_does_not():
    one, other = sides(slots=8)
    before = one.entitled()
    one.configure(configuration(2, 16), 1.0)
    assert one.entitled() == before
    one.keeper.note_settled("east-2", 1)
    one.keeper.refresh(1.0)
    assert one.entitled() == before
    one.keeper.note_settled("east-2", 2)
    one.keeper.refresh(1.0)
    assert one.entitled() > before
    other.configure(configuration(2, 2), 1.0)
    assert other.entitled() <= 1


def test_mixed_versions_never_exceed_either_capacity():
    for old, new in ((8, 3), (3, 8), (5, 6)):
        one, other = sides(slots=old)
        one.configure(configuration(2, new), 1.0)
        total = one.entitled() + other.entitled()
        assert total <= old


def test_not_settled_while_more_is_in_use_than_owned():
    one, _ = sides(slots=8)
    while one.ledger.acquire(KEY, 0.0, 1.0):
        pass
    one.configure(configuration(2, 2), 1.0)
    assert one.keeper.settled_version(1.0) == 0
    for _ in range(one.ledger.used[KEY]):
        one.ledger.release(KEY, 1.0)
    assert one.keeper.settled_version(1.0) == 2


def test_member_taken_over_holds_up_the_increase_until_its_rights_ran_out():
    one, _ = sides(slots=8)
    one.configure(configuration(2, 16), 1.0)
    value = {"holders": {"east-2": "east-1"}, "running": dict.fromkeys(NAMES, 1)}
    one.holders.learn(2, value, 2.0, 2.0)
    one.keeper.refresh(2.0)
    assert one.keeper.unsettled() == ["east-2"]
    longest = max(hold_limits(configuration(2, 16).merged).values())
    one.keeper.refresh(2.0 + wait_after_s(longest) + 0.1)
    assert one.keeper.unsettled() == []


def test_member_that_does_not_run_holds_up_nothing():
    one, _ = sides(slots=8)
    one.configure(configuration(2, 16), 1.0)
    one.holders.learn(2, {"holders": {}, "running": {"east-1": 1}}, 2.0, 2.0)
    one.keeper.refresh(2.0)
    assert one.keeper.unsettled() == []


def test_taken_over_share_leaves_the_reserve_out():
    one, other = sides(slots=8)
    own = one.entitled()
    value = {"holders": {"east-2": "east-1"}, "running": dict.fromkeys(NAMES, 1)}
    one.holders.learn(2, value, 2.0, 2.0)
    now = 2.0 + wait_after_s(100.0)
    one.keeper.refresh(now)
    kept = other.ledger.reserve.get(KEY, 0)
    assert one.ledger.units[KEY] == own + other.ledger.units[KEY] - kept
