"""Requests with keys of client accounts, through an instance to an endpoint."""

from contextlib import contextmanager

from nose2.tools import params

from quetzalwall.tests.account_fixtures import (
    KEY,
    OTHER_KEY,
    account_config,
    account_row,
    recorded_lines,
)
from quetzalwall.tests.platform_fixtures import running_site, wait_for

CREDENTIAL, ACCOUNT = "X_Quetzalwall_Credential", "X_Quetzalwall_Tenant"
TARGET = "/look/1?a=%20b&key=c%2Fd"


@contextmanager
def site_with(accounts=None, regions=()):
    with running_site(endpoints=1) as site:
        site.write_config(account_config(2, accounts, regions))
        wait_for(lambda: site.fronts[0].cluster_state.configuration().version == 2)
        yield site


def metrics(site):
    return site.fronts[0].metrics.render().decode()


# The endpoint is what runs a request; a key that reaches it can be used by others.
def test_the_endpoint_gets_the_name_of_the_account_and_not_the_key():
    with site_with() as site, recorded_lines() as lines:
        headers = {CREDENTIAL: KEY, ACCOUNT: "beta"}
        assert site.get(TARGET, **headers)[0] == 200
        _, forwarded = site.endpoints[0].arrivals[-1]
        assert forwarded["x-quetzalwall-tenant"] == "alpha"
        assert not any(KEY in f"{name}{value}" for name, value in forwarded.items())
    assert lines and not any(KEY in line for line in lines)


@params({}, {CREDENTIAL: ""}, {CREDENTIAL: OTHER_KEY}, {CREDENTIAL: f"Bearer {KEY}"})
def test_a_request_without_a_known_key_gets_401_and_is_not_sent(headers):
    with site_with() as site, recorded_lines() as lines:
        for target, method in (("/look/1", "GET"), ("/book/1", "POST")):
            status, _, body = site.get(target, method=method, body=b"x", **headers)
            assert (status, body) == (401, b"unknown key\n")
        assert not site.endpoints[0].arrivals
        assert 'refusals_total{reason="unknown key",route="look"} 1.0' in metrics(site)
    found = [line for line in lines if "event=unknown-key" in line]
    assert len(found) == 2 and "req=" in found[0]
    assert not any(KEY in line or OTHER_KEY in line for line in lines)


# A caller must not choose its account where no key says which one it is.
@params({}, {CREDENTIAL: KEY}, {CREDENTIAL: OTHER_KEY, ACCOUNT: "alpha"})
def test_a_public_route_needs_no_key_and_forwards_no_account(headers):
    with site_with() as site:
        assert site.get("/open/1", **headers)[0] == 200
        _, forwarded = site.endpoints[0].arrivals[-1]
        assert "x-quetzalwall-tenant" not in forwarded
        assert "x-quetzalwall-credential" not in forwarded


def test_target_and_body_are_forwarded_unchanged():
    with running_site(endpoints=1) as site:
        site.write_config(account_config(2))
        wait_for(lambda: site.fronts[0].cluster_state.configuration().version == 2)
        sent, endpoint = [], site.fronts[0].endpoints.get("ep-0")
        send = endpoint.client.send

        def record(req, deadline):
            sent.append((req.target, req.body))
            return send(req, deadline)

        endpoint.client.send = record
        body = bytes(range(256))
        headers = {CREDENTIAL: KEY}
        assert site.get(TARGET, method="POST", body=body, **headers)[0] == 200
        assert sent == [(TARGET, body)]


# Endpoints of the deployment are in the region "north".
@params(((), (), 200), (("north",), ("north",), 200), (("north",), ("south",), 503))
def test_regions_of_route_and_account_decide_where_a_request_may_run(
    of_route, own, expected
):
    accounts = [account_row(regions=own)]
    with site_with(accounts, of_route) as site:
        status, headers, _ = site.get("/look/1", **{CREDENTIAL: KEY})
        assert status == expected
        assert len(site.endpoints[0].arrivals) == (expected == 200)
        assert expected == 200 or float(headers["Retry-After"]) > 0


# 401 would make a caller discard a key that is valid.
def test_without_a_configuration_a_request_gets_503():
    with site_with() as site:
        site.fronts[0].cluster_state._cfg = None
        for headers in ({}, {CREDENTIAL: KEY}, {CREDENTIAL: OTHER_KEY}):
            assert site.get("/look/1", **headers)[0] == 503


def test_a_key_that_a_new_version_removes_or_adds_is_followed():
    with site_with() as site:
        accounts = [account_row(keys=[OTHER_KEY])]
        site.write_config(account_config(3, accounts))
        wait_for(lambda: site.fronts[0].cluster_state.configuration().version == 3)
        assert site.get("/look/1", **{CREDENTIAL: KEY})[0] == 401
        assert site.get("/look/1", **{CREDENTIAL: OTHER_KEY})[0] == 200
