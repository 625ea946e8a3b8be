"""Checks, changes and compilation of the settings tree."""

import copy
import tempfile

import gevent

from quetzalwall.exceptions import SettingsConflict, SettingsError
from quetzalwall.platform.settings import read_settings
from quetzalwall.process.storage.settings_tree import read_tree
from quetzalwall.tests.product_fixtures import (
    make_tree,
    open_store_table,
    running_store,
)
from quetzalwall.version.check import check_tree, load_json
from quetzalwall.version.compile import compile_tree
from quetzalwall.version.model import find_route
from quetzalwall.version.settings_store import history, put_subtree
from quetzalwall.version.tree import merge_tree
from standins.metadata_store import load_tree


def faults_after(change):
    tree = make_tree()
    change(tree)
    return [(fault.path, fault.message) for fault in check_tree(tree, "t.json")]


def test_valid_tree_has_no_faults():
    assert check_tree(make_tree()) == []


def test_all_faults_are_reported_at_once():
    def make_invalid(tree):
        tree["desk"]["services"]["desk"]["endpoints"]["east-ep1"]["slots"] = 0
        tree["desk"]["services"]["desk"]["max_body_byts"] = 5
        tree["network"]["regions"]["east"]["domains"] = []

    found = dict(faults_after(make_invalid))
    assert set(found) == {
        "/desk/services/desk/endpoints/east-ep1/slots",
        "/desk/services/desk/max_body_byts",
        "/network/regions/east/domains",
    }
    message = found["/desk/services/desk/max_body_byts"]
    assert message == 'unknown key; nearest known key is "max_body_bytes"'


def test_undefined_names_are_faults():
    def make_invalid(tree):
        endpoints = tree["desk"]["services"]["desk"]["endpoints"]
        endpoints["east-ep1"]["region"] = "easst"
        tree["desk"]["services"]["desk"]["routes"][0]["class"] = "statsu"

    found = dict(faults_after(make_invalid))
    path = "/desk/services/desk/endpoints/east-ep1/region"
    assert found[path] == 'not defined in regions; nearest known name is "east"'
    assert "/desk/services/desk/routes/0/class" in found


def test_same_name_in_two_teams_is_a_fault():
    def make_invalid(tree):
        tree["other"] = {"services": copy.deepcopy(tree["desk"]["services"])}

    assert ("/other/services/desk", "already defined by team desk") in faults_after(
        make_invalid
    )


def test_error_names_file_that_is_not_json():
    with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
        for text in ("{", '{"a": 1, "a": 2}', "[" * 100_000):
            file.seek(0)
            file.truncate()
            file.write(text)
            file.flush()
            for read in (load_json, read_settings):
                try:
                    read(file.name)
                    raise AssertionError(text[:10])
                except SettingsError as exc:
                    assert file.name in exc.message


def with_store(test):
    def run():
        with running_store() as store, open_store_table(store) as table:
            tree = make_tree()
            load_tree(store, tree)
            test(store, table, tree)

    run.__name__ = test.__name__
    return run


def read_stored_tree(store):
    rows = {
        key: value
        for (name, _, key), (value, _) in store.rows.items()
        if name == "settings"
    }
    return read_tree(rows)


def put(table, team, subtree, base):
    return put_subtree(table, team, subtree, base, "me", sleep=lambda s: None)


@with_store
def test_changes_to_different_teams_both_succeed(store, table, tree):
    desk = copy.deepcopy(tree["desk"])
    desk["services"]["desk"]["max_body_bytes"] = 5
    network = copy.deepcopy(tree["network"])
    network["lookup"]["ttl_s"] = 9
    assert put(table, "desk", desk, 1) == 2
    assert put(table, "network", network, 1) == 3
    configuration = read_stored_tree(store)
    assert configuration.team_versions == {"desk": 2, "network": 2}
    assert merge_tree(configuration.tree)["lookup"]["ttl_s"] == 9
    assert [row["team"] for row in history(table)] == ["desk", "network"]


@with_store
def test_change_with_lost_response_is_made_once(store, table, tree):
    store.set_faults(lose_replies=1)
    desk = copy.deepcopy(tree["desk"])
    desk["services"]["desk"]["max_body_bytes"] = 5
    assert put(table, "desk", desk, 1) == 2
    assert read_stored_tree(store).version == 2


@with_store
def test_late_write_after_a_lost_response_has_no_effect(store, table, tree):
    store.set_faults(lose_replies=1, late_s=0.5)
    desk = copy.deepcopy(tree["desk"])
    desk["services"]["desk"]["max_body_bytes"] = 5
    version = put(table, "desk", desk, 1)
    desk["services"]["desk"]["max_body_bytes"] = 6
    newer = put(table, "desk", desk, 2)
    assert (version, newer) == (2, 3)
    gevent.sleep(0.6)
    found = read_stored_tree(store)
    assert found.version == 3
    assert merge_tree(found.tree)["services"]["desk"]["max_body_bytes"] == 6


@with_store
def test_conflict_has_both_versions(store, table, tree):
    put(table, "desk", tree["desk"], 1)
    try:
        put(table, "desk", tree["desk"], 1)
        raise AssertionError("accepted")
    except SettingsConflict as exc:
        assert (exc.base, exc.current) == (1, 2)
        assert exc.subtree == tree["desk"]


def test_compiled_tree_matches_settings():
    tree = make_tree()
    service = tree["desk"]["services"]["desk"]
    service["region_limits"] = {"east": 5}
    service["routes"].append(
        {"prefix": "/", "class": "status", "idempotent": True, "methods": ["GET"]}
    )
    tree["desk"]["leaving"] = {"endpoints": ["west-ep2"]}
    compiled = compile_tree(3, tree)
    assert compiled.cfg.services["desk"].region_limits == (("east", 5),)
    assert [e.name for e in compiled.entries if e.draining] == ["west-ep2"]
    assert compiled.domains["east-b"] == "east"
    assert find_route(compiled.cfg, "desk", "/bookings/1", "POST").idempotent is False
    assert find_route(compiled.cfg, "desk", "/x", "GET").prefix == "/"
    assert find_route(compiled.cfg, "desk", "/x", "POST") is None
