"""Hedged requests: which are sent, which response is used, what is cancelled."""

import json
import socket
from contextlib import contextmanager

import gevent
from nose2.tools import params

from quetzalwall.tests.account_fixtures import (
    KEY,
    OTHER_KEY,
    account_config,
    account_row,
)
from quetzalwall.tests.platform_fixtures import (
    HOST,
    config_body,
    route_row,
    running_site,
    wait_for,
)
from quetzalwall.version.check import load_json

SLOW_S = 1.2


@contextmanager
def hedging_site(share=0.2, usual_s=0.1):
    """Run a site where ep-0 is chosen first, is slow, and ep-1 has free slots."""
    with running_site() as site:
        site.register(site.endpoints[1], domain="north-b")
        for front in site.fronts:
            states = front.endpoints
            wait_for(lambda s=states: s.get("ep-1").entry.domain == "north-b")
            front.limits.retry_budget.hedging = share
            learn_work(front, usual_s)
        site.endpoints[0].behaviour["slow_s"] = SLOW_S
        yield site


def learn_work(front, usual_s=0.1):
    """Let 3% of the requests of each route take 5 s, the others ``usual_s``."""
    routes = front.cluster_state.configuration().hosts[HOST]
    for route in routes:
        for number in range(100):
            front.limits.retry_budget.record_request("desk", front.clock.monotonic())
            work_s = 5.0 if number < 3 else usual_s
            front.server._hedged.hedging.record_work(route, False, work_s)


def hedges(front):
    """Return the counted hedges by result, and the withheld ones by reason."""
    counts = {}
    for metric in front.metrics.registry.collect():
        for sample in metric.samples:
            if "hedges" in sample.name and sample.name.endswith("_total"):
                counts[list(sample.labels.values())[1]] = sample.value
    return counts


def arrived(site):
    return [len(endpoint.arrivals) for endpoint in site.endpoints]


# A cancelled attempt must not go on running, and must not count against its endpoint.
def test_a_hedge_answers_for_a_slow_endpoint_whose_attempt_is_cancelled():
    with hedging_site() as site:
        first, second = site.endpoints
        status, _, body = site.get("/look/1")
        assert status == 200 and body.startswith(b"ep-1 ")
        wait_for(lambda: first.cancelled == 1, 0.5)
        front = site.fronts[0]
        state, now = front.endpoints.get("ep-0"), front.clock.monotonic()
        assert state.own_in_flight == 0 and not state.client.idle
        assert not state.avoided(now) and state._failures == 0
        assert state.slowness(now) == 1.0
        assert hedges(front) == {"sent": 1, "won": 1}
        names = [one.arrivals[0][1] for one in (first, second)]
        sent_ms = [int(fields["x-quetzalwall-deadline-ms"]) for fields in names]
        assert sent_ms[1] <= sent_ms[0] - 90
        assert front.server._attempts._latency.max_work_s(front_route(front)) < 5.0


def front_route(front):
    return front.cluster_state.configuration().hosts[HOST][0]


# Hedges must not go where a request would not go, nor run anything twice that may run
# once only, nor be sent unless the operators ask for them.
@params("off", "not idempotent", "cold", "paused", "avoided", "draining", "stopping")
def test_no_hedge_is_sent(case):
    with hedging_site(share=0.0 if case == "off" else 0.2) as site:
        front = site.fronts[0]
        state, now = front.endpoints.get("ep-1"), front.clock.monotonic()
        if case == "cold":
            state.cold_until = now + 9.0
        elif case == "paused":
            state.paused_until = now + 9.0
        elif case == "avoided":
            state.record_overload(now + 9.0)
        elif case == "draining":
            site.register(site.endpoints[1], domain="north-b", state="draining")
            wait_for(lambda: not state.usable())
        elif case == "stopping":
            front._grace.begin(60.0)
        post = case == "not idempotent"
        status, _, _ = site.get(
            "/book/1" if post else "/look/1", method="POST" if post else "GET"
        )
        assert status == 200 and arrived(site) == [1, 0]
        reason = {"stopping": "stopping"}.get(case, "no endpoint")
        silent = case in ("off", "not idempotent")
        assert hedges(front) == ({} if silent else {reason: 1})


# A failure of one of the two attempts must neither end the other nor reach the caller.
@params("error", "cut", "lose", "shed")
def test_the_first_attempt_answers_if_its_hedge_fails(fault):
    with hedging_site() as site:
        site.endpoints[1].behaviour[fault] = True
        status, _, body = site.get("/look/1")
        assert status == 200 and body.startswith(b"ep-0 ")
        assert arrived(site) == [1, 1]
        assert hedges(site.fronts[0]) == {"sent": 1, "failed": 1}


@params("error", "cut", "lose")
def test_the_hedge_answers_if_the_first_attempt_fails(fault):
    with hedging_site() as site:
        first, second = site.endpoints
        first.behaviour |= {"slow_s": 0.3, fault: True}
        second.behaviour["slow_s"] = 0.6
        status, _, body = site.get("/look/1")
        assert status == 200 and body.startswith(b"ep-1 ")
        assert arrived(site) == [1, 1]


# If the hedge has run, a rejection of the first attempt doesn't mean that nothing ran.
def test_a_request_whose_hedge_may_have_run_is_not_reported_as_not_run():
    with hedging_site() as site:
        first, second = site.endpoints
        first.behaviour["shed_after_s"] = 0.4
        second.behaviour["lose"] = True
        assert site.get("/look/1")[0] == 502
        assert arrived(site) == [1, 1]


def test_both_attempts_are_cancelled_when_the_caller_leaves():
    with hedging_site() as site:
        site.endpoints[1].behaviour["slow_s"] = SLOW_S
        address = (site.fronts[0].settings.address, site.ports[0])
        with socket.create_connection(address) as sock:
            head = f"GET /look/1 HTTP/1.1\r\nHost: {HOST}\r\n"
            sock.sendall(f"{head}X-Quetzalwall-Request-Id: left\r\n\r\n".encode())
            wait_for(lambda: arrived(site) == [1, 1])
            gevent.sleep(0.02)
        wait_for(lambda: [one.cancelled for one in site.endpoints] == [1, 1], 0.5)
        wait_for(lambda: hedges(site.fronts[0]) == {"sent": 1, "cancelled": 1})


# The hedge reads its response beside the first attempt: the memory that a cancelled
# attempt reserved must be given back once, not twice.
def test_the_memory_of_cancelled_attempts_is_given_back():
    with hedging_site() as site:
        site.endpoints[1].behaviour["longer"] = 200_000
        for number in range(3):
            assert site.get(f"/look/{number}")[0] == 200
        budget = site.fronts[0].memory_budget
        wait_for(lambda: budget.used_bytes == 0 and budget.open_requests == 0)


# A hedge counts as an attempt of its route.
def test_a_route_with_one_attempt_is_not_hedged():
    with hedging_site() as site:
        front = site.fronts[0]
        row = route_row("look", "/look/")
        row[8] = 1  # maxAttempts
        site.write_config(config_body(2, [row]))
        wait_for(lambda: front.cluster_state.configuration().version == 2)
        assert site.get("/look/1")[0] == 200
        assert arrived(site) == [1, 0]
        assert hedges(front) == {"attempts": 1}


# The key may be revoked between the first attempt and its hedge.
def test_a_hedge_is_not_sent_with_a_revoked_key():
    with hedging_site(usual_s=0.7) as site:
        front = site.fronts[0]
        state = front.cluster_state
        site.write_config(account_config(2))
        wait_for(lambda: state.configuration().version == 2)
        request = gevent.spawn(site.get, "/look/1", X_Quetzalwall_Credential=KEY)
        wait_for(lambda: arrived(site) == [1, 0])
        site.write_config(account_config(3, [account_row(keys=[OTHER_KEY])]))
        wait_for(lambda: state.configuration().version == 3, 0.6)
        status, _, body = request.get()
        assert status == 200 and body.startswith(b"ep-0 ")
        assert arrived(site) == [1, 0]
        assert hedges(front) == {"sent": 1, "failed": 1}


# Hedging must be turned on and off without a restart.
def test_the_share_of_hedges_follows_the_settings_file():
    with running_site(endpoints=1) as site:
        front = site.fronts[0]
        budget, body = front.limits.retry_budget, load_json(front._settings_file)
        for share in (0.05, 0.0):
            with open(front._settings_file, "w") as file:
                json.dump(body | {"hedging": share}, file)
            front.reload()
            assert budget.hedging == front.settings.hedging == share
