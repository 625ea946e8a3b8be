"""Processor time and memory of running processes, read from /proc."""

import os
from typing import NamedTuple

__all__ = ["ProcessUse", "read_use"]

TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


class ProcessUse(NamedTuple):
    """Use of a process so far.

    Attributes
    ----------
    cpu_s : float
        Processor seconds, user and system.
    memory_mb : float
        Resident memory now.
    """

    cpu_s: float
    memory_mb: float


def read_use(pid):
    """Return the use of a process.

    Parameters
    ----------
    pid : int
        Process identifier.

    Returns
    -------
    ProcessUse
    """
    with open(f"/proc/{pid}/stat", encoding="ascii") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    with open(f"/proc/{pid}/statm", encoding="ascii") as file:
        pages = int(file.read().split()[1])
    cpu_s = (int(fields[11]) + int(fields[12])) / TICKS_PER_S
    return ProcessUse(cpu_s, pages * PAGE_BYTES / 2**20)
