"""Which of the instances that know more is asked, in a large fleet."""

import random
from collections import Counter
from unittest import mock

from quetzalwall.clock import system_clock
from quetzalwall.process.knowledge import peer_tables
from quetzalwall.process.knowledge.tests.test_behind_others import (
    CHANGES,
    TABLE,
    fleet_of,
)
from quetzalwall.tests.platform_fixtures import own_address

ASKING = 98  # instances of a region of 100 that do not follow the store
KNOWING = 10
MOST_PART = 0.3  # of the questions that one instance gets


# "At scale", report 3: all instances of a region asked the same one for each change, up
# to ten times a second each, so that one instance had the work of the whole region.
def test_the_questions_of_a_region_are_spread_over_all_that_know():
    asked = Counter()

    def ask(place, table, after):
        asked[place] += 1
        return CHANGES, False

    with mock.patch.object(peer_tables, "_ask", ask):
        for n in range(ASKING):
            fleet = fleet_of([own_address(n) for n in range(KNOWING)], 7)
            fleet.card = fleet.card._replace(name=f"own-{n}")
            monotonic = system_clock().monotonic
            tables = peer_tables.create_peer_tables(
                fleet, 1, list, random.Random(n), monotonic
            )
            tables.ask(TABLE, 5)
    assert sum(asked.values()) == ASKING
    assert max(asked.values()) < MOST_PART * ASKING
