"""How the memory and the descriptors of a machine are divided.

All that callers can make an instance hold comes out of one plan, so that together it
fits the machine whatever they do.
"""

import resource

from quetzalwall.connection.memory_budget import MemoryBudget

__all__ = [
    "create_held_bytes",
    "most_connections",
    "most_to_endpoints",
    "usable_descriptors",
]

MB = 1_000_000
OWN_MB = 56.0  # the process without any caller, its log and what it has learned
HELD_PART = 0.25  # of the rest, for bodies; each byte is copied once on its way
LEAST_HELD_BYTES = 4 * MB
CONNECTION_BYTES = 36_000  # a connection with a request at work, without its body
LEAST_CONNECTIONS = 16  # of a listener, on a machine with hardly any memory
# Parts of the rest of the memory for the connections of each listener.
MEMORY_PARTS = {
    "callers": 0.35,
    "lookup": 0.1,
    "health": 0.01,
    "peers": 0.01,
    "metrics": 0.005,
}
FILE_DESCRIPTORS = 200  # for files
LEAST_TO_ENDPOINTS = 4  # connections, where there are hardly any descriptors
# Parts of the other descriptors; what remains is for the listeners themselves, the
# store, other instances and pipes. A request at work has a connection of two kinds.
DESCRIPTOR_PARTS = {
    "callers": 0.5,
    "lookup": 0.2,
    "health": 0.02,
    "peers": 0.02,
    "metrics": 0.01,
}
ENDPOINTS_PART = 0.2  # at work and idle


def most_connections(memory_mb, descriptors, name):
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
    by_descriptors = (descriptors - FILE_DESCRIPTORS) * DESCRIPTOR_PARTS[name]
    by_memory = _rest_bytes(memory_mb) * MEMORY_PARTS[name] / CONNECTION_BYTES
    return max(1, int(min(by_descriptors, max(LEAST_CONNECTIONS, by_memory))))


def most_to_endpoints(descriptors):
    """Return the connections to endpoints that may be open at once.

    Parameters
    ----------
    descriptors : int
        Descriptors that the process may have open.

    Returns
    -------
    int
    """
    part = (descriptors - FILE_DESCRIPTORS) * ENDPOINTS_PART
    return max(LEAST_TO_ENDPOINTS, int(part))


def usable_descriptors(wanted):
    """Return how many descriptors of the settings the system lets the process open.

    Parameters
    ----------
    wanted : int
        Descriptors that it may have open by its settings.

    Returns
    -------
    int
    """
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return wanted if soft == resource.RLIM_INFINITY else min(wanted, soft)


def create_held_bytes(memory_mb):
    """Return the count of a process that holds no bodies yet.

    Parameters
    ----------
    memory_mb : float
        Memory of the machine in MB.

    Returns
    -------
    MemoryBudget
    """
    return MemoryBudget(max(LEAST_HELD_BYTES, int(_rest_bytes(memory_mb) * HELD_PART)))


def _rest_bytes(memory_mb):
    return max(0.0, memory_mb - OWN_MB) * MB
