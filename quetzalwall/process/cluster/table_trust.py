"""For how long an instance relies on its copy of a table before it asks the store.

A change has to take effect within a bound that the operators set. A copy that was
current at some moment may lack all later changes, so an instance relies on it only for
as long as the bound leaves time to ask the store and to act on the response.

Where the instances that read the store are lost, the copies of all others become too
old at the same moment. They ask in groups, one after another, each fifteen times as
large as all before it: usually the first group suffices, as its results are passed on,
and an instance that is the only one left still asks in time.
"""

from quetzalwall.platform.rows import ENDPOINTS_TABLE
from quetzalwall.process.cluster.store_readers import store_rank
from quetzalwall.process.storage.store_table import SETTINGS_TABLE

__all__ = [
    "ask_after_s",
    "ask_delay_s",
    "bound_s",
    "confirming_poll_s",
    "is_due",
    "max_trust_s",
]

# From the end of trust until no request reaches an endpoint that the store excludes.
# docs/design/second-hand-tables.md gives the sum.
REACTION_S = 1.0
MIN_TRUST_S = 0.6  # a bound below `REACTION_S` can't be met
TURN_S = 0.3  # between two groups: for a call, and for passing on its result
MAX_TURNS_SHARE = 0.5  # of the trust
SPREAD_S = 0.35  # until a confirmation has reached all instances
MIN_POLL_S = 0.15


def bound_s(bounds, table):
    """Return the time within which a change of a table has to take effect.

    Parameters
    ----------
    bounds : Bounds
        The operators' bounds.
    table : str
        Name of the table.

    Returns
    -------
    float
        Seconds.
    """
    if table == ENDPOINTS_TABLE:
        return bounds.drain_s
    if table == SETTINGS_TABLE:
        return min(bounds.config_s, bounds.drain_s)
    return bounds.config_s


def max_trust_s(bound):
    """Return the age up to which a copy of a table may be relied on.

    Parameters
    ----------
    bound : float
        Seconds within which a change has to take effect.

    Returns
    -------
    float
        Seconds since the moment as of which the copy was known to be current.
    """
    return max(MIN_TRUST_S, bound - REACTION_S)


def ask_delay_s(fleet):
    """Return for how long an instance leaves it to others to ask the store.

    Parameters
    ----------
    fleet : Fleet
        The instances.

    Returns
    -------
    float
        Seconds; 0 for the first group.
    """
    return _turn(store_rank(fleet)) * TURN_S


def ask_after_s(fleet, bound):
    """Return the age of a copy of a table at which this instance asks the store.

    Parameters
    ----------
    fleet : Fleet
        The instances.
    bound : float
        Seconds within which a change has to take effect.

    Returns
    -------
    float
        Seconds; at most `max_trust_s`.
    """
    first_s, turn_s, turns = _schedule(fleet, bound)
    return first_s + min(turns, _turn(store_rank(fleet))) * turn_s


def is_due(fleet, bound, age_s):
    """Return whether a copy of a table is so old that this instance asks the store.

    Parameters
    ----------
    fleet : Fleet
        The instances.
    bound : float
        Seconds within which a change has to take effect.
    age_s : float
        Age of the copy in seconds.

    Returns
    -------
    bool
    """
    # The rank takes time that grows with the fleet, and mostly no group is due.
    first_s, _, _ = _schedule(fleet, bound)
    return age_s > first_s and age_s > ask_after_s(fleet, bound)


def confirming_poll_s(fleet, bound, pause_s):
    """Return for how long the store may wait for a change in calls that confirm it.

    Parameters
    ----------
    fleet : Fleet
        The instances.
    bound : float
        Seconds within which a change has to take effect.
    pause_s : float
        Seconds between two calls.

    Returns
    -------
    float
        Seconds, so that no other instance needs to ask while each confirmation arrives.
    """
    first_s, _, _ = _schedule(fleet, bound)
    return max(MIN_POLL_S, first_s - pause_s - SPREAD_S)


def _turn(rank):
    """Return the number of the group: rank 0 to 15, 16 to 255, 256 to 4095, ..."""
    return max(0, rank.bit_length() - 1) // 4


def _schedule(fleet, bound):
    """Return the age at which the first group asks, the time of a turn, and turns."""
    trust_s, turns = max_trust_s(bound), _turn(fleet.peer_count())
    turn_s = min(TURN_S, MAX_TURNS_SHARE * trust_s / max(1, turns))
    return trust_s - turns * turn_s, turn_s, turns
