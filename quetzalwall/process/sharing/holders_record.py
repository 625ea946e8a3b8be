"""The row of the table that records holders of shares and running processes."""

from quetzalwall.process.membership.ring import ring_order, successors

__all__ = ["HoldersRecord", "without"]


class HoldersRecord:
    """The row as one process knows it.

    Parameters
    ----------
    instance : str
        Name of this instance.
    roster : dict of str to dict
        All instances, with ``region`` and ``domain``.

    Attributes
    ----------
    version : int
        Version of the row last read.
    record : dict of str to str
        Instance to holder, for shares that another holds.
    running : dict of str to int
        Instance to incarnation of the process that registered last.
    """

    def __init__(self, instance, roster):
        self.instance = instance
        self.version = 0
        self.record = {}
        self.running = {}
        self.set_roster(roster)

    def set_roster(self, roster):
        """Take over the instances of another version of the configuration.

        Parameters
        ----------
        roster : dict of str to dict
            Instance to settings with ``region`` and ``domain``.
        """
        regions = {}
        for name, spec in roster.items():
            regions.setdefault(spec["region"], {})[name] = spec
        self._rings = {}
        for members in regions.values():
            order = ring_order(members)
            self._rings.update(dict.fromkeys(order, order))

    def holder_of(self, name):
        """Return who holds an instance's share.

        Parameters
        ----------
        name : str
            The instance.

        Returns
        -------
        str
        """
        return self.record.get(name, name)

    def held_shares(self):
        """Return the instances whose shares this one holds.

        Returns
        -------
        list of str
        """
        ring = self._rings.get(self.instance, [])
        return [name for name in ring if self.holder_of(name) == self.instance]

    def heir_of(self, name):
        """Return the one instance that may take over a share.

        Parameters
        ----------
        name : str
            The holder of the share.

        Returns
        -------
        str or None
            The next instance of its region that runs and holds its own share.
        """
        found = successors(self._rings.get(name, []), name, 1, self._in_place)
        return found[0] if found else None

    def give_back(self, name):
        """Return the row that gives a share back to its owner.

        Parameters
        ----------
        name : str
            The owner.

        Returns
        -------
        dict
        """
        return self._row(holders=without(self.record, name))

    def _in_place(self, name):
        return name in self.running and self.holder_of(name) == name

    def _row(self, holders=None, running=None):
        return {
            "holders": self.record if holders is None else holders,
            "running": self.running if running is None else running,
        }


def without(mapping, name):
    """Return a mapping without one key.

    Parameters
    ----------
    mapping : dict
        The mapping.
    name : str
        The key; it may be absent.

    Returns
    -------
    dict
    """
    return {key: value for key, value in mapping.items() if key != name}
