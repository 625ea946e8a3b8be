import random

from quetzalwall.request import endpoint_chooser
from quetzalwall.request.few import MOST_WEIGHED, few_of
from quetzalwall.request.tests.test_choices_at_scale import LEFT_S, chooser_of, desk

COUNT = 750
PLAYS = 200
MOST_LOSS = 0.1  # of the time until an answer, where all are about as full


def choice_of(chooser, key, **options):
    return chooser.choose(*desk(), "desk", key, LEFT_S, 1000.0, **options)


def loaded(chooser, rng):
    for state in chooser._endpoints:
        state.peer_in_flight = round(rng.gauss(9, 3))


# A service that is not large must lose nothing by what large ones need.
def test_all_endpoints_of_a_service_that_is_not_large_are_weighed():
    chooser = chooser_of(30, MOST_WEIGHED, 0.0)
    states = chooser._endpoints.routable_endpoints("desk")
    assert few_of(states, [], "north", 1, random.Random(7)) is states
    assert choice_of(chooser, 1).of == MOST_WEIGHED


# With some endpoints weighed, a request could miss the one that has served its object.
def test_an_endpoint_that_has_served_the_object_is_weighed_among_many():
    chooser = chooser_of(30, COUNT, 0.0)
    for key in range(PLAYS):
        holder = chooser._endpoints.get(f"ep-{key}")
        holder.record_cached(key)
        states = chooser._endpoints.routable_endpoints("desk")
        assert holder in few_of(states, [], "north", key, random.Random(key))


# With some endpoints weighed, a request could miss the few that it can go to.
def test_the_only_endpoint_that_is_left_is_found_among_many():
    chooser = chooser_of(30, COUNT, 0.0)
    for left in ("ep-0", "ep-371", "ep-749"):
        tried = [state.name for state in chooser._endpoints if state.name != left]
        assert choice_of(chooser, 1, tried=tried).state.name == left


# With some endpoints weighed, a move to another region could find nothing there.
def test_a_request_that_is_moved_finds_the_other_region_among_many():
    chooser = chooser_of(30, COUNT, 0.0)
    for key in range(PLAYS):
        assert choice_of(chooser, key, region="south").state.region == "south"


# Weighing some must answer about as soon as weighing all, under a load that is uneven.
def test_the_best_of_some_is_hardly_worse_than_the_best_of_all():
    taken = {}
    for most in (MOST_WEIGHED, COUNT):
        chooser, rng = chooser_of(30, COUNT, 0.0), random.Random(7)
        few = endpoint_chooser.few_of
        if most == COUNT:
            endpoint_chooser.few_of = lambda states, *_: states
        try:
            taken[most] = 0.0
            for key in range(PLAYS):
                loaded(chooser, rng)
                taken[most] += choice_of(chooser, key).expected_s / PLAYS
        finally:
            endpoint_chooser.few_of = few
    assert taken[MOST_WEIGHED] < (1 + MOST_LOSS) * taken[COUNT]
