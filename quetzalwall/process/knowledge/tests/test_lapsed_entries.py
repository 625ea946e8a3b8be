"""Entries that may have lapsed, as one instance tells them to another."""

import json

from quetzalwall.process.knowledge.knowledge import read_exported
from quetzalwall.process.knowledge.tests.test_knowledge import (
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
    for knowledge in knowledges:
        knowledge.endpoints.drop_lapsed()


# DRAIN: each instance that was told of an entry that may have lapsed gave it 2 s anew,
# so that an endpoint that had left was used for over 3 s.
def test_the_time_for_a_lapsed_entry_does_not_begin_anew_where_it_is_told():
    first, clock = create()
    second, _ = create(clock, CARD._replace(name="second"))
    third, _ = create(clock, CARD._replace(name="third"))
    for knowledge in (first, second, third):
        register(knowledge, "ep-1", 1)
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
    for knowledge in (first, second):
        register(knowledge, "ep-1", 1)
    unregister(first, "ep-1", 2, away=True)
    clock.now += 2.1
    drop_lapsed(first)
    tell(first, second, 1)
    assert usable(second) == []
