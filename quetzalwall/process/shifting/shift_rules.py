"""Which requests a shift moves, and how it adapts."""

from quetzalwall.process.placing.service_state import group_name
from quetzalwall.version.shares import SHORT

__all__ = ["count_move", "shift_between", "shift_for", "step_shift"]


def shift_for(steering, service, now):
    """Return the shift that should move a request.

    Parameters
    ----------
    steering : Steering
        Decisions of this instance.
    service : ServiceState
        Service asked for.
    now : float
        Monotonic seconds.

    Returns
    -------
    str or None
        Name of the shift.
    """
    for name, progress in steering.shifts.items():
        spec = progress.spec
        if spec["service"] != service.name or spec["from"] != steering.region:
            continue
        if not progress.running() or not progress.fraction:
            continue
        if steering.rng.random() >= progress.fraction:
            continue
        if _cap_left(steering, progress, now):
            return name
    return None


def _cap_left(steering, progress, now):
    limit = steering.ledger.entitled(progress.key, now, progress.spec["interval_s"])
    return progress.window.total(now) < limit


def shift_between(steering, service, region):
    """Return the shift of a service from this region to another.

    Parameters
    ----------
    steering : Steering
        Decisions of this instance.
    service : ServiceState
        The service.
    region : str
        The other region.

    Returns
    -------
    ShiftProgress or None
    """
    for progress in steering.shifts.values():
        spec = progress.spec
        ends = (spec["service"], spec["from"], spec["to"])
        if ends == (service.name, steering.region, region):
            return progress
    return None


def count_move(steering, service, grant, progress, now):
    """Count a granted request as moved by a shift, or take the grant back.

    Parameters
    ----------
    steering : Steering
        Decisions of this instance.
    service : ServiceState
        The service.
    grant : Grant
        A slot in the region that the shift moves to.
    progress : ShiftProgress
        The shift.
    now : float
        Monotonic seconds.

    Returns
    -------
    Grant or None
        None if the cap of the interval is reached.
    """
    if progress.take(steering.ledger, now):
        return grant._replace(reason="shift", moved_by=progress.name)
    steering.ledger.release(grant.key, now)
    service.loads[grant.endpoint]["open"].pop(grant.work.request_id, None)
    return None


def step_shift(steering, progress, now):
    """Let a shift adapt to how the receiving region does.

    Parameters
    ----------
    steering : Steering
        Decisions of this instance.
    progress : ShiftProgress
        The shift.
    now : float
        Monotonic seconds.
    """
    spec = progress.spec
    service = steering.services.get(spec["service"])
    if service is None or spec["from"] != steering.region:
        return
    loads = [
        service.loads[name]
        for name, endpoint in service.endpoints.items()
        if endpoint["region"] == spec["to"] and service.loads[name]["samples"]
    ]
    measured_s = None
    age_s = float("inf")
    if loads:
        means = sorted(load["ewma_s"] for load in loads)
        measured_s = means[len(means) // 2]
        age_s = now - max(load["ended_at"] for load in loads)
    progress.step(measured_s, age_s, _headroom(steering, service, spec["to"]), now)


def _headroom(steering, service, region):
    """Return the free part of the units held in a region; 1 if none is held."""
    keys = service.keys(SHORT, region)
    used = sum(steering.ledger.used.get(key, 0) for key in keys)
    free = len(steering.ledger.free_keys(group_name(service.name, region, SHORT)))
    return free / (used + free) if used + free else 1.0
