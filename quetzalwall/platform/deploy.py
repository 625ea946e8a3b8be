"""Check the deploy file, from which the platform builds and starts the system."""

import tomllib

from quetzalwall.exceptions import SettingsError
from quetzalwall.version.check import Fault

__all__ = ["check_deploy"]

SERVED_KINDS = frozenset(("front", "control", "directory"))
TOP_KEYS = frozenset(("build", "packages", "roles"))
ROLE_KEY_TYPES = {
    "run": str,
    "on": str,
    "share": float,
    "count": int,
    "apart": bool,
    "serves": list,
    "template": str,
    "metrics": str,
    "env": dict,
}


def check_deploy(file):
    """Return the faults in a deploy file.

    Parameters
    ----------
    file : str
        Path of the file.

    Returns
    -------
    list of Fault

    Raises
    ------
    SettingsError
        The file can't be read or is not TOML.
    """
    try:
        with open(file, "rb") as stream:
            body = tomllib.load(stream)
    except (OSError, ValueError) as exc:
        fault = Fault(file, "/", "", str(exc))
        raise SettingsError(str(fault), [fault]) from exc
    faults = []
    if not isinstance(body.get("build"), str):
        faults.append(Fault(file, "/build", str(body.get("build")), "must be a string"))
    packages = body.get("packages", [])
    if not isinstance(packages, list) or not all(
        isinstance(name, str) for name in packages
    ):
        reason = "must be a list of names"
        faults.append(Fault(file, "/packages", str(packages), reason))
    for key in sorted(body.keys() - TOP_KEYS):
        faults.append(Fault(file, f"/{key}", str(body[key])[:80], "unknown key"))
    roles = body.get("roles")
    if not isinstance(roles, dict) or not roles:
        return [
            *faults,
            Fault(file, "/roles", str(roles), "must define at least one role"),
        ]
    for name, role in roles.items():
        faults += _role_faults(file, f"/roles/{name}", role)
    served = {kind for role in roles.values() for kind in _served_kinds(role)}
    for kind in sorted({"front", "directory"} - served):
        faults.append(Fault(file, "/roles", kind, "not served by any role"))
    return faults


def _served_kinds(role):
    """Return the texts that a role lists under ``serves``."""
    kinds = role.get("serves") if isinstance(role, dict) else None
    if not isinstance(kinds, list):
        return []
    return [kind for kind in kinds if isinstance(kind, str)]


def _role_faults(file, path, role):
    if not isinstance(role, dict):
        return [Fault(file, path, str(role), "must be a table")]
    faults = []
    for key in ("run", "on", "serves"):
        if key not in role:
            faults.append(Fault(file, f"{path}/{key}", "", "is required"))
    for key, value in role.items():
        if key not in ROLE_KEY_TYPES:
            faults.append(Fault(file, f"{path}/{key}", str(value), "unknown key"))
        elif not isinstance(value, ROLE_KEY_TYPES[key]):
            kind = ROLE_KEY_TYPES[key].__name__
            faults.append(
                Fault(file, f"{path}/{key}", str(value), f"must be of type {kind}")
            )
    serves = role.get("serves", ())
    for kind in serves if isinstance(serves, list) else ():
        if not isinstance(kind, str) or kind not in SERVED_KINDS:
            faults.append(Fault(file, f"{path}/serves", str(kind), "unknown value"))
    return faults
