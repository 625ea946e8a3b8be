"""What a configuration of many routes costs."""

import time

from quetzalwall.process.front_metrics import create_front_metrics

FEW, MANY = 100, 1000  # routes
PLAYS = 3  # the quickest of them counts
MOST_GROWTH = 30.0  # of the processor time, at ten times the routes


def keep_s(count):
    """Return the processor time in which a new configuration keeps all routes."""
    metrics = create_front_metrics()
    routes = {f"route-{n}" for n in range(count)}
    for route in routes:
        metrics.answered(route, "answered", 200, 0.1)
    took = []
    for _ in range(PLAYS):
        began = time.process_time()
        metrics.keep_routes(routes)
        took.append(time.process_time() - began)
    return min(took)


# "Does not hand back the processor", in another place: with each configuration, the set
# of all routes was made anew for each figure that is kept of a route.
def test_what_a_configuration_costs_grows_no_faster_than_its_routes():
    assert keep_s(MANY) < MOST_GROWTH * keep_s(FEW)
