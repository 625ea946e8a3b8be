"""Find all faults of a configuration with the decoder that instances use."""

import msgspec

from quetzalwall.platform.rows import (
    IDEMPOTENT_BY_KIND,
    RowError,
    decode_configuration,
)
from quetzalwall.version.check import Fault, shorten_value
from quetzalwall.version.key_digests import KeyHider

__all__ = ["HIDDEN", "account_keys", "find_faults", "table_records"]

HIDDEN = "not shown"
PROBE = "-"  # a name that is valid in every table
# What makes each field valid; None leaves it out. `service` is tried before
# `trafficSplit`, since a valid split would also repair a missing service.
VALID_FIELDS = {
    "services": {
        "name": PROBE,
        "healthPath": None,
        "maxConns": None,
        "coldStart": None,
        "coldPerS": None,
    },
    "routes": {
        "name": PROBE,
        "hostname": PROBE,
        "prefix": "/",
        "kind": "safe",
        "timeout": None,
        "slo": None,
        "priority": None,
        "maxAttempts": None,
        "sticky": None,
        "allowedRegions": None,
        "public": None,
        "service": PROBE,
        "trafficSplit": [{"service": PROBE, "weight": 1}],
    },
    "tenants": {
        "name": PROBE,
        "apiKeys": None,
        "priority": None,
        "ratePerS": None,
        "burst": None,
        "allowedRegions": None,
    },
}
LIMIT_FIELDS = ("maxBodyBytes", "idleTimeout", "maxHeaderBytes", "headerTimeout")
EMPTY_TABLE = {"columns": [], "rows": []}


def find_faults(raw, file, keys=frozenset()):
    """Return the faults of a configuration.

    Parameters
    ----------
    raw : bytes
        Content of the row that holds the configuration.
    file : str
        File named in faults.
    keys : frozenset of str, default=frozenset()
        Keys that must not be shown, besides those of the configuration.

    Returns
    -------
    list of Fault
        Empty exactly if `decode_configuration` accepts the row.

    Notes
    -----
    Where the decoder rejects the whole, it is tried on each row alone, with one field
    after the other made valid, so that one call reports the faults of all fields.
    """
    message = _rejection(raw)
    if message is None:
        return []
    try:
        body = msgspec.json.decode(raw)
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError):
        body = None
    faults = []
    if isinstance(body, dict):
        finder = _FaultFinder(body, file, keys)
        faults = [*finder.part_faults(), *finder.row_faults(), *finder.key_faults()]
    if not faults:
        path, _, text = message.partition(": ")
        if not path.startswith("/"):
            path, text = "/", message
        hider = KeyHider(keys | account_keys(body))
        faults = [Fault(file, path, HIDDEN, hider.hide(text))]
    return faults


def table_records(body, table):
    """Return the rows of a table that can be read as records.

    Parameters
    ----------
    body : dict
        Decoded configuration.
    table : str
        Name of the table.

    Returns
    -------
    list of (int, dict or None)
        Index of the row, and its values by column without those that are null; None if
        it has not one value a column.
    """
    content = body.get(table)
    if not isinstance(content, dict):
        return []
    columns, rows = content.get("columns"), content.get("rows")
    if not isinstance(rows, list) or not isinstance(columns, list):
        return []
    if not all(isinstance(column, str) for column in columns):
        return []
    return [(index, _record(columns, values)) for index, values in enumerate(rows)]


def account_keys(body):
    """Return the keys of all accounts, also of those with faults.

    Parameters
    ----------
    body : object
        Decoded configuration.

    Returns
    -------
    frozenset of str
    """
    if not isinstance(body, dict):
        return frozenset()
    records = [record for _, record in table_records(body, "tenants") if record]
    return frozenset(_texts([record.get("apiKeys") for record in records]))


def _record(columns, values):
    if not isinstance(values, list) or len(values) != len(columns):
        return None
    pairs = zip(columns, values, strict=True)
    return {name: value for name, value in pairs if value is not None}


def _texts(value):
    if isinstance(value, str):
        return [value] if value else []
    if isinstance(value, dict):
        value = list(value.values())
    if isinstance(value, list):
        return [text for item in value for text in _texts(item)]
    return []


def _rejection(raw):
    """Return why the decoder rejects a configuration, or None if it accepts it."""
    try:
        decode_configuration(raw)
    except RowError as exc:
        return exc.message
    return None


def _table(*records):
    """Return a table of records that have the same columns."""
    columns = list(records[0])
    return {"columns": columns, "rows": [list(r.values()) for r in records]}


class _FaultFinder:
    def __init__(self, body, file, keys):
        self._body = body
        self._file = file
        self._hider = KeyHider(keys | account_keys(body))
        self._has_all_services = True
        self._services = [{"name": PROBE}]

    def part_faults(self):
        """Return the faults of the version, the limits and the forms of tables."""
        faults = []
        version = self._body.get("version")
        if self._probe({"version": version}) is not None:
            message = 'not a version, "r" and a number'
            faults.append(self._fault("/version", version, message))
        faults += self._field_faults(
            "/limits",
            self._body.get("limits") or {},
            dict.fromkeys(LIMIT_FIELDS),
            lambda record: {"limits": record},
        )
        for table in ("services", "routes", "tenants"):
            content = self._body.get(table)
            if content is None and table == "tenants":
                continue
            if isinstance(content, dict) and content.get("rows"):
                rows = content["rows"]
                content = {**content, "rows": [] if isinstance(rows, list) else rows}
            message = self._probe({table: content})
            if message is not None:
                faults.append(self._fault(f"/{table}", None, message))
                self._has_all_services &= table != "services"
        return faults

    def row_faults(self):
        """Return the faults of rows, of services first, since routes name them."""
        faults = []
        for table in ("services", "routes", "tenants"):
            for index, record in table_records(self._body, table):
                path = f"/{table}/{index}"
                if record is None:
                    message = "not one value a column"
                    faults.append(self._fault(path, None, message))
                    self._has_all_services &= table != "services"
                    continue
                if table == "services":
                    self._add_service(record)
                faults += self._field_faults(
                    path, record, VALID_FIELDS[table], self._document(table)
                )
        return faults

    def key_faults(self):
        """Return the faults of accounts that share a name or a key."""
        faults, first = [], {}
        for index, record in table_records(self._body, "tenants"):
            if not record or self._probe({"tenants": _table(record)}) is not None:
                continue
            record = {"name": record["name"], "apiKeys": record.get("apiKeys", [])}
            marks = [("name", record["name"])]
            marks += [("key", key) for key in record["apiKeys"]]
            others = {first.setdefault(mark, (index, record))[0] for mark in marks}
            by_index = {first[mark][0]: first[mark][1] for mark in marks}
            for other in sorted(others - {index}):
                message = self._probe({"tenants": _table(by_index[other], record)})
                if message is not None:
                    faults.append(self._fault(f"/tenants/{index}", None, message))
        return faults

    def _add_service(self, record):
        name = record.get("name")
        if isinstance(name, str) and name:
            self._services.append({"name": name})
        else:
            self._has_all_services = False

    def _document(self, table):
        """Return a function that makes a document of a record of a table."""
        if table != "routes":
            return lambda record: {table: _table(record)}
        services = _table(*self._services)
        return lambda record: {"services": services, "routes": _table(record)}

    def _field_faults(self, path, record, valid_fields, document):
        """Return the faults of a record, making one field after the other valid."""
        faults = []
        message = self._probe(document(record))
        while message is not None:
            field, repaired, rest = self._repair(
                record, valid_fields, document, message
            )
            value = record.get(field) if field else None
            if "unknown service" not in message or self._has_all_services:
                text = message if not field or field in record else "missing"
                if field == "kind" and field in record:
                    text = f"not a kind; known are {', '.join(IDEMPOTENT_BY_KIND)}"
                field_path = f"{path}/{field}" if field else path
                faults.append(self._fault(field_path, value, text))
            if not field:
                break
            record, message = repaired, rest
        return faults

    def _repair(self, record, valid_fields, document, message):
        """Return the field that the message is about, and the record without the fault.

        The message changes if that field is made valid.
        """
        if isinstance(record, dict):
            for field, valid in valid_fields.items():
                repaired = {k: v for k, v in record.items() if k != field}
                if valid is not None:
                    repaired[field] = valid
                rest = self._probe(document(repaired))
                if rest != message and repaired != record:
                    return field, repaired, rest
        return None, record, message

    def _probe(self, fields):
        """Return why the decoder rejects some parts of a document, or None."""
        document = {"version": "r0", "services": EMPTY_TABLE, "routes": EMPTY_TABLE}
        try:
            return _rejection(msgspec.json.encode(document | fields))
        except (msgspec.MsgspecError, OverflowError, RecursionError, ValueError):
            return None  # can't be written, which the decoder of the whole didn't need

    def _fault(self, path, value, message):
        # Messages of the decoder begin with the path of the row that was tried.
        message = message.split(": ", 1)[-1] if message[0] == "/" else message
        if path.startswith("/tenants"):
            return Fault(self._file, path, HIDDEN, self._hider.hide(message))
        if self._hider.hide(value) != value:
            message = "invalid; the value contains the key of an account"
        shown = shorten_value(self._hider.hide(value))
        return Fault(self._file, path, shown, self._hider.hide(message))
