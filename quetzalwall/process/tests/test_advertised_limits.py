"""Endpoints that advertise limits, and instances that share them."""

import time

import gevent
from nose2.tools import params

from quetzalwall.tests.platform_fixtures import running_site, wait_for

STABLE_S = 4.0  # from the first response with a limit until all instances keep it
WINDOW_S = 4.0
TOLERANCE, EXTRA = 1.5, 5  # factor of the limit, and requests beyond it


def surge(site, seconds, per_s, targets=("/look/x",)):
    """Send requests to all instances in turn; return the responses."""
    responses = []

    def send(number):
        front = number % len(site.fronts)
        responses.append(site.get(targets[number % len(targets)], front))

    start, number, tasks = time.monotonic(), 0, []
    while (now := time.monotonic() - start) < seconds:
        while number < now * per_s:
            tasks.append(gevent.spawn(send, number))
            number += 1
        gevent.sleep(0.01)
    gevent.joinall(tasks, timeout=5.0)
    return responses


def max_in_window(times, since):
    """Return the most requests in any window of `WINDOW_S` after ``since``."""
    times = [at for at in times if at >= since]
    return max((sum(a <= t < a + WINDOW_S for t in times) for a in times), default=0)


# LIMIT: limits that overloaded endpoints advertised were ignored.
def test_all_instances_together_keep_the_limits_of_endpoints():
    with running_site(fronts=3, endpoints=3) as site:
        limits = dict(zip(site.endpoints, ("2", "4", ""), strict=True))
        for endpoint, limit in limits.items():
            endpoint.behaviour["limit"] = limit
        start = time.monotonic()
        responses = surge(site, 12.0, 40.0)
        for endpoint, limit in limits.items():
            peak = max_in_window(endpoint.arrival_times, start + STABLE_S)
            if limit:
                assert 0 < peak <= TOLERANCE * WINDOW_S * float(limit) + EXTRA
            else:
                assert peak > 80
        # Requests beyond the limits go to the endpoint without one, at once.
        assert {response[0] for response in responses} == {200}
        assert (
            sum(
                state.advertised_limit is not None for state in site.fronts[0].endpoints
            )
            == 2
        )


def test_requests_beyond_all_limits_are_rejected_at_once_with_retry_after():
    with running_site(fronts=2, endpoints=2) as site:
        for endpoint in site.endpoints:
            endpoint.behaviour["limit"] = "1"
        responses = surge(site, 6.0, 20.0)
        rejected = [response for response in responses if response[0] == 503]
        assert len(rejected) > 40
        assert all(
            0 < float(response[1]["Retry-After"]) <= 2.0 for response in rejected
        )
        runs = sum(sum(endpoint.runs.values()) for endpoint in site.endpoints)
        assert runs == len(responses) - len(rejected)


def test_a_limit_that_is_no_longer_advertised_ends_at_all_instances():
    with running_site(fronts=3, endpoints=1) as site:
        endpoint = site.endpoints[0]
        endpoint.behaviour["limit"] = "0.5"
        surge(site, 1.0, 10.0)
        states = [front.endpoints.get(endpoint.name) for front in site.fronts]
        wait_for(
            lambda: all(
                s.advertised_limit and s.advertised_limit.per_s == 0.5 for s in states
            )
        )
        endpoint.behaviour["limit"] = ""
        surge(site, 6.0, 5.0)
        assert all(state.advertised_limit.per_s is None for state in states)
        assert {response[0] for response in surge(site, 1.0, 20.0)} == {200}


@params("", "-1", "nan", "1e400", "5\r\nServer-Limit: 6", "9" * 400)
def test_a_malformed_limit_is_ignored_and_breaks_nothing(value):
    with running_site(fronts=2, endpoints=1) as site:
        site.endpoints[0].behaviour["limit"] = value
        responses = surge(site, 1.0, 20.0)
        assert {response[0] for response in responses} == {200}
        assert not any("Server-Limit" in response[1] for response in responses)
        assert all(
            s.advertised_limit is None for front in site.fronts for s in front.endpoints
        )
