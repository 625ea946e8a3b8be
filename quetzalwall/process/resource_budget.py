"""Division of a machine's memory and file descriptors among their uses.

All memory and descriptors that callers can make an instance use are divided here, so
that their sum fits the machine whatever callers do.
"""

import resource

from quetzalwall.connection.memory_budget import MemoryBudget

__all__ = [
    "create_memory_budget",
    "max_connections",
    "max_endpoint_connections",
    "usable_descriptors",
]

MB = 1_000_000
BASE_MEMORY_MB = 56.0  # process without callers, with its log and cluster state
BODY_MEMORY_FRACTION = 0.25  # of the rest; bodies take up to twice that when copied
MIN_BODY_BYTES = 4 * MB
CONNECTION_BYTES = 36_000  # a connection with a request in flight, without its body
MIN_CONNECTIONS = 16  # of a listener, on a machine with hardly any memory
# Fractions of the rest of the memory for the connections of each listener.
MEMORY_FRACTIONS = {
    "callers": 0.35,
    "lookup": 0.1,
    "health": 0.01,
    "peers": 0.01,
    "metrics": 0.005,
}
RESERVED_DESCRIPTORS = 200  # for files
MIN_ENDPOINT_CONNECTIONS = 4  # on a machine with hardly any descriptors
# Fractions of the other descriptors for the connections of each listener. A request in
# flight takes two: one for its caller and one for its endpoint. What remains is for the
# listening sockets, the store, other instances and pipes.
DESCRIPTOR_FRACTIONS = {
    "callers": 0.5,
    "lookup": 0.2,
    "health": 0.02,
    "peers": 0.02,
    "metrics": 0.01,
}
ENDPOINT_FRACTION = 0.2  # for connections to endpoints, in use and idle


def max_connections(memory_mb, descriptors, name):
    """Return the connections that a listener may have open at once.

    Parameters
    ----------
    memory_mb : float
        Memory of the machine in MB.
    descriptors : int
        Descriptors that the process may have open.
    name : str
        Name of the listener in the settings.

    Returns
    -------
    int
    """
    by_descriptors = (descriptors - RESERVED_DESCRIPTORS) * DESCRIPTOR_FRACTIONS[name]
    by_memory = _rest_bytes(memory_mb) * MEMORY_FRACTIONS[name] / CONNECTION_BYTES
    return max(1, int(min(by_descriptors, max(MIN_CONNECTIONS, by_memory))))


def max_endpoint_connections(descriptors):
    """Return the connections to endpoints that may be open at once.

    Parameters
    ----------
    descriptors : int
        Descriptors that the process may have open.

    Returns
    -------
    int
    """
    share = (descriptors - RESERVED_DESCRIPTORS) * ENDPOINT_FRACTION
    return max(MIN_ENDPOINT_CONNECTIONS, int(share))


def usable_descriptors(configured):
    """Return the configured number of descriptors, capped by the system's limit.

    Parameters
    ----------
    configured : int
        Descriptors that the process may have open according to its settings.

    Returns
    -------
    int
    """
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return configured if soft == resource.RLIM_INFINITY else min(configured, soft)


def create_memory_budget(memory_mb):
    """Return the budget for bodies of a process that has no requests yet.

    Parameters
    ----------
    memory_mb : float
        Memory of the machine in MB.

    Returns
    -------
    MemoryBudget
    """
    return MemoryBudget(
        max(MIN_BODY_BYTES, int(_rest_bytes(memory_mb) * BODY_MEMORY_FRACTION))
    )


def _rest_bytes(memory_mb):
    return max(0.0, memory_mb - BASE_MEMORY_MB) * MB
