"""Decoding of client accounts, and invalid ones, whose keys must not be logged."""

from nose2.tools import params

from quetzalwall.platform.rows import RowError, decode_configuration
from quetzalwall.platform.store import RowChange, Rows
from quetzalwall.process.cluster.tests.test_cluster_state import create
from quetzalwall.tests.account_fixtures import (
    KEY,
    account_config,
    account_row,
    encode,
    recorded_lines,
)
from quetzalwall.version.model import find_route

COLUMNS = ["name", "apiKeys", "priority", "ratePerS", "burst", "allowedRegions"]
NUMERIC_KEY = 7734012245


def row(**fields):
    values = dict(zip(COLUMNS, account_row(), strict=True)) | fields
    return [values[name] for name in COLUMNS]


INVALID = {
    "a key of two accounts": [account_row(), account_row("beta")],
    "a name of two accounts": [account_row(), account_row(keys=["other"])],
    "no name": [row(name=None)],
    "an empty name": [row(name="")],
    "a name with a line end": [row(name="a\r\nX-Other: 1")],
    "a list as name": [row(name=[KEY])],
    "a negative rate": [row(ratePerS=-1)],
    "a negative burst": [row(burst=-0.5)],
    "a text as rate": [row(ratePerS="5")],
    "a key as rate": [row(ratePerS=KEY)],
    "keys as rate": [row(ratePerS=[KEY])],
    "a key as priority": [row(priority=KEY)],
    "true as priority": [row(priority=True)],
    "a key as regions": [row(allowedRegions=KEY)],
    "keys within regions": [row(allowedRegions=[[KEY]])],
    "a number as key": [row(apiKeys=[NUMERIC_KEY])],
    "a number as keys": [row(apiKeys=NUMERIC_KEY)],
    "zero as keys": [row(apiKeys=0)],
    "a text as keys": [row(apiKeys=KEY)],
    "a list as key": [row(apiKeys=[[KEY]])],
    "an empty key": [row(apiKeys=[KEY, ""])],
    "a value too many": [[*account_row(), KEY]],
    "a text as row": [KEY],
}


def test_accounts_and_public_routes_are_decoded():
    rows = [row(priority=0, ratePerS=2.5, burst=4, allowedRegions=["north"])]
    cfg = decode_configuration(encode(account_config(accounts=rows)))
    assert cfg.accounts.find(KEY) == ("alpha", 0, 2.5, 4.0, ("north",))
    assert find_route(cfg, "shop.example", "/open/1").public
    assert not find_route(cfg, "shop.example", "/look/1").public


def test_a_configuration_without_accounts_needs_no_keys_and_an_empty_table_does():
    body = account_config(accounts=[])
    assert decode_configuration(encode(body)).accounts.find(KEY) is None
    assert decode_configuration(encode(body | {"tenants": None})).accounts is None


# Operators read the log; a key in it would be given to all who may read that.
@params(*INVALID)
def test_an_invalid_account_is_rejected_without_its_key_in_the_log(name):
    cluster_state, _ = create()
    for version, rows in ((1, [account_row()]), (2, INVALID[name])):
        raw = encode(account_config(version, rows))
        with recorded_lines() as lines:
            cluster_state.apply(
                "op", Rows([RowChange("config", raw, version)], version), False, False
            )
    assert cluster_state.configuration().version == 1
    refused = [line for line in lines if "event=refused" in line]
    assert len(refused) == 1 and "/tenants" in refused[0]
    assert not any(KEY in line or str(NUMERIC_KEY) in line for line in lines)


# A KeyError of the decoder ended the round that reads the store, again and again.
@params({"columns": None}, {"columns": "name"}, {"columns": [["name"]]}, {"rows": {}})
def test_a_malformed_table_of_accounts_is_rejected(fields):
    body = account_config(**fields)
    assert "/tenants" in error_message(encode(body))


# A configuration that is no object was quoted in the message, keys included.
@params([account_config()], KEY, [KEY])
def test_a_configuration_that_is_no_object_is_not_quoted(body):
    assert KEY not in error_message(encode(body))


# "false" is a text, which is true in Python: the route would need no key.
@params("false", 0, 1, [])
def test_a_route_is_public_only_if_it_says_true(value):
    body = account_config()
    body["routes"]["rows"][0][-1] = value
    assert "/routes/0: public" in error_message(encode(body))


def error_message(raw):
    try:
        decode_configuration(raw)
    except RowError as exc:
        return exc.message
    raise AssertionError("accepted")
