"""Versions of the store's tables that peers report, and the store's confirmations."""

import math

from quetzalwall.platform.rows import OPERATOR_TABLE
from quetzalwall.process.cluster.freshness import create_freshness

__all__ = ["TableUpdates"]


class TableUpdates:
    """Latest reported version and latest confirmation of each table.

    A confirmation says that at some moment the table in the store had no change after a
    version. Reports carry it with its age, so that an instance that does not read the
    store itself knows how old its copy of the table is.

    Parameters
    ----------
    monotonic : callable
        Clock in seconds.

    Attributes
    ----------
    freshness : Freshness
        Decides from stricter proofs whether keys of accounts may be used.
    own_confirmations : dict of str to (int, float)
        Version of each table that the store confirmed to this instance, and the
        monotonic seconds as of which it did.
    """

    def __init__(self, monotonic):
        self.freshness = create_freshness(monotonic)
        self._newest_versions = {}
        self.own_confirmations = {}
        self._confirmations = {}

    def newest_version(self, table):
        """Return the latest version of a table that any other instance has reported.

        Parameters
        ----------
        table : str
            Name of the table.

        Returns
        -------
        int
        """
        return self._newest_versions.get(table, 0)

    def receive(self, report, now):
        """Record the versions and confirmations in a report.

        Parameters
        ----------
        report : PeerReport
            The report.
        now : float
            Monotonic seconds.
        """
        for table, version in report.table_versions.items():
            if version > self._newest_versions.get(table, 0):
                self._newest_versions[table] = version
        version = report.table_versions.get(OPERATOR_TABLE, 0)
        proof = report.operators_proof
        self.freshness.receive(report.process_id, proof, version, now)
        arrived_at = self.freshness.arrived_after(now)
        if arrived_at is None:
            return
        for table, age_ms in report.confirmation_ages_ms.items():
            self._record_confirmation(
                table, arrived_at - age_ms / 1000, report.table_versions.get(table, 0)
            )

    def receive_confirmation(self, tables, proved_at):
        """Record what another instance passed on apart from its reports.

        Parameters
        ----------
        tables : dict of str to (int, float)
            Version of each table, and monotonic seconds as of which it was confirmed.
        proved_at : float or None
            The as-of moment of the operators' table; None if it is not known.
        """
        for table, (version, at) in tables.items():
            if version > self._newest_versions.get(table, 0):
                self._newest_versions[table] = version
            self._record_confirmation(table, at, version)
        if proved_at is not None and OPERATOR_TABLE in tables:
            self.freshness.record_proved(proved_at, tables[OPERATOR_TABLE][0])

    def confirm(self, table, version, at):
        """Record a response of the store to this instance.

        Parameters
        ----------
        table : str
            Name of the table.
        version : int
            Version of its last change.
        at : float
            Monotonic seconds as of which the response proves it.
        """
        self.own_confirmations[table] = version, at
        self._record_confirmation(table, at, version)

    def confirmation_ages_ms(self, now):
        """Return the ages of the confirmations that the store gave this instance.

        Parameters
        ----------
        now : float
            Monotonic seconds.

        Returns
        -------
        dict of str to int
            Milliseconds, by table.
        """
        return {
            table: int((now - at) * 1000)
            for table, (_, at) in self.own_confirmations.items()
        }

    def known_as_of(self, table, version):
        """Return the moment at which a table is known to have had no later version.

        Parameters
        ----------
        table : str
            Name of the table.
        version : int
            Version up to which this instance knows the table.

        Returns
        -------
        float
            Monotonic seconds; -inf if there is no confirmation, or only one of a later
            version.
        """
        at, confirmed = self._confirmations.get(table, (-math.inf, 0))
        return at if confirmed <= version else -math.inf

    def clear_confirmations(self):
        """Discard all confirmations: delayed reports make their ages wrong."""
        self._confirmations.clear()

    def _record_confirmation(self, table, at, version):
        if at > self._confirmations.get(table, (-math.inf, 0))[0]:
            self._confirmations[table] = (at, version)
