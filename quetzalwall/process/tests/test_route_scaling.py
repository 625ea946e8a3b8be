"""What a configuration of many routes costs."""

import time

import msgspec

from quetzalwall.platform.rows import decode_configuration
from quetzalwall.process.front_metrics import create_front_metrics
from quetzalwall.tests.platform_fixtures import HOST, config_body, route_row
from quetzalwall.version.model import find_route

FEW, MANY = 100, 1000  # routes
PLAYS = 3  # the quickest of them counts
MOST_GROWTH = 30.0  # of the processor time, at ten times the routes
MOST_GROWTH_EACH = 3.0  # of that of one request
REQUESTS = 200


def keep_s(count):
    """Return the processor time in which a new configuration keeps all routes."""
    metrics = create_front_metrics()
    routes = {f"route-{n}" for n in range(count)}
    for route in routes:
        metrics.record_finished(route, "answered", 200, 0.1)
    took = []
    for _ in range(PLAYS):
        began = time.process_time()
        metrics.prune_routes(routes)
        took.append(time.process_time() - began)
    return min(took)


# "Does not hand back the processor", in another place: with each configuration, the set
# of all routes was made anew for each figure that is kept of a route.
def test_what_a_configuration_costs_grows_no_faster_than_its_routes():
    assert keep_s(MANY) < MOST_GROWTH * keep_s(FEW)


def find_s(count):
    """Return the processor time in which requests of an early route find it."""
    rows = [route_row("first", "/first/")]
    rows += [route_row(f"later-{n}", f"/later/{n:05}/") for n in range(count)]
    cfg = decode_configuration(msgspec.json.encode(config_body(routes=rows)))
    took = []
    for _ in range(PLAYS):
        began = time.process_time()
        for _ in range(REQUESTS):
            assert find_route(cfg, HOST, "/first/1").name == "first"
        took.append(time.process_time() - began)
    return min(took)


# The same with each request: it was compared with each route of its host.
def test_what_a_request_costs_hardly_grows_with_the_routes():
    assert find_s(MANY) < MOST_GROWTH_EACH * find_s(FEW)
