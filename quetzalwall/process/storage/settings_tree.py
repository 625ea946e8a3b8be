"""Read the settings tree from its rows in the store."""

from typing import NamedTuple

import msgspec

from quetzalwall.exceptions import SettingsError
from quetzalwall.version.check import require_valid_tree
from quetzalwall.version.compile import CompiledTree, compile_tree
from quetzalwall.version.tree import HEAD_KEY, team_key

__all__ = ["SettingsTree", "read_tree"]


class SettingsTree(NamedTuple):
    """An accepted version of the settings tree.

    Attributes
    ----------
    version : int
        Version of the whole tree; it increases with each change of any subtree.
    team_versions : dict of str to int
        Team to version of its subtree.
    tree : dict
        Team to subtree.
    compiled : CompiledTree
        The tree compiled into configuration, endpoints and look-up settings.
    """

    version: int
    team_versions: dict
    tree: dict
    compiled: CompiledTree


def read_tree(rows):
    """Return the settings tree that is stored in rows.

    Parameters
    ----------
    rows : dict of str to bytes
        Key to value, which is JSON.

    Returns
    -------
    SettingsTree or None
        None if no settings have been accepted yet.

    Raises
    ------
    SettingsError
        The rows can't be decoded, or the tree is not valid.
    """
    if HEAD_KEY not in rows:
        return None
    try:
        head = msgspec.json.decode(rows[HEAD_KEY])
        teams = dict(head["teams"])
        version = int(head["version"])
        tree = {team: msgspec.json.decode(rows[team_key(team)]) for team in teams}
    except (msgspec.DecodeError, KeyError, TypeError, ValueError) as exc:
        raise SettingsError(f"settings can't be read: {exc!r}") from exc
    require_valid_tree(tree, file="settings")
    return SettingsTree(version, teams, tree, compile_tree(version, tree))
