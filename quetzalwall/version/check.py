"""Check settings and report all faults at once."""

import difflib
import json
from typing import NamedTuple

import jsonschema

from quetzalwall.exceptions import SettingsError
from quetzalwall.version.schema import SUBTREE_SCHEMA

__all__ = [
    "Fault",
    "check_tree",
    "load_json",
    "require_valid_tree",
    "shorten_value",
]

MAX_VALUE_CHARACTERS = 80  # of a wrong value shown to the operator


class Fault(NamedTuple):
    """One fault in the settings.

    Attributes
    ----------
    file : str
        File that contains the fault.
    path : str
        Path in the tree, for example ``/desk/services/order-desk/endpoints``.
    value : str
        The wrong value, truncated.
    message : str
        What is wrong with it.
    """

    file: str
    path: str
    value: str
    message: str

    def __str__(self):
        return f"{self.file}: {self.path}: {self.message} (value: {self.value})"


def load_json(file):
    """Return the decoded content of a JSON file.

    Parameters
    ----------
    file : str
        Path of the file.

    Returns
    -------
    object

    Raises
    ------
    SettingsError
        The file can't be read, is not JSON or has a duplicate key.
    """
    try:
        with open(file, encoding="utf-8") as stream:
            return json.load(stream, object_pairs_hook=_require_unique_keys)
    except OSError as exc:
        fault = Fault(file, "/", "", exc.strerror or str(exc))
    except (ValueError, RecursionError) as exc:
        fault = Fault(file, "/", "", f"not valid JSON: {exc}")
    raise SettingsError(str(fault), [fault])


def check_tree(tree, file="settings"):
    """Return the faults in a settings tree.

    Parameters
    ----------
    tree : object
        Team to subtree, decoded from JSON.
    file : str, default="settings"
        File named in faults.

    Returns
    -------
    list of Fault

    Examples
    --------
    >>> for fault in check_tree({"desk": {"regoins": {}}}):
    ...     print(fault.path, fault.message)
    /desk/regoins unknown key; nearest known key is "regions"
    """
    if not isinstance(tree, dict):
        return [Fault(file, "/", shorten_value(tree), "must be an object of teams")]
    faults = []
    for team, subtree in sorted(tree.items()):
        faults += _schema_faults(subtree, SUBTREE_SCHEMA, file, (team,))
    if not faults:
        faults = _reference_faults(tree, file)
    return faults


def require_valid_tree(tree, file="settings"):
    """Raise if a settings tree has faults.

    Parameters
    ----------
    tree : object
        Team to subtree.
    file : str, default="settings"
        File named in faults.

    Raises
    ------
    SettingsError
        With every fault found.
    """
    faults = check_tree(tree, file)
    if faults:
        raise SettingsError("\n".join(str(fault) for fault in faults), faults)


def _require_unique_keys(pairs):
    document = dict(pairs)
    if len(document) != len(pairs):
        names = [name for name, _ in pairs]
        duplicates = sorted({name for name in names if names.count(name) > 1})
        raise ValueError(f"key stands twice: {', '.join(duplicates)}")
    return document


def _schema_faults(document, schema, file, team_path):
    validator = jsonschema.Draft202012Validator(schema)
    faults = []
    for error in validator.iter_errors(document):
        faults += _faults_from_error(error, file, team_path)
    return sorted(faults)


def _faults_from_error(error, file, team_path):
    path = "/" + "/".join(str(part) for part in (*team_path, *error.absolute_path))
    if error.validator != "additionalProperties":
        return [
            Fault(file, path, shorten_value(error.instance), _schema_message(error))
        ]
    known = sorted(error.schema["properties"])
    unknown = [key for key in error.instance if key not in known]
    return [
        Fault(
            file,
            f"{path.rstrip('/')}/{key}",
            shorten_value(error.instance[key]),
            _unknown_key_message(key, known),
        )
        for key in unknown
    ]


def _unknown_key_message(key, known):
    nearest = difflib.get_close_matches(key, known, n=1, cutoff=0.0)
    return f'unknown key; nearest known key is "{nearest[0]}"'


def _schema_message(error):
    if error.validator == "required":
        return error.message
    return error.message[-200:]


def shorten_value(value):
    """Return a value as JSON, truncated for a message.

    Parameters
    ----------
    value : object
        Decoded JSON.

    Returns
    -------
    str
    """
    text = json.dumps(value, default=str)
    if len(text) <= MAX_VALUE_CHARACTERS:
        return text
    return text[: MAX_VALUE_CHARACTERS - 3] + "..."


def _reference_faults(tree, file):
    """Return the faults of names that are defined twice, or used but not defined."""
    defined = {}
    faults = []
    for section in ("regions", "classes", "services", "shifts"):
        defined[section] = {}
        for team, subtree in sorted(tree.items()):
            for name, value in subtree.get(section, {}).items():
                path = f"/{team}/{section}/{name}"
                if name in defined[section]:
                    other = defined[section][name][0]
                    message = f"already defined by team {other}"
                    faults.append(Fault(file, path, name, message))
                defined[section][name] = (team, value)
    domains = {
        domain: region
        for region, (_, value) in defined["regions"].items()
        for domain in value["domains"]
    }
    checker = _ReferenceChecker(file, defined, domains)
    faults += checker.endpoint_faults()
    faults += checker.service_faults()
    faults += checker.shift_faults()
    return sorted(faults)


class _ReferenceChecker(NamedTuple):
    """Finds references to names that are not defined.

    Attributes
    ----------
    file : str
        File named in faults.
    defined : dict of str to dict
        Section to name to the team that defines it, and its value.
    domains : dict of str to str
        Region of each failure domain.
    """

    file: str
    defined: dict
    domains: dict

    def endpoint_faults(self):
        faults = []
        owners = {}
        for service, (team, value) in self.defined["services"].items():
            for name, endpoint in value["endpoints"].items():
                path = f"/{team}/services/{service}/endpoints/{name}"
                faults += self._location_faults(path, endpoint)
                if owners.setdefault(name, service) != service:
                    message = f"endpoint also stands in service {owners[name]}"
                    faults.append(Fault(self.file, path, name, message))
        return faults

    def service_faults(self):
        faults = []
        for service, (team, value) in self.defined["services"].items():
            path = f"/{team}/services/{service}"
            for index, route in enumerate(value["routes"]):
                faults += self._name_faults(
                    f"{path}/routes/{index}/class", "classes", route["class"]
                )
            for region in value.get("region_limits", {}):
                faults += self._name_faults(f"{path}/region_limits", "regions", region)
        return faults

    def shift_faults(self):
        faults = []
        for name, (team, value) in self.defined["shifts"].items():
            path = f"/{team}/shifts/{name}"
            faults += self._name_faults(f"{path}/service", "services", value["service"])
            faults += self._name_faults(f"{path}/from", "regions", value["from"])
            faults += self._name_faults(f"{path}/to", "regions", value["to"])
        return faults

    def _location_faults(self, path, value):
        faults = self._name_faults(f"{path}/region", "regions", value["region"])
        if self.domains.get(value["domain"]) != value["region"]:
            message = f"not a failure domain of region {value['region']}"
            faults.append(Fault(self.file, f"{path}/domain", value["domain"], message))
        return faults

    def _name_faults(self, path, section, name):
        if name in self.defined[section]:
            return []
        nearest = difflib.get_close_matches(
            name, self.defined[section], n=1, cutoff=0.0
        )
        hint = f'; nearest known name is "{nearest[0]}"' if nearest else ""
        return [Fault(self.file, path, name, f"not defined in {section}{hint}")]
