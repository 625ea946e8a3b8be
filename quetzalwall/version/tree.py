"""The settings tree: one subtree for each team, merged into one configuration."""

import hashlib
import json
from typing import NamedTuple

__all__ = [
    "HEAD_KEY",
    "Configuration",
    "create_configuration",
    "diff_trees",
    "history_key",
    "merge_tree",
    "team_key",
    "tree_digest",
]

HEAD_KEY = "config/head"
SECTIONS = (
    "regions",
    "links",
    "classes",
    "instances",
    "services",
    "shifts",
    "credentials",
)
DEFAULT_LOOKUP = {"ttl_s": 5.0, "answers": 3}


class Configuration(NamedTuple):
    """One accepted version of the configuration.

    Attributes
    ----------
    version : int
        Grows by one with each accepted change, over all teams.
    team_versions : dict of str to int
        Team to version of its subtree.
    tree : dict
        Team to subtree, as accepted.
    merged : dict
        All subtrees merged, with defaults filled in.
    digest : str
        SHA-256 of the tree.
    """

    version: int
    team_versions: dict
    tree: dict
    merged: dict
    digest: str


def team_key(team):
    """Return the key of the row that holds a team's subtree.

    Parameters
    ----------
    team : str
        Name of the team.

    Returns
    -------
    str
    """
    return f"config/team/{team}"


def history_key(version):
    """Return the key of the row that records one change.

    Parameters
    ----------
    version : int
        Version that the change produced.

    Returns
    -------
    str
    """
    return f"config/history/{version:012d}"


def create_configuration(version, team_versions, tree):
    """Return a configuration built from a checked tree.

    Parameters
    ----------
    version : int
        Version over all teams.
    team_versions : dict of str to int
        Team to version of its subtree.
    tree : dict
        Team to subtree.

    Returns
    -------
    Configuration
    """
    return Configuration(
        version, dict(team_versions), tree, merge_tree(tree), tree_digest(tree)
    )


def merge_tree(tree):
    """Return the sections of all teams merged.

    Parameters
    ----------
    tree : dict
        Team to subtree; checked, so that no name stands in two teams.

    Returns
    -------
    dict
        Section to entries, with ``leaving`` and ``lookup`` always present.

    Examples
    --------
    >>> tree = {"a": {"classes": {"status": {"rank": 0, "max_duration_s": 2}}}, "b": {}}
    >>> merge_tree(tree)["lookup"]["answers"]
    3
    """
    merged = {section: {} for section in SECTIONS}
    merged["leaving"] = {"endpoints": [], "instances": []}
    merged["lookup"] = dict(DEFAULT_LOOKUP)
    for _, subtree in sorted(tree.items()):
        for section in SECTIONS:
            merged[section].update(subtree.get(section, {}))
        for kind, names in subtree.get("leaving", {}).items():
            merged["leaving"][kind] = sorted({*merged["leaving"][kind], *names})
        merged["lookup"].update(subtree.get("lookup", {}))
    return merged


def tree_digest(tree):
    """Return the SHA-256 of a tree, the same for equal trees.

    Parameters
    ----------
    tree : dict
        Team to subtree.

    Returns
    -------
    str
        In hexadecimal.
    """
    raw = json.dumps(tree, sort_keys=True, separators=(",", ":")).encode()
    return hashlib.sha256(raw).hexdigest()


def diff_trees(old, new, path=""):
    """Return the leaves that differ between two trees.

    Parameters
    ----------
    old, new : object
        Decoded JSON.
    path : str, default=""
        Path of both in the whole tree.

    Returns
    -------
    list of str
        One line a leaf: ``-`` for removed, ``+`` for added.

    Examples
    --------
    >>> diff_trees({"a": {"b": 1}}, {"a": {"b": 2}})
    ['- /a/b = 1', '+ /a/b = 2']
    """
    if old == new:
        return []
    if not (isinstance(old, dict) and isinstance(new, dict)):
        return [*_leaf_lines("-", path, old), *_leaf_lines("+", path, new)]
    lines = []
    for key in sorted({*old, *new}):
        lines += diff_trees(old.get(key), new.get(key), f"{path}/{key}")
    return lines


def _leaf_lines(sign, path, value):
    if value is None:
        return []
    return [f"{sign} {path or '/'} = {json.dumps(value, sort_keys=True)}"]
