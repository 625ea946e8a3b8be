"""Entries that may have expired, as instances export them to one another."""

import json

from quetzalwall.platform.store import Rows
from quetzalwall.process.cluster.cluster_state import read_exported
from quetzalwall.process.cluster.tests.test_cluster_state import (
    OWN_INFO,
    create,
    register,
    routable_names,
    unregister,
)


def transfer(source, target, after):
    body = json.loads(json.dumps(source.export("servers", after)))
    target.apply("servers", *read_exported(body, "source"), False)


def drop_lapsed(*cluster_states):
    for cluster_state in cluster_states:
        cluster_state.endpoints.drop_lapsed()


# Each instance that received an expired entry began its grace period of 2 s anew, so
# that a stopped endpoint was used for over 3 s (incident DRAIN).
def test_exported_entry_keeps_the_rest_of_its_grace_period():
    first, clock = create()
    second, _ = create(clock, OWN_INFO._replace(name="second"))
    third, _ = create(clock, OWN_INFO._replace(name="third"))
    for cluster_state in (first, second, third):
        register(cluster_state, "ep-1", 1)
    unregister(first, "ep-1", 2, after_outage=True)
    clock.now += 0.8
    transfer(first, second, 1)
    clock.now += 0.8
    transfer(second, third, 1)
    drop_lapsed(first, second, third)
    assert (
        routable_names(first)
        == routable_names(second)
        == routable_names(third)
        == ["ep-1"]
    )
    clock.now += 0.5
    drop_lapsed(first, second, third)
    assert (
        routable_names(first) == routable_names(second) == routable_names(third) == []
    )


# The same after the end of the grace period.
def test_exported_entry_is_removed_after_its_grace_period():
    first, clock = create()
    second, _ = create(clock, OWN_INFO._replace(name="second"))
    for cluster_state in (first, second):
        register(cluster_state, "ep-1", 1)
    unregister(first, "ep-1", 2, after_outage=True)
    clock.now += 2.1
    drop_lapsed(first)
    transfer(first, second, 1)
    assert routable_names(second) == []


# After a store outage longer than its history, an instance that had read the complete
# table exported all rows but not the entries that may return, so that others removed
# working endpoints at once and had no endpoint left (incident "No endpoint").
def test_complete_table_includes_expired_entries_in_their_grace_period():
    first, clock = create()
    second, _ = create(clock, OWN_INFO._replace(name="second"))
    for cluster_state in (first, second):
        register(cluster_state, "ep-1", 1)
    first.apply("servers", Rows([], 2), True, True)
    clock.now += 0.8
    transfer(first, second, 1)
    assert routable_names(first) == routable_names(second) == ["ep-1"]
    clock.now += 1.3
    drop_lapsed(first, second)
    assert routable_names(first) == routable_names(second) == []


# A complete table lists as expired only entries that may still return.
def test_complete_table_excludes_removed_entries():
    first, clock = create()
    register(first, "ep-1", 1)
    register(first, "ep-2", 2, ("127.0.0.1", 81))
    unregister(first, "ep-1", 3)
    unregister(first, "ep-2", 4, after_outage=True)
    clock.now += 2.1
    drop_lapsed(first)
    assert first.export("servers")["removed"] == {}
