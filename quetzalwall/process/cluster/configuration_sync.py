"""Takes over the configuration that other instances follow if the store lost it.

A store that is restored from an older copy shows an older configuration, under versions
later than before. The instances that had the newer one keep it; one that starts during
that time, or did not have it yet, learns from their reports that there is a newer one.
"""

from quetzalwall.logs import get_logger, log_event
from quetzalwall.process.cluster.cluster_state import CONFIGURATION_TABLES
from quetzalwall.process.cluster.store_readers import peers_ahead

__all__ = ["ConfigurationSync", "create_configuration_sync"]

ASK_AFTER_S = 0.3  # until then the change may come with its table, as usual
LOG = get_logger("config")


class ConfigurationSync:
    """Compares the active configuration with those that peers report.

    Parameters
    ----------
    cluster_state : ClusterState
        Has the active configuration.
    table : str
        Table that holds the configuration.
    fetch_from : callable
        Takes the IP address of an instance and a table; returns all rows that it
        exports, or None.
    monotonic : callable
        Clock in seconds.
    """

    def __init__(self, cluster_state, table, fetch_from, monotonic):
        self._cluster_state = cluster_state
        self._table = table
        self._fetch_from = fetch_from
        self._monotonic = monotonic
        self._behind_since = None

    def check(self):
        """Take over a newer configuration, unless the tables are about to bring it."""
        fleet = self._cluster_state.fleet
        newer = [
            peer
            for peer in fleet.peers()
            if not peer.unresponsive
            and peer.configuration_version > fleet.configuration_version
        ]
        if not newer or peers_ahead(fleet, self._table):
            self._behind_since = None
            return
        now = self._monotonic()
        if self._behind_since is None:
            self._behind_since = now
        if now - self._behind_since < ASK_AFTER_S:
            return
        self._behind_since = now  # another attempt after the same time
        peer = max(newer, key=lambda peer: peer.configuration_version)
        rows = self._fetch_from(peer.info.host, self._table)
        if rows is not None:
            version = peer.configuration_version
            log_event(LOG, "adopted", "warning", peer=peer.info.name, version=version)
            self._cluster_state.adopt_configuration(rows)


def create_configuration_sync(cluster_state, fetch_from, monotonic):
    """Return a comparison of the configuration with those of peers.

    Parameters
    ----------
    cluster_state, fetch_from, monotonic
        As of `ConfigurationSync`.

    Returns
    -------
    ConfigurationSync
    """
    table = next(t for t in cluster_state.tables if t in CONFIGURATION_TABLES)
    return ConfigurationSync(cluster_state, table, fetch_from, monotonic)
