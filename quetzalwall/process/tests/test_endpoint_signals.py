"""Endpoints that state in their responses that they drain or ask for less."""

import gevent
import gevent.event

from quetzalwall.platform.headers import parse_response
from quetzalwall.tests.platform_fixtures import running_site, wait_for

LEAVING = ("Server-Leaving: 1",)
PREFIXED = ("X-Quetzalwall-Server-Leaving: 1",)


def routable(front):
    return [state.name for state in front.endpoints.routable_endpoints("desk")]


def take_out_by(site, **behaviour):
    """Let ep-0 respond once in a given way while it is the only endpoint."""
    first, other = site.endpoints
    site.register(other, domain="north-b", state="draining")
    wait_for(lambda: all(routable(front) == ["ep-0"] for front in site.fronts))
    first.behaviour.update(behaviour)
    status, headers, _ = site.get("/look/1")
    site.register(other, domain="north-b")
    return status, headers


def check_stays_out(site):
    for front in site.fronts:
        wait_for(lambda front=front: routable(front) == ["ep-1"], 2.0)
    arrived = len(site.endpoints[0].arrivals)
    # The entry says ready once more, which changes nothing.
    site.register(site.endpoints[0])
    gevent.sleep(0.5)
    assert {site.get(f"/look/{n}", n % 2)[0] for n in range(8)} == {200}
    assert len(site.endpoints[0].arrivals) == arrived


# An endpoint that states in a response that it is draining must get no request from
# any instance, although its entry still says ready.
def test_a_statement_in_a_success_takes_the_endpoint_out_at_all_instances():
    with running_site(fronts=2) as site:
        status, headers = take_out_by(site, headers=LEAVING)
        assert status == 200
        assert not [name for name in headers if "leaving" in name.lower()]
        check_stays_out(site)


# Only successes were looked at in a first design; rejections, failures and truncated
# responses carry the header too.
def test_a_statement_counts_in_a_rejection_and_in_a_failed_response():
    for behaviour in ("shed", "error", "cut"):
        with running_site(fronts=2) as site:
            take_out_by(site, headers=PREFIXED, **{behaviour: True})
            check_stays_out(site)


# A removed entry that returns for the same start was used again; and a new start under
# the same name must not be taken out by what the earlier one stated.
def test_the_statement_applies_to_that_start_of_the_endpoint_only():
    with running_site(fronts=2) as site:
        take_out_by(site, headers=LEAVING)
        for front in site.fronts:
            wait_for(lambda front=front: routable(front) == ["ep-1"])
        site.store.put("servers", "ep-0", None)
        for front in site.fronts:
            wait_for(lambda front=front: front.endpoints.get("ep-0") is None)
        site.register(site.endpoints[0])
        for front in site.fronts:
            wait_for(lambda front=front: front.endpoints.get("ep-0") is not None)
            assert routable(front) == ["ep-1"]
        site.endpoints[0].behaviour.clear()
        site.register(site.endpoints[0], born=1_700_000_000_001)
        for front in site.fronts:
            wait_for(lambda front=front: len(routable(front)) == 2)
        gevent.sleep(0.5)
        assert all(len(routable(front)) == 2 for front in site.fronts)


# A 421 comes from another endpoint at the address, whose statement must not take out
# the one that the request was meant for.
def test_the_statement_of_another_endpoint_at_the_address_is_ignored():
    with running_site() as site:
        take_out_by(site, headers=LEAVING, other="ep-9")
        assert site.fronts[0].endpoints.get("ep-0").draining_since is None


def pause(endpoint, text):
    endpoint.behaviour.update(shed=True, headers=(f"Retry-After: {text}",))


# An endpoint that asked for no requests for a second still got the retries and all new
# requests, which made its overload worse.
def test_an_endpoint_that_asks_for_none_gets_no_request_until_the_time_is_over():
    with running_site(endpoints=1) as site:
        endpoint, front = site.endpoints[0], site.fronts[0]
        pause(endpoint, "1.5")
        status, headers, _ = site.get("/look/1")
        assert status == 503
        assert 1.0 < float(headers["Retry-After"]) <= 1.5
        arrived = len(endpoint.arrivals)
        assert arrived == 1
        began = front.clock.monotonic()
        assert 0.5 < float(site.get("/look/2")[1]["Retry-After"]) <= 1.5
        assert front.clock.monotonic() - began < 0.5
        endpoint.behaviour.clear()
        while front.clock.monotonic() < front.endpoints.get("ep-0").paused_until - 0.1:
            assert site.get("/look/3")[0] == 503
            gevent.sleep(0.1)
        assert len(endpoint.arrivals) == arrived
        gevent.sleep(0.2)
        assert site.get("/look/4")[0] == 200


# A request that waited for a connection was sent although the endpoint had asked for
# none meanwhile.
def test_a_request_that_waits_for_a_connection_is_not_sent_within_the_time():
    with running_site(endpoints=2) as site:
        front, (paused, other) = site.fronts[0], site.endpoints
        site.register(other, domain="north-b", state="draining")
        wait_for(lambda: routable(front) == ["ep-0"])
        client = front.endpoints.get("ep-0").client
        acquire, waiting = client.acquire, gevent.event.Event()

        def acquire_slowly(idempotent, request_id):
            waiting.set()
            gevent.sleep(0.5)
            return acquire(idempotent, request_id)

        client.acquire = acquire_slowly
        running = gevent.spawn(site.get, "/book/1", 0, "POST")
        assert waiting.wait(2.0)
        client.acquire = acquire
        pause(paused, "20")
        assert site.get("/look/1")[0] == 503
        while client.idle:  # an idle connection would be used without waiting
            client.idle.pop().connection.close()
        site.register(other, domain="north-b")
        assert running.get(timeout=2.0)[0] == 200
        assert len(paused.arrivals) == 1
        assert len(other.arrivals) == 1


# The other instances may go on, but a report tells them to prefer other endpoints.
def test_other_instances_avoid_the_endpoint_for_a_moment_but_may_use_it():
    with running_site(fronts=2, endpoints=1) as site:
        pause(site.endpoints[0], "30")
        assert site.get("/look/1")[0] == 503
        state, clock = site.fronts[1].endpoints.get("ep-0"), site.fronts[1].clock
        wait_for(lambda: state.avoided(clock.monotonic()), 1.0)
        assert state.paused_until < clock.monotonic()
        site.endpoints[0].behaviour.clear()
        assert site.get("/look/1", 1)[0] == 200


# A fault of an endpoint must not take it out for hours, or end the request with an
# exception.
def test_absurd_times_are_bounded_or_ignored():
    expected = {"1e9": 0, "-3": 0, "soon": 0, "nan": 0, "": 0, "9" * 400: 60, "61": 60}
    for text, most_s in (expected | {"0.25": 0.25}).items():
        metadata = parse_response(
            503, [("X-Quetzalwall-Request-Not-Run", "1"), ("Retry-After", text)]
        )
        assert (metadata.pause_s or 0) == most_s
        assert bool(metadata.odd_pause) == (text != "0.25")
    assert parse_response(503, [("Retry-After", "5")]).pause_s is None
