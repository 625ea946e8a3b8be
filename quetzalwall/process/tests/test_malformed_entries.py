"""Entries of other writers among those of the endpoints, beside running instances."""

import json

import gevent
import msgspec
from nose2.tools import params

from quetzalwall.tests.platform_fixtures import entry_body, running_site, wait_for

PLACE = ("127.0.0.1", 8080)
DEEP = b"[" * 100_000 + b"]" * 100_000
LONG = "9" * 400


def body(**fields):
    return json.dumps(entry_body(PLACE, **fields)).encode()


def numeral(name, digits):
    """Return an entry with a number that a decoder may not take."""
    return body(**{name: 7}).replace(b": 7", b": " + digits.encode(), 1)


ODD = {
    "deep": DEEP,
    "deep inside": b'{"service": ' + DEEP + b"}",
    "deep beside": body().replace(b"{", b'{"other": ' + DEEP + b", ", 1),
    "slots of 400 digits": numeral("slots", LONG),
    "slots of 5000 digits": numeral("slots", "9" * 5000),
    "slots 1e400": numeral("slots", "1e400"),
    "slots over all": body(slots=10**9),
    "slots a text": body(slots="3"),
    "slots true": body(slots=True),
    "slots zero": body(slots=0),
    "cold for ever": body(coldLeft=f"{LONG}s"),
    "cold for years": body(coldLeft="999999999s"),
    "cold a number": body(coldLeft=5),
    "born 1e400": numeral("born", "1e400"),
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
    "empty": b"",
    "null": b"null",
    "a list": b"[]",
    "not text": b"\xff\xfe{",
    "half": body()[:40],
}


# LOST and own ends, report of other operators: an odd entry among those of endpoints
# ended the processes that read it, or the following of the list.
@params(*ODD)
def test_an_odd_entry_is_left_out_and_the_others_hold(name):
    with running_site(fronts=2, endpoints=2) as site:
        site.store.put("servers", "odd", ODD[name])
        site.store.put("servers", "ep-1", None)
        for front in site.fronts:
            wait_for(lambda front=front: front.endpoints.get("ep-1") is None)
            assert front.endpoints.get("odd") is None
        assert {site.get("/look/x", n)[0] for n in (0, 1)} == {200}
        # One that starts later reads it among all, and it is told to others.
        site.fronts[0].cluster_state.export("servers")


# The same: an entry that names no endpoint to use any more was left in use as it had
# been; the endpoint is known again as soon as its entry is.
@params("deep", "slots of 400 digits", "port over all", "unknown state", "empty")
def test_an_entry_that_turns_odd_names_no_endpoint_until_it_is_sound_again(name):
    with running_site(fronts=1, endpoints=2) as site:
        front, spoiled = site.fronts[0], site.endpoints[0]
        site.store.put("servers", spoiled.name, ODD[name])
        wait_for(lambda: len(front.endpoints.routable_endpoints("desk")) == 1)
        state = front.endpoints.get(spoiled.name)
        site.register(spoiled, seq=2)
        wait_for(lambda: len(front.endpoints.routable_endpoints("desk")) == 2)
        assert front.endpoints.get(spoiled.name) is state
        site.store.put("servers", spoiled.name, ODD[name])
        site.store.put("servers", spoiled.name, None)
        wait_for(lambda: front.endpoints.get(spoiled.name) is None)


# The same cause in the configuration: one number that can't be worked with ended each
# round of the task that follows it, so that no later change came either.
def test_a_configuration_with_a_number_too_large_is_refused_and_the_next_one_taken():
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
