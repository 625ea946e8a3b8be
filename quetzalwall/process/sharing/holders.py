"""Who holds each instance's share, and for how long this instance may use its own.

A share has one holder at any time. The record of holders, and of the processes that
run, is one row of the platform's table. When an instance is dead, its heir, the next
instance of its region, and no other, may write itself as the holder; it uses the share
only after every right that the dead instance had granted or held has run out.

An instance may use its own share while its lease lasts. The lease is renewed by a read
of the row, or by a vouch of the heir, "I have not taken it over", counted from the
moment at which the question was sent. So the lease also lasts while the table is down,
and ends by itself when the instance is paused or cut off. `docs/design/shares.md`
gives the argument that two processes never use one share.
"""

from quetzalwall.process.sharing.holders_record import HoldersRecord, without
from quetzalwall.process.sharing.ledger import CLOCK_RATE_MARGIN, LOAN_MARGIN_S
from quetzalwall.process.sharing.rights import LEASE_S, RESERVE_S, wait_after_s

__all__ = ["HOLDERS_KEY", "Holders", "create_holders"]

HOLDERS_KEY = "shares/holders"
NEVER = float("-inf")


class Holders(HoldersRecord):
    """The record of holders as one process knows it.

    Parameters
    ----------
    instance : str
        Name of this instance.
    incarnation : int
        Names this process among all processes of the instance.
    roster : dict of str to dict
        All instances, with ``region`` and ``domain``.

    Attributes
    ----------
    usable_from : dict of str to float
        Share held to the moment from which earlier rights run out.
    lease_until : float
        Monotonic seconds.
    unclean : bool
        Whether an earlier process of this instance may have left rights behind.
    """

    def __init__(self, instance, incarnation, roster):
        super().__init__(instance, roster)
        self.incarnation = incarnation
        self.usable_from = {}
        self.lease_until = NEVER
        self.unclean = True
        self._was_registered = False
        self._confirmed_at = None
        self._known_to = set()
        self._asked_by = set()
        self._taking = set()

    def learn(self, version, value, asked_at, now):
        """Take in the row as read from the table.

        Parameters
        ----------
        version : int
            Version of the row.
        value : dict or None
            Its value.
        asked_at : float
            Monotonic seconds at which the read was sent.
        now : float
            Monotonic seconds at which its answer arrived.

        Returns
        -------
        bool
            Whether the record changed.
        """
        if version < self.version:
            return False
        changed = version > self.version
        self.version = version
        self.record = dict((value or {}).get("holders", {}))
        self.running = dict((value or {}).get("running", {}))
        self._taking.clear()
        self._update_held(now)
        self._was_registered |= self.registered()
        if not self.registered():
            self.lease_until = NEVER
        elif self.holds_own():
            self.lease_until = max(self.lease_until, asked_at + LEASE_S)
            self._confirm(now)
        if not self.holds_own():
            self._asked_by.clear()
        return changed

    def registered(self):
        """Return whether this process is the one on record for its instance.

        Returns
        -------
        bool
        """
        return self.running.get(self.instance) == self.incarnation

    def superseded(self):
        """Return whether a later process of this instance has registered.

        Returns
        -------
        bool
        """
        later = self.running.get(self.instance, 0) > self.incarnation
        return later and self._was_registered

    def holds_own(self):
        """Return whether this instance holds its own share.

        Returns
        -------
        bool
        """
        return self.holder_of(self.instance) == self.instance

    def may_vouch(self, name, incarnation, now):
        """Return whether this instance can say that a share was not taken over.

        A process that asked its heir and was answered knows this instance as its heir,
        which `take_over` requires.

        Parameters
        ----------
        name : str
            The instance that asks.
        incarnation : int
            Its process.
        now : float
            Monotonic seconds.

        Returns
        -------
        bool
        """
        vouch = (
            self.knows(name, incarnation)
            and self._in_place(name)
            and name not in self._taking
            and self.heir_of(name) == self.instance
            and now < self.lease_until
        )
        if vouch:
            self._asked_by.add((name, incarnation))
        return vouch

    def knows(self, name, incarnation):
        """Return whether a process is the one on record for its instance.

        Parameters
        ----------
        name : str
            The instance.
        incarnation : int
            Its process.

        Returns
        -------
        bool
        """
        return self.running.get(name) == incarnation

    def known_to(self, name, now):
        """Note that a member of the region has this process on its record.

        Parameters
        ----------
        name : str
            The member, which from now on vouches for no earlier process.
        now : float
            Monotonic seconds.
        """
        self._known_to.add(name)
        self._confirm(now)

    def unconfirmed(self):
        """Return the members that must have this process on record and may not yet.

        Returns
        -------
        list of str
            Empty once the time counts after which an unclean start uses its share.
        """
        if self._confirmed_at is not None:
            return []
        ring = self._rings.get(self.instance, [])
        needed = {name for name in ring if self._in_place(name)}
        return sorted(needed - self._known_to - {self.instance})

    def vouched(self, name, asked_at):
        """Renew the lease after a vouch of the heir.

        Parameters
        ----------
        name : str
            Who vouched; only the heir counts.
        asked_at : float
            Monotonic seconds at which the question was sent.
        """
        heir = self.heir_of(self.instance)
        if self.registered() and self.holds_own() and name == heir:
            self.lease_until = max(self.lease_until, asked_at + LEASE_S)

    def register(self):
        """Return the row in which this process is on record.

        Returns
        -------
        dict
        """
        self.unclean = self.instance in self.running
        if not self._was_registered:
            # The wall clock that numbers processes may have been set back.
            earlier = self.running.get(self.instance, 0)
            self.incarnation = max(self.incarnation, earlier + 1)
        return self._row(running={**self.running, self.instance: self.incarnation})

    def leaves_nothing(self, now):
        """Return whether no right of this instance is left when this process ends.

        Parameters
        ----------
        now : float
            Monotonic seconds.

        Returns
        -------
        bool
            False after an unclean start, until the rights of the earlier process have
            run out: `unregister` would let the next process use them at once.
        """
        return not self.unclean or self.reserve_usable(0.0, now)

    def unregister(self):
        """Return the row that says that nothing of this process is left.

        Returns
        -------
        dict
        """
        return self._row(running=without(self.running, self.instance))

    def take_over(self, dead, now):
        """Return the row that makes this instance the holder of a dead one's shares.

        Parameters
        ----------
        dead : str
            The instance found dead.
        now : float
            Monotonic seconds.

        Returns
        -------
        dict or None
            None if this instance may not, or not yet.
        """
        if self.heir_of(dead) != self.instance or now >= self.lease_until:
            return None
        if self.holder_of(dead) != dead or self._settling(now):
            return None
        process = (dead, self.running.get(dead))
        if dead in self.running and process not in self._asked_by:
            # It may not know its heir, and be vouched for by another.
            return None
        # From here on no vouch may reach the dead instance, should it come back.
        self._taking.add(dead)
        ring = self._rings[dead]
        taken = [name for name in ring if self.holder_of(name) == dead]
        return self._row(holders=self.record | dict.fromkeys(taken, self.instance))

    def usable(self, name, hold_s, now):
        """Return whether the units of a held share may be used yet.

        Parameters
        ----------
        name : str
            Owner of the share.
        hold_s : float
            Longest time for which work holds a unit.
        now : float
            Monotonic seconds.

        Returns
        -------
        bool
        """
        if name == self.instance and not self.unclean:
            return self.registered()
        since = self._since(name)
        return since is not None and now >= since + wait_after_s(hold_s)

    def reserve_usable(self, hold_s, now):
        """Return whether the reserve of this instance's own share may be used.

        Parameters
        ----------
        hold_s : float
            Longest time for which work holds a unit.
        now : float
            Monotonic seconds.

        Returns
        -------
        bool
            False for long after an unclean start, since the process before may live
            on, cut off from everybody, and use it.
        """
        if not self.unclean:
            return now < self.lease_until + RESERVE_S
        since = self._since(self.instance)
        later_s = RESERVE_S * (1 + 2 * CLOCK_RATE_MARGIN) + wait_after_s(hold_s)
        return since is not None and now >= since + later_s

    def _since(self, name):
        return self._confirmed_at if name == self.instance else self.usable_from[name]

    def _confirm(self, now):
        """Begin to count the time after which an unclean start uses its share."""
        waits = self.registered() and self.holds_own() and not self.unconfirmed()
        if waits and self._confirmed_at is None:
            self._confirmed_at = now

    def _update_held(self, now):
        held = set(self.held_shares()) - {self.instance}
        for name in set(self.usable_from) - held:
            del self.usable_from[name]
        for name in held - set(self.usable_from):
            self.usable_from[name] = now

    def _settling(self, now):
        """Return whether a take-over is too recent to make another.

        The holder before may still vouch for its predecessor until its lease ends.
        """
        lease_s = LEASE_S * (1 + 2 * CLOCK_RATE_MARGIN) + LOAN_MARGIN_S
        return any(now < since + lease_s for since in self.usable_from.values())


def create_holders(instance, incarnation, roster):
    """Return the record of a process that has just started.

    Parameters
    ----------
    instance : str
        Name of the instance.
    incarnation : int
        Names the process among all processes of the instance.
    roster : dict of str to dict
        All instances, with ``region`` and ``domain``.

    Returns
    -------
    Holders
    """
    return Holders(instance, incarnation, roster)
