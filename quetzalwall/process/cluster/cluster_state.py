"""State of the cluster: active configuration, endpoints and other instances."""

import base64

import gevent

from quetzalwall.exceptions import MissingRows, SettingsError
from quetzalwall.logs import get_logger, log_event
from quetzalwall.platform.rows import (
    CONFIG_KEY,
    ENDPOINTS_TABLE,
    EVACUATION_PREFIX,
    OPERATOR_TABLE,
    RowError,
    decode_configuration,
)
from quetzalwall.platform.store import RowChange
from quetzalwall.platform.store_era import era_of
from quetzalwall.process.cluster.evacuations import EVACUATION_HOLD_S, Evacuations
from quetzalwall.process.cluster.exported_rows import read_exported
from quetzalwall.process.cluster.registry_entries import RegistryEntries
from quetzalwall.process.cluster.replaced_configurations import (
    create_replaced_configurations,
)
from quetzalwall.process.cluster.restored_entries import keep_known_starts
from quetzalwall.process.storage.settings_tree import read_tree
from quetzalwall.process.storage.store_table import SETTINGS_TABLE

__all__ = [
    "CONFIGURATION_TABLES",
    "PLATFORM_TABLES",
    "TREE_TABLES",
    "ClusterState",
    "create_cluster_state",
    "read_exported",
]

PLATFORM_TABLES = (OPERATOR_TABLE, ENDPOINTS_TABLE)
TREE_TABLES = (SETTINGS_TABLE,)

CONFIGURATION_TABLES = (OPERATOR_TABLE, SETTINGS_TABLE)
MAX_REMOVALS = 2000  # kept for each table, to export them to other instances
LOG = get_logger("config")


class ClusterState:
    """Active configuration, endpoints and fleet, with the rows that define them.

    Parameters
    ----------
    endpoints : EndpointTable
        The endpoints.
    fleet : Fleet
        The other instances.
    tables : sequence of str
        Tables of the store that define the state.

    Attributes
    ----------
    on_configuration : callable or None
        Called with each configuration that becomes active.
    replaced : ReplacedConfigurations
        Configurations that may still be active at other instances.
    tree : SettingsTree or None
        The active settings tree; None without one.
    """

    def __init__(self, endpoints, fleet, tables):
        self.endpoints = endpoints
        self.fleet = fleet
        self.tables = tables
        self.on_configuration = None
        self.tree = None
        freshness = fleet.table_updates.freshness
        self.replaced = create_replaced_configurations(freshness)
        self._cfg = None
        self._rows = {table: {} for table in tables}
        self._removed = {table: {} for table in tables}
        # Versions of the store after which all removals are known.
        self._removals_after = dict.fromkeys(tables, 0)
        self._versions = {}
        self._entries = RegistryEntries(endpoints)
        self._evacuations = Evacuations()
        # Rows of the active configuration, and whether those of the store are older.
        self._active_rows = {}
        self._store_is_older = False
        self._applied = set()
        self._applying = set()

    def configuration(self):
        """Return the active configuration, or None if there is none yet.

        Returns
        -------
        Configuration or None
        """
        return self._cfg

    def ready(self):
        """Return whether a configuration is active and all tables have been applied.

        Returns
        -------
        bool
        """
        return self._cfg is not None and len(self._applied) == len(self.tables)

    def apply(self, table, rows, complete, after_outage):
        """Apply rows of a table.

        Parameters
        ----------
        table : str
            Name of the table.
        rows : Rows
            Changes in order.
        complete : bool
            Whether they are all rows of the table.
        after_outage : bool
            Whether a store outage preceded, so that removed entries may have expired.

        Raises
        ------
        MissingRows
            Rows are listed that are neither known nor among the changes.
        """
        changes = list(rows.rows)
        known_era = era_of(self._versions.get(table, 0))
        # Rows that a restored copy lacks may return, as after an outage.
        restored = table in self._versions and era_of(rows.version) > known_era
        after_outage = after_outage or restored
        listed = rows.listed
        if complete:
            listed = {change.key for change in changes}
        if listed is not None:
            if rows.version < self._versions.get(table, 0):
                log_event(
                    LOG, "stale-rows", "warning", table=table, version=rows.version
                )
                return
            if listed - self._rows[table].keys() - {change.key for change in changes}:
                raise MissingRows("listed rows are not known", step=table)
            changes += [
                RowChange(key, None, rows.version)
                for key in self._rows[table]
                if key not in listed
            ]
        expired = {
            c.key for c in changes if c.value is None and after_outage
        } | rows.expired
        removed_before = set(self._removed[table]) if restored else set()
        for change in changes:
            self._record_change(table, change, change.key in expired)
        self._versions[table] = rows.version
        self.fleet.read_versions[table] = rows.version
        if listed is not None:
            # Rows removed earlier are unknown here, but a peer that asks may have them.
            self._removals_after[table] = max(self._removals_after[table], rows.version)
        if changes:
            newest = max(change.version for change in changes)
            known = self.fleet.table_versions.get(table, 0)
            self.fleet.table_versions[table] = max(known, newest)
        if table == OPERATOR_TABLE:
            if restored:
                self._hold_evacuations(removed_before, rows.version)
            self._apply_operator_rows(changes)
        elif table == ENDPOINTS_TABLE:
            self._applying.add(table)
            try:
                if restored:
                    expired |= keep_known_starts(self.endpoints, changes)
                first_time = table not in self._applied
                self._entries.apply(changes, expired, rows.return_grace_s, first_time)
            finally:
                self._applying.discard(table)
        else:
            self._apply_settings_tree()
        self._applied.add(table)

    def export(self, table, after=0, listing=False):
        """Return a table or its later changes, for another instance to apply.

        Parameters
        ----------
        table : str
            Name of the table.
        after : int, default=0
            Version up to which the other instance knows the table; 0 for all of it.
        listing : bool, default=False
            Whether to list the keys of all rows, rather than send all rows, if not all
            removals since then are known here.

        Returns
        -------
        dict or None
            None if this instance has not read the table or is still applying it.
        """
        if table not in self._versions or table in self._applying:
            return None
        known = self._rows[table]
        if self._store_is_older and table in CONFIGURATION_TABLES:
            version = self._versions[table]
            known = known | {
                key: RowChange(key, value, version)
                for key, value in self._active_rows.items()
            }
        listed = None
        if after < self._removals_after[table]:
            if listing and after > 0:
                listed = list(known)
            else:
                after = 0
        rows = {
            key: [base64.b64encode(change.value).decode(), change.version]
            for key, change in known.items()
            if change.version > after
        }
        removed = {}
        for key, (version, expired) in self._removed[table].items():
            grace_s = self.endpoints.remaining_grace_s(key) if expired else 0.0
            # A complete table, or a list of its keys, omits removed rows, except for
            # entries that may return.
            omitted = after == 0 or listed is not None
            if key not in known and version > after and (grace_s > 0 or not omitted):
                removed[key] = [version, grace_s]
        exported = {
            "version": self._versions[table],
            "whole": after == 0,
            "rows": rows,
            "removed": removed,
        }
        return exported if listed is None else exported | {"keys": listed}

    def _record_change(self, table, change, expired):
        removed = self._removed[table]
        if change.value is not None:
            self._rows[table][change.key] = change
            removed.pop(change.key, None)
            return
        self._rows[table].pop(change.key, None)
        removed.pop(change.key, None)
        removed[change.key] = (change.version, expired)
        if len(removed) > MAX_REMOVALS:
            version, _ = removed.pop(next(iter(removed)))
            self._removals_after[table] = max(self._removals_after[table], version)

    def _hold_evacuations(self, removed, version):
        prefix = len(EVACUATION_PREFIX)
        withdrawn = {key[prefix:] for key in removed}
        self._evacuations.hold(self._evacuated_by_rows(), withdrawn, version)
        gevent.spawn_later(EVACUATION_HOLD_S, self._release_evacuations)

    def _apply_operator_rows(self, changes):
        for change in changes:
            if change.key == CONFIG_KEY:
                self._apply_configuration(change)
        prefix = len(EVACUATION_PREFIX)
        changed = {
            change.key[prefix:]: change.version
            for change in changes
            if change.key.startswith(EVACUATION_PREFIX)
        }
        evacuated = self._evacuations.update(self._evacuated_by_rows(), changed)
        self.endpoints.set_evacuated(evacuated, self._cold_s)

    def _evacuated_by_rows(self):
        prefix, rows = len(EVACUATION_PREFIX), self._rows[OPERATOR_TABLE]
        return {key[prefix:] for key in rows if key.startswith(EVACUATION_PREFIX)}

    def _release_evacuations(self):
        if self._evacuations.is_holding():
            log_event(LOG, "evacuations-released", "warning")
            self._evacuations.release()
            self._apply_operator_rows([])

    def _apply_configuration(self, change):
        """Activate the configuration in a row; return whether it became active."""
        self._store_is_older = self._cfg is not None
        if change.value is None:
            return False
        try:
            cfg = decode_configuration(change.value)
        except RowError as exc:
            log_event(LOG, "refused", "error", row=change.version, reason=exc.message)
            return False
        activated = self._activate(cfg, change.version)
        if activated:
            self._active_rows = {CONFIG_KEY: change.value}
            self._entries.apply_services(cfg.services, self._rows[ENDPOINTS_TABLE])
        self._store_is_older = cfg.version < self._cfg.version
        return activated

    def _activate(self, cfg, row):
        """Activate a configuration if it is newer, and return whether it was."""
        known = self._cfg.version if self._cfg else 0
        if cfg.version <= known:
            if cfg.version < known:
                log_event(LOG, "older", "warning", version=cfg.version, known=known)
            return False
        if self._cfg is not None:
            self.replaced.add(self._cfg, cfg)
        self._cfg = cfg
        self.fleet.configuration_version = cfg.version
        log_event(
            LOG,
            "in-force",
            version=cfg.version,
            before=known,
            row=row,
            hosts=len(cfg.hosts),
            services=len(cfg.services),
        )
        if self.on_configuration is not None:
            self.on_configuration(cfg)
        return True

    def _apply_settings_tree(self):
        rows = self._rows[SETTINGS_TABLE]
        self._apply_tree({key: change.value for key, change in rows.items()})

    def _apply_tree(self, values):
        """Activate the settings tree in rows; return whether it became active."""
        try:
            tree = read_tree(values)
        except SettingsError as exc:
            log_event(LOG, "refused", "error", reason=exc.message)
            return False
        version = tree.version if tree else 0
        self._store_is_older = self._cfg is not None and version < self._cfg.version
        if tree is None or not self._activate(tree.compiled.cfg, tree.version):
            return False
        self.tree, self._active_rows = tree, values
        self.endpoints.domains = tree.compiled.domains
        listed = {entry.name for entry in tree.compiled.entries}
        for state in self.endpoints:
            if state.name not in listed:
                self.endpoints.remove(state.name, False)
        for entry in tree.compiled.entries:
            self.endpoints.put(entry)
        return True

    def adopt_configuration(self, rows):
        """Activate a newer configuration of another instance, not that of the store.

        Parameters
        ----------
        rows : Rows
            All rows of the table that holds the configuration.
        """
        if OPERATOR_TABLE in self.tables:
            changes = [change for change in rows.rows if change.key == CONFIG_KEY]
            adopted = any(
                change.value is not None and self._apply_configuration(change)
                for change in changes
            )
        else:
            values = {c.key: c.value for c in rows.rows if c.value is not None}
            adopted = self._apply_tree(values)
        if adopted:
            self._store_is_older = True

    def _cold_s(self, service):
        spec = self._cfg.services.get(service) if self._cfg else None
        return spec.cold_s if spec else 0.0


def create_cluster_state(endpoints, fleet, tables=PLATFORM_TABLES):
    """Return a cluster state to which no rows have been applied.

    Parameters
    ----------
    endpoints, fleet, tables
        As of `ClusterState`.

    Returns
    -------
    ClusterState
    """
    return ClusterState(endpoints, fleet, tables)
