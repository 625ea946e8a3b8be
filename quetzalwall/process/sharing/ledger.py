"""Units of capacity that this instance may use, and those in use.

Every unit (a slot of an endpoint, a part of a link) has one owner in a division that
all instances compute alike. An owner may lend units for a limited time; it subtracts
them before the message leaves. The sum of what all instances may use therefore never
exceeds the capacity, whatever messages are lost, doubled or late:

- the borrower's time starts when it asks, the lender's when it grants, and the lender
  adds a margin for clocks that run at different speeds;
- work on a borrowed unit must end before the loan does;
- without a valid lease only the reserve counts, which no other instance takes over.
"""

from quetzalwall.process.sharing.indexed_set import IndexedSet
from quetzalwall.process.sharing.loan import Loan

__all__ = ["LOAN_MARGIN_S", "Ledger", "Loan"]

LOAN_MARGIN_S = 0.25
INDEX_PERIOD_S = 0.1
CLOCK_RATE_MARGIN = 0.01  # a monotonic clock may run this much too fast or too slow


class Ledger:
    """Accounts of one instance.

    Attributes
    ----------
    units : dict of str to int
        Key to units owned, taken-over units included.
    reserve : dict of str to int
        Key to the owned units that need no lease.
    used : dict of str to int
        Key to units in use.
    lent, borrowed : dict of str to Loan
        Loans by identifier.
    lease_until, reserve_until : float
        Monotonic seconds up to which ``units``, and later ``reserve``, may be used.
    """

    def __init__(self):
        self.units = {}
        self.reserve = {}
        self.used = {}
        self.lent = {}
        self.borrowed = {}
        self.lease_until = float("-inf")
        self.reserve_until = float("-inf")
        self._lent_units = {}
        self._borrowed_keys = {}
        self._groups = {}
        self._hold_s = {}
        self._free = {}
        self._next_index = float("-inf")

    def set_groups(self, groups, hold_s):
        """Set which keys are chosen from together.

        Parameters
        ----------
        groups : dict of str to str
            Key to group.
        hold_s : dict of str to float
            Key to the most seconds for which a unit is held.
        """
        self._groups = groups
        self._hold_s = hold_s
        self._free = {}
        self._next_index = float("-inf")

    def set_share(self, units, reserve):
        """Replace the owned units.

        Parameters
        ----------
        units : dict of str to int
            Key to units owned.
        reserve : dict of str to int
            Key to the part of them that needs no lease.
        """
        if units != self.units or reserve != self.reserve:
            self._next_index = float("-inf")
        self.units = dict(units)
        self.reserve = dict(reserve)

    def entitled(self, key, now, hold_s=0.0):
        """Return the units of a key that may be in use.

        Parameters
        ----------
        key : str
            The key.
        now : float
            Monotonic seconds.
        hold_s : float, default=0.0
            Seconds for which a unit will be held; loans that end sooner don't count.

        Returns
        -------
        int
        """
        amount = self.owned(key, now) - self._lent_units.get(key, 0)
        for loan_id in self._borrowed_keys.get(key, ()):
            loan = self.borrowed[loan_id]
            if now + hold_s <= loan.until:
                amount += loan.units[key]
        return max(0, amount)

    def owned(self, key, now):
        """Return the units of a key that this instance owns and may use or lend.

        Parameters
        ----------
        key : str
            The key.
        now : float
            Monotonic seconds.

        Returns
        -------
        int
        """
        if now < self.lease_until:
            return self.units.get(key, 0)
        if now < self.reserve_until:
            return self.reserve.get(key, 0)
        return 0

    def borrowed_units(self, key, now):
        """Return the units of a key that are borrowed.

        Parameters
        ----------
        key : str
            The key.
        now : float
            Monotonic seconds.

        Returns
        -------
        int
        """
        loans = (self.borrowed[loan] for loan in self._borrowed_keys.get(key, ()))
        return sum(loan.units[key] for loan in loans if now <= loan.until)

    def free(self, key, now, hold_s=0.0):
        """Return the units of a key that may still be taken.

        Parameters
        ----------
        key : str
            The key.
        now : float
            Monotonic seconds.
        hold_s : float, default=0.0
            Seconds for which a unit will be held.

        Returns
        -------
        int
        """
        return max(0, self.entitled(key, now, hold_s) - self.used.get(key, 0))

    def acquire(self, key, now, hold_s):
        """Take one unit if one is free.

        Parameters
        ----------
        key : str
            The key.
        now : float
            Monotonic seconds.
        hold_s : float
            Most seconds for which the unit will be held.

        Returns
        -------
        bool
            Whether the unit was taken.
        """
        if self.entitled(key, now, hold_s) <= self.used.get(key, 0):
            self._index(key, now)
            return False
        self.used[key] = self.used.get(key, 0) + 1
        self._index(key, now)
        return True

    def release(self, key, now):
        """Give back one unit.

        Parameters
        ----------
        key : str
            The key.
        now : float
            Monotonic seconds.
        """
        left = self.used[key] - 1
        if left:
            self.used[key] = left
        else:
            del self.used[key]
        self._index(key, now)

    def free_keys(self, group):
        """Return the keys of a group that had a free unit when last looked at.

        Parameters
        ----------
        group : str
            The group.

        Returns
        -------
        IndexedSet
        """
        keys = self._free.get(group)
        if keys is None:
            keys = self._free[group] = IndexedSet()
        return keys

    def lend(self, loan_id, peer, wanted, now, ttl_s):
        """Lend free units; the same identifier again extends the loan.

        Parameters
        ----------
        loan_id : str
            Chosen by the borrower.
        peer : str
            The borrower.
        wanted : dict of str to int
            Key to units wanted at most.
        now : float
            Monotonic seconds.
        ttl_s : float
            Seconds for which the borrower may use the units.

        Returns
        -------
        Loan
            With the units granted; ``until`` is on this instance's clock.
        """
        until = now + ttl_s * (1 + CLOCK_RATE_MARGIN) + LOAN_MARGIN_S
        held = self.lent.get(loan_id)
        if held is not None:
            units = held.units
        else:
            units = self._lendable(wanted, now)
        loan = Loan(loan_id, peer, units, until)
        if held is None and units:
            self._add_lent(units, +1)
        if units:
            self.lent[loan_id] = loan
            self._index_all(units, now)
        return loan

    def end_lent(self, loan_id, now):
        """Take back a loan that the borrower returned; an unknown one is ignored.

        Parameters
        ----------
        loan_id : str
            The loan.
        now : float
            Monotonic seconds.
        """
        loan = self.lent.pop(loan_id, None)
        if loan is not None:
            self._add_lent(loan.units, -1)
            self._index_all(loan.units, now)

    def borrow(self, loan, now):
        """Record units borrowed, or the extension of a loan.

        Parameters
        ----------
        loan : Loan
            ``until`` counts from the moment at which the request was sent.
        now : float
            Monotonic seconds.
        """
        if loan.until <= now or not loan.units:
            return
        held = self.borrowed.get(loan.loan_id)
        if held is not None:
            self._drop_borrowed(held)
        self.borrowed[loan.loan_id] = loan
        for key in loan.units:
            self._borrowed_keys.setdefault(key, set()).add(loan.loan_id)
        self._index_all(loan.units, now)

    def end_borrowed(self, loan_id, now):
        """Stop using a borrowed loan if none of its units is needed.

        Parameters
        ----------
        loan_id : str
            The loan.
        now : float
            Monotonic seconds.

        Returns
        -------
        bool
            Whether the loan may be returned to the lender.
        """
        loan = self.borrowed.get(loan_id)
        if loan is None:
            return False
        for key, units in loan.units.items():
            if self.entitled(key, now) - units < self.used.get(key, 0):
                return False
        self._drop_borrowed(loan)
        self._index_all(loan.units, now)
        return True

    def expire(self, now):
        """Drop loans whose time has passed and refresh the index of free keys.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        """
        for loan in [loan for loan in self.lent.values() if loan.until <= now]:
            self.end_lent(loan.loan_id, now)
        for loan in [loan for loan in self.borrowed.values() if loan.until <= now]:
            self._drop_borrowed(loan)
        if now >= self._next_index:
            # Covers what changes without a call: the end of a lease, of the time in
            # which a loan can still be used, and new shares.
            self._next_index = now + INDEX_PERIOD_S
            self._index_all(self._groups, now)

    def lent_units(self, key):
        """Return the units of a key that are lent.

        Parameters
        ----------
        key : str
            The key.

        Returns
        -------
        int
        """
        return self._lent_units.get(key, 0)

    def _lendable(self, wanted, now):
        units = {}
        for key, count in wanted.items():
            spare = self.owned(key, now) - self.lent_units(key) - self.used.get(key, 0)
            if min(spare, count) > 0:
                units[key] = min(spare, count)
        return units

    def _add_lent(self, units, sign):
        for key, count in units.items():
            left = self._lent_units.get(key, 0) + sign * count
            if left:
                self._lent_units[key] = left
            else:
                del self._lent_units[key]

    def _drop_borrowed(self, loan):
        del self.borrowed[loan.loan_id]
        for key in loan.units:
            loans = self._borrowed_keys[key]
            loans.discard(loan.loan_id)
            if not loans:
                del self._borrowed_keys[key]

    def _index_all(self, keys, now):
        for key in keys:
            self._index(key, now)

    def _index(self, key, now):
        group = self._groups.get(key)
        if group is None:
            return
        if self.entitled(key, now, self._hold_s[key]) > self.used.get(key, 0):
            self.free_keys(group).add(key)
        else:
            self.free_keys(group).discard(key)
