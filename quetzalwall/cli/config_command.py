"""``quetzalwall config``: check a configuration before it is sent."""

import argparse
import json
import sys

from quetzalwall.cli.client import (
    EXIT_FAILURE,
    EXIT_INVALID_INPUT,
    CommandError,
    call_any,
)
from quetzalwall.platform.config_review import review_file
from quetzalwall.version.changes import diff_sections
from quetzalwall.version.check import Fault
from quetzalwall.version.key_digests import KeyHider
from quetzalwall.version.tree_review import review_tree

__all__ = ["add_parser"]

EXAMPLES = """examples:
  quetzalwall config check examples/whetstone/tree.json
  quetzalwall config check new.json --against active.json --strict
  quetzalwall config check tree.json --instance 127.0.1.11:7103 --json
"""
NO_ROWS_NOTE = (
    "instances don't offer a configuration in rows: only its version is compared, "
    "use --against with a copy for the rest"
)
NO_VERSION_NOTE = "a settings tree states no version: versions are not compared"
NO_ACCOUNTS_NOTE = "instances don't offer credentials: accounts are not compared"


def add_parser(subparsers):
    """Add the subcommand.

    Parameters
    ----------
    subparsers : argparse action
        Return value of ``ArgumentParser.add_subparsers``.
    """
    parser = subparsers.add_parser(
        "config",
        help="check a configuration before it is sent",
        epilog=EXAMPLES,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    actions = parser.add_subparsers(dest="action", required=True)
    check = actions.add_parser(
        "check", help="check a settings tree or a configuration in rows"
    )
    check.add_argument("file")
    other = check.add_mutually_exclusive_group()
    other.add_argument("--against", metavar="FILE", help="compare with this file")
    other.add_argument(
        "--instance",
        metavar="IP:PORT",
        help="compare with the active version of an instance, at its look-up address, "
        "or several separated by commas",
    )
    check.add_argument(
        "--strict", action="store_true", help="exit with 1 if there are warnings"
    )
    check.add_argument("--json", action="store_true", help="print one JSON object")
    check.set_defaults(run=_check)


def _check(args):
    other = review_file(args.against) if args.against else None
    # Either file may have a key of the other one in a wrong field.
    review = review_file(args.file, other.keys if other else frozenset())
    if other and other.errors:
        other = review_file(args.against, review.keys)
    errors, notes, changes = list(review.errors), [], None
    if other:
        errors += other.errors or _form_faults(review, other)
        if not errors:
            changes = diff_sections(other.sections, review.sections)
            errors += _version_faults(review, other.version)
            notes += [NO_VERSION_NOTE] if review.form == "tree" else []
    elif args.instance and not errors:
        try:
            faults, notes, changes = _compare_with_instance(args, review)
        except CommandError as exc:
            faults = [Fault(args.instance, "/", "", str(exc))]
        errors += faults
    status = EXIT_INVALID_INPUT if errors else 0
    if not errors and review.warnings and args.strict:
        status = EXIT_FAILURE
    report = {
        "file": review.file,
        "form": review.form,
        "version": review.version,
        "errors": [fault._asdict() for fault in errors],
        "warnings": [fault._asdict() for fault in review.warnings],
        "changes": None if changes is None else [_as_dict(c) for c in changes],
        "notes": notes,
        "status": status,
    }
    # File names are left as they are: the operator gave them.
    hider = KeyHider(review.keys | other.keys if other else review.keys)
    for name in ("errors", "warnings", "changes"):
        report[name] = _hide_keys(hider, report[name])
    if args.json:
        print(json.dumps(report, indent=2, sort_keys=True))
    else:
        _print_report(report)
    return status


def _compare_with_instance(args, review):
    """Return the faults, notes and changes against the active version."""
    if review.form == "rows":
        faults = _version_faults(review, _active_version(args))
        return faults, [NO_ROWS_NOTE], None
    active = _active_tree(args)
    notes = [NO_VERSION_NOTE, NO_ACCOUNTS_NOTE]
    if active.errors:
        return active.errors, notes, None
    return [], notes, _diff_without_accounts(active, review)


def _as_dict(change):
    fields = [field._asdict() for field in change.fields]
    return change._asdict() | {"fields": fields}


def _hide_keys(hider, records):
    """Return records whose values contain no key; their names are no input."""
    if records is None:
        return None
    return [_hide_record(hider, record) for record in records]


def _hide_record(hider, record):
    hidden = {}
    for name, value in record.items():
        if name in ("file", "section", "change", "keys_added", "keys_removed"):
            hidden[name] = value
        elif name == "fields":
            hidden[name] = _hide_keys(hider, value)
        else:
            hidden[name] = hider.hide(value)
    return hidden


def _form_faults(review, other):
    if review.form == other.form:
        return []
    message = f"the other file is in the form {other.form}"
    return [Fault(review.file, "/", review.form, message)]


def _version_faults(review, active):
    """Return a fault if the version is not higher than the active one."""
    if review.version is None or active is None or review.version > active:
        return []
    message = f"version not higher than the active one, r{active}"
    return [Fault(review.file, "/version", f"r{review.version}", message)]


def _active_version(args):
    body = call_any(args, "GET", "/status").body
    version = body.get("version_in_force") if isinstance(body, dict) else None
    if not isinstance(version, int):
        raise CommandError(f"no version in the status of {args.instance}")
    return version


def _active_tree(args):
    body = call_any(args, "GET", "/settings").body
    if not isinstance(body, dict) or not isinstance(body.get("tree"), dict):
        raise CommandError(f"no settings tree offered by {args.instance}")
    return review_tree(body["tree"], args.instance, body.get("version"))


def _diff_without_accounts(other, review):
    old = {name: e for name, e in other.sections.items() if name != "accounts"}
    new = {name: e for name, e in review.sections.items() if name != "accounts"}
    return diff_sections(old, new)


def _print_report(report):
    for kind in ("errors", "warnings"):
        for record in report[kind]:
            print(f"{kind[:-1]}: {Fault(**record)}", file=sys.stderr)
    for change in report["changes"] or ():
        print(f"{change['section']}: {change['name']}: {change['change']}")
        for field in change["fields"]:
            old, new = json.dumps(field["old"]), json.dumps(field["new"])
            print(f"  {field['field']}: {old} -> {new}")
        for kind in ("added", "removed"):
            for digest in change[f"keys_{kind}"]:
                print(f"  key {kind}: {digest}")
    if report["changes"] == []:
        print("no differences")
    for note in report["notes"]:
        print(f"note: {note}")
    version = "" if report["version"] is None else f", version r{report['version']}"
    counts = [f"{len(report[kind])} {kind}" for kind in ("errors", "warnings")]
    print(f"{report['file']}: {report['form']}{version}: {', '.join(counts)}")
