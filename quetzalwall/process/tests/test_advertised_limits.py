"""Endpoints that name limits, and instances that share them."""

import time

import gevent
from nose2.tools import params

from quetzalwall.tests.platform_fixtures import running_site, wait_for

STABLE_S = 4.0  # from the first time that a limit is named
SPAN_S = 4.0
PART, MORE = 1.5, 5


def surge(site, seconds, per_s, targets=("/look/x",)):
    """Send requests to all instances in turn; return their answers."""
    answers = []

    def ask(number):
        front = number % len(site.fronts)
        answers.append(site.get(targets[number % len(targets)], front))

    began, number, tasks = time.monotonic(), 0, []
    while (now := time.monotonic() - began) < seconds:
        while number < now * per_s:
            tasks.append(gevent.spawn(ask, number))
            number += 1
        gevent.sleep(0.01)
    gevent.joinall(tasks, timeout=5.0)
    return answers


def most_in_span(times, since):
    times = [at for at in times if at >= since]
    return max((sum(a <= t < a + SPAN_S for t in times) for a in times), default=0)


# LIMIT: nothing read what endpoints in need named; each got what came.
def test_all_instances_together_keep_to_the_limits_of_endpoints():
    with running_site(fronts=3, endpoints=3) as site:
        limits = dict(zip(site.endpoints, ("2", "4", ""), strict=True))
        for endpoint, limit in limits.items():
            endpoint.behaviour["limit"] = limit
        began = time.monotonic()
        answers = surge(site, 12.0, 40.0)
        for endpoint, limit in limits.items():
            most = most_in_span(endpoint.times, began + STABLE_S)
            if limit:
                assert 0 < most <= PART * SPAN_S * float(limit) + MORE
            else:
                assert most > 80
        # What does not fit goes to the endpoint that names none, at once.
        assert {answer[0] for answer in answers} == {200}
        assert (
            sum(
                state.advertised_limit is not None for state in site.fronts[0].endpoints
            )
            == 2
        )


def test_what_fits_nowhere_is_refused_at_once_and_told_when_to_come_back():
    with running_site(fronts=2, endpoints=2) as site:
        for endpoint in site.endpoints:
            endpoint.behaviour["limit"] = "1"
        answers = surge(site, 6.0, 20.0)
        refused = [answer for answer in answers if answer[0] == 503]
        assert len(refused) > 40
        assert all(0 < float(answer[1]["Retry-After"]) <= 2.0 for answer in refused)
        runs = sum(sum(endpoint.runs.values()) for endpoint in site.endpoints)
        assert runs == len(answers) - len(refused)


def test_a_limit_that_is_no_longer_named_ends_everywhere():
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
        assert {answer[0] for answer in surge(site, 1.0, 20.0)} == {200}


@params("", "-1", "nan", "1e400", "5\r\nServer-Limit: 6", "9" * 400)
def test_an_odd_limit_limits_nothing_and_nothing_ends_by_it(value):
    with running_site(fronts=2, endpoints=1) as site:
        site.endpoints[0].behaviour["limit"] = value
        answers = surge(site, 1.0, 20.0)
        assert {answer[0] for answer in answers} == {200}
        assert not any("Server-Limit" in answer[1] for answer in answers)
        assert all(
            s.advertised_limit is None for front in site.fronts for s in front.endpoints
        )
