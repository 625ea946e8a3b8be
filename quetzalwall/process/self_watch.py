"""Monitoring of this process: its memory and the lag of its event loop."""

import os

from quetzalwall.logs import get_logger, log_event

__all__ = ["SelfWatch", "create_self_watch", "resident_bytes"]

CHECK_PERIOD_S = 0.5
LOOP_LAG_LIMIT_S = 0.25  # a longer lag of the event loop is logged
MEMORY_STEPS = 8  # equal steps up to the machine's memory; each one reached is logged
STATM = "/proc/{}/statm"
MB = 1_000_000
LOG = get_logger("process")


class SelfWatch:
    """Monitors the memory and the event loop of this process.

    Parameters
    ----------
    memory_mb : float
        Memory of the machine in MB.
    usage : callable
        Returns a dict of log fields that explain the use of memory.
    monotonic : callable
        Clock in seconds.

    Attributes
    ----------
    rss_bytes : int
        Resident memory in bytes at the last check.
    loop_lag_s : float
        Longest time in seconds for which the event loop was blocked.
    """

    def __init__(self, memory_mb, usage, monotonic):
        self.rss_bytes = 0
        self.loop_lag_s = 0.0
        self._memory_mb = memory_mb
        self._usage = usage
        self._monotonic = monotonic
        self._last_check = None
        self._memory_step = 0

    def look(self):
        """Log a blocked event loop and growth of memory since the last check."""
        now = self._monotonic()
        self._check_loop_lag(now)
        self._check_memory()
        self._last_check = now

    def _check_loop_lag(self, now):
        if self._last_check is None:
            return
        lag_s = now - self._last_check - CHECK_PERIOD_S
        self.loop_lag_s = max(self.loop_lag_s, lag_s)
        if lag_s > LOOP_LAG_LIMIT_S:
            log_event(LOG, "held-up", "warning", held_s=lag_s, **self._usage())

    def _check_memory(self):
        self.rss_bytes = resident_bytes()
        step = int(self.rss_bytes / MB / self._memory_mb * MEMORY_STEPS)
        if step > self._memory_step:
            log_event(
                LOG,
                "memory",
                "warning" if step > MEMORY_STEPS // 2 else "info",
                resident_mb=self.rss_bytes // MB,
                of_mb=self._memory_mb,
                **self._usage(),
            )
        self._memory_step = step


def resident_bytes(pid="self"):
    """Return the resident memory of a process in bytes.

    Parameters
    ----------
    pid : int or "self"
        Identifier of the process.

    Returns
    -------
    int
        0 if it can't be read.
    """
    try:
        with open(STATM.format(pid)) as stream:
            return int(stream.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")
    except (OSError, ValueError, IndexError):
        return 0


def create_self_watch(memory_mb, usage, monotonic):
    """Return a monitor of this process.

    Parameters
    ----------
    memory_mb, usage, monotonic
        As of `SelfWatch`.

    Returns
    -------
    SelfWatch
    """
    return SelfWatch(memory_mb, usage, monotonic)
