"""Choose a region, an endpoint and a slot for one request."""

from quetzalwall.process.placing.loads import (
    FIRST_PENALTY_S,
    SLOW_RATIO,
    expected_s,
    is_slow,
    record_start,
)
from quetzalwall.process.placing.service_state import group_name
from quetzalwall.process.shifting.shift_rules import (
    count_move,
    shift_between,
    shift_for,
)
from quetzalwall.request.work import Grant
from quetzalwall.version.shares import LONG, SHORT

__all__ = ["choose", "index_slow", "take"]

SAMPLE = 6  # endpoints compared for one request
MOST_SLOW_FRACTION = 0.3  # of a service's endpoints that may be avoided at once
WORSE_WAIT_FRACTION = 0.5  # of the extra duration that is waited before taking it
WARM_UP_SAMPLES = 5  # answers during which an endpoint gets one request at a time


def choose(steering, service, work, now, avoid=None):
    """Return a slot in the best region that has one free.

    Parameters
    ----------
    steering : Steering
        Decisions of this instance.
    service : ServiceState
        Service asked for.
    work : Work
        The request.
    now : float
        Monotonic seconds.
    avoid : str, default=None
        Endpoint that must not be chosen.

    Returns
    -------
    Grant or None
    """
    moved_by = shift_for(steering, service, now)
    if moved_by is not None:
        progress = steering.shifts[moved_by]
        grant = _choose_in(steering, service, work, progress.spec["to"], now, avoid)
        if grant is not None:
            return count_move(steering, service, grant, progress, now)
    for region in steering.regions:
        progress = shift_between(steering, service, region)
        if progress is not None and not progress.running():
            # A stopped shift also keeps overflow from the region it left.
            continue
        grant = _choose_in(steering, service, work, region, now, avoid)
        if grant is not None:
            if progress is None:
                return grant
            return count_move(steering, service, grant, progress, now)
    return None


def _choose_in(steering, service, work, region, now, avoid):
    """Return a grant in one region, or None."""
    for kind in _kinds_for(service, work):
        keys = steering.ledger.free_keys(group_name(service.name, region, kind))
        sampled = keys.sample(SAMPLE, steering.rng)
        grant = _choose_of(steering, service, work, sampled, len(keys), now, avoid)
        if grant is not None:
            return grant
    return None


def _choose_of(steering, service, work, keys, of, now, avoid):
    good, worse = [], []
    avoidable = len(service.slow) <= MOST_SLOW_FRACTION * len(service.endpoints)
    for key in keys:
        endpoint = key.rsplit("/", 1)[0]
        if endpoint in steering.leaving or endpoint == avoid:
            continue
        load = service.loads[endpoint]
        slow = not work.long and is_slow(load, now, service.typical)
        if slow:
            index_slow(service, endpoint)
        warming = load["samples"] < WARM_UP_SAMPLES and load["open"]
        if avoidable and (slow or warming):
            worse.append(endpoint)
        else:
            good.append(endpoint)
    if good:
        endpoint = service.policy(good, service.loads, now, steering.rng)
        if avoid is None and not _worth(service, work, endpoint, now, avoidable):
            return None
        return take(steering, service, work, endpoint, now, "fastest", of)
    if worse and avoid is None:
        endpoint = service.policy(worse, service.loads, now, steering.rng)
        if _worth(service, work, endpoint, now, avoidable):
            return take(steering, service, work, endpoint, now, "only slow", of)
    return None


def _worth(service, work, endpoint, now, avoidable):
    """Return whether a request waited long enough for a slower endpoint."""
    load = service.loads[endpoint]
    expected = expected_s(load, now)
    if load["slow"] and avoidable:
        # One that refuses or fails at once looks fast. Its penalty grows with failed
        # probes, but must not grow past what a waiting request has left: under full
        # load no probes are sent, and such a request is the only one that can tell.
        expected = max(expected, FIRST_PENALTY_S)
    elif expected < SLOW_RATIO * service.typical:
        # An open request this old is common among exponential durations.
        expected = load["ewma_s"]
    extra_s = expected - service.typical
    if extra_s < service.typical:
        return True
    return now - work.arrived >= WORSE_WAIT_FRACTION * extra_s


def take(steering, service, work, endpoint, now, reason, of):
    """Return a slot at one endpoint.

    Parameters
    ----------
    steering : Steering
        Decisions of this instance.
    service : ServiceState
        Service asked for.
    work : Work
        The request.
    endpoint : str
        The endpoint.
    now : float
        Monotonic seconds.
    reason : str
        Deciding rule, for the log.
    of : int
        Number of endpoints chosen from.

    Returns
    -------
    Grant or None
        None if no slot is free there.
    """
    hold_s = work.deadline - now
    for kind in _kinds_for(service, work):
        key = f"{endpoint}/{kind}"
        if steering.ledger.acquire(key, now, hold_s):
            load = service.loads[endpoint]
            figure = expected_s(load, now)
            if not work.long:
                record_start(load, work.request_id, now)
            return Grant(work, endpoint, key, reason, of, figure, now)
    return None


def _kinds_for(service, work):
    if work.long:
        return (LONG,)
    long_head = service.lines[LONG].head()
    if long_head is not None and long_head.rank < work.rank:
        return (SHORT,)
    return (SHORT, LONG)


def index_slow(service, endpoint):
    """Bring the set of avoided endpoints up to date with one endpoint.

    Parameters
    ----------
    service : ServiceState
        The service.
    endpoint : str
        The endpoint.
    """
    if service.loads[endpoint]["slow"]:
        service.slow.add(endpoint)
    else:
        service.slow.discard(endpoint)
