"""Compile a settings tree into a configuration and the entries of endpoints."""

from typing import NamedTuple

from quetzalwall.version.model import (
    Configuration,
    EndpointEntry,
    HostRoutes,
    Limits,
    Route,
    Service,
    Shift,
)
from quetzalwall.version.tree import merge_tree

__all__ = ["CompiledTree", "compile_tree"]

MAX_ATTEMPTS = 2  # endpoints to which one request may be sent
HEALTH_PATH = "/health"
MAX_CONNECTIONS = 400  # to one endpoint; the settings tree has no key for it
# Target of a class that sets none, as a fraction of its maximum duration.
DEFAULT_TARGET_FRACTION = 0.25


class CompiledTree(NamedTuple):
    """Compiled form of one version of the settings tree.

    Attributes
    ----------
    cfg : Configuration
        Routes and services.
    entries : list of EndpointEntry
        Entries of all endpoints.
    domains : dict of str to str
        Region of each failure domain.
    lookup_ttl_s : float
        Seconds for which callers may cache a look-up response.
    max_lookup_instances : int
        Maximum number of instances in a look-up response.
    """

    cfg: Configuration
    entries: list
    domains: dict
    lookup_ttl_s: float
    max_lookup_instances: int


def compile_tree(version, tree):
    """Return the compiled form of a checked settings tree.

    Parameters
    ----------
    version : int
        Version over all teams.
    tree : dict
        Team to subtree.

    Returns
    -------
    CompiledTree
    """
    merged = merge_tree(tree)
    hosts, services, entries = {}, {}, []
    for name, spec in merged["services"].items():
        hosts[name] = _compile_routes(name, spec, merged["classes"])
        services[name] = _compile_service(name, spec)
        entries += _compile_entries(name, spec, merged["leaving"]["endpoints"])
    shifts = tuple(
        _compile_shift(name, spec) for name, spec in merged["shifts"].items()
    )
    body_limits = [spec.get("max_body_bytes") for spec in merged["services"].values()]
    limits = Limits(
        max_body_bytes=max(
            [size for size in body_limits if size], default=Limits().max_body_bytes
        )
    )
    domains = {
        domain: region
        for region, spec in merged["regions"].items()
        for domain in spec["domains"]
    }
    cfg = Configuration(version, hosts, services, limits, shifts)
    lookup = merged["lookup"]
    return CompiledTree(cfg, entries, domains, lookup["ttl_s"], lookup["answers"])


def _compile_routes(service, spec, classes):
    return HostRoutes(
        _compile_route(service, route, classes) for route in spec["routes"]
    )


def _compile_route(service, spec, classes):
    request_class = classes[spec["class"]]
    max_duration_s = request_class["max_duration_s"]
    return Route(
        name=f"{service}{spec['prefix']}",
        host=service,
        prefix=spec["prefix"],
        idempotent=spec["idempotent"],
        timeout_s=max_duration_s,
        target_s=request_class.get(
            "target_s", DEFAULT_TARGET_FRACTION * max_duration_s
        ),
        rank=request_class["rank"],
        attempts=MAX_ATTEMPTS,
        sticky=True,
        regions=(),
        split=((service, 1.0),),
        methods=tuple(spec.get("methods", ())),
    )


def _compile_service(name, spec):
    return Service(
        name=name,
        health_path=HEALTH_PATH,
        max_connections=MAX_CONNECTIONS,
        cold_s=0.0,
        cold_per_s=float("inf"),
        region_limits=tuple(sorted(spec.get("region_limits", {}).items())),
    )


def _compile_entries(service, spec, drained):
    return [
        EndpointEntry(
            name=name,
            service=service,
            host=endpoint["address"],
            port=endpoint["port"],
            domain=endpoint["domain"],
            slots=endpoint["slots"],
            draining=name in drained,
            cold_s=0.0,
            incarnation=0,
        )
        for name, endpoint in spec["endpoints"].items()
    ]


def _compile_shift(name, spec):
    return Shift(
        name=name,
        service=spec["service"],
        source=spec["from"],
        destination=spec["to"],
        fraction=spec["fraction"],
        cap=spec["cap_requests"],
        interval_s=spec["interval_s"],
        running=spec.get("state", "running") == "running",
    )
