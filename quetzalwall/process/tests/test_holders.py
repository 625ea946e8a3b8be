from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from quetzalwall.process.sharing.holders import create_holders
from quetzalwall.process.sharing.ledger import LOAN_MARGIN_S
from quetzalwall.process.sharing.rights import LEASE_S, wait_after_s

ROSTER = {f"i{n}": {"region": "r", "domain": f"d{n}"} for n in range(3)}
NAMES = st.sampled_from(sorted(ROSTER))
HOLD_S = 2.0


class TakeOvers(RuleBasedStateMachine):
    """Three instances, a table that loses replies, and vouches that come late.

    Any instance may believe at any time that another is dead, may be paused or cut
    off by simply not taking part, and may be restarted while its old process lives.
    """

    def __init__(self):
        super().__init__()
        self.now = 100.0
        self.row = (0, {"holders": {}, "running": {}})
        self.processes = []
        self.vouches = []
        self.count = 0
        for name in ROSTER:
            self.start(name)

    @rule(name=NAMES)
    def start(self, name):
        self.count += 1
        process = create_holders(name, self.count, ROSTER)
        self.processes.append(process)
        self.read(process)
        self.write(process, process.register())
        self.read(process)

    @rule(name=NAMES, seconds=st.floats(0.6, 2.9))
    def take_over_and_go_on(self, name, seconds):
        """Take a member for dead that lives, and use its share as soon as allowed."""
        for process in self.processes:
            if process.heir_of(name) == process.instance and process.registered():
                value = process.take_over(name, self.now)
                if value is not None:
                    self.write(process, value)
                    self.now += seconds
                    self.read(process)

    @rule(seconds=st.floats(0.05, 4.0))
    def pass_time(self, seconds):
        self.now += seconds

    @rule(place=st.integers(0, 50), delay=st.floats(0, 1.0))
    def renew_from_table(self, place, delay):
        process = self.pick(place)
        asked_at = self.now
        version, value = self.row
        self.now += delay
        process.learn(version, value, asked_at, self.now)

    @rule(place=st.integers(0, 50), other=st.integers(0, 50))
    def ask_for_vouch(self, place, other):
        asker, heir = self.pick(place), self.pick(other)
        if heir.knows(asker.instance, asker.incarnation):
            asker.known_to(heir.instance, self.now)
        if heir.may_vouch(asker.instance, asker.incarnation, self.now):
            self.vouches.append((asker, heir.instance, self.now))

    @rule(place=st.integers(0, 50))
    def deliver_vouch(self, place):
        if self.vouches:
            asker, heir, asked_at = self.vouches.pop(place % len(self.vouches))
            asker.vouched(heir, asked_at)

    @rule(place=st.integers(0, 50), dead=NAMES, lost=st.booleans())
    def take_over(self, place, dead, lost):
        process = self.pick(place)
        if process.instance == dead:
            return
        value = process.take_over(dead, self.now)
        if value is not None:
            self.write(process, value, lost)

    @rule(place=st.integers(0, 50))
    def give_back(self, place):
        process = self.pick(place)
        for owner in process.held_shares():
            if owner != process.instance and process.registered():
                self.write(process, process.give_back(owner))
                return

    @rule(place=st.integers(0, 50))
    def stop_cleanly(self, place):
        """Let a process that uses nothing leave the record, and end."""
        process = self.pick(place)
        alone = process.held_shares() == [process.instance]
        if process.registered() and alone and process.leaves_nothing(self.now):
            self.write(process, process.unregister())
            if not process.registered():
                self.processes.remove(process)
                if not self.processes:
                    self.start("i0")

    def pick(self, place):
        return self.processes[place % len(self.processes)]

    def read(self, process):
        process.learn(*self.row, self.now, self.now)

    def write(self, process, value, lost=False):
        version, _ = self.row
        if process.version == version:
            self.row = (version + 1, value)
        if not lost:
            process.learn(*self.row, self.now - LEASE_S, self.now)

    def users(self, owner):
        """Return the processes that may use the units of a share that can move."""
        return [
            process
            for process in self.processes
            if owner in process.held_shares()
            and self.now < process.lease_until
            and process.usable(owner, HOLD_S, self.now)
        ]

    @invariant()
    def no_share_has_two_users(self):
        for owner in ROSTER:
            assert len(self.users(owner)) <= 1

    @invariant()
    def no_reserve_has_two_users(self):
        for owner in ROSTER:
            users = [
                process
                for process in self.processes
                if process.instance == owner
                and process.reserve_usable(HOLD_S, self.now)
            ]
            assert len(users) <= 1


TakeOvers.TestCase.settings = settings(
    max_examples=150, stateful_step_count=60, deadline=None, derandomize=True
)
TestTakeOvers = TakeOvers.TestCase


def started(*names):
    """Return processes registered one after another, and the row."""
    version, value = 0, {"holders": {}, "running": {}}
    found = []
    for number, name in enumerate(names):
        process = create_holders(name, number + 1, ROSTER)
        process.learn(version, value, 0.0, 0.0)
        version, value = version + 1, process.register()
        found.append(process)
    for process in found:
        process.learn(version, value, 0.0, 0.0)
    ask_heirs(found)
    return found, version, value


def ask_heirs(processes):
    """Let every process ask its heir once, so that it is known as the heir."""
    by_name = {process.instance: process for process in processes}
    for process in processes:
        heir = by_name[process.heir_of(process.instance)]
        assert heir.may_vouch(process.instance, process.incarnation, 0.5)


def test_share_of_the_dead_is_used_only_after_its_rights_ran_out():
    (a, b, _c), version, _ = started("i0", "i1", "i2")
    assert a.heir_of("i0") == "i1"
    row = b.take_over("i0", 1.0)
    b.learn(version + 1, row, 1.0, 1.0)
    assert b.held_shares() == ["i0", "i1"]
    wait_s = wait_after_s(HOLD_S)
    assert not b.usable("i0", HOLD_S, 1.0 + wait_s - 0.01)
    assert b.usable("i0", HOLD_S, 1.0 + wait_s)


def test_only_the_heir_may_take_over():
    (_a, _b, c), _, _ = started("i0", "i1", "i2")
    assert c.take_over("i0", 1.0) is None


def test_heir_that_was_never_asked_takes_nothing_over():
    # The member may know another heir, cut off together with it, that vouches for it.
    (a, b, _c), _, _ = started("i0", "i1", "i2")
    b._asked_by.clear()
    assert b.take_over("i0", 1.0) is None
    assert b.may_vouch("i0", a.incarnation, 1.0)
    assert b.take_over("i0", 1.0) is not None


def test_heir_stops_vouching_before_the_row_is_written():
    (_a, b, _c), _, _ = started("i0", "i1", "i2")
    assert b.may_vouch("i0", 1, 1.0)
    b.take_over("i0", 1.0)
    assert not b.may_vouch("i0", 1, 1.0)


def test_vouch_counts_from_the_question():
    (a, _b, _c), _, _ = started("i0", "i1", "i2")
    a.vouched("i2", 4.0)
    assert a.lease_until == LEASE_S
    a.vouched("i1", 5.0)
    assert a.lease_until == 5.0 + LEASE_S


def test_clean_stop_lets_the_next_process_start_at_once():
    (a, _b, _c), version, _ = started("i0", "i1", "i2")
    clean = a.unregister()
    for value, expected in ((clean, True), (a.register(), False)):
        successor = create_holders("i0", 9, ROSTER)
        successor.learn(version + 1, value, 50.0, 50.0)
        successor.learn(version + 2, successor.register(), 50.0, 50.0)
        assert successor.usable("i0", HOLD_S, 50.0) is expected


def test_process_numbered_by_a_clock_set_back_registers_all_the_same():
    (a, _b, _c), version, value = started("i0", "i1", "i2")
    value["running"]["i0"] = 50
    later = create_holders("i0", 7, ROSTER)
    later.learn(version + 1, value, 1.0, 1.0)
    assert not later.superseded()
    later.learn(version + 2, later.register(), 1.0, 1.0)
    assert later.registered() and later.unclean
    a.learn(version + 2, later._row(), 1.0, 1.0)
    assert a.superseded()


def test_second_take_over_waits_for_the_first_ones_lease():
    (_a, b, _c), version, _ = started("i0", "i1", "i2")
    row = b.take_over("i0", 1.0)
    b.learn(version + 1, row, 1.0, 1.0)
    assert b.may_vouch("i2", 3, 1.0)
    assert b.take_over("i2", 1.0 + LEASE_S - 0.1) is None
    b.vouched("i2", 1.0 + LEASE_S)
    assert b.take_over("i2", 1.0 + LEASE_S + LOAN_MARGIN_S + 0.1) is not None
