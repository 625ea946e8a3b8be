"""The parts of an instance: what it knows, how it serves, its settings tree."""

from typing import NamedTuple

import gevent

from quetzalwall.process.cluster.cluster_state import (
    ClusterState,
    create_cluster_state,
)
from quetzalwall.process.cluster.endpoint_table import (
    EndpointTable,
    create_endpoint_table,
)
from quetzalwall.process.cluster.fleet import Fleet, create_fleet
from quetzalwall.process.cluster.peer_report import PeerInfo
from quetzalwall.process.limits.allotments import create_allotments
from quetzalwall.process.limits.cold_start_limiter import create_cold_start_limiter
from quetzalwall.process.limits.fleet_limits import FleetLimits
from quetzalwall.process.limits.retry_budget import create_retry_budget
from quetzalwall.process.limits.traffic_shifts import create_traffic_shifts
from quetzalwall.process.limits.weighted_split import create_weighted_split
from quetzalwall.process.resource_budget import max_endpoint_connections
from quetzalwall.process.storage.settings_admin import (
    SettingsAdmin,
    create_settings_admin,
)
from quetzalwall.process.storage.store_table import create_store_table
from quetzalwall.process.storage.write_batcher import (
    WriteBatcher,
    create_write_batcher,
)
from quetzalwall.process.traffic_meter import TrafficMeter, create_traffic_meter
from quetzalwall.request.claim import Claims, create_claims
from quetzalwall.request.endpoint_chooser import create_chooser
from quetzalwall.request.grace_period import GracePeriod, create_grace_period
from quetzalwall.request.latency_model import create_latency_model
from quetzalwall.request.request_reader import RequestReader, create_request_reader
from quetzalwall.request.request_server import RequestServer, create_request_server

__all__ = [
    "NO_TREE",
    "Cluster",
    "Serving",
    "TreeParts",
    "create_cluster",
    "create_serving",
    "create_tree_parts",
]

PROCESS_BITS = 48  # of the random number that identifies a process


class Cluster(NamedTuple):
    """What an instance knows of the others, the endpoints and the configuration."""

    endpoints: EndpointTable
    fleet: Fleet
    state: ClusterState
    traffic: TrafficMeter


class TreeParts(NamedTuple):
    """What an instance needs if its configuration is the settings tree."""

    settings_admin: SettingsAdmin | None
    batcher: WriteBatcher | None
    claims: Claims | None


class Serving(NamedTuple):
    """What an instance serves requests with."""

    limits: FleetLimits
    grace: GracePeriod
    reader: RequestReader
    server: RequestServer


NO_TREE = TreeParts(None, None, None)


def create_cluster(settings, dialect, tables, rng, monotonic):
    """Return the cluster state of an instance that knows nothing yet.

    Parameters
    ----------
    settings : InstanceSettings
        Checked settings.
    dialect : Dialect
        Protocol variant of endpoints.
    tables : dict
        Tables of the store to follow, as of `create_cluster_state`.
    rng : random.Random
        Source of randomness.
    monotonic : callable
        Clock in seconds.

    Returns
    -------
    Cluster
    """
    info = PeerInfo(
        settings.instance,
        settings.region,
        settings.domain,
        settings.address,
        settings.link_mbps,
    )
    endpoints = create_endpoint_table(
        settings.domains, dialect.parse_response, monotonic
    )
    limiter = endpoints.connection_limiter
    limiter.max_open = max_endpoint_connections(settings.descriptors)
    process_id = rng.getrandbits(PROCESS_BITS)
    fleet = create_fleet(info, settings.peer_port, endpoints, monotonic, process_id)
    traffic = create_traffic_meter(settings.region, settings.domain)
    endpoints.traffic = fleet.traffic = traffic
    state = create_cluster_state(endpoints, fleet, tables)
    return Cluster(endpoints, fleet, state, traffic)


def create_tree_parts(settings, cluster_state, store, clock, rng):
    """Return the parts of an instance that follows the settings tree.

    Parameters
    ----------
    settings : InstanceSettings
        Checked settings.
    cluster_state : ClusterState
        The cluster state.
    store : StoreClient
        The store.
    clock : Clock
        Source of time.
    rng : random.Random
        Source of randomness.

    Returns
    -------
    TreeParts
    """
    table = create_store_table(store)
    batcher = create_write_batcher(table, clock, rng)
    codes = cluster_state.fleet.claim_codes
    claims = create_claims(
        batcher, clock, settings.instance, spawn=gevent.spawn, codes=codes
    )
    settings_admin = create_settings_admin(cluster_state, table, clock)
    return TreeParts(settings_admin, batcher, claims)


def create_serving(settings, dialect, cluster, claims, metrics, rates, rng, monotonic):
    """Return what an instance serves requests with.

    Parameters
    ----------
    settings : InstanceSettings
        Checked settings.
    dialect : Dialect
        Protocol variant of callers and endpoints.
    cluster : Cluster
        The cluster state.
    claims : Claims or None
        Idempotency keys.
    metrics : FrontMetrics
        Counters.
    rates : ReadingRates
        How fast callers read.
    rng : random.Random
        Source of randomness.
    monotonic : callable
        Clock in seconds.

    Returns
    -------
    Serving
    """
    endpoints, fleet, state, _ = cluster
    limits = FleetLimits(
        create_retry_budget(settings.bounds, settings.hedging),
        create_cold_start_limiter(settings.instance, settings.bounds),
        create_weighted_split(rng),
        create_traffic_shifts(endpoints, fleet, rng, monotonic),
        create_allotments(settings.instance, fleet.members, rng),
    )
    fleet.allotments = limits.allotments
    latency = create_latency_model(settings.region)
    limiter = limits.cold_start_limiter
    chooser = create_chooser(endpoints, latency, limiter, fleet, rng)
    grace = create_grace_period(monotonic, latency, rates)
    reader = create_request_reader(dialect, state, limits.split)
    server = create_request_server(
        dialect,
        reader,
        state,
        chooser,
        latency,
        limits,
        claims,
        metrics,
        grace,
        monotonic,
        rng,
    )
    return Serving(limits, grace, reader, server)
