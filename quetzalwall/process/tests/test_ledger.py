from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from quetzalwall.process.sharing.ledger import Ledger, Loan

KEY = "ep/short"
TOTAL = 9
HOLD_S = 2.0
TTL_S = 6.0
LEASE_S = 3.0
NAMES = ("a", "b", "c")
AMOUNTS = st.integers(1, 4)


def make_ledger(units=3, reserve=1):
    ledger = Ledger()
    ledger.set_groups({KEY: "g"}, {KEY: HOLD_S})
    ledger.set_share({KEY: units}, {KEY: reserve})
    ledger.lease_until = 1e9
    ledger.reserve_until = 2e9
    return ledger


class LoansBetweenInstances(RuleBasedStateMachine):
    """Three instances lend to each other over a network that loses messages.

    Messages are delivered late, twice, out of order, or never; instances pause, so
    that work started before its end runs its full time on the true clock.
    """

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.ledgers = {name: make_ledger() for name in NAMES}
        self.messages = []
        self.work = []
        self.loans = 0

    @rule(seconds=st.floats(0.01, 4.0))
    def pass_time(self, seconds):
        self.now += seconds
        for name, end in [item for item in self.work if item[1] <= self.now]:
            self.work.remove((name, end))
            self.ledgers[name].release(KEY, self.now)

    @rule(name=st.sampled_from(NAMES))
    def tick(self, name):
        self.ledgers[name].expire(self.now)

    @rule(name=st.sampled_from(NAMES), hold=st.floats(0.1, HOLD_S))
    def begin_work(self, name, hold):
        if self.ledgers[name].acquire(KEY, self.now, hold):
            self.work.append((name, self.now + hold))

    @rule(pair=st.permutations(NAMES), count=AMOUNTS)
    def ask(self, pair, count):
        self.loans += 1
        asked = ("ask", pair[0], pair[1], f"loan-{self.loans}", count, self.now)
        self.messages.append(asked)

    @rule(name=st.sampled_from(NAMES))
    def extend(self, name):
        for loan in list(self.ledgers[name].borrowed.values())[:1]:
            asked = ("ask", name, loan.peer, loan.loan_id, 1, self.now)
            self.messages.append(asked)

    @rule(name=st.sampled_from(NAMES))
    def give_back(self, name):
        for loan in list(self.ledgers[name].borrowed.values())[:1]:
            if self.ledgers[name].end_borrowed(loan.loan_id, self.now):
                back = ("return", name, loan.peer, loan.loan_id)
                self.messages.append(back)

    @rule(data=st.data(), keep=st.booleans())
    def deliver(self, data, keep):
        if not self.messages:
            return
        place = data.draw(st.integers(0, len(self.messages) - 1))
        message = self.messages[place]
        if not keep:
            del self.messages[place]
        getattr(self, f"deliver_{message[0]}")(*message[1:])

    def deliver_ask(self, borrower, lender, loan_id, count, asked_at):
        wanted = {KEY: count}
        loan = self.ledgers[lender].lend(loan_id, borrower, wanted, self.now, TTL_S)
        if loan.units:
            reply = ("grant", borrower, lender, loan_id, loan.units, asked_at)
            self.messages.append(reply)

    def deliver_grant(self, borrower, lender, loan_id, units, asked_at):
        ledger = self.ledgers[borrower]
        new = loan_id not in self.seen(borrower)
        if new or loan_id in ledger.borrowed:
            self.seen(borrower).add(loan_id)
            loan = Loan(loan_id, lender, units, asked_at + TTL_S)
            known = ledger.borrowed.get(loan_id)
            if known is None or known.until < loan.until:
                ledger.borrow(loan, self.now)

    def deliver_return(self, borrower, lender, loan_id):
        self.ledgers[lender].end_lent(loan_id, self.now)

    def seen(self, name):
        return self.__dict__.setdefault(f"seen_{name}", set())

    @invariant()
    def never_more_in_use_than_there_is(self):
        assert len(self.work) <= TOTAL

    @invariant()
    def entitlements_add_up(self):
        entitled = sum(
            ledger.entitled(KEY, self.now) for ledger in self.ledgers.values()
        )
        assert entitled <= TOTAL


LoansBetweenInstances.TestCase.settings = settings(
    max_examples=60, stateful_step_count=60, deadline=None, derandomize=True
)
TestLoans = LoansBetweenInstances.TestCase


def test_without_a_lease_only_the_reserve_counts():
    ledger = make_ledger()
    ledger.lease_until = 10.0
    ledger.reserve_until = 20.0
    assert [ledger.entitled(KEY, now) for now in (9.0, 10.0, 20.0)] == [3, 1, 0]


def test_work_that_would_outlast_a_loan_is_refused():
    ledger = make_ledger(units=0, reserve=0)
    ledger.borrow(Loan("l", "b", {KEY: 1}, 5.0), 0.0)
    assert not ledger.acquire(KEY, 3.5, HOLD_S)
    assert ledger.acquire(KEY, 2.5, HOLD_S)


def test_lender_subtracts_before_the_message_leaves():
    ledger = make_ledger(units=3)
    loan = ledger.lend("l", "b", {KEY: 5}, 0.0, TTL_S)
    assert loan.units == {KEY: 3}
    assert not ledger.acquire(KEY, 0.0, HOLD_S)
    assert loan.until > TTL_S


def test_doubled_request_lends_once():
    ledger = make_ledger(units=3)
    ledger.lend("l", "b", {KEY: 1}, 0.0, TTL_S)
    ledger.lend("l", "b", {KEY: 1}, 0.1, TTL_S)
    assert ledger.lent_units(KEY) == 1


def test_loan_in_use_is_not_returned():
    ledger = make_ledger(units=0, reserve=0)
    ledger.borrow(Loan("l", "b", {KEY: 1}, 9.0), 0.0)
    ledger.acquire(KEY, 0.0, HOLD_S)
    assert not ledger.end_borrowed("l", 0.1)
    ledger.release(KEY, 0.2)
    assert ledger.end_borrowed("l", 0.3)
