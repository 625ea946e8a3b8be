"""Log lines of the daemon on its start, its traffic and the callers it rejects."""

import os
import platform

import gevent

from quetzalwall.logs import get_logger, log_event
from quetzalwall.platform.settings import format_addresses

__all__ = ["RejectionLog", "log_started", "log_traffic"]

LOG = get_logger("front")


def log_started(settings):
    """Log that an instance has started, and how it is set up.

    Parameters
    ----------
    settings : InstanceSettings
        Settings of the instance.
    """
    log_event(
        LOG,
        "started",
        instance=settings.instance,
        address=settings.address,
        domain=settings.domain,
        process=os.getpid(),
        user=os.geteuid(),
        python=platform.python_version(),
        libraries=os.path.dirname(os.path.dirname(gevent.__file__)),
        listening=format_addresses(settings.listen),
        memory_mb=settings.memory_mb,
        connections=settings.descriptors,
    )


def log_traffic(exchanged_bytes):
    """Log the bytes exchanged so far.

    Parameters
    ----------
    exchanged_bytes : dict of (str, str) to int
        By kind and distance.
    """
    totals = sorted(exchanged_bytes.items())
    fields = {f"{kind}_{distance}": size for (kind, distance), size in totals}
    log_event(LOG, "traffic", **fields)


class RejectionLog:
    """Logs counts of rejected request heads and slow readers when they have changed.

    Parameters
    ----------
    heads : RequestHeads
        Counts the request heads that were rejected or given up.
    deliveries : Deliveries
        Counts the responses that were cut off.
    """

    def __init__(self, heads, deliveries):
        self._heads = heads
        self._deliveries = deliveries
        self._rejected_heads = dict(heads.rejected)
        self._cut_off = dict(deliveries.cut_off)

    def write(self):
        """Log the counts that have changed since the last call."""
        counts = dict(self._heads.rejected)
        if counts != self._rejected_heads:
            counts = {reason.replace(" ", "-"): n for reason, n in counts.items()}
            last = self._heads.last_rejected
            log_event(LOG, "heads-refused", "warning", **counts, last=last)
            self._rejected_heads = counts
        if self._deliveries.cut_off != self._cut_off:
            self._cut_off = dict(self._deliveries.cut_off)
            log_event(LOG, "slow-readers", "warning", **self._cut_off)
