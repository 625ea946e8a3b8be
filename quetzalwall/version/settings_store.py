"""Storage of accepted settings in the platform's store.

One row holds the version over all teams and the version of each team. Each team has a
row with its subtree, and each change a row of the history. A change is one transaction,
so that it is accepted completely or not at all.
"""

import time
from uuid import uuid4

from quetzalwall.exceptions import SettingsConflict, StoreUnavailable
from quetzalwall.version.check import require_valid_tree
from quetzalwall.version.tree import (
    HEAD_KEY,
    diff_trees,
    history_key,
    team_key,
)

__all__ = ["history", "put_subtree", "read_head"]

MAX_TRIES = 20
RETRY_PAUSE_S = 0.1
EMPTY_HEAD = {"version": 0, "teams": {}, "token": ""}


def read_head(table):
    """Return the head row, which holds the versions.

    Parameters
    ----------
    table : StoreTable
        Rows of the store.

    Returns
    -------
    dict
        With ``version``, ``teams`` and ``token``.

    Raises
    ------
    StoreUnavailable
        No response arrived.
    """
    return table.read([HEAD_KEY])[HEAD_KEY].value or EMPTY_HEAD


def put_subtree(table, team, subtree, base, author, wall=time.time, sleep=time.sleep):
    """Replace a team's subtree.

    Parameters
    ----------
    table : StoreTable
        Rows of the store.
    team : str
        Name of the team.
    subtree : dict
        Its new subtree.
    base : int
        Version of the subtree that the change was made from.
    author : str
        Author recorded in the history.
    wall : callable, default=time.time
        Returns the seconds since the epoch, which are recorded in the history.
    sleep : callable, default=time.sleep
        Waits a number of seconds between tries.

    Returns
    -------
    int
        Version of the configuration that holds the change.

    Raises
    ------
    SettingsConflict
        The subtree changed since ``base``.
    SettingsError
        The changed tree would have faults.
    StoreUnavailable
        No response arrived; the change may have been accepted.
    """
    token = uuid4().hex
    first_version = None
    last_error = None
    for _ in range(MAX_TRIES):
        try:
            head_row, head, tree = _read_consistent(table)
            if first_version is None:
                first_version = head["version"]
            accepted = _accepted_version(table, token, first_version, head["version"])
            if accepted is not None:
                return accepted
            change = _prepare_change(team, subtree, base, head, tree, token)
            change["author"] = author
            change["at"] = wall()
            if _write(table, head_row, change):
                return change["version"]
        except StoreUnavailable as exc:
            last_error = exc
            sleep(RETRY_PAUSE_S)
    raise StoreUnavailable(
        f"change {token} may have been accepted: {last_error or 'too many changes'}",
        step="put settings",
        peer="table",
    )


def history(table, limit=100):
    """Return the latest changes, oldest first.

    Parameters
    ----------
    table : StoreTable
        Rows of the store.
    limit : int, default=100
        Maximum number of changes.

    Returns
    -------
    list of dict
    """
    newest = read_head(table)["version"]
    first = max(1, newest - limit + 1)
    rows = table.read_range(history_key(first), history_key(newest + 1))
    return [row.value for row in rows]


def _read_consistent(table):
    """Return the head row, its value and the subtrees that belong to it."""
    for _ in range(MAX_TRIES):
        head_row = table.read([HEAD_KEY])[HEAD_KEY]
        head = head_row.value or EMPTY_HEAD
        keys = {team: team_key(team) for team in head["teams"]}
        rows = table.read([*keys.values(), HEAD_KEY])
        if rows[HEAD_KEY].version == head_row.version:
            return head_row, head, {t: rows[key].value for t, key in keys.items()}
    raise StoreUnavailable("settings change too fast", "read settings", "table")


def _accepted_version(table, token, first, newest):
    """Return the version that an earlier try with a lost response produced, or None."""
    if first == newest:
        return None
    for row in table.read_range(history_key(first + 1), history_key(newest + 1)):
        if row.value["token"] == token:
            return row.value["version"]
    return None


def _prepare_change(team, subtree, base, head, tree, token):
    current = head["teams"].get(team, 0)
    if current != base:
        raise SettingsConflict(
            f"settings of {team} are at version {current}, not {base}",
            base=base,
            current=current,
            subtree=tree.get(team, {}),
        )
    changed = {**tree, team: subtree}
    require_valid_tree(changed, file=f"settings of {team}")
    return {
        "version": head["version"] + 1,
        "team": team,
        "team_version": current + 1,
        "teams": {**head["teams"], team: current + 1},
        "subtree": subtree,
        "token": token,
        "diff": diff_trees(tree.get(team, {}), subtree, f"/{team}"),
    }


def _write(table, head_row, change):
    version = change["version"]
    head = {key: change[key] for key in ("version", "teams", "token")}
    record = {k: v for k, v in change.items() if k not in ("teams", "subtree")}
    # The check on the history row protects against an earlier try that is applied late.
    checks = {HEAD_KEY: head_row.version, history_key(version): 0}
    writes = {
        HEAD_KEY: head,
        team_key(change["team"]): change["subtree"],
        history_key(version): record,
    }
    return table.transact(checks, writes).committed
