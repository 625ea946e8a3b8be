"""Entries of the registry, applied to the endpoints."""

import gevent

from quetzalwall.connection.yielding_socket import YIELD_SLEEP_S
from quetzalwall.logs import get_logger, log_event
from quetzalwall.platform.rows import RowError, decode_endpoint

__all__ = ["ROWS_PER_SLICE", "RegistryEntries"]

ROWS_PER_SLICE = 200  # applied before other tasks run
LOG = get_logger("config")


class RegistryEntries:
    """Applies rows of the registry, except those whose service is not named.

    Parameters
    ----------
    endpoints : EndpointTable
        The endpoints.
    """

    def __init__(self, endpoints):
        self._endpoints = endpoints
        # Keys of the rows whose service the configuration does not name.
        self._unnamed = set()
        # Services of the active configuration; None before the first one.
        self._services = None

    def apply(self, changes, expired, grace_s, first_time):
        """Apply changed rows.

        Parameters
        ----------
        changes : list of RowChange
            Changes in order.
        expired : set of str
            Keys of removed rows that may have expired.
        grace_s : float or None
            Seconds in which an expired entry may return; None for the usual time.
        first_time : bool
            Whether no rows were applied before; their endpoints are only counted in
            the log.
        """
        for number, change in enumerate(changes, 1):
            if number % ROWS_PER_SLICE == 0:
                gevent.sleep(YIELD_SLEEP_S)
            if change.value is None:
                self._unnamed.discard(change.key)
                self._endpoints.remove(change.key, change.key in expired, grace_s)
            else:
                self._apply_entry(change, log=not first_time)
        if first_time:
            log_event(LOG, "registry", endpoints=len(self._endpoints))

    def apply_services(self, services, rows):
        """Use or leave out endpoints by the services that are now named.

        Parameters
        ----------
        services : dict of str to Service
            Services of the configuration that became active.
        rows : dict of str to RowChange
            All known rows, by key.
        """
        is_first, self._services = self._services is None, services
        self._endpoints.addresses.set_services(services)
        if is_first:
            # Those that a later configuration no longer names keep their state: it may
            # be replaced by one that names them again.
            unnamed = [s for s in self._endpoints if s.entry.service not in services]
            for state in unnamed:
                self._endpoints.remove(state.name, False)
            self._unnamed.update(state.name for state in unnamed)
        for key in sorted(self._unnamed):
            if key in rows:
                self._apply_entry(rows[key])

    def _apply_entry(self, change, log=True):
        was_unnamed = change.key in self._unnamed
        self._unnamed.discard(change.key)
        try:
            entry = decode_endpoint(change.key, change.value)
        except RowError as exc:
            _log_bad_endpoint(change, exc.message)
            self._endpoints.invalidate(change.key)
            return
        if self._services is None or entry.service in self._services:
            self._endpoints.put(entry, log=log)
            return
        # Kept until a configuration names the service.
        self._unnamed.add(change.key)
        if not was_unnamed:
            _log_bad_endpoint(change, f"/service: not named: {entry.service[:40]!r}")
        state = self._endpoints.get(change.key)
        if state is not None and state.entry.service != entry.service:
            self._endpoints.invalidate(change.key)


def _log_bad_endpoint(change, reason):
    log_event(
        LOG,
        "bad-endpoint",
        "warning",
        endpoint=change.key,
        row=change.version,
        reason=reason,
    )
