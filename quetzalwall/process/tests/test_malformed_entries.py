"""Malformed entries of other writers among those of endpoints, in a running system."""

import json

import gevent
import msgspec
from nose2.tools import params

from quetzalwall.tests.platform_fixtures import entry_body, running_site, wait_for

ADDRESS = ("127.0.0.1", 8080)
DEEP = b"[" * 100_000 + b"]" * 100_000
LONG = "9" * 400


def body(**fields):
    return json.dumps(entry_body(ADDRESS, **fields)).encode()


def body_with_number(name, digits):
    """Return an entry with a number that a decoder may not accept."""
    return body(**{name: 7}).replace(b": 7", b": " + digits.encode(), 1)


MALFORMED = {
    "deep": DEEP,
    "deep inside": b'{"service": ' + DEEP + b"}",
    "deep beside": body().replace(b"{", b'{"other": ' + DEEP + b", ", 1),
    "slots of 400 digits": body_with_number("slots", LONG),
    "slots of 5000 digits": body_with_number("slots", "9" * 5000),
    "slots 1e400": body_with_number("slots", "1e400"),
    "slots over all": body(slots=10**9),
    "slots a text": body(slots="3"),
    "slots true": body(slots=True),
    "slots zero": body(slots=0),
    "cold for ever": body(coldLeft=f"{LONG}s"),
    "cold for years": body(coldLeft="999999999s"),
    "cold a number": body(coldLeft=5),
    "born 1e400": body_with_number("born", "1e400"),
    "port over all": body(address="10.1.0.4:70000"),
    "port zero": body(address="10.1.0.4:0"),
    "port negative": body(address="10.1.0.4:-80"),
    "port with a space": body(address="10.1.0.4: 80"),
    "port with a line": body(address="10.1.0.4:_80"),
    "port in other digits": body(address="10.1.0.4:\u0663\u0664"),
    "port of 5000 digits": body(address="10.1.0.4:" + "9" * 5000),
    "a name for an address": body(address="localhost:80"),
    "no address": body(address=None),
    "unknown state": body(state="resting"),
    "a list for a state": body(state=["ready"]),
    "no service": body(service=None),
    "no version": body(version=None),
    "no seq": body().replace(b'"seq"', b'"sequence"'),
    "no cold time": body().replace(b'"coldLeft"', b'"cold"'),
    "empty": b"",
    "null": b"null",
    "a list": b"[]",
    "not text": b"\xff\xfe{",
    "half": body()[:40],
}


# LOST and processes that ended by themselves, report of other operators: a malformed
# entry among those of endpoints ended the processes that read it, or the task that
# reads the table.
@params(*MALFORMED)
def test_a_malformed_entry_is_ignored_and_the_others_stay_in_use(name):
    with running_site(fronts=2, endpoints=2) as site:
        site.store.put("servers", "odd", MALFORMED[name])
        site.store.put("servers", "ep-1", None)
        for front in site.fronts:
            wait_for(lambda front=front: front.endpoints.get("ep-1") is None)
            assert front.endpoints.get("odd") is None
        assert {site.get("/look/x", n)[0] for n in (0, 1)} == {200}
        # An instance that starts later gets the whole table from others.
        site.fronts[0].cluster_state.export("servers")


# The same report: an endpoint whose entry became malformed stayed in use according to
# its previous entry. It must not be used until its entry is valid again.
@params("deep", "slots of 400 digits", "port over all", "unknown state", "empty")
def test_an_endpoint_whose_entry_becomes_malformed_is_unused_until_it_is_valid(name):
    with running_site(fronts=1, endpoints=2) as site:
        front, endpoint = site.fronts[0], site.endpoints[0]
        site.store.put("servers", endpoint.name, MALFORMED[name])
        wait_for(lambda: len(front.endpoints.routable_endpoints("desk")) == 1)
        state = front.endpoints.get(endpoint.name)
        site.register(endpoint, seq=2)
        wait_for(lambda: len(front.endpoints.routable_endpoints("desk")) == 2)
        assert front.endpoints.get(endpoint.name) is state
        site.store.put("servers", endpoint.name, MALFORMED[name])
        site.store.put("servers", endpoint.name, None)
        wait_for(lambda: front.endpoints.get(endpoint.name) is None)


# The same fault with the configuration: a number too large to convert ended each round
# of the task that reads the table, so that no later change was applied.
def test_a_configuration_with_a_number_too_large_is_rejected_and_the_next_accepted():
    with running_site() as site:
        cluster_state = site.fronts[0].cluster_state
        row = {key[2]: value for key, value in site.store.rows.items()}["config"][0]
        cfg = msgspec.json.decode(row)
        text = json.dumps(cfg | {"version": "r2"}).replace("390", "1e400")
        site.store.put("op", "config", text.encode())
        gevent.sleep(0.6)
        assert cluster_state.configuration().version == 1
        site.write_config(cfg | {"version": "r3"})
        wait_for(lambda: cluster_state.configuration().version == 3)
