import copy
import random

from quetzalwall.exceptions import SettingsError
from quetzalwall.process.storage.config_keeper import (
    create_config_keeper,
    export_configuration,
    import_configuration,
)
from quetzalwall.process.storage.snapshots import read_snapshot, write_snapshot
from quetzalwall.tests.fixtures import make_tree, objects_of, running_platform
from quetzalwall.version.tree import create_configuration

TREE = make_tree()


def configuration(version, queue_length=100, desk_version=1):
    tree = copy.deepcopy(TREE)
    tree["desk"]["services"]["desk"]["queue_length"] = queue_length
    versions = {"network": 1, "desk": desk_version}
    return create_configuration(version, versions, tree)


def make_keeper():
    forced = []
    return create_config_keeper(lambda item: forced.append(item.version)), forced


def test_version_is_in_force_once_two_others_hold_it():
    keeper, forced = make_keeper()
    keeper.hold(configuration(3), "table")
    assert not keeper.advance([3, 2, 1], 3)
    assert keeper.advance([3, 3, 1], 3)
    assert (forced, keeper.in_force_version()) == ([3], 3)


def test_alone_a_version_is_in_force_at_once():
    keeper, _ = make_keeper()
    keeper.hold(configuration(1), "table")
    assert keeper.advance([], 0)


def test_versions_never_go_back_whatever_arrives():
    rng = random.Random(3)
    keeper, forced = make_keeper()
    for _ in range(1000):
        keeper.hold(configuration(rng.randrange(1, 400)), "peer")
        held = [rng.randrange(1, 400) for _ in range(3)]
        keeper.advance(held, rng.randrange(4))
    assert forced == sorted(set(forced)) and len(forced) > 3


def test_wrong_configuration_is_refused_and_the_last_good_one_stays():
    keeper, _ = make_keeper()
    keeper.hold(configuration(1), "table")
    wrong = create_configuration(2, {"desk": 2}, {"desk": {"polcy": 1}})
    assert not keeper.hold(wrong, "peer")
    assert keeper.held_version() == 1


def test_delta_holds_only_changed_subtrees_and_gives_the_same_tree():
    old, new = configuration(1), configuration(2, 7, desk_version=2)
    message = export_configuration(new, old.team_versions)
    assert list(message["tree"]) == ["desk"]
    assert import_configuration(message, "peer", base=old) == new


def test_delta_that_does_not_fit_its_base_is_refused():
    new = configuration(2, 7, desk_version=2)
    message = export_configuration(new, {"network": 1})
    other = configuration(1)
    other.tree["network"]["lookup"]["ttl_s"] = 99
    for base in (other, None):
        try:
            import_configuration(message, "peer", base=base)
            raise AssertionError("accepted")
        except SettingsError:
            pass


def test_damaged_snapshot_is_refused_and_the_earlier_one_used():
    with running_platform() as platform, objects_of(platform) as objects:
        write_snapshot(objects, configuration(4))
        write_snapshot(objects, configuration(5))
        assert read_snapshot(objects).version == 5
        platform.objects["snapshot-config-1"]["tree"]["desk"]["services"] = {}
        assert read_snapshot(objects).version == 4
        platform.faults["objects_down"] = True
        assert read_snapshot(objects) is None
