"""Everything an instance knows of configuration, endpoints and other instances."""

import base64

import gevent

from quetzalwall.connection.yielding_socket import YIELD_SLEEP_S
from quetzalwall.exceptions import PeerError, SettingsError
from quetzalwall.logs import get_logger, log_event
from quetzalwall.platform.rows import (
    CONFIG_KEY,
    ENDPOINTS_TABLE,
    EVACUATION_PREFIX,
    OPERATOR_TABLE,
    RowError,
    decode_configuration,
    decode_endpoint,
)
from quetzalwall.platform.store import RowChange, Rows
from quetzalwall.process.storage.settings_tree import read_tree
from quetzalwall.process.storage.store_table import SETTINGS_TABLE

__all__ = [
    "PLATFORM_TABLES",
    "TREE_TABLES",
    "ClusterState",
    "create_cluster_state",
    "read_exported",
]

PLATFORM_TABLES = (OPERATOR_TABLE, ENDPOINTS_TABLE)
TREE_TABLES = (SETTINGS_TABLE,)

ROWS_AT_ONCE = 200  # endpoints taken over before other tasks get their turn
MOST_REMOVED = 2000  # removals remembered of a table, to tell them to others
LOG = get_logger("config")


class ClusterState:
    """Configuration in force, endpoints, fleet, and the rows that they come from.

    Parameters
    ----------
    endpoints : EndpointTable
        The endpoints.
    fleet : Fleet
        The other instances.
    tables : sequence of str
        Tables of the store that it is made from.

    Attributes
    ----------
    on_configuration : callable or None
        Called with each configuration that comes into force.
    tree : SettingsTree or None
        The settings tree in force, where there is one.
    """

    def __init__(self, endpoints, fleet, tables):
        self.endpoints = endpoints
        self.fleet = fleet
        self.tables = tables
        self.on_configuration = None
        self.tree = None
        self._cfg = None
        self._rows = {table: {} for table in tables}
        self._removed = {table: {} for table in tables}
        self._forgotten = dict.fromkeys(tables, 0)
        self._versions = {}
        self._taken = set()
        self._taking = set()

    def configuration(self):
        """Return the configuration in force, or None.

        Returns
        -------
        Configuration or None
        """
        return self._cfg

    def ready(self):
        """Return whether requests can be served.

        Returns
        -------
        bool
        """
        return self._cfg is not None and len(self._taken) == len(self.tables)

    def apply(self, table, rows, whole, away):
        """Take over rows of a table.

        Parameters
        ----------
        table : str
            Name of the table.
        rows : Rows
            Changes in order.
        whole : bool
            Whether they are all rows of the table.
        away : bool
            Whether the store was away, so that entries may have lapsed.
        """
        if whole and rows.version < self._versions.get(table, 0):
            log_event(LOG, "stale-rows", "warning", table=table, version=rows.version)
            return
        changes = list(rows.rows)
        if whole:
            listed = {change.key for change in changes}
            changes += [
                RowChange(key, None, rows.version)
                for key in self._rows[table]
                if key not in listed
            ]
        lapsed = {c.key for c in changes if c.value is None and away} | rows.lapsed
        for change in changes:
            self._keep(table, change, change.key in lapsed)
        self._versions[table] = rows.version
        self.fleet.read_up_to[table] = rows.version
        if whole:
            # What came and went before is not known here; who asks may know it.
            self._forgotten[table] = max(self._forgotten[table], rows.version)
        if changes:
            newest = max(change.version for change in changes)
            known = self.fleet.tables.get(table, 0)
            self.fleet.tables[table] = max(known, newest)
        if table == OPERATOR_TABLE:
            self._apply_operator(changes)
        elif table == ENDPOINTS_TABLE:
            self._taking.add(table)
            try:
                self._apply_endpoints(changes, lapsed, rows.lapse_s)
            finally:
                self._taking.discard(table)
        else:
            self._apply_tree()
        self._taken.add(table)

    def export(self, table, after=0):
        """Return a table, or what has changed, as another instance may take it over.

        Parameters
        ----------
        table : str
            Name of the table.
        after : int, default=0
            Version up to which the other instance knows the table; 0 for all of it.

        Returns
        -------
        dict or None
            None if this instance has not read it, or has not taken it over yet.
        """
        if table not in self._versions or table in self._taking:
            return None
        if after < self._forgotten[table]:
            after = 0
        rows = {
            key: [base64.b64encode(change.value).decode(), change.version]
            for key, change in self._rows[table].items()
            if change.version > after
        }
        removed = {}
        for key, (version, lapsed) in self._removed[table].items():
            left_s = self.endpoints.lapse_s(key) if lapsed else 0.0
            # A whole table lacks what is gone; what may come back has to be named.
            if version > after and (after > 0 or left_s > 0):
                removed[key] = [version, left_s]
        return {
            "version": self._versions[table],
            "whole": after == 0,
            "rows": rows,
            "removed": removed,
        }

    def _keep(self, table, change, lapsed):
        removed = self._removed[table]
        if change.value is not None:
            self._rows[table][change.key] = change
            removed.pop(change.key, None)
            return
        self._rows[table].pop(change.key, None)
        removed.pop(change.key, None)
        removed[change.key] = (change.version, lapsed)
        if len(removed) > MOST_REMOVED:
            version, _ = removed.pop(next(iter(removed)))
            self._forgotten[table] = max(self._forgotten[table], version)

    def _apply_operator(self, changes):
        for change in changes:
            if change.key == CONFIG_KEY and change.value is not None:
                self._take_configuration(change)
        prefix = len(EVACUATION_PREFIX)
        domains = {
            key[prefix:]
            for key in self._rows[OPERATOR_TABLE]
            if key.startswith(EVACUATION_PREFIX)
        }
        self.endpoints.evacuate(domains, self._cold_s)

    def _take_configuration(self, change):
        try:
            cfg = decode_configuration(change.value)
        except RowError as exc:
            log_event(LOG, "refused", "error", row=change.version, reason=exc.message)
            return
        self._put_in_force(cfg, change.version)

    def _put_in_force(self, cfg, row):
        """Take over a configuration; return whether it is newer than the known one."""
        known = self._cfg.version if self._cfg else 0
        if cfg.version <= known:
            if cfg.version < known:
                log_event(LOG, "older", "warning", version=cfg.version, known=known)
            return False
        self._cfg = cfg
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

    def _apply_tree(self):
        rows = self._rows[SETTINGS_TABLE]
        try:
            tree = read_tree({key: change.value for key, change in rows.items()})
        except SettingsError as exc:
            log_event(LOG, "refused", "error", reason=exc.message)
            return
        if tree is None or not self._put_in_force(tree.compiled.cfg, tree.version):
            return
        self.tree = tree
        self.endpoints.domains = tree.compiled.domains
        listed = {entry.name for entry in tree.compiled.entries}
        for state in self.endpoints:
            if state.name not in listed:
                self.endpoints.remove(state.name, False)
        for entry in tree.compiled.entries:
            self.endpoints.put(entry)

    def _cold_s(self, service):
        spec = self._cfg.services.get(service) if self._cfg else None
        return spec.cold_s if spec else 0.0

    def _apply_endpoints(self, changes, lapsed, lapse_s):
        first = ENDPOINTS_TABLE not in self._taken
        for number, change in enumerate(changes, 1):
            if number % ROWS_AT_ONCE == 0:
                gevent.sleep(YIELD_SLEEP_S)
            if change.value is None:
                self.endpoints.remove(change.key, change.key in lapsed, lapse_s)
                continue
            try:
                entry = decode_endpoint(change.key, change.value)
            except RowError as exc:
                log_event(
                    LOG,
                    "bad-endpoint",
                    "warning",
                    endpoint=change.key,
                    row=change.version,
                    reason=exc.message,
                )
                self.endpoints.spoil(change.key)
                continue
            self.endpoints.put(entry, log=not first)
        if first:
            log_event(LOG, "registry", endpoints=len(self.endpoints))


def read_exported(body, peer):
    """Return the rows that another instance exported.

    Parameters
    ----------
    body : object
        Decoded JSON.
    peer : str
        The instance, for errors.

    Returns
    -------
    (Rows, bool)
        The rows, and whether they are all rows of the table.

    Raises
    ------
    PeerError
        They can't be read.
    """
    try:
        rows = [
            RowChange(key, base64.b64decode(value, validate=True), int(version))
            for key, (value, version) in body["rows"].items()
        ]
        rows += [
            RowChange(key, None, int(version))
            for key, (version, _) in body["removed"].items()
        ]
        left_s = {key: float(s) for key, (_, s) in body["removed"].items() if s}
        lapse_s = min(left_s.values(), default=None)
        rows.sort(key=lambda change: change.version)
        version = int(body["version"])
        return Rows(rows, version, frozenset(left_s), lapse_s), bool(body["whole"])
    except (KeyError, TypeError, ValueError, AttributeError) as exc:
        raise PeerError(f"bad rows: {exc!r}", step="read rows", peer=peer) from exc


def create_cluster_state(endpoints, fleet, tables=PLATFORM_TABLES):
    """Return knowledge that holds nothing yet.

    Parameters
    ----------
    endpoints, fleet, tables
        As of `ClusterState`.

    Returns
    -------
    ClusterState
    """
    return ClusterState(endpoints, fleet, tables)
