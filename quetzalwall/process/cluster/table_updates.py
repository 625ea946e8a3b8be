"""What other instances tell of the store's tables, and as of when it is known."""

import math

__all__ = ["TableNews"]


class TableNews:
    """Latest versions told, and the latest confirmation by the store, by table.

    A confirmation says that at some moment a table held nothing newer than a version.
    It is passed on with its age, so that an instance that does not ask the store itself
    knows how old its knowledge is.
    """

    def __init__(self):
        self._newest = {}
        self._own = {}
        self._confirmed = {}

    def newest(self, table):
        """Return the latest version of a table that any other instance has told.

        Parameters
        ----------
        table : str
            Name of the table.

        Returns
        -------
        int
        """
        return self._newest.get(table, 0)

    def hear(self, report, now):
        """Take over what another instance reports.

        Parameters
        ----------
        report : PeerReport
            The report.
        now : float
            Monotonic seconds.
        """
        for table, version in report.tables.items():
            if version > self._newest.get(table, 0):
                self._newest[table] = version
        for table, age_ms in report.confirmed.items():
            self._note(table, now - age_ms / 1000, report.tables.get(table, 0))

    def confirm(self, table, version, at):
        """Record an answer of the store to this instance.

        Parameters
        ----------
        table : str
            Name of the table.
        version : int
            Version of its last change.
        at : float
            Monotonic seconds at which the answer came.
        """
        self._own[table] = at
        self._note(table, at, version)

    def ages_ms(self, now):
        """Return the ages of the store's own answers, to be told to others.

        Parameters
        ----------
        now : float
            Monotonic seconds.

        Returns
        -------
        dict of str to int
            Milliseconds by table.
        """
        return {table: int((now - at) * 1000) for table, at in self._own.items()}

    def known_as_of(self, table, version):
        """Return the moment as of which nothing newer than a version is known of.

        Parameters
        ----------
        table : str
            Name of the table.
        version : int
            Version up to which the table is known here.

        Returns
        -------
        float
            Monotonic seconds; -inf if there is no confirmation, or it is of a later
            version.
        """
        at, confirmed = self._confirmed.get(table, (-math.inf, 0))
        return at if confirmed <= version else -math.inf

    def forget_confirmations(self):
        """Drop what was confirmed: reports have waited, so their ages are wrong."""
        self._confirmed.clear()

    def _note(self, table, at, version):
        if at > self._confirmed.get(table, (-math.inf, 0))[0]:
            self._confirmed[table] = (at, version)
