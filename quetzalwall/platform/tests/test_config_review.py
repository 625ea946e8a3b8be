"""Faults and warnings of a configuration before it is sent."""

import hashlib
import json
import tempfile

from hypothesis import given, settings
from hypothesis import strategies as st
from nose2.tools import params

from quetzalwall.exceptions import SettingsError
from quetzalwall.platform.config_review import review_file, review_rows
from quetzalwall.platform.rows import RowError, decode_configuration
from quetzalwall.tests.account_fixtures import (
    KEY,
    OTHER_KEY,
    account_config,
    account_row,
    encode,
)
from quetzalwall.tests.platform_fixtures import config_body, route_row
from quetzalwall.tests.product_fixtures import make_tree
from quetzalwall.version.check import require_valid_tree
from quetzalwall.version.compile import compile_tree
from quetzalwall.version.key_digests import KeyHider, short_digest
from quetzalwall.version.model import MAX_TIMEOUT_S, find_route
from quetzalwall.version.tree_review import review_tree

ROUTE_COLUMNS = config_body()["routes"]["columns"]


def review(body):
    return review_rows(encode(body), "new.json")


def with_routes(*changes, services=("desk",)):
    """Return a configuration with a route for each dictionary of changed fields."""
    rows = []
    for index, fields in enumerate(changes):
        values = dict(zip(ROUTE_COLUMNS, route_row("a", f"/{index}/"), strict=True))
        values["name"] = f"route-{index}"
        rows.append([(values | fields)[column] for column in ROUTE_COLUMNS])
    return config_body(1, rows, services)


def warnings_of(body):
    result = review(body)
    assert not result.errors, result.errors
    return {fault.path: fault.message for fault in result.warnings}


def tree_warnings(tree):
    return {fault.path: fault.message for fault in review_tree(tree, "t").warnings}


# With only the first fault reported, an operator mends and checks again for each.
def test_the_faults_of_all_fields_are_reported():
    body = account_config(
        accounts=[account_row(rate=-1), account_row("b", [KEY, ""])],
    )
    rows = body["routes"]["rows"]
    rows[0][3:6] = ["sfae", "2", "1 s"]
    rows[1][7] = "dsek"
    rows[2] = rows[2][1:]
    body["services"]["columns"][0] = "nmae"
    body |= {"version": "12", "limits": {"idleTimeout": 15, "headerTimeout": "3"}}
    paths = [fault.path for fault in review(body).errors]
    assert paths == [
        "/version",
        "/limits/idleTimeout",
        "/limits/headerTimeout",
        "/services/0/name",
        "/routes/0/kind",
        "/routes/0/timeout",
        "/routes/0/slo",
        "/routes/2",
        "/tenants/0/ratePerS",
        "/tenants/1/apiKeys",
    ]
    body["services"]["columns"][0] = "name"
    faults = {fault.path: fault for fault in review(body).errors}
    assert faults["/routes/1/service"].value == '"dsek"'
    assert faults["/routes/0/kind"].value == '"sfae"'
    assert "missing" not in {fault.message for fault in faults.values()}


@params("routes", "services", "tenants")
def test_a_malformed_table_is_a_fault(table):
    for content in (3, {}, {"columns": "x", "rows": []}, {"columns": [], "rows": {}}):
        assert f"/{table}" in [
            f.path for f in review(config_body() | {table: content}).errors
        ]


def test_accounts_that_share_a_name_or_a_key_are_faults():
    rows = [account_row(), account_row("beta"), account_row(keys=[OTHER_KEY])]
    errors = review(account_config(accounts=rows)).errors
    assert [fault.path for fault in errors] == ["/tenants/1", "/tenants/2"]
    assert "share a key" in errors[0].message and "two accounts" in errors[1].message


# Faults are pasted into tickets; a key in one would be given to all who read them.
def test_no_fault_shows_a_key():
    long_key = "k" * 60 + "'\"\\"
    for key in (KEY, long_key):
        for column in range(len(ROUTE_COLUMNS)):
            for value in (key, [key], [{"service": key, "weight": key}], f"/ ?{key}"):
                body = account_config(accounts=[account_row(keys=[key])])
                body["routes"]["rows"][0][column] = value
                result = review(body)
                shown = str([*result.errors, *result.warnings])
                assert key not in shown and key[:30] not in shown, shown
    for index in range(6):
        for value in (KEY, [[KEY]], {KEY: KEY}):
            rows = [account_row(), account_row("beta", [OTHER_KEY])]
            rows[1][index] = value
            assert KEY not in str(review(account_config(accounts=rows)).errors)
    tree = make_tree()
    for subtree in ({"credentials": {"desk": KEY}}, {"credntials": {"d": KEY}}, KEY):
        faults = review_tree(tree | {"desk": subtree}, "t").errors
        assert faults and KEY not in str(faults)


def test_a_digest_has_eight_digits_and_stands_for_its_key():
    digest = hashlib.blake2b(KEY.encode(), digest_size=4).hexdigest()
    assert short_digest(KEY) == digest and len(digest) == 8
    assert KeyHider([KEY]).hide({KEY: [f"a {KEY}", 1]}) == {
        f"key:{digest}": [f"a key:{digest}", 1]
    }


def test_a_sound_configuration_has_no_warnings():
    assert warnings_of(with_routes({}, {})) == {}
    assert tree_warnings(make_tree()) == {}


@params(
    ([{}, {"prefix": "/0/"}], "/routes/1/prefix", "never matches: /routes/0"),
    ([{"prefix": "/a?b=1"}], "/routes/0/prefix", "never matches: no path"),
    ([{"hostname": "a.example:80"}], "/routes/0/hostname", "never matches: the port"),
    ([{"timeout": "31s"}], "/routes/0/timeout", "longer than"),
    ([{"slo": "3s"}], "/routes/0/slo", "above the timeout"),
    ([{"kind": "unsafe"}], "/routes/0/maxAttempts", "several attempts"),
    (
        [{"trafficSplit": [{"service": "desk", "weight": 0}]}],
        "/routes/0/trafficSplit",
        "weights are all zero",
    ),
)
def test_routes_without_effect_and_contradicting_limits_are_warnings(
    changes, path, message
):
    found = warnings_of(with_routes(*changes))
    assert list(found) == [path] and message in found[path], found


def test_limits_at_their_bounds_are_no_warnings():
    at_bound = {"timeout": f"{MAX_TIMEOUT_S}s", "slo": f"{MAX_TIMEOUT_S}s"}
    unstated = {"kind": "unsafe", "maxAttempts": None}
    assert warnings_of(with_routes(at_bound, unstated)) == {}


def test_a_service_without_a_route_and_a_long_header_timeout_are_warnings():
    body = with_routes({}, services=("desk", "spare"))
    body["limits"]["headerTimeout"] = "16s"
    assert list(warnings_of(body)) == ["/services/1", "/limits/headerTimeout"]


def test_account_without_burst_or_common_region_is_a_warning():
    rows = [account_row(rate=2, regions=["south"]), account_row("b", [], regions=["x"])]
    rows[1][3:5] = [2, 1]
    found = warnings_of(account_config(accounts=rows, regions=["north", "x"]))
    paths = [path for path in found if path.startswith("/tenants")]
    assert paths == ["/tenants/0/burst", "/tenants/0/allowedRegions"]


# An account is not asked for on a public route, so its regions don't matter there.
def test_regions_of_public_routes_are_not_compared_with_those_of_accounts():
    body = account_config(accounts=[account_row(regions=["south"])])
    rows, columns = body["routes"]["rows"], body["routes"]["columns"]
    rows[2][columns.index("allowedRegions")] = ["north"]
    assert "/tenants/0/allowedRegions" not in warnings_of(body)
    rows[2][columns.index("public")] = False
    assert "/tenants/0/allowedRegions" in warnings_of(body)


# The decoder sorts routes by prefix; a warning would name the row of another route.
def test_a_warning_names_the_row_of_its_route():
    other = {"prefix": "/longer/", "hostname": "Other.example"}
    slow = {"prefix": "/longest/", "timeout": "31s"}
    body = with_routes({"prefix": "/"}, other, slow, {"prefix": "/long/"})
    assert list(warnings_of(body)) == ["/routes/2/timeout"]


# The request for exactly the shorter prefix is left to it, whatever the longer ones.
def test_longer_prefixes_never_take_all_paths_of_a_shorter_one():
    body = with_routes({"prefix": "/a"}, {"prefix": "/a/"}, {"prefix": "/ab"})
    assert warnings_of(body) == {}
    route = find_route(decode_configuration(encode(body)), "shop.example", "/a")
    assert route.name == "route-0"


def test_tree_warns_of_methods_taken_missing_endpoints_and_long_durations():
    tree = make_tree()
    service = tree["desk"]["services"]["desk"]
    extra = {"prefix": "/photos/x", "class": "photo", "idempotent": True}
    service["routes"] = [
        extra | {"methods": ["GET"]},
        {"prefix": "/status", "class": "status", "idempotent": True},
        extra | {"methods": ["GET"]},
        extra | {"methods": ["GET", "POST"]},
        extra,
        extra | {"methods": ["PUT"]},
    ]
    path = "/desk/services/desk/routes"
    found = tree_warnings(tree)
    assert list(found) == [f"{path}/2/methods", f"{path}/3/methods", f"{path}/5/prefix"]
    assert "never matches for GET:" in found[f"{path}/3/methods"]
    service["routes"] = service["routes"][:1]
    service["endpoints"] = {}
    tree["network"]["classes"]["photo"]["max_duration_s"] = 60.0
    assert list(tree_warnings(tree)) == [f"{path}/0", f"{path}/0/class"]


SCALARS = st.sampled_from(
    [None, True, 0, -1, 1.5, 10**25, "", "a", "/a", "desk", "2s", "x" * 50, "é", KEY]
)
VALUES = st.recursive(SCALARS, lambda v: st.lists(v, max_size=2), max_leaves=3)


@st.composite
def changed_documents(draw):
    """Draw a sound document in which some values anywhere are replaced."""
    sound = st.sampled_from([account_config, config_body, make_tree])
    body = json.loads(json.dumps(draw(sound)()))
    for _ in range(draw(st.integers(0, 3))):
        node = body
        while True:
            keys = list(node) if isinstance(node, dict) else list(range(len(node)))
            if not keys:
                break
            key = draw(st.sampled_from(keys))
            inner = node[key]
            if isinstance(inner, dict | list) and draw(st.integers(0, 5)):
                node = inner
                continue
            node[key] = draw(VALUES)
            break
    return body


# A check that passes what instances reject is of no use, nor one that does the reverse.
@settings(max_examples=400, deadline=None)
@given(changed_documents())
def test_the_check_accepts_exactly_what_instances_accept(body):
    with tempfile.NamedTemporaryFile() as file:
        file.write(encode(body))
        file.flush()
        result = review_file(file.name)
    try:
        if result.form == "rows":
            decode_configuration(encode(body))
        else:
            require_valid_tree(body)
            compile_tree(1, body)
        accepted = True
    except (RowError, SettingsError):
        accepted = False
    assert accepted == (not result.errors), result
