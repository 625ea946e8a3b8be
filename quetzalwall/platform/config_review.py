"""Review a file with a configuration, in rows or as a settings tree."""

import msgspec

from quetzalwall.exceptions import SettingsError
from quetzalwall.platform.config_faults import account_keys, find_faults, table_records
from quetzalwall.platform.rows import decode_configuration
from quetzalwall.version.changes import SECTIONS, Entry, add_entry
from quetzalwall.version.check import Fault, load_json
from quetzalwall.version.review import (
    ConfigurationReview,
    LocatedRoute,
    review_accounts,
    review_limits,
    review_routes,
    review_services,
    shorten_values,
)
from quetzalwall.version.tree_review import review_tree

__all__ = ["is_rows_form", "review_file", "review_rows"]

TABLES = ("routes", "services", "tenants")
ROUTE_FIELDS = {
    "host": "hostname",
    "timeout_s": "timeout",
    "target_s": "slo",
    "attempts": "maxAttempts",
    "split": "trafficSplit",
}
ACCOUNT_FIELDS = {"burst": "burst", "regions": "allowedRegions"}
# Other columns of accounts are not compared, since they may contain keys.
SHOWN_ACCOUNT_FIELDS = ("priority", "ratePerS", "burst", "allowedRegions")


def review_file(file, keys=frozenset()):
    """Return the review of a file.

    Parameters
    ----------
    file : str
        Path of the file.
    keys : frozenset of str, default=frozenset()
        As of `review_rows`.

    Returns
    -------
    ConfigurationReview
    """
    try:
        with open(file, "rb") as stream:
            raw = stream.read()
    except OSError as exc:
        fault = Fault(file, "/", "", exc.strerror or str(exc))
        return ConfigurationReview(file, "unknown", errors=[fault])
    try:
        body = msgspec.json.decode(raw)
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as exc:
        fault = Fault(file, "/", "", f"not valid JSON: {exc}")
        return ConfigurationReview(file, "unknown", errors=[fault])
    if not isinstance(body, dict):
        fault = Fault(file, "/", "", f"not an object: a {type(body).__name__}")
        return ConfigurationReview(file, "unknown", errors=[fault])
    if is_rows_form(body):
        return review_rows(raw, file, keys)
    try:
        return review_tree(load_json(file), file)
    except SettingsError as exc:
        return ConfigurationReview(file, "tree", errors=exc.faults)


def is_rows_form(body):
    """Return whether a document is in rows rather than a settings tree.

    Parameters
    ----------
    body : dict
        Decoded JSON.

    Returns
    -------
    bool
        Whether it has a version that is no team's subtree, routes and services, or a
        table with columns or rows.
    """
    if "version" in body and not isinstance(body["version"], dict):
        return True
    if "routes" in body and "services" in body:
        return True
    tables = [body[name] for name in TABLES if isinstance(body.get(name), dict)]
    return any("columns" in table or "rows" in table for table in tables)


def review_rows(raw, file, keys=frozenset()):
    """Return the review of a configuration in rows.

    Parameters
    ----------
    raw : bytes
        Content of the row that holds it.
    file : str
        File named in faults.
    keys : frozenset of str, default=frozenset()
        Keys that must not be shown, besides those of the configuration, for example
        those of another version.

    Returns
    -------
    ConfigurationReview
    """
    faults = find_faults(raw, file, keys)
    if faults:
        return ConfigurationReview(file, "rows", errors=faults, keys=_known_keys(raw))
    cfg = decode_configuration(raw)
    body = msgspec.json.decode(raw)
    located = _locate_routes(cfg, body)
    paths = {
        record["name"]: f"/services/{index}"
        for index, record in table_records(body, "services")
    }
    warnings = review_routes(file, located)
    warnings += review_services(file, paths, located)
    warnings += review_limits(file, cfg.limits)
    if cfg.accounts is not None:
        accounts = [
            (f"/tenants/{index}", account)
            for index, account in enumerate(cfg.accounts.by_name.values())
        ]
        warnings += review_accounts(file, accounts, located, ACCOUNT_FIELDS)
    known_keys = account_keys(body)
    warnings = shorten_values(warnings, keys | known_keys)
    return ConfigurationReview(
        file, "rows", cfg.version, [], warnings, _sections(body), known_keys
    )


def _known_keys(raw):
    try:
        return account_keys(msgspec.json.decode(raw))
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError):
        return frozenset()


def _locate_routes(cfg, body):
    """Return the routes in the order of the file.

    The routes of a host are sorted by the length of their prefixes, those of the same
    length as in the file.
    """
    by_host = {}
    for index, record in table_records(body, "routes"):
        by_host.setdefault(record["hostname"].lower(), []).append((index, record))
    located = []
    for host, records in by_host.items():
        records.sort(key=lambda item: len(item[1]["prefix"]), reverse=True)
        for (index, record), route in zip(records, cfg.hosts[host], strict=True):
            path = f"/routes/{index}"
            has_attempts = "maxAttempts" in record
            item = LocatedRoute(path, route, ROUTE_FIELDS, has_attempts)
            located.append((index, item))
    return [item for _, item in sorted(located, key=lambda pair: pair[0])]


def _sections(body):
    sections = {section: {} for section in SECTIONS}
    for section in ("routes", "services"):
        for _, record in table_records(body, section):
            fields = {k: v for k, v in record.items() if k != "name"}
            add_entry(sections[section], record["name"], Entry(fields))
    sections["limits"]["limits"] = Entry(dict(body.get("limits") or {}))
    for _, record in table_records(body, "tenants"):
        fields = {k: record[k] for k in SHOWN_ACCOUNT_FIELDS if k in record}
        entry = Entry(fields, frozenset(record.get("apiKeys", ())))
        add_entry(sections["accounts"], record["name"], entry)
    return sections
