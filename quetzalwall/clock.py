"""Clocks passed into code that depends on time."""

import time
from collections.abc import Callable
from typing import NamedTuple

__all__ = ["Clock", "system_clock"]


class Clock(NamedTuple):
    """Two sources of time.

    Attributes
    ----------
    monotonic : callable returning float
        Seconds on a clock that is never set back or forward; used for every lease and
        time-out.
    wall : callable returning float
        Seconds since the epoch; used only in records that people read.
    """

    monotonic: Callable[[], float]
    wall: Callable[[], float]


def system_clock():
    """Return the clocks of the operating system.

    Returns
    -------
    Clock
        A monotonic clock that also advances while the machine is suspended, and the
        wall clock.
    """
    return Clock(monotonic=_boot_time, wall=time.time)


def _boot_time():
    return time.clock_gettime(time.CLOCK_BOOTTIME)
