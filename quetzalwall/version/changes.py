"""Differences between two versions of a configuration, entry by entry."""

from typing import NamedTuple

from quetzalwall.version.key_digests import short_digest

__all__ = ["SECTIONS", "Change", "Entry", "FieldChange", "add_entry", "diff_sections"]

SECTIONS = ("routes", "services", "limits", "accounts")


class Entry(NamedTuple):
    """One route, service, group of limits or account.

    Attributes
    ----------
    fields : dict
        Values by field, without keys.
    keys : frozenset of str
        Keys of an account.
    """

    fields: dict
    keys: frozenset = frozenset()


class FieldChange(NamedTuple):
    """A field that differs.

    Attributes
    ----------
    field : str
        Name of the field.
    old, new : object
        Both values; None where the field is not set.
    """

    field: str
    old: object
    new: object


class Change(NamedTuple):
    """An entry that differs.

    Attributes
    ----------
    section : str
        One of `SECTIONS`.
    name : str
        Name of the entry.
    change : str
        ``"added"``, ``"removed"`` or ``"changed"``.
    fields : list of FieldChange
        Fields that differ, or all of an added or removed entry.
    keys_added, keys_removed : list of str
        Digests of keys.
    """

    section: str
    name: str
    change: str
    fields: list
    keys_added: list
    keys_removed: list


def add_entry(entries, name, entry):
    """Add an entry; a second one of the same name gets a number.

    Parameters
    ----------
    entries : dict of str to Entry
        Entries of a section.
    name : str
        Name of the entry.
    entry : Entry
        The entry.
    """
    number, key = 1, name
    while key in entries:
        number += 1
        key = f"{name}#{number}"
    entries[key] = entry


def diff_sections(old, new):
    """Return what differs between two versions.

    Parameters
    ----------
    old, new : dict of str to dict of str to Entry
        Section to name to entry.

    Returns
    -------
    list of Change
        In the order of `SECTIONS`, by name.

    Examples
    --------
    >>> old = {"limits": {"limits": Entry({"idleTimeout": "15s"})}}
    >>> new = {"limits": {"limits": Entry({"idleTimeout": "20s"})}}
    >>> diff_sections(old, new)[0].fields
    [FieldChange(field='idleTimeout', old='15s', new='20s')]
    """
    changes = []
    for section in SECTIONS:
        before, after = old.get(section, {}), new.get(section, {})
        for name in sorted({*before, *after}):
            change = _diff_entry(section, name, before.get(name), after.get(name))
            if change is not None:
                changes.append(change)
    return changes


def _diff_entry(section, name, old, new):
    if old == new:
        return None
    kind = "added" if old is None else "removed" if new is None else "changed"
    old, new = old or Entry({}), new or Entry({})
    fields = [
        FieldChange(field, old.fields.get(field), new.fields.get(field))
        for field in sorted({*old.fields, *new.fields})
        if old.fields.get(field) != new.fields.get(field)
    ]
    added = sorted(short_digest(key) for key in new.keys - old.keys)
    removed = sorted(short_digest(key) for key in old.keys - new.keys)
    return Change(section, name, kind, fields, added, removed)
