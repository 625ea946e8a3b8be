"""Creates the state of an endpoint, with the client that sends it requests."""

from functools import partial

from quetzalwall.connection.endpoint_client import create_endpoint_client
from quetzalwall.process.cluster.endpoint_state import EndpointState

__all__ = ["create_endpoint_state"]


def create_endpoint_state(
    entry, region, parse_response, monotonic, connection_limiter, traffic=None
):
    """Return the state of a newly registered endpoint.

    Parameters
    ----------
    entry : EndpointEntry
        Its entry in the registry.
    region : str
        Region of its failure domain.
    parse_response : callable
        Takes status and headers of a response; returns its `ResponseMetadata`.
    monotonic : callable
        Clock in seconds.
    connection_limiter : ConnectionLimiter
        Limits the connections to all endpoints together.
    traffic : TrafficMeter, default=None
        Counts the bytes exchanged with it; None counts none.

    Returns
    -------
    EndpointState
    """

    def parse_and_observe(status, headers):
        metadata = parse_response(status, headers)
        state.observe_response(metadata, monotonic())
        return metadata

    client = create_endpoint_client(
        entry.name, entry.host, entry.port, parse_and_observe, monotonic
    )
    client.limiter = connection_limiter
    if traffic is not None:
        client.count_bytes = partial(traffic.record, region=region, domain=entry.domain)
    state = EndpointState(entry, region, client, monotonic())
    return state
