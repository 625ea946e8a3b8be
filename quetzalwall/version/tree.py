"""The settings tree, which has one subtree for each team, and its row keys."""

import json

__all__ = [
    "HEAD_KEY",
    "diff_trees",
    "history_key",
    "merge_tree",
    "team_key",
]

HEAD_KEY = "config/head"
SECTIONS = (
    "regions",
    "classes",
    "services",
    "shifts",
    "credentials",
)
DEFAULT_LOOKUP = {"ttl_s": 5.0, "answers": 3}


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


def merge_tree(tree):
    """Return the sections of all teams merged.

    Parameters
    ----------
    tree : dict
        Team to subtree; checked, so that no name is defined by two teams.

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
    merged["leaving"] = {"endpoints": []}
    merged["lookup"] = dict(DEFAULT_LOOKUP)
    for _, subtree in sorted(tree.items()):
        for section in SECTIONS:
            merged[section].update(subtree.get(section, {}))
        for kind, names in subtree.get("leaving", {}).items():
            merged["leaving"][kind] = sorted({*merged["leaving"][kind], *names})
        merged["lookup"].update(subtree.get("lookup", {}))
    return merged


def diff_trees(old, new, path=""):
    """Return the leaves that differ between two trees.

    Parameters
    ----------
    old, new : object
        Decoded JSON.
    path : str, default=""
        Path of both from the root of the tree.

    Returns
    -------
    list of str
        One line for each leaf: ``-`` for removed, ``+`` for added.

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
