"""CPU time and resident memory of running processes, read from /proc."""

import os
from typing import NamedTuple

__all__ = ["ProcessUsage", "read_usage"]

TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


class ProcessUsage(NamedTuple):
    """Resource usage of a process.

    Attributes
    ----------
    cpu_s : float
        CPU seconds since the process started, user and system.
    memory_mb : float
        Current resident memory in MiB.
    """

    cpu_s: float
    memory_mb: float


def read_usage(pid):
    """Return the resource usage of a process.

    Parameters
    ----------
    pid : int
        Process identifier.

    Returns
    -------
    ProcessUsage
    """
    with open(f"/proc/{pid}/stat", encoding="ascii") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    with open(f"/proc/{pid}/statm", encoding="ascii") as file:
        pages = int(file.read().split()[1])
    cpu_s = (int(fields[11]) + int(fields[12])) / TICKS_PER_S
    return ProcessUsage(cpu_s, pages * PAGE_BYTES / 2**20)
