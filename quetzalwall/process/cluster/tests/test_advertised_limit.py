"""The share of an instance in the limit that an endpoint advertises."""

from quetzalwall.process.cluster.advertised_limit import ENDED, AdvertisedLimit

NAMES = ["a", "b", "c"]


def create_limit(per_s=5.0, now=100.0):
    limit = AdvertisedLimit(now)
    limit.record_response(per_s, now)
    return limit


def test_reports_carry_a_limit_its_change_and_its_end():
    first, second = create_limit(5.0, 100.0), AdvertisedLimit(100.1)
    second.receive_report("a", first.own_report(100.1), 100.1)
    assert second.per_s == 5.0
    first.record_response(2.5, 101.0)
    second.receive_report("a", first.own_report(101.1), 101.1)
    assert second.per_s == 2.5
    first.record_response(None, 102.0)
    assert first.own_report(102.1)[0] == ENDED
    second.receive_report("a", first.own_report(102.1), 102.1)
    assert second.per_s is None
    assert not second.is_removable(105.0)
    assert second.is_removable(111.0)


def test_older_response_to_another_instance_changes_nothing():
    first, second = create_limit(5.0, 100.0), create_limit(2.0, 103.0)
    second.receive_report("a", first.own_report(103.5), 103.5)
    assert second.per_s == 2.0
    first.receive_report("b", second.own_report(103.5), 103.5)
    assert first.per_s == 2.0
    # A limit learned from a report is not reported as one from an own response.
    assert first.own_report(104.0)[1] < 0


def test_one_instance_keeps_sending_to_an_endpoint_that_accepts_no_requests():
    limits = {name: create_limit(0.0) for name in NAMES}
    allowed = [name for name in NAMES if limits[name].allows("ep", name, NAMES, 101.0)]
    assert len(allowed) == 1
    limits[allowed[0]].record_sent(101.0)
    assert not limits[allowed[0]].allows("ep", allowed[0], NAMES, 104.0)
    assert 0 < limits[allowed[0]].wait_s(104.0) < 2.0
    assert limits[allowed[0]].allows("ep", allowed[0], NAMES, 105.5)


def test_reported_requests_of_others_count_if_shares_differ():
    limit = create_limit(5.0)
    for name in ("b", "c"):
        limit.receive_report(name, (5000, 0, 0, 14), 103.0)
    assert not limit.allows("ep", "a", NAMES, 103.0)
    assert limit.allows("ep", "a", NAMES, 109.0)  # the reports are outdated
