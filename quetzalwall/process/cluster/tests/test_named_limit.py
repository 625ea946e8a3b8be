"""What an instance knows of a limit that an endpoint names."""

from quetzalwall.process.cluster.advertised_limit import ENDED, AdvertisedLimit

NAMES = ["a", "b", "c"]


def named(per_s=5.0, now=100.0):
    limit = AdvertisedLimit(now)
    limit.record_response(per_s, now)
    return limit


def test_others_learn_of_a_limit_of_its_change_and_of_its_end():
    first, second = named(5.0, 100.0), AdvertisedLimit(100.1)
    second.receive_report("a", first.own_report(100.1), 100.1)
    assert second.per_s == 5.0
    first.record_response(2.5, 101.0)
    second.receive_report("a", first.own_report(101.1), 101.1)
    assert second.per_s == 2.5
    first.record_response(None, 102.0)
    assert first.own_report(102.1)[0] == ENDED
    second.receive_report("a", first.own_report(102.1), 102.1)
    assert second.per_s is None
    assert not second.forgettable(105.0)
    assert second.forgettable(111.0)


def test_an_older_answer_that_another_instance_had_changes_nothing():
    first, second = named(5.0, 100.0), named(2.0, 103.0)
    second.receive_report("a", first.own_report(103.5), 103.5)
    assert second.per_s == 2.0
    first.receive_report("b", second.own_report(103.5), 103.5)
    assert first.per_s == 2.0
    # What is known from others is not told on as known by an own answer.
    assert first.own_report(104.0)[1] < 0


def test_somebody_sends_a_request_to_an_endpoint_that_takes_none():
    limits = {name: named(0.0) for name in NAMES}
    allowed = [name for name in NAMES if limits[name].allows("ep", name, NAMES, 101.0)]
    assert len(allowed) == 1
    limits[allowed[0]].record_sent(101.0)
    assert not limits[allowed[0]].allows("ep", allowed[0], NAMES, 104.0)
    assert 0 < limits[allowed[0]].wait_s(104.0) < 2.0
    assert limits[allowed[0]].allows("ep", allowed[0], NAMES, 105.5)


def test_what_others_have_sent_counts_where_views_differ():
    limit = named(5.0)
    for name in ("b", "c"):
        limit.receive_report(name, (5000, 0, 0, 14), 103.0)
    assert not limit.allows("ep", "a", NAMES, 103.0)
    assert limit.allows("ep", "a", NAMES, 109.0)  # nobody tells it any more
