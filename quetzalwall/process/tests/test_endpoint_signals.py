"""Endpoints that state in their responses that they drain or ask for less."""

import gevent

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
