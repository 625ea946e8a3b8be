"""What a process knows of itself: its memory, and whether its event loop was held."""

import os

from quetzalwall.logs import get_logger, log_event

__all__ = ["SelfWatch", "create_self_watch", "resident_bytes"]

PERIOD_S = 0.5  # between two looks
LOOP_LAG_LIMIT_S = 0.25  # beyond the period, a look counts as late
MEMORY_STEPS = 8  # of the machine's memory; each new one that is passed is logged
STATM = "/proc/{}/statm"
MB = 1_000_000
LOG = get_logger("process")


class SelfWatch:
    """Looks at the own process.

    Parameters
    ----------
    memory_mb : float
        Memory of the machine in MB.
    usage : callable
        What takes memory, as a dict of fields for the log.
    monotonic : callable
        Clock in seconds.

    Attributes
    ----------
    resident : int
        Bytes of memory at the last look.
    held_s : float
        Longest time for which the event loop was held, in seconds.
    """

    def __init__(self, memory_mb, usage, monotonic):
        self.resident = 0
        self.held_s = 0.0
        self._memory_mb = memory_mb
        self._usage = usage
        self._monotonic = monotonic
        self._looked = None
        self._step = 0

    def look(self):
        """Log what has changed since the last look."""
        now = self._monotonic()
        self._note_held(now)
        self._note_memory()
        self._looked = now

    def _note_held(self, now):
        if self._looked is None:
            return
        held_s = now - self._looked - PERIOD_S
        self.held_s = max(self.held_s, held_s)
        if held_s > LOOP_LAG_LIMIT_S:
            log_event(LOG, "held-up", "warning", held_s=held_s, **self._usage())

    def _note_memory(self):
        self.resident = resident_bytes()
        step = int(self.resident / MB / self._memory_mb * MEMORY_STEPS)
        if step > self._step:
            log_event(
                LOG,
                "memory",
                "warning" if step > MEMORY_STEPS // 2 else "info",
                resident_mb=self.resident // MB,
                of_mb=self._memory_mb,
                **self._usage(),
            )
        self._step = step


def resident_bytes(process="self"):
    """Return the bytes of memory that a process holds.

    Parameters
    ----------
    process : int or "self"
        Number of the process.

    Returns
    -------
    int
        0 where the system does not tell.
    """
    try:
        with open(STATM.format(process)) as stream:
            return int(stream.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")
    except (OSError, ValueError, IndexError):
        return 0


def create_self_watch(memory_mb, usage, monotonic):
    """Return a watch of the own process.

    Parameters
    ----------
    memory_mb, usage, monotonic
        As of `SelfWatch`.

    Returns
    -------
    SelfWatch
    """
    return SelfWatch(memory_mb, usage, monotonic)
