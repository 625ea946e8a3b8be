"""Decoding of the platform's configuration, endpoint entries and durations."""

import json

from nose2.tools import params

from quetzalwall.platform.rows import (
    RowError,
    decode_configuration,
    decode_endpoint,
    parse_duration_s,
)
from quetzalwall.tests.platform_fixtures import (
    config_body,
    entry_body,
    route_row,
)
from quetzalwall.version.model import find_route

ADDRESS = ("127.0.0.1", 80)


def decode_body(body):
    return decode_configuration(json.dumps(body).encode())


def error_message(decode, *args):
    try:
        decode(*args)
    except RowError as exc:
        return exc.message
    raise AssertionError("accepted")


def test_configuration_is_decoded():
    split = [{"service": "desk", "weight": 90}, {"service": "spare", "weight": 10}]
    rows = [route_row("look", "/look/"), route_row("s", "/s/", "upload", split=split)]
    cfg = decode_body(config_body(7, rows, ("desk", "spare")))
    assert cfg.version == 7
    look = find_route(cfg, "shop.example", "/look/1")
    assert look.idempotent and look.timeout_s == 2.0 and look.target_s == 0.5
    split_route = find_route(cfg, "shop.example", "/s/x")
    assert not split_route.idempotent
    assert split_route.split == (("desk", 90.0), ("spare", 10.0))
    assert cfg.services["desk"].cold_s == 3.0


def test_longest_prefix_wins():
    rows = [route_row("a", "/x/"), route_row("b", "/x/y/")]
    cfg = decode_body(config_body(1, rows))
    assert find_route(cfg, "shop.example", "/x/y/z").name == "b"
    assert find_route(cfg, "shop.example", "/x/z").name == "a"
    assert find_route(cfg, "shop.example", "/z") is None
    assert find_route(cfg, "other.example", "/x/z") is None


@params(
    ("version", "7", "/version"),
    ("version", 7, "/version"),
    ("routes", [], "/routes"),
    ("services", {"columns": ["name"], "rows": [["desk", 1]]}, "/services/0"),
    ("services", {"columns": [], "rows": []}, "unknown service"),
)
def test_error_of_malformed_configuration_has_the_path(key, value, expected):
    body = config_body() | {key: value}
    assert expected in error_message(decode_body, body)


@params(
    ("kind", 3, "odd"), ("timeout", 4, "fast"), ("hostname", 1, None), ("x", 2, "look/")
)
def test_malformed_route_is_rejected(name, column, value):
    row = route_row("look", "/look/")
    row[column] = value
    assert "/routes/0" in error_message(decode_body, config_body(1, [row]))


@params(b"", b"{", b"[]", b"\xff\xfe", b'{"version":"r1"}')
def test_undecodable_configuration_is_rejected(raw):
    assert error_message(decode_configuration, raw)


def test_endpoint_entry_is_decoded():
    body = entry_body(ADDRESS, state="draining", coldLeft="1500ms")
    entry = decode_endpoint("i-1", json.dumps(body).encode())
    assert entry.draining and entry.cold_s == 1.5
    assert (entry.name, entry.host, entry.port) == ("i-1", "127.0.0.1", 80)


# An entry of another writer, with fields missing, made a wrong service run requests.
@params(
    "service", "address", "zone", "version", "slots", "state", "coldLeft", "seq", None
)
def test_endpoint_entry_counts_only_with_all_fields(missing):
    body = entry_body(ADDRESS)
    del body["born"]
    if missing is None:
        entry = decode_endpoint("i-1", json.dumps(body).encode())
        assert entry.incarnation == 0
        return
    for change in ({}, {missing: None}, {missing: []}, {missing: {"a": 1}}):
        raw = json.dumps(
            {name: value for name, value in body.items() if name != missing} | change
        )
        message = error_message(decode_endpoint, "i-1", raw.encode())
        assert "/i-1" in message and (change or missing in message)


@params(
    {"seq": "1"},
    {"seq": True},
    {"seq": 1.5},
    {"version": 1},
    {"coldLeft": 0},
    {"coldLeft": ""},
    {"state": "asleep"},
    {"slots": "3"},
    {"slots": True},
    {"slots": 0},
    {"address": "there"},
    {"address": "1.2.3.4:x"},
    {"born": "now"},
    {"zone": None},
    {"coldLeft": "soon"},
    {"service": 4},
)
def test_malformed_endpoint_entry_is_rejected(change):
    body = entry_body(ADDRESS) | change
    assert "/i-1" in error_message(decode_endpoint, "i-1", json.dumps(body).encode())


@params(("1500ms", 1.5), ("2.5s", 2.5), ("0ms", 0.0))
def test_duration_is_parsed(text, seconds):
    assert parse_duration_s(text) == seconds


@params("", "3", "ms", "3 s", None, 3)
def test_malformed_duration_is_rejected(text):
    assert error_message(parse_duration_s, text)
