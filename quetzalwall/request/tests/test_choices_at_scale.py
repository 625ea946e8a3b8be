"""What one choice costs, by the size of the deployment."""

import random
import time

import msgspec

from quetzalwall.platform.headers import parse_response
from quetzalwall.platform.rows import decode_configuration
from quetzalwall.platform.settings import Bounds
from quetzalwall.process.cluster.endpoint_table import create_endpoint_table
from quetzalwall.process.cluster.fleet import create_fleet
from quetzalwall.process.cluster.peer_report import PeerInfo
from quetzalwall.process.limits.cold_start_limiter import create_cold_start_limiter
from quetzalwall.request.endpoint_chooser import create_chooser
from quetzalwall.request.latency_model import create_latency_model
from quetzalwall.tests.platform_fixtures import HOST, ManualClock, config_body
from quetzalwall.version.model import EndpointEntry

SMALL = (30, 75)  # instances, and endpoints of a service
LARGE = (300, 750)
DOMAINS = {"a": "north", "b": "south", "c": "east"}
COLD_S = 60.0
LEFT_S = 3.0
CHOICES = 10
PLAYS = 10  # the quickest of them counts
MOST_GROWTH = 4.0  # of a choice's processor time, at ten times the size


def chooser_of(instances, endpoints, cold_s):
    """Return a chooser of a deployment, and its configuration."""
    clock, rng = ManualClock(), random.Random(7)
    table = create_endpoint_table(DOMAINS, parse_response, clock.monotonic)
    for n in range(endpoints):
        place = f"10.0.{n // 250}.{n % 250}", 8000
        entry = EndpointEntry(
            f"ep-{n}", "desk", *place, "abc"[n % 3], 6, False, cold_s, 0
        )
        table.put(entry)
    info = PeerInfo("front-0", "north", "a", "127.0.0.1")
    fleet = create_fleet(info, 1, table, clock.monotonic, 7)
    for n in range(1, instances):
        fleet.add_registered(PeerInfo(f"front-{n}", "north", "a", "127.0.0.1"))
    cold = create_cold_start_limiter(info.name, Bounds())
    return create_chooser(table, create_latency_model("north"), cold, fleet, rng)


def desk():
    """Return a configuration and a route of the service."""
    cfg = decode_configuration(msgspec.json.encode(config_body()))
    return cfg, cfg.hosts[HOST][0]


def choice_s(size, cold_s):
    """Return the processor time of one choice."""
    chooser = chooser_of(*size, cold_s)
    cfg, route = desk()
    now = ManualClock().now
    chooser.choose(cfg, route, "desk", 1, LEFT_S, now)
    took = []
    for _ in range(PLAYS):
        began = time.process_time()
        for key in range(CHOICES):
            chooser.choose(cfg, route, "desk", key, LEFT_S, now)
        took.append(time.process_time() - began)
    return min(took) / CHOICES


# "Its processes do not hand back the processor", report 3, at scale: for each cold
# endpoint each choice put all instances in order, 80 to 180 ms a request at 300.
def test_a_choice_among_cold_endpoints_costs_little_more_than_among_others():
    assert choice_s(LARGE, COLD_S) < MOST_GROWTH * choice_s(LARGE, 0.0)


# "The day takes too long to play", report 3, at scale: each choice weighed all the
# endpoints of a service, so that all choices together cost the size squared.
def test_what_a_choice_costs_hardly_grows_with_the_deployment():
    assert choice_s(LARGE, 0.0) < MOST_GROWTH * choice_s(SMALL, 0.0)
