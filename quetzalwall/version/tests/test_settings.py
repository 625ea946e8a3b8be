import copy
import tempfile

from hypothesis import given
from hypothesis import strategies as st

from quetzalwall.exceptions import SettingsConflict, SettingsError
from quetzalwall.tests.fixtures import make_tree, running_platform, table_of
from quetzalwall.version.check import (
    check_instance_settings,
    check_tree,
    load_json,
    read_instance_settings,
)
from quetzalwall.version.settings_store import (
    history,
    put_subtree,
    read_configuration,
)
from quetzalwall.version.shares import (
    LONG,
    SHORT,
    divide_amount,
    divide_slots,
    slot_key,
    slot_totals,
)
from quetzalwall.version.tree import merge_tree
from standins.platform import load_tree


def faults_of(change):
    tree = make_tree()
    change(tree)
    return [(fault.path, fault.message) for fault in check_tree(tree, "t.json")]


def test_valid_tree_has_no_faults():
    assert check_tree(make_tree()) == []


def test_all_faults_are_named_at_once():
    def spoil(tree):
        tree["desk"]["services"]["desk"]["endpoints"]["east-ep1"]["slots"] = 0
        tree["desk"]["services"]["desk"]["queue_lenght"] = 5
        tree["network"]["regions"]["east"]["domains"] = []

    found = dict(faults_of(spoil))
    assert set(found) == {
        "/desk/services/desk/endpoints/east-ep1/slots",
        "/desk/services/desk/queue_lenght",
        "/network/regions/east/domains",
    }
    message = found["/desk/services/desk/queue_lenght"]
    assert message == 'unknown key; nearest known key is "queue_length"'


def test_names_that_are_not_defined_are_faults():
    def spoil(tree):
        endpoints = tree["desk"]["services"]["desk"]["endpoints"]
        endpoints["east-ep1"]["region"] = "easst"
        tree["desk"]["services"]["desk"]["routes"][0]["class"] = "statsu"

    found = dict(faults_of(spoil))
    path = "/desk/services/desk/endpoints/east-ep1/region"
    assert found[path] == 'not defined in regions; nearest known name is "east"'
    assert "/desk/services/desk/routes/0/class" in found


def test_same_name_in_two_teams_is_a_fault():
    def spoil(tree):
        tree["other"] = {"services": copy.deepcopy(tree["desk"]["services"])}

    assert ("/other/services/desk", "already defined by team desk") in faults_of(spoil)


def test_instance_settings_name_file_path_and_value():
    faults = check_instance_settings({"instance": "a", "port": 0}, "a.json")
    assert any(f.path == "/port" and f.value == "0" for f in faults)
    assert len(faults) >= 5


def test_file_that_is_not_json_is_named():
    with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
        for text in ("{", '{"a": 1, "a": 2}', "[" * 100_000):
            file.seek(0)
            file.truncate()
            file.write(text)
            file.flush()
            for read in (load_json, read_instance_settings):
                try:
                    read(file.name)
                    raise AssertionError(text[:10])
                except SettingsError as exc:
                    assert file.name in exc.message


@given(st.integers(1, 4), st.integers(1, 6), st.integers(1, 7))
def test_shares_add_up_to_all_slots(instances, endpoints, slots):
    tree = make_tree(instances=instances, endpoints=endpoints, slots=slots)
    cfg = merge_tree(tree)
    shares = divide_slots(cfg)
    sums = {}
    for share in shares.values():
        for key, units in share.units.items():
            sums[key] = sums.get(key, 0) + units
            assert share.reserve.get(key, 0) <= units
    totals = slot_totals(cfg, "desk")
    assert {k: v for k, v in sums.items() if not k.startswith("link/")} == totals
    assert sum(totals.values()) == 2 * endpoints * slots


def test_region_limits_take_slots_away():
    tree = make_tree(slots=6)
    tree["desk"]["services"]["desk"]["region_limits"] = {"east": 5}
    tree["network"]["regions"]["west"]["max_concurrency"] = 3
    totals = slot_totals(merge_tree(tree), "desk")
    for region, limit in (("east", 5), ("west", 3)):
        assert sum(u for k, u in totals.items() if k.startswith(region)) == limit


def test_long_work_holds_a_part_of_each_endpoint():
    totals = slot_totals(merge_tree(make_tree(slots=3)), "desk")
    assert totals[slot_key("east-ep1", LONG)] == 1
    assert totals[slot_key("east-ep1", SHORT)] == 2


@given(st.integers(0, 1000), st.sets(st.text("abc", min_size=1), min_size=1))
def test_parts_of_an_amount_add_up(total, names):
    assert sum(divide_amount(total, names, name) for name in names) == total


def with_store(test):
    def run():
        with running_platform() as platform, table_of(platform) as table:
            tree = make_tree()
            load_tree(platform, tree)
            test(platform, table, tree)

    run.__name__ = test.__name__
    return run


def put(table, team, subtree, base):
    return put_subtree(table, team, subtree, base, "me", pause=lambda s: None)


@with_store
def test_changes_to_different_teams_both_succeed(platform, table, tree):
    desk = copy.deepcopy(tree["desk"])
    desk["services"]["desk"]["queue_length"] = 5
    network = copy.deepcopy(tree["network"])
    network["lookup"]["ttl_s"] = 9
    assert put(table, "desk", desk, 1) == 2
    assert put(table, "network", network, 1) == 3
    configuration = read_configuration(table)
    assert configuration.team_versions == {"desk": 2, "network": 2}
    assert configuration.merged["lookup"]["ttl_s"] == 9
    assert [row["team"] for row in history(table)] == ["desk", "network"]


@with_store
def test_lost_reply_is_resolved_and_the_change_made_once(platform, table, tree):
    platform.faults.update(lose_replies=1)
    desk = copy.deepcopy(tree["desk"])
    desk["services"]["desk"]["queue_length"] = 5
    assert put(table, "desk", desk, 1) == 2
    assert read_configuration(table).version == 2


@with_store
def test_late_write_of_a_lost_change_undoes_nothing(platform, table, tree):
    platform.faults.update(lose_replies=1, delay_writes_s=0.5)
    desk = copy.deepcopy(tree["desk"])
    desk["services"]["desk"]["queue_length"] = 5
    version = put(table, "desk", desk, 1)
    desk["services"]["desk"]["queue_length"] = 6
    newer = put(table, "desk", desk, 2)
    assert (version, newer) == (2, 3)
    import gevent

    gevent.sleep(0.6)
    found = read_configuration(table)
    assert found.version == 3
    assert found.merged["services"]["desk"]["queue_length"] == 6


@with_store
def test_conflict_shows_both_versions(platform, table, tree):
    put(table, "desk", tree["desk"], 1)
    try:
        put(table, "desk", tree["desk"], 1)
        raise AssertionError("accepted")
    except SettingsConflict as exc:
        assert (exc.base, exc.current) == (1, 2)
        assert exc.subtree == tree["desk"]
