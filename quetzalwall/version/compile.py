"""Turn a settings tree into what the decisions use."""

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

ATTEMPTS = 2  # endpoints to which one request may be sent
HEALTH_PATH = "/health"
CONNECTIONS = 400  # of one endpoint, where its settings name no limit
LEAST_TARGET_PART = 0.25  # of a class's longest duration, where it names no target


class CompiledTree(NamedTuple):
    """One accepted version of the settings tree.

    Attributes
    ----------
    cfg : Configuration
        Routes and services.
    entries : list of EndpointEntry
        The endpoints.
    domains : dict of str to str
        Region of each failure domain.
    lookup_ttl_s : float
        Seconds for which callers may keep a look-up's answer.
    max_lookup_instances : int
        Instances that it names at most.
    """

    cfg: Configuration
    entries: list
    domains: dict
    lookup_ttl_s: float
    max_lookup_instances: int


def compile_tree(version, tree):
    """Return what a checked settings tree says, in the terms of the decisions.

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
        hosts[name] = _routes(name, spec, merged["classes"])
        services[name] = _service(name, spec)
        entries += _entries(name, spec, merged["leaving"]["endpoints"])
    shifts = tuple(_shift(name, spec) for name, spec in merged["shifts"].items())
    longest = [spec.get("max_body_bytes") for spec in merged["services"].values()]
    limits = Limits(
        max_body_bytes=max(
            [size for size in longest if size], default=Limits().max_body_bytes
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


def _routes(service, spec, classes):
    return HostRoutes(_route(service, route, classes) for route in spec["routes"])


def _route(service, spec, classes):
    work_class = classes[spec["class"]]
    longest_s = work_class["max_duration_s"]
    return Route(
        name=f"{service}{spec['prefix']}",
        host=service,
        prefix=spec["prefix"],
        idempotent=spec["idempotent"],
        timeout_s=longest_s,
        target_s=work_class.get("target_s", LEAST_TARGET_PART * longest_s),
        rank=work_class["rank"],
        attempts=ATTEMPTS,
        sticky=True,
        regions=(),
        split=((service, 1.0),),
        methods=tuple(spec.get("methods", ())),
    )


def _service(name, spec):
    return Service(
        name=name,
        health_path=HEALTH_PATH,
        connections=CONNECTIONS,
        cold_s=0.0,
        cold_per_s=float("inf"),
        region_limits=tuple(sorted(spec.get("region_limits", {}).items())),
    )


def _entries(service, spec, leaving):
    return [
        EndpointEntry(
            name=name,
            service=service,
            host=endpoint["address"],
            port=endpoint["port"],
            domain=endpoint["domain"],
            slots=endpoint["slots"],
            draining=name in leaving,
            cold_s=0.0,
            incarnation=0,
        )
        for name, endpoint in spec["endpoints"].items()
    ]


def _shift(name, spec):
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
