"""Processor time of a configuration and of a request, by the number of routes."""

import time

import msgspec

from quetzalwall.platform.rows import decode_configuration
from quetzalwall.process.front_metrics import create_front_metrics
from quetzalwall.tests.platform_fixtures import HOST, config_body, route_row
from quetzalwall.version.model import find_route

FEW, MANY = 100, 1000  # routes
REPEATS = 3  # the quickest one counts
MAX_PRUNE_GROWTH = 30.0  # of the processor time, at ten times the routes
MAX_FIND_GROWTH = 3.0  # the same, for one request
REQUESTS = 200


def prune_s(count):
    """Return the processor time of pruning metrics when all routes are retained."""
    metrics = create_front_metrics()
    routes = {f"route-{n}" for n in range(count)}
    for route in routes:
        metrics.record_finished(route, "answered", 200, 0.1)
    times = []
    for _ in range(REPEATS):
        start = time.process_time()
        metrics.prune_routes(routes)
        times.append(time.process_time() - start)
    return min(times)


# "Does not hand back the processor", in another place: with each configuration, the set
# of all routes was built again for each metric of a route.
def test_the_cost_of_a_configuration_grows_no_faster_than_its_routes():
    assert prune_s(MANY) < MAX_PRUNE_GROWTH * prune_s(FEW)


def find_s(count):
    """Return the processor time in which requests for the first route find it."""
    rows = [route_row("first", "/first/")]
    rows += [route_row(f"later-{n}", f"/later/{n:05}/") for n in range(count)]
    cfg = decode_configuration(msgspec.json.encode(config_body(routes=rows)))
    times = []
    for _ in range(REPEATS):
        start = time.process_time()
        for _ in range(REQUESTS):
            assert find_route(cfg, HOST, "/first/1").name == "first"
        times.append(time.process_time() - start)
    return min(times)


# The same fault: each request was compared with each route of its host.
def test_the_cost_of_a_request_hardly_grows_with_the_routes():
    assert find_s(MANY) < MAX_FIND_GROWTH * find_s(FEW)
