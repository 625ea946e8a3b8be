"""Entries of endpoints in a store that was restored from an older copy."""

from quetzalwall.platform.rows import RowError, decode_endpoint
from quetzalwall.platform.store import RowChange

__all__ = ["keep_known_starts"]


def keep_known_starts(endpoints, changes):
    """Keep what is known of endpoints whose restored entries are older.

    Endpoints that are known to be draining stay so.

    Parameters
    ----------
    endpoints : EndpointTable
        The endpoints.
    changes : list of RowChange
        Restored rows. Those that show an earlier start of an endpoint than the known
        one are replaced by removals.

    Returns
    -------
    set of str
        Names of these endpoints. They expire unless their entries are written again.
    """
    earlier = set()
    for index, change in enumerate(changes):
        state = endpoints.get(change.key)
        if state is None or change.value is None:
            continue
        if state.entry.draining:
            endpoints.draining_signals.record_entry(state.entry, "copy")
        try:
            entry = decode_endpoint(change.key, change.value)
        except RowError:
            continue  # rejected, with a log line, when it is applied
        if 0 < entry.incarnation < state.entry.incarnation:
            earlier.add(change.key)
            changes[index] = RowChange(change.key, None, change.version)
    return earlier
