"""Client accounts: index of keys, and the route as it applies to an account."""

from nose2.tools import params

from quetzalwall.platform.rows import decode_configuration
from quetzalwall.tests.account_fixtures import account_config, encode
from quetzalwall.version.accounts import (
    ClientAccount,
    create_accounts,
    route_for_account,
)
from quetzalwall.version.model import find_route

A, B = ClientAccount("a"), ClientAccount("b")


def route(regions=()):
    cfg = decode_configuration(encode(account_config(regions=regions)))
    return find_route(cfg, "shop.example", "/look/1")


def test_an_account_is_found_by_each_of_its_keys_and_by_no_other():
    accounts = create_accounts(
        [
            (A, ["one", "two", "two"]),
            (B, ["three"]),
        ]
    )
    assert accounts.find("one") is accounts.find("two") is A
    assert accounts.find("three") is B
    for key in ("", "on", "one ", "ONE", "\udce9"):
        assert accounts.find(key) is None
    assert accounts.by_name == {"a": A, "b": B}


# An index that kept the keys themselves would show them wherever it is printed.
def test_no_key_is_kept_in_the_index():
    accounts = create_accounts([(A, ["key-5b1c"])])
    assert "key-5b1c" not in repr(vars(accounts))


@params(([(A, ["key-5b1c"]), (B, ["key-5b1c"])],), ([(A, ["x"]), (A, ["key-5b1c"])],))
def test_two_accounts_with_one_name_or_key_are_rejected(pairs):
    try:
        create_accounts(pairs)
    except ValueError as exc:
        assert "key-5b1c" not in str(exc)
    else:
        raise AssertionError("accepted")


@params(
    ((), (), ()),
    (("north",), (), ("north",)),
    ((), ("south",), ("south",)),
    (("north", "south"), ("south", "west"), ("south",)),
)
def test_the_regions_of_route_and_account_both_apply(of_route, of_account, expected):
    account = ClientAccount("a", regions=of_account)
    assert route_for_account(route(of_route), account).regions == expected


# An empty intersection must not become an empty list, which allows all regions.
def test_regions_without_an_intersection_leave_no_route():
    account = ClientAccount("a", regions=("south",))
    assert route_for_account(route(["north"]), account) is None


@params((None, 1), (0, 0), (7, 7))
def test_the_priority_of_an_account_precedes_that_of_the_route(rank, expected):
    assert route_for_account(route(), ClientAccount("a", rank)).rank == expected
