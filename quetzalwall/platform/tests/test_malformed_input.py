"""Malformed headers, rows of the store, and deploy files."""

import tempfile

from nose2.tools import params

from quetzalwall.connection.http_server import BadRequest
from quetzalwall.connection.json_client import JsonResponse
from quetzalwall.platform.bounds import Bounds
from quetzalwall.platform.deploy import check_deploy
from quetzalwall.platform.fields import settings_from_fields
from quetzalwall.platform.headers import parse_request, parse_response
from quetzalwall.platform.store import StoreUnavailable, create_store_client
from quetzalwall.process.limits.cold_start_limiter import create_cold_start_limiter

GOOD_ROW = {"key": "a", "ver": 3, "value": "YQ=="}
BAD_ROWS = ({"ver": 1}, {"key": 5}, {"key": "b", "ver": "x"}, None, [], "row")


def store_that_responds(body):
    """Return a client of a store that sends the same body to every call."""
    store = create_store_client("127.0.0.1", 1)
    store._client.call = lambda *args, **kwargs: JsonResponse(200, body)
    return store


# `str.isdigit` accepts characters that `int` refuses: the request ended with 502.
@params("²", "١٢", "1²")
def test_a_deadline_of_other_digits_is_a_bad_request(text):
    try:
        parse_request({"HTTP_X_QUETZALWALL_DEADLINE_MS": text})
    except BadRequest as exc:
        assert exc.status == 400 and text in exc.message
    else:
        raise AssertionError("accepted")


def test_a_keep_alive_time_of_other_digits_is_ignored():
    metadata = parse_response(200, [("Keep-Alive", "timeout=²")])
    assert metadata.keep_alive_s is None


@params(*BAD_ROWS)
def test_a_malformed_row_of_the_store_is_left_out_and_the_others_hold(row):
    store = store_that_responds({"rows": [row, GOOD_ROW], "ver": 4, "now": 1})
    assert [change.key for change in store.read("op").rows] == ["a"]
    assert [change.key for change in store.follow("op", 0, 1.0).rows] == ["a"]
    assert [change.key for change in store.read_range("op", "a", "b")] == ["a"]


@params(*BAD_ROWS)
def test_a_malformed_row_of_a_transaction_is_left_out(row):
    good = GOOD_ROW | {"table": "op"}
    result = store_that_responds({"rows": [row, good], "ver": 4}).transact({}, {})
    assert [(table, change.key) for table, change in result.rows] == [("op", "a")]


def test_a_transaction_without_a_valid_version_may_have_been_applied():
    try:
        store_that_responds({"ver": "x"}).transact({}, {})
    except StoreUnavailable:
        return
    raise AssertionError("accepted")


@params(
    "roles.a = 5", "roles.a = [1]", "[roles.a]\nserves = 5", "[roles.a]\nserves=[[1]]"
)
def test_a_deploy_file_with_a_malformed_role_is_reported(text):
    with tempfile.NamedTemporaryFile("w", suffix=".toml") as file:
        file.write(f'build = "true"\n{text}\n')
        file.flush()
        faults = check_deploy(file.name)
    assert any(fault.path.startswith("/roles/a") for fault in faults), faults


@params(["north-a"], {}, 5)
def test_a_domain_that_is_no_text_is_left_to_the_check_of_the_settings(zone):
    fields = {"zone": zone, "zones": {"north-a": "north"}}
    assert settings_from_fields(fields, 9464).get("domain") == zone


# The limit of a cold endpoint whose service gives none raised OverflowError.
def test_a_cold_endpoint_without_a_limit_is_not_limited():
    limiter = create_cold_start_limiter("front-0", Bounds())
    names = ["front-0", "front-1"]
    for second in range(100):
        assert limiter.allows("ep", float("inf"), names, float(second))
        limiter.record_request("ep", float(second))
