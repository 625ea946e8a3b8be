"""Review a settings tree before it is sent."""

import itertools

from quetzalwall.version.changes import SECTIONS, Entry, add_entry
from quetzalwall.version.check import Fault, check_tree
from quetzalwall.version.compile import compile_tree
from quetzalwall.version.review import (
    ConfigurationReview,
    LocatedRoute,
    review_routes,
    shorten_values,
)
from quetzalwall.version.tree import merge_tree

__all__ = ["review_tree"]

CLASS_FIELDS = {"timeout_s": "class", "target_s": "class"}
# Sections whose entries hold for more than one service.
COMMON_SECTIONS = ("regions", "classes", "shifts")
HIDDEN = "not shown"


def review_tree(tree, file, version=None):
    """Return the review of a settings tree.

    Parameters
    ----------
    tree : object
        Decoded JSON.
    file : str
        File named in faults.
    version : int, default=None
        Version of the tree, if an instance stated it.

    Returns
    -------
    ConfigurationReview
    """
    faults = [_without_credential(fault) for fault in check_tree(tree, file)]
    if faults:
        return ConfigurationReview(file, "tree", errors=faults)
    cfg = compile_tree(0, tree).cfg
    located, warnings = [], []
    for team, subtree in sorted(tree.items()):
        for service, spec in subtree.get("services", {}).items():
            path = f"/{team}/services/{service}/routes"
            routes = _in_file_order(cfg.hosts[service], spec["routes"])
            for index, route in enumerate(routes):
                located.append(LocatedRoute(f"{path}/{index}", route, CLASS_FIELDS))
                if not spec["endpoints"]:
                    message = "route of a service without an endpoint"
                    warnings.append(
                        Fault(file, f"{path}/{index}", service, message),
                    )
    warnings += review_routes(file, located)
    sections, keys = _sections(merge_tree(tree))
    warnings = shorten_values(warnings, keys)
    return ConfigurationReview(file, "tree", version, [], warnings, sections, keys)


def _without_credential(fault):
    """Return a fault whose value and message quote no credential.

    A credential may stand in place of its digest, or below a misspelt section.
    """
    parts = fault.path.strip("/").split("/")
    if "credentials" in parts[1:2]:
        path = "/" + "/".join(parts[:2])
        message = "not names with the digests of credentials"
        return Fault(fault.file, path, HIDDEN, message)
    if len(parts) == 1:
        return Fault(fault.file, fault.path, HIDDEN, "not an object")
    if len(parts) == 2 and fault.message.startswith("unknown key"):
        return fault._replace(value=HIDDEN)
    return fault


def _in_file_order(routes, specs):
    """Return the compiled routes of a service in the order of the file."""
    order = sorted(
        range(len(specs)), key=lambda i: len(specs[i]["prefix"]), reverse=True
    )
    by_index = dict(zip(order, routes, strict=True))
    return [by_index[index] for index in range(len(specs))]


def _sections(merged):
    sections = {section: {} for section in SECTIONS}
    for name, spec in merged["services"].items():
        for route in spec["routes"]:
            add_entry(sections["routes"], f"{name}{route['prefix']}", Entry(route))
        fields = {k: v for k, v in spec.items() if k not in ("routes", "endpoints")}
        fields |= {f"endpoints/{k}": v for k, v in spec["endpoints"].items()}
        sections["services"][name] = Entry(fields)
    for section, name in itertools.chain.from_iterable(
        ((section, name) for name in merged[section]) for section in COMMON_SECTIONS
    ):
        sections["limits"][f"{section}/{name}"] = Entry(merged[section][name])
    for section in ("leaving", "lookup"):
        sections["limits"][section] = Entry(merged[section])
    for name, digest in merged["credentials"].items():
        sections["accounts"][name] = Entry({}, frozenset([digest]))
    return sections, frozenset(merged["credentials"].values())
