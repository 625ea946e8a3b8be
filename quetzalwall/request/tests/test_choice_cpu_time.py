"""Processor time of choosing an endpoint, by the size of the deployment."""

import random
import time

import msgspec

from quetzalwall.platform.bounds import Bounds
from quetzalwall.platform.headers import parse_response
from quetzalwall.platform.rows import decode_configuration
from quetzalwall.process.cluster.endpoint_table import create_endpoint_table
from quetzalwall.process.cluster.fleet import create_fleet
from quetzalwall.process.cluster.peer_report import PeerInfo
from quetzalwall.process.limits.cold_start_limiter import create_cold_start_limiter
from quetzalwall.request.endpoint_chooser import create_chooser
from quetzalwall.request.latency_model import create_latency_model
from quetzalwall.tests.platform_fixtures import HOST, ManualClock, config_body
from quetzalwall.version.model import EndpointEntry

SMALL = (30, 75)  # instances, and endpoints of the service
LARGE = (300, 750)
DOMAINS = {"a": "north", "b": "south", "c": "east"}
COLD_S = 60.0
REMAINING_S = 3.0
CHOICES_PER_ROUND = 10
ROUNDS = 10  # the quickest one counts
MAX_CPU_TIME_RATIO = 4.0  # of a choice, at ten times the size


def make_chooser(instances, endpoints, cold_s):
    """Return the chooser of one instance of a deployment."""
    clock, rng = ManualClock(), random.Random(7)
    table = create_endpoint_table(DOMAINS, parse_response, clock.monotonic)
    for n in range(endpoints):
        address = f"10.0.{n // 250}.{n % 250}", 8000
        entry = EndpointEntry(
            f"ep-{n}", "desk", *address, "abc"[n % 3], 6, False, cold_s, 0
        )
        table.put(entry)
    info = PeerInfo("front-0", "north", "a", "127.0.0.1")
    fleet = create_fleet(info, 1, table, clock.monotonic, 7)
    for n in range(1, instances):
        fleet.add_registered(PeerInfo(f"front-{n}", "north", "a", "127.0.0.1"))
    limiter = create_cold_start_limiter(info.name, Bounds())
    return create_chooser(table, create_latency_model("north"), limiter, fleet, rng)


def desk_route():
    """Return a configuration and its route to the service."""
    cfg = decode_configuration(msgspec.json.encode(config_body()))
    return cfg, cfg.hosts[HOST][0]


def choice_cpu_s(size, cold_s):
    """Return the processor time of one choice, in seconds."""
    chooser = make_chooser(*size, cold_s)
    cfg, route = desk_route()
    now = ManualClock().now
    chooser.choose(cfg, route, "desk", 1, REMAINING_S, now)
    cpu_times = []
    for _ in range(ROUNDS):
        began = time.process_time()
        for key in range(CHOICES_PER_ROUND):
            chooser.choose(cfg, route, "desk", key, REMAINING_S, now)
        cpu_times.append(time.process_time() - began)
    return min(cpu_times) / CHOICES_PER_ROUND


# Each choice ordered all instances for each cold endpoint, which blocked the event loop
# for 80 to 180 ms a request with 300 instances (incident report 3, at scale).
def test_cold_endpoints_hardly_add_to_the_cpu_time_of_a_choice():
    assert choice_cpu_s(LARGE, COLD_S) < MAX_CPU_TIME_RATIO * choice_cpu_s(LARGE, 0.0)


# Each choice compared all endpoints of a service, so that the time for the choices of
# all instances together grew with the square of the deployment, and a large simulated
# deployment was too slow (incident report 3).
def test_cpu_time_of_a_choice_hardly_grows_with_the_deployment():
    assert choice_cpu_s(LARGE, 0.0) < MAX_CPU_TIME_RATIO * choice_cpu_s(SMALL, 0.0)
