"""Which instances are live, agreed between them by heartbeats to a few neighbours.

Each instance sends heartbeats to its next live successors in a ring, its sponsors. A
member is taken for dead only when none of its sponsors has heard it for a while: the
sponsor that misses it asks the others first. The idea that a departure needs the
silence of k acknowledging nodes is from [1]_, without its synchronous rounds.

References
----------
.. [1] R. Barbosa and J. Karlsson, "Flexible, Cost-Effective Membership Agreement in
   Synchronous Systems".
"""

from typing import NamedTuple

from quetzalwall.process.membership.ring import ring_order, successors

__all__ = ["DEAD", "LEAVING", "LIVE", "MemberState", "Membership", "create_membership"]

LIVE = "live"
LEAVING = "leaving"
DEAD = "dead"
SPONSORS = 3
HEARTBEAT_S = 0.5
SUSPECT_S = 1.6  # silence after which a sponsor asks the others
SELF_PAUSE_S = 1.2  # a gap in our own rounds after which silence proves nothing
SPREAD_ROUNDS = 12  # heartbeats that carry a change


class MemberState(NamedTuple):
    """What is known of a member.

    Attributes
    ----------
    incarnation : int
        Grows when the member restarts or contradicts a report of its death.
    state : str
        ``"live"``, ``"leaving"`` or ``"dead"``.
    settled : int
        Newest version of the configuration that the member obeys, as far as known.
    """

    incarnation: int
    state: str
    settled: int = 0


class Membership:
    """View of one instance.

    Parameters
    ----------
    instance : str
        Name of this instance.
    roster : dict of str to dict
        All instances of the configuration in force, with ``domain``.
    incarnation : int
        Larger than at any earlier start.
    now : float
        Monotonic seconds.
    sponsors : int, default=3
        Instances that watch each member.

    Attributes
    ----------
    members : dict of str to MemberState
        All instances of the roster.
    """

    def __init__(self, instance, roster, incarnation, now, sponsors=SPONSORS):
        self.instance = instance
        self.sponsors = sponsors
        self.members = {instance: MemberState(incarnation, LIVE)}
        self._heard = {}
        self._spread = {}
        self._last_round = now
        self.set_roster(roster, now)

    def set_roster(self, roster, now):
        """Take over the instances of another version of the configuration.

        Parameters
        ----------
        roster : dict of str to dict
            Instance to settings with ``domain``.
        now : float
            Monotonic seconds.
        """
        self.ring = ring_order(roster)
        for name in self.ring:
            self.members.setdefault(name, MemberState(0, LIVE))
            self._heard.setdefault(name, now)
        for name in [name for name in self.members if name not in roster]:
            if name != self.instance:
                del self.members[name]
                self._heard.pop(name, None)

    def targets(self):
        """Return the instances that this one sends heartbeats to.

        Returns
        -------
        list of str
            Its sponsors: the next successors that are not dead.
        """
        return successors(self.ring, self.instance, self.sponsors, self.alive)

    def alive(self, name):
        """Return whether a member is not known to be dead.

        Parameters
        ----------
        name : str
            The member.

        Returns
        -------
        bool
        """
        return name in self.members and self.members[name].state != DEAD

    def usable(self):
        """Return the members that callers may be sent to.

        Returns
        -------
        list of str
            Live ones, in the order of their names.
        """
        return sorted(n for n, member in self.members.items() if member.state == LIVE)

    def changes(self):
        """Return recent changes, to go with the next heartbeat.

        Returns
        -------
        dict of str to list
            Member to incarnation, state and settled version.
        """
        message = {self.instance: list(self.members[self.instance])}
        for name in list(self._spread):
            message[name] = list(self.members.get(name, MemberState(0, LIVE)))
            self._spread[name] -= 1
            if self._spread[name] <= 0:
                del self._spread[name]
        return message

    def all_states(self):
        """Return the state of every member, for one that starts.

        Returns
        -------
        dict of str to list
        """
        return {name: list(member) for name, member in self.members.items()}

    def hear(self, name, changes, now):
        """Take in a heartbeat or the answer to one.

        Parameters
        ----------
        name : str
            Who sent it.
        changes : dict of str to list
            From the sender's `changes`.
        now : float
            Monotonic seconds.

        Returns
        -------
        list of str
            Members whose state changed.
        """
        if name in self.members:
            self._heard[name] = now
        changed = []
        for member, pair in changes.items():
            if member in self.members and self._merge(member, MemberState(*pair), now):
                changed.append(member)
        known = self.members.get(name)
        if known and name in changes and known[:2] != tuple(changes[name][:2]):
            # Tells the sender what is believed of it, so that it can contradict.
            self._spread[name] = SPREAD_ROUNDS
        return changed

    def silent_s(self, name, now):
        """Return the seconds since this instance heard a member.

        Parameters
        ----------
        name : str
            The member.
        now : float
            Monotonic seconds.

        Returns
        -------
        float
        """
        return now - self._heard.get(name, float("-inf"))

    def suspects(self, now):
        """Return the watched members that have been silent for too long.

        Parameters
        ----------
        now : float
            Monotonic seconds.

        Returns
        -------
        list of str
            Empty after a pause of this instance, which then heard nobody.
        """
        paused = now - self._last_round > SELF_PAUSE_S
        self._last_round = now
        if paused:
            self._forgive(now)
            return []
        return [
            name
            for name in self._watched()
            if self.alive(name) and self.silent_s(name, now) > SUSPECT_S
        ]

    def other_sponsors(self, name):
        """Return who else watches a member.

        Parameters
        ----------
        name : str
            The member.

        Returns
        -------
        list of str
        """
        found = successors(self.ring, name, self.sponsors, self.alive)
        return [other for other in found if other != self.instance]

    def conclude(self, name, silences, now):
        """Mark a suspect dead if no sponsor has heard it.

        Parameters
        ----------
        name : str
            The suspect.
        silences : sequence of float
            Seconds of silence that the other sponsors answered; those that did not
            answer are left out.
        now : float
            Monotonic seconds.

        Returns
        -------
        bool
            Whether the member is now marked dead.
        """
        if self.silent_s(name, now) <= SUSPECT_S or not self.alive(name):
            return False
        others = len(self.other_sponsors(name))
        if others and not silences:
            # Nobody answers: it is this instance that is cut off.
            return False
        if any(silence <= SUSPECT_S for silence in silences):
            return False
        self._set(name, self.members[name]._replace(state=DEAD))
        return True

    def set_own_state(self, state):
        """Change the state of this instance.

        Parameters
        ----------
        state : str
            ``"live"`` or ``"leaving"``.
        """
        own = self.members[self.instance]
        self._set(self.instance, own._replace(state=state))

    def set_settled(self, version):
        """Note the newest version that this instance obeys.

        Parameters
        ----------
        version : int
            Smaller versions than before are ignored: what is obeyed once is obeyed
            for the life of the process.
        """
        own = self.members[self.instance]
        if version > own.settled:
            self._set(self.instance, own._replace(settled=version))

    def note_listed(self, listed):
        """Take in the platform's list, which lags.

        Parameters
        ----------
        listed : dict of str to str
            Instance to ``"live"`` or ``"leaving"``.

        Notes
        -----
        Only ``"leaving"`` is taken over: a listed instance may be dead, and one that
        is not listed yet may live.
        """
        for name, state in listed.items():
            member = self.members.get(name)
            if state == LEAVING and member is not None and member.state == LIVE:
                self._set(name, member._replace(state=LEAVING))

    def _watched(self):
        return [
            name
            for name in self.ring
            if name != self.instance
            and self.instance in successors(self.ring, name, self.sponsors, self.alive)
        ]

    def _merge(self, name, told, now):
        known = self.members[name]
        if name == self.instance:
            return self._contradict(told)
        newer = told.incarnation > known.incarnation
        worse = told.incarnation == known.incarnation and (
            _SEVERITY[told.state] > _SEVERITY[known.state]
        )
        same = told.incarnation == known.incarnation
        if same and told.settled > known.settled:
            known = known._replace(settled=told.settled)
            self._set(name, known)
        if not newer and not worse:
            return False
        if same:
            told = told._replace(settled=known.settled)
        if told.state != DEAD:
            self._heard[name] = max(self._heard[name], now)
        self._set(name, told)
        return True

    def _contradict(self, told):
        """Outdo a report that this instance is dead, or leaves when it does not."""
        own = self.members[self.instance]
        worse = _SEVERITY[told.state] > _SEVERITY[own.state]
        if not worse or told.incarnation < own.incarnation:
            return False
        self._set(self.instance, own._replace(incarnation=told.incarnation + 1))
        return True

    def _set(self, name, state):
        self.members[name] = state
        self._spread[name] = SPREAD_ROUNDS

    def _forgive(self, now):
        for name in self._heard:
            self._heard[name] = now


_SEVERITY = {LIVE: 0, LEAVING: 1, DEAD: 2}


def create_membership(instance, roster, incarnation, now, sponsors=SPONSORS):
    """Return the view of an instance that has just started.

    Parameters
    ----------
    instance : str
        Name of the instance.
    roster : dict of str to dict
        All instances, with ``domain``.
    incarnation : int
        Larger than at any earlier start.
    now : float
        Monotonic seconds.
    sponsors : int, default=3
        Instances that watch each member.

    Returns
    -------
    Membership
    """
    return Membership(instance, roster, incarnation, now, sponsors=sponsors)
