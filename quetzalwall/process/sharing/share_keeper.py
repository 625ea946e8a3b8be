"""Units of this instance, across versions of the configuration and take-overs.

While some instance may still follow an older division, an instance uses the smaller of
its shares under the old and the new one: decreases count at once, increases only after
everybody has confirmed to have decreased.
"""

from quetzalwall.process.sharing.rights import RESERVE_S, wait_after_s
from quetzalwall.version.shares import Share, divide_slots

__all__ = ["ShareKeeper", "create_share_keeper"]

DEFAULT_HOLD_S = 1.0
_EMPTY = Share({}, {})


class ShareKeeper:
    """Keeps a ledger in step with divisions and holders.

    Parameters
    ----------
    ledger : Ledger
        Accounts of this instance.
    holders : Holders
        Who holds which share.

    Attributes
    ----------
    version : int
        Version of the configuration in force.
    """

    def __init__(self, ledger, holders):
        self._ledger = ledger
        self._holders = holders
        self.version = 0
        self._division = {}
        self._older = []
        self._unsettled = set()
        self._hold_s = {}
        self._quiet_since = {}
        self._regions = {}
        self._stopped = set()

    def configure(self, configuration, hold_s, now):
        """Take over the division of another version of the configuration.

        Parameters
        ----------
        configuration : Configuration
            Now in force.
        hold_s : dict of str to float
            Slot key to the longest time for which work holds a unit.
        now : float
            Monotonic seconds.
        """
        cfg = configuration.merged
        division = divide_slots(cfg)
        self._regions = {n: spec["region"] for n, spec in cfg["instances"].items()}
        names = set(division) | set(self._division)
        if division != self._division:
            self._older.append(self._division)
            self._division = division
            self._unsettled |= {name for name in names if self._shares_units(name)}
        self._hold_s = dict(hold_s)
        for name, shift in cfg["shifts"].items():
            self._hold_s[f"shift/{name}"] = shift["interval_s"]
        self.version = configuration.version
        self.refresh(now)

    def note_settled(self, name, version):
        """Record that another instance follows a version.

        Parameters
        ----------
        name : str
            The instance.
        version : int
            From its `settled_version`.
        """
        if version >= self.version:
            self._unsettled.discard(name)

    def all_settled(self):
        """Return whether every instance follows the version in force.

        Returns
        -------
        bool
        """
        return not self._unsettled

    def unsettled(self):
        """Return the instances that may follow an older version.

        Returns
        -------
        list of str
        """
        return sorted(self._unsettled)

    def settled_version(self, now):
        """Return the newest version whose division this instance obeys.

        Parameters
        ----------
        now : float
            Monotonic seconds.

        Returns
        -------
        int
            The version in force if nothing in use or lent exceeds it, else 0.
        """
        return self.version if self.drained(now) else 0

    def refresh(self, now):
        """Work out the units that may be used now.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        """
        self._settle_absent(now)
        if not self._unsettled:
            self._older = []
        units, reserve = {}, {}
        for name in self._holders.held_shares():
            if name in self._stopped:
                continue
            self._add_share(name, units, reserve, now)
        if not self._holders.holds_own():
            # The reserve stays with this instance in any case.
            self._add_reserve(reserve, now)
        self._ledger.set_share(units, reserve)
        self._ledger.lease_until = self._holders.lease_until
        self._ledger.reserve_until = self._holders.lease_until + RESERVE_S

    def _add_share(self, name, units, reserve, now):
        own = name == self._holders.instance
        share = self._least_share(name)
        for key, count in share.units.items():
            hold_s = self._hold(key)
            if not self._holders.usable(name, hold_s, now):
                continue
            kept = share.reserve.get(key, 0)
            if own and self._holders.reserve_usable(hold_s, now):
                reserve[key] = kept
            else:
                count -= kept
            if count:
                units[key] = units.get(key, 0) + count

    def _add_reserve(self, reserve, now):
        share = self._least_share(self._holders.instance)
        for key, kept in share.reserve.items():
            if self._holders.reserve_usable(self._hold(key), now):
                reserve[key] = kept

    def stop_using(self, name, stopped):
        """Leave a held share out, so that it can be given back.

        Parameters
        ----------
        name : str
            Owner of the share.
        stopped : bool
            Whether it is left out.
        """
        if stopped:
            self._stopped.add(name)
        else:
            self._stopped.discard(name)

    def drained(self, now):
        """Return whether what is in use and lent fits the units of this instance.

        Parameters
        ----------
        now : float
            Monotonic seconds.

        Returns
        -------
        bool
        """
        ledger = self._ledger
        for key in {*ledger.used, *ledger.units}:
            owned = max(ledger.units.get(key, 0), ledger.reserve.get(key, 0))
            in_use = ledger.used.get(key, 0) - ledger.borrowed_units(key, now)
            if max(0, in_use) + ledger.lent_units(key) > owned:
                return False
        return True

    def _least_share(self, name):
        """Return the least of a share under all divisions still followed."""
        least = self._division.get(name, _EMPTY)
        for division in self._older:
            other = division.get(name, _EMPTY)
            least = Share(
                _minimum(least.units, other.units),
                _minimum(least.reserve, other.reserve),
            )
        return least

    def _shares_units(self, name):
        """Return whether units may move between another instance and this one."""
        own = self._holders.instance
        if name == own:
            return False
        divisions = [*self._older, self._division]
        if not all(divisions) and self._regions.get(name) == self._regions.get(own):
            # A process that starts does not know what others followed before.
            return True
        return any(
            division.get(own, _EMPTY).units.keys()
            & other.get(name, _EMPTY).units.keys()
            for division in divisions
            for other in divisions
        )

    def _hold(self, key):
        return self._hold_s.get(key, DEFAULT_HOLD_S)

    def _settle_absent(self, now):
        """Count those out whose rights have run out or that left cleanly."""
        longest_s = max(self._hold_s.values(), default=DEFAULT_HOLD_S)
        if not self._holders.version:
            return
        for name in list(self._unsettled):
            if name not in self._holders.running:
                self._unsettled.discard(name)
            elif self._holders.holder_of(name) != name:
                since = self._quiet_since.setdefault(name, now)
                if now >= since + wait_after_s(longest_s):
                    self._unsettled.discard(name)
            else:
                self._quiet_since.pop(name, None)


def _minimum(first, second):
    return {
        key: min(count, second[key]) for key, count in first.items() if key in second
    }


def create_share_keeper(ledger, holders):
    """Return a keeper that knows no configuration yet.

    Parameters
    ----------
    ledger : Ledger
        Accounts of the instance.
    holders : Holders
        Who holds which share.

    Returns
    -------
    ShareKeeper
    """
    return ShareKeeper(ledger, holders)
