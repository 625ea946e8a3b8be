"""Entries that may have lapsed, as one instance tells them to another."""

import json

from quetzalwall.platform.store import Rows
from quetzalwall.process.cluster.cluster_state import read_exported
from quetzalwall.process.cluster.tests.test_knowledge import (
    CARD,
    create,
    register,
    unregister,
    usable,
)


def tell(teller, asker, after):
    body = json.loads(json.dumps(teller.export("servers", after)))
    asker.apply("servers", *read_exported(body, "teller"), False)


def drop_lapsed(*knowledges):
    for cluster_state in knowledges:
        cluster_state.endpoints.drop_lapsed()


# DRAIN: each instance that was told of an entry that may have lapsed gave it 2 s anew,
# so that an endpoint that had left was used for over 3 s.
def test_the_time_for_a_lapsed_entry_does_not_begin_anew_where_it_is_told():
    first, clock = create()
    second, _ = create(clock, CARD._replace(name="second"))
    third, _ = create(clock, CARD._replace(name="third"))
    for cluster_state in (first, second, third):
        register(cluster_state, "ep-1", 1)
    unregister(first, "ep-1", 2, away=True)
    clock.now += 0.8
    tell(first, second, 1)
    clock.now += 0.8
    tell(second, third, 1)
    drop_lapsed(first, second, third)
    assert usable(first) == usable(second) == usable(third) == ["ep-1"]
    clock.now += 0.5
    drop_lapsed(first, second, third)
    assert usable(first) == usable(second) == usable(third) == []


# The same where the time was over.
def test_a_lapsed_entry_that_did_not_come_back_in_time_is_gone_for_who_is_told():
    first, clock = create()
    second, _ = create(clock, CARD._replace(name="second"))
    for cluster_state in (first, second):
        register(cluster_state, "ep-1", 1)
    unregister(first, "ep-1", 2, away=True)
    clock.now += 2.1
    drop_lapsed(first)
    tell(first, second, 1)
    assert usable(second) == []


# "No endpoint", after the store was away for longer than its history: who had read the
# table anew told others all rows and no word of those that may come back, so that the
# others forgot endpoints at work at once.
def test_who_is_told_a_whole_table_waits_for_lapsed_entries_as_well():
    first, clock = create()
    second, _ = create(clock, CARD._replace(name="second"))
    for cluster_state in (first, second):
        register(cluster_state, "ep-1", 1)
    first.apply("servers", Rows([], 2), True, True)
    clock.now += 0.8
    tell(first, second, 1)
    assert usable(first) == usable(second) == ["ep-1"]
    clock.now += 1.3
    drop_lapsed(first, second)
    assert usable(first) == usable(second) == []


# A whole table names as lapsed only what is still awaited.
def test_a_whole_table_holds_nothing_of_entries_that_are_gone():
    first, clock = create()
    register(first, "ep-1", 1)
    register(first, "ep-2", 2, ("127.0.0.1", 81))
    unregister(first, "ep-1", 3)
    unregister(first, "ep-2", 4, away=True)
    clock.now += 2.1
    drop_lapsed(first)
    assert first.export("servers")["removed"] == {}
