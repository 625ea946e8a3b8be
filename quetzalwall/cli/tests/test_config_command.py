"""Exit statuses and output of the check of a configuration."""

import json

from quetzalwall.cli.tests.test_cli import lookup_address, run, temporary_file
from quetzalwall.tests.account_fixtures import (
    KEY,
    OTHER_KEY,
    account_config,
    account_row,
)
from quetzalwall.tests.platform_fixtures import config_body, route_row
from quetzalwall.tests.product_fixtures import make_tree, small_deployment
from quetzalwall.version.key_digests import short_digest


def check(document, *arguments):
    with temporary_file(document) as name:
        return run("config", "check", name, *arguments)


def check_against(old, new):
    with temporary_file(old) as name:
        status, out, _ = check(new, "--against", name, "--json")
    return status, json.loads(out)


def test_exit_status_tells_sound_warnings_and_errors_apart():
    sound = config_body(routes=[route_row("look", "/")])
    long_timeout = config_body(routes=[route_row("look", "/", timeout="31s")])
    assert check(sound, "--strict")[0] == 0
    assert check(long_timeout)[0] == 0
    status, out, err = check(long_timeout, "--strict")
    assert status == 1 and "/routes/0/timeout" in err and "1 warnings" in out
    for document in (config_body() | {"version": 1}, "{", [], {"desk": {"x": 1}}):
        assert check(document)[0] == 2
    assert run("config", "check", "/none.json")[0] == 2


def test_changes_are_listed_with_old_and_new_values_and_without_keys():
    old = account_config(1, [account_row(keys=[KEY, "same-key"]), account_row("b", [])])
    new = account_config(2, [account_row(keys=[OTHER_KEY, "same-key"], rate=2)])
    new["limits"]["idleTimeout"] = "20s"
    new["routes"]["rows"][0][4] = "3s"
    # A route that is named like a key must not show it either.
    new["routes"]["rows"][1][0] = OTHER_KEY
    new["services"]["rows"][0][2] = 100
    status, report = check_against(old, new)
    assert status == 0
    changes = {(c["section"], c["name"]): c for c in report["changes"]}
    hidden = f"key:{short_digest(OTHER_KEY)}"
    assert {name: c["change"] for name, c in changes.items()} == {
        ("routes", "look"): "changed",
        ("routes", "book"): "removed",
        ("routes", hidden): "added",
        ("services", "desk"): "changed",
        ("limits", "limits"): "changed",
        ("accounts", "alpha"): "changed",
        ("accounts", "b"): "removed",
    }
    idle = {"field": "idleTimeout", "old": "15000ms", "new": "20s"}
    assert changes["limits", "limits"]["fields"] == [idle]
    alpha = changes["accounts", "alpha"]
    assert alpha["fields"] == [{"field": "ratePerS", "old": 0, "new": 2}]
    assert alpha["keys_added"] == [short_digest(OTHER_KEY)]
    assert alpha["keys_removed"] == [short_digest(KEY)]
    with temporary_file(old) as name:
        _, out, err = check(new, "--against", name)
    for text in (json.dumps(report), out, err):
        assert not any(key in text for key in (KEY, OTHER_KEY, "same-key"))
    assert f"  key added: {short_digest(OTHER_KEY)}" in out


# Instances keep the active version if a new one is not higher.
def test_a_version_that_is_not_higher_and_another_form_are_errors():
    for old, new, expected in ((2, 3, 0), (2, 2, 2), (3, 2, 2)):
        status, report = check_against(config_body(old), config_body(new))
        assert status == expected
        paths = [fault["path"] for fault in report["errors"]]
        assert paths == (["/version"] if expected else [])
    status, report = check_against(make_tree(), config_body())
    assert (status, report["changes"]) == (2, None)
    # A file to compare with that is not sound gives no comparison.
    assert check_against({"version": "r1"}, config_body(2))[0] == 2


def test_a_running_instance_is_compared_without_accounts():
    with small_deployment(names=["east-1"]) as deployment:
        instance = ["--instance", lookup_address(deployment), "--json"]
        tree = make_tree()
        tree["desk"]["services"]["desk"]["max_body_bytes"] = 1000
        status, out, _ = check(tree, *instance)
        report = json.loads(out)
        changed = [(c["section"], c["name"]) for c in report["changes"]]
        assert (status, changed) == (0, [("services", "desk")])
        assert "accounts are not compared" in report["notes"][1]
        # Only the version of rows is known there.
        status, out, _ = check(config_body(0), *instance)
        report = json.loads(out)
        assert (status, report["changes"]) == (2, None)
        assert "don't offer a configuration in rows" in report["notes"][0]
    status, out, _ = check(make_tree(), "--instance", "127.0.0.1:9", "--json")
    assert status == 2 and "no instance responded" in out


# A revoked key pasted into a wrong field is known only from the other version.
def test_a_key_of_the_other_version_is_not_shown_either():
    for size in (20, 200):
        key = "k" * size
        old = account_config(1, [account_row(keys=[key])])
        new = account_config(2)
        new["routes"]["rows"][0][4] = key
        for pair in ((old, new), (new, old)):
            status, report = check_against(*pair)
            assert (status, key[:20] in json.dumps(report)) == (2, False)
