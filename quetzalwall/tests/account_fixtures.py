"""Fixtures for tests of client accounts: configurations with accounts, log lines."""

import json
from contextlib import contextmanager

import logbook

from quetzalwall.tests.platform_fixtures import config_body, route_row

KEY, OTHER_KEY = "key-of-alpha-5b1c", "key-of-beta-77d0"


def account_row(name="alpha", keys=(KEY,), priority=None, rate=0, regions=()):
    """Return one row of the accounts of a configuration."""
    return [name, list(keys), priority, rate, 0, list(regions)]


def account_config(version=1, accounts=None, regions=(), **tenants):
    """Return a configuration with accounts, and routes of which one needs no key.

    ``regions`` are those of the route ``look``; ``tenants`` replaces fields of the
    table of accounts.
    """
    rows = [
        [*route_row("look", "/look/"), False],
        [*route_row("book", "/book/", "unsafe"), False],
        [*route_row("open", "/open/"), True],
    ]
    body = config_body(version, rows)
    columns = body["routes"]["columns"]
    columns.append("public")
    rows[0][columns.index("allowedRegions")] = list(regions)
    columns = ["name", "apiKeys", "priority", "ratePerS", "burst", "allowedRegions"]
    rows = [account_row()] if accounts is None else accounts
    return body | {"tenants": {"columns": columns, "rows": rows} | tenants}


def encode(body):
    return json.dumps(body).encode()


@contextmanager
def recorded_lines():
    """Record the log lines of all tasks in the list that is returned."""
    lines = []
    with logbook.TestHandler(bubble=True).applicationbound() as handler:
        yield lines
        lines += [record.message for record in handler.records]
