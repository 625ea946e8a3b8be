"""Writes the active settings tree again if a restored store shows an older one."""

import gevent

from quetzalwall.exceptions import StoreError, StoreUnavailable
from quetzalwall.logs import get_logger, log_event
from quetzalwall.version.tree import HEAD_KEY, team_key

__all__ = ["restore_tree", "restore_tree_until_done"]

RETRY_S = 1.0
MAX_RETRIES = 60
LOG = get_logger("config")


def restore_tree(table, tree):
    """Write the active settings tree if the store has an older one.

    The rows of the history that the store lost are not written again.

    Parameters
    ----------
    table : StoreTable
        Rows of the store.
    tree : SettingsTree
        The active tree.

    Returns
    -------
    bool
        Whether the store has this tree or a newer one now.

    Raises
    ------
    StoreUnavailable
        No response arrived, or another writer has damaged the row with the versions.
    """
    row = table.read([HEAD_KEY])[HEAD_KEY]
    version = 0
    if row.value is not None:
        version = row.value.get("version") if isinstance(row.value, dict) else None
        if not isinstance(version, int):
            raise StoreUnavailable(
                "head of the settings is malformed", "restore", "table"
            )
    if version >= tree.version:
        return True
    head = {"version": tree.version, "teams": tree.team_versions, "token": ""}
    writes = {team_key(team): subtree for team, subtree in tree.tree.items()}
    written = table.transact({HEAD_KEY: row.version}, writes | {HEAD_KEY: head})
    if written.committed:
        log_event(LOG, "restored", "warning", version=tree.version, before=version)
    return written.committed


def restore_tree_until_done(table, cluster_state):
    """Write the active settings tree if the store has an older one, with retries.

    Parameters
    ----------
    table : StoreTable
        Rows of the store.
    cluster_state : ClusterState
        Has the active tree, which may change meanwhile.
    """
    for _ in range(MAX_RETRIES):
        try:
            if cluster_state.tree is None or restore_tree(table, cluster_state.tree):
                return
        except StoreError as exc:
            log_event(LOG, "not-restored", "warning", reason=exc.message)
        gevent.sleep(RETRY_S)
