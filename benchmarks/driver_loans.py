"""Loans between the instances of the seeded load driver."""

from benchmarks.driver_types import LOCAL_S, REMOTE_S
from quetzalwall.process.membership.peers import (
    LEAST_PAUSE_S,
    LOAN_TICK_S,
    REFUSED_PAUSE_S,
    REMOTE_PAUSE_FACTOR,
)
from quetzalwall.process.sharing.lending import (
    Wish,
    loans_to_return,
    may_extend,
    units_to_lend,
    wishes,
)
from quetzalwall.process.sharing.loan import Loan
from quetzalwall.process.sharing.rights import loan_ttl_s

__all__ = ["LoanMessages"]


class LoanMessages:
    """Messages about loans, delivered after the delay between two instances.

    Parameters
    ----------
    driver : Driver
        The run that the messages belong to.
    """

    def __init__(self, driver):
        self._run = driver
        self._short = set()
        self._rounds = {}
        self._extending = set()
        self._refused_until = {}

    def borrow_soon(self, name):
        """Run a round of lending, with the daemon's least pause between two.

        Parameters
        ----------
        name : str
            The instance.
        """
        if self._run.sharing != "lending" or name in self._short:
            return
        self._short.add(name)
        when = max(self._run.now, self._rounds.get(name, 0.0) + LEAST_PAUSE_S)
        self._run.at(when, self._borrow_at_once, name)

    def _borrow_at_once(self, name):
        self._short.discard(name)
        self._lend_round(name)

    def lend_tick(self, name):
        """Run the regular round of one instance, and plan the next.

        Parameters
        ----------
        name : str
            The instance.
        """
        if name not in self._run.dead:
            self._run.at(self._run.now + LOAN_TICK_S, self.lend_tick, name)
            self._lend_round(name)

    def _lend_round(self, name):
        steering = self._run.steerings[name]
        self._rounds[name] = self._run.now
        self._extend(name)
        for wish in wishes(steering, self._run.now):
            self._ask(name, wish)
        for loan_id in loans_to_return(steering, self._run.now):
            loan = steering.ledger.borrowed[loan_id]
            if loan_id in self._extending:
                continue
            if steering.ledger.end_borrowed(loan_id, self._run.now):
                delay = self._peer_delay(name, loan.peer)
                lender = self._run.steerings[loan.peer].ledger
                self._run.at(self._run.now + delay, self._returned, lender, loan_id)

    def _returned(self, lender, loan_id):
        lender.end_lent(loan_id, self._run.now)

    def _ask(self, name, wish):
        """Ask the peers of a region in turn, as the daemon does."""
        peers = [
            peer
            for peer, spec in self._run.instances.items()
            if peer != name
            and spec["region"] == wish.region
            and peer not in self._run.dead
            if self._refused_until.get((name, peer, wish[:3]), 0.0) <= self._run.now
        ]
        self._run.rng.shuffle(peers)
        if peers and (name, wish[:3]) not in self._extending:
            self._extending.add((name, wish[:3]))
            self._ask_next(name, wish, peers)

    def _ask_next(self, name, wish, peers):
        if not peers or wish.count <= 0:
            self._extending.discard((name, wish[:3]))
            return
        delay = self._peer_delay(name, peers[0])
        asked_at = self._run.now
        self._run.at(self._run.now + delay, self._lend, name, wish, peers, asked_at)

    def _lend(self, name, wish, peers, asked_at):
        lender = self._run.steerings[peers[0]]
        units = units_to_lend(lender, wish, self._run.now)
        loan_id = f"l{next(self._run.order)}"
        if units:
            ttl_s = loan_ttl_s(max(self._run.hold_s[key] for key in units))
            lender.ledger.lend(loan_id, name, units, self._run.now, ttl_s)
            loan = Loan(loan_id, peers[0], units, asked_at + ttl_s)
        else:
            loan = None
        delay = self._peer_delay(name, peers[0])
        self._run.at(self._run.now + delay, self._borrow, name, wish, peers, loan)

    def _borrow(self, name, wish, peers, loan):
        count = wish.count
        if loan is None:
            near = wish.region == self._run.instances[name]["region"]
            pause = REFUSED_PAUSE_S * (1 if near else REMOTE_PAUSE_FACTOR)
            self._refused_until[name, peers[0], wish[:3]] = self._run.now + pause
        else:
            steering = self._run.steerings[name]
            steering.ledger.borrow(loan, self._run.now)
            self._run.deliver(name, steering.pump(self._run.service, self._run.now))
            count -= sum(loan.units.values())
        self._ask_next(name, wish._replace(count=count), peers[1:])

    def _extend(self, name):
        for loan in list(self._run.steerings[name].ledger.borrowed.values()):
            hold_s = max(self._run.hold_s[key] for key in loan.units)
            due = loan.until - self._run.now <= hold_s + 2.0
            if (
                due
                and loan.loan_id not in self._extending
                and loan.peer not in self._run.dead
            ):
                self._extending.add(loan.loan_id)
                delay = self._peer_delay(name, loan.peer)
                self._run.at(
                    self._run.now + delay,
                    self._extended,
                    name,
                    loan,
                    self._run.now,
                )

    def _extended(self, name, loan, asked_at):
        self._extending.discard(loan.loan_id)
        lender = self._run.steerings[loan.peer].ledger
        key = next(iter(loan.units))
        wish = Wish(self._run.service, key.rsplit("/", 1)[1], "", 0)
        near = self._peer_delay(name, loan.peer) == LOCAL_S
        if not may_extend(self._run.steerings[loan.peer], wish, near):
            return
        ttl_s = loan_ttl_s(max(self._run.hold_s[key] for key in loan.units))
        again = lender.lend(loan.loan_id, name, loan.units, self._run.now, ttl_s)
        if again.units and loan.loan_id in self._run.steerings[name].ledger.borrowed:
            extended = Loan(loan.loan_id, loan.peer, again.units, asked_at + ttl_s)
            self._run.steerings[name].ledger.borrow(extended, self._run.now)

    def _peer_delay(self, one, other):
        same = (
            self._run.instances[one]["region"] == self._run.instances[other]["region"]
        )
        return LOCAL_S if same else REMOTE_S
