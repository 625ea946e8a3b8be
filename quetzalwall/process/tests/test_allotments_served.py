"""Requests of client accounts at running instances, within and over an allotment."""

import time

import gevent

from quetzalwall.tests.platform_fixtures import config_body, running_site, wait_for

RATE, BURST = 10, 5
KEY = {"X_Quetzalwall_Credential": "key-1"}
WINDOW_S = 5.0


def accounts_body(version, per_s):
    columns = ["name", "apiKeys", "priority", "ratePerS", "burst", "allowedRegions"]
    rows = [["acme", ["key-1"], 1, per_s, BURST, []], ["other", ["key-2"], 1, 0, 0, []]]
    return config_body(version) | {"tenants": {"columns": columns, "rows": rows}}


def apply_accounts(site, version, per_s):
    site.write_config(accounts_body(version, per_s))
    wait_for(
        lambda: all(
            front.cluster_state.configuration().version == version
            for front in site.fronts
        )
    )


def surge(site, duration_s, per_s, key=KEY):
    """Return the responses to requests that go to the instances in turn."""
    tasks, start = [], time.monotonic()
    for number in range(int(duration_s * per_s)):
        gevent.sleep(max(0.0, start + number / per_s - time.monotonic()))
        front = number % len(site.fronts)
        tasks.append(gevent.spawn(site.get, "/look/1", front, **key))
    gevent.joinall(tasks, raise_error=True)
    return [task.value for task in tasks]


# Each instance admitted the whole rate, so that three of them admitted three times it.
def test_three_instances_together_keep_the_allotment_and_use_it():
    with running_site(fronts=3) as site:
        apply_accounts(site, 2, RATE)
        gevent.sleep(1.5)
        start = time.monotonic()
        responses = surge(site, WINDOW_S, 60.0)
        took_s = time.monotonic() - start  # longer than the window on a busy machine
        assert {response[0] for response in responses} == {200, 429}
        served = sum(response[0] == 200 for response in responses)
        assert served >= 0.95 * RATE * (took_s - 0.5)
        assert served <= (RATE * took_s + BURST) * 1.1 + 20
        assert sum(sum(e.runs.values()) for e in site.endpoints) == served
        assert all(
            0 < float(response[1]["Retry-After"]) <= WINDOW_S
            for response in responses
            if response[0] == 429
        )
        metrics = site.fronts[0].metrics.render().decode()
        assert (
            'account_requests_total{account="acme",result="over allotment"}' in metrics
        )


def test_accounts_without_a_limit_and_a_raised_limit_are_served():
    with running_site() as site:
        apply_accounts(site, 2, RATE)
        other = {"X_Quetzalwall_Credential": "key-2"}
        statuses = [site.get("/look/1", **other)[0] for _ in range(80)]
        assert set(statuses) == {200}
        apply_accounts(site, 3, 0)
        assert {response[0] for response in surge(site, 1.0, 100.0)} == {200}


# A request without an endpoint would use up the allotment of those that follow.
def test_a_request_that_no_endpoint_runs_returns_its_credit():
    with running_site(endpoints=0) as site:
        apply_accounts(site, 2, RATE)
        gevent.sleep(2.0)
        assert {site.get("/look/1", **KEY)[0] for _ in range(100)} == {503}


# The queueing limits of the routes reject the requests of all accounts alike.
def test_an_account_within_its_fair_share_is_served_beside_a_hot_one():
    with running_site(endpoints=2, work_s=0.2) as site:  # 30 requests a second
        apply_accounts(site, 2, 0)
        hot_task = gevent.spawn(surge, site, 10.0, 60.0)
        gevent.sleep(3.0)  # until the demand is known
        small = surge(site, 7.0, 6.0, {"X_Quetzalwall_Credential": "key-2"})
        hot = hot_task.get()
        served = [sum(r[0] == 200 for r in responses) for responses in (small, hot)]
        assert served[0] >= 0.85 * len(small)
        assert served[1] <= 0.6 * len(hot)
        assert (503, b"not run: fairness\n") in {(r[0], r[2]) for r in hot}
