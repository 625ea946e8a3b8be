"""Preference for endpoints of the own failure domain."""

import random

from quetzalwall.platform.bounds import Bounds
from quetzalwall.platform.headers import parse_response
from quetzalwall.process.cluster.endpoint_table import create_endpoint_table
from quetzalwall.process.cluster.fleet import create_fleet
from quetzalwall.process.cluster.peer_report import PeerInfo
from quetzalwall.process.limits.cold_start_limiter import create_cold_start_limiter
from quetzalwall.request.endpoint_chooser import create_chooser
from quetzalwall.request.latency_model import create_latency_model
from quetzalwall.request.tests.test_choice_cpu_time import desk_route
from quetzalwall.tests.platform_fixtures import DOMAINS, ManualClock
from quetzalwall.version.model import EndpointEntry

OBJECTS = range(12)
SLOTS = 6


def create_site():
    """Return a chooser in north-a, and the table of two endpoints of each domain."""
    clock, rng = ManualClock(), random.Random(3)
    table = create_endpoint_table(DOMAINS, parse_response, clock.monotonic)
    for n, domain in enumerate(sorted(DOMAINS) * 2):
        address = f"10.0.0.{n}", 8000
        table.put(
            EndpointEntry(f"{domain}-{n}", "desk", *address, domain, SLOTS, False, 0, 0)
        )
    for state in table:
        state.record_cached(1000)  # an endpoint without objects gets a bonus
    fleet = create_fleet(
        PeerInfo("front-0", "north", "north-a", "127.0.0.1"),
        1,
        table,
        clock.monotonic,
        7,
    )
    limiter = create_cold_start_limiter("front-0", Bounds())
    latency = create_latency_model("north")
    return create_chooser(table, latency, limiter, fleet, rng), table


def chosen_domains(chooser):
    cfg, route = desk_route()
    now = ManualClock().now
    choices = [chooser.choose(cfg, route, "desk", key, 3.0, now) for key in OBJECTS]
    return [choice.state.entry.domain for choice in choices]


def test_objects_that_no_endpoint_has_cached_go_to_the_own_failure_domain():
    chooser, _ = create_site()
    domains = chosen_domains(chooser)
    assert domains.count("north-a") > 0.9 * len(domains)


def test_an_object_cached_in_another_domain_is_requested_there():
    chooser, table = create_site()
    for state in table:
        if state.entry.domain == "north-b":
            for object_key in OBJECTS:
                state.record_cached(object_key)
    assert set(chosen_domains(chooser)) == {"north-b"}


def test_requests_leave_a_full_failure_domain():
    chooser, table = create_site()
    for state in table:
        if state.entry.domain == "north-a":
            state.own_in_flight = SLOTS + 2
    assert "north-a" not in chosen_domains(chooser)
