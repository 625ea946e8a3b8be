"""Decisions about requests: which endpoint, when, or a refusal.

The daemon calls this with its clock; the same code runs as a library with any clock
and source of randomness. Nothing here waits or sends.
"""

from quetzalwall.process.ledger import Ledger
from quetzalwall.process.loads import (
    expected_s,
    is_slow,
    record_end,
    record_failure,
    record_start,
)
from quetzalwall.process.service_state import ServiceState, group_name
from quetzalwall.process.shift import create_shift_progress
from quetzalwall.request.work import Grant, Shed
from quetzalwall.version.shares import LONG, SHORT

__all__ = ["Steering", "create_steering"]

SAMPLE = 6  # endpoints compared for one request
MOST_SLOW_FRACTION = 0.3  # of a region's endpoints that may be avoided at once
WORSE_WAIT_FRACTION = 0.5  # of the extra duration that is waited before taking it
WARM_UP_SAMPLES = 5  # answers during which an endpoint gets one request at a time
SHED_RETRY_S = 1.0


class Steering:
    """Decisions of one instance.

    Parameters
    ----------
    cfg : dict
        Merged configuration.
    region : str
        Region of this instance.
    now : float
        Monotonic seconds.
    rng : random.Random
        Source of randomness.
    ledger : Ledger, default=None
        Units that this instance may use; an empty one if None.

    Attributes
    ----------
    services : dict of str to ServiceState
        By name.
    shifts : dict of str to ShiftProgress
        By name.
    leaving : frozenset of str
        Endpoints that get no new work.
    """

    def __init__(self, cfg, region, now, rng, ledger=None):
        self.region = region
        self.rng = rng
        self.ledger = ledger or Ledger()
        self.services = {}
        self.shifts = {}
        self.leaving = frozenset()
        self.configure(cfg, now)

    def configure(self, cfg, now):
        """Take over another version of the configuration.

        Parameters
        ----------
        cfg : dict
            Merged configuration.
        now : float
            Monotonic seconds.
        """
        self.cfg = cfg
        for name in cfg["services"]:
            if name in self.services:
                self.services[name].configure(cfg, now)
            else:
                self.services[name] = ServiceState(name, cfg, now)
        for name in [name for name in self.services if name not in cfg["services"]]:
            del self.services[name]
        self._configure_shifts(now)
        groups = {}
        for service in self.services.values():
            groups.update(service.groups)
        self.regions = sorted(cfg["regions"], key=lambda name: name != self.region)
        self.ledger.set_groups(groups, hold_limits(cfg))
        self.ledger.expire(now)

    def submit(self, work, now):
        """Take in a request and decide what can be decided now.

        Parameters
        ----------
        work : Work
            The request.
        now : float
            Monotonic seconds.

        Returns
        -------
        list of Grant or Shed
            Decisions about this request or others that were waiting; empty while the
            request waits.
        """
        service = self.services[work.service]
        service.budget.earn()
        kind = LONG if work.long else SHORT
        line = service.lines[kind]
        if work.long and not service.keys(LONG):
            return [Shed(work, "no slots for long work", SHED_RETRY_S)]
        if self.leaving.issuperset(service.endpoints):
            return [Shed(work, "all endpoints leave", SHED_RETRY_S)]
        wait_s = service.expected_wait_s(kind, work.rank)
        if now + wait_s > work.deadline:
            return [Shed(work, "would wait past its deadline", SHED_RETRY_S)]
        dropped = line.push(work)
        decisions = self.pump(work.service, now)
        if dropped is not None:
            decisions.append(Shed(dropped, "queue full", SHED_RETRY_S))
        return decisions

    def pump(self, service_name, now):
        """Give free slots to waiting requests.

        Parameters
        ----------
        service_name : str
            The service.
        now : float
            Monotonic seconds.

        Returns
        -------
        list of Grant or Shed
        """
        service = self.services[service_name]
        decisions = []
        for kind in (SHORT, LONG):
            line = service.lines[kind]
            while (head := line.head()) is not None:
                if head.deadline <= now:
                    line.pop()
                    decisions.append(Shed(head, "deadline passed", SHED_RETRY_S))
                    continue
                grant = self._choose(service, head, now)
                if grant is None:
                    break
                line.pop()
                decisions.append(grant)
        return decisions

    def finish(self, grant, now, answered, release=True):
        """Record the end of a granted request and free its slot.

        Parameters
        ----------
        grant : Grant
            The decision that started it.
        now : float
            Monotonic seconds.
        answered : bool
            Whether the endpoint answered; a cancelled request did not.
        release : bool, default=True
            Whether the slot is free; if not, call ``ledger.release`` later.
        """
        service = self.services.get(grant.work.service)
        if release:
            self.ledger.release(grant.key, now)
        if service is None or grant.endpoint not in service.loads:
            return
        kind = LONG if grant.work.long else SHORT
        service.note_duration(kind, now - grant.at)
        if grant.work.long:
            return
        load = service.loads[grant.endpoint]
        started = load["open"].get(grant.work.request_id, now)
        if answered:
            service.hedge_after.add(max(1e-4, now - started))
            record_end(load, grant.work.request_id, now, service.typical)
        else:
            record_failure(load, grant.work.request_id, now)
        self._index_slow(service, grant.endpoint, load)

    def cancel(self, grant, now):
        """Record that a request was cancelled, which says nothing on the endpoint.

        Parameters
        ----------
        grant : Grant
            The decision that started it.
        now : float
            Monotonic seconds.
        """
        service = self.services.get(grant.work.service)
        if service is not None and grant.endpoint in service.loads:
            load = service.loads[grant.endpoint]
            started = load["open"].pop(grant.work.request_id, now)
            if now - started > load["ewma_s"]:
                load["ewma_s"] += 0.2 * (now - started - load["ewma_s"])
            load["samples"] += 1

    def hedge(self, work, first, now):
        """Return a second endpoint for a short request that takes too long.

        Parameters
        ----------
        work : Work
            The request, under an identifier of its own.
        first : str
            Endpoint that already has it.
        now : float
            Monotonic seconds.

        Returns
        -------
        Grant or None
            None if it may not be sent twice or there is no slot or budget.
        """
        service = self.services[work.service]
        if not service.hedging or not work.idempotent or work.long:
            return None
        if service.budget.credit < 1.0 or not service.has_spare():
            return None
        grant = self._choose(service, work, now, avoid=first)
        if grant is not None:
            service.budget.spend()
        return grant

    def retry(self, work, failed, now):
        """Return another endpoint for a request that was not run.

        Parameters
        ----------
        work : Work
            The request, under an identifier of its own.
        failed : str
            Endpoint that did not run it.
        now : float
            Monotonic seconds.

        Returns
        -------
        Grant or None
        """
        service = self.services[work.service]
        if now >= work.deadline or not service.budget.spend():
            return None
        return self._choose(service, work, now, avoid=failed)

    def probe(self, work, now):
        """Return a slow endpoint to which a copy of a request is due.

        Parameters
        ----------
        work : Work
            The request, under an identifier of its own.
        now : float
            Monotonic seconds.

        Returns
        -------
        Grant or None
        """
        service = self.services[work.service]
        if not len(service.slow) or not work.idempotent or work.long:
            return None
        for endpoint in list(service.slow.sample(SAMPLE, self.rng)):
            load = service.loads[endpoint]
            if load["probe_at"] > now or load["open"] or endpoint in self.leaving:
                continue
            if service.budget.credit < 1.0 or not service.has_spare():
                return None
            grant = self._take(service, work, endpoint, now, "probe", 1)
            if grant is not None:
                service.budget.spend()
                return grant
        return None

    def tick(self, now):
        """Refresh what depends on time alone, and decide about waiting requests.

        Parameters
        ----------
        now : float
            Monotonic seconds.

        Returns
        -------
        list of Grant or Shed
        """
        self.ledger.expire(now)
        decisions = []
        for name, service in self.services.items():
            service.refresh(self.ledger, now)
            for line in service.lines.values():
                late = line.drop_hopeless(now, 0.0)
                decisions += [Shed(w, "deadline passed", SHED_RETRY_S) for w in late]
            decisions += self.pump(name, now)
        for progress in self.shifts.values():
            progress.refresh(self.ledger, now)
            self._step_shift(progress, now)
        return decisions

    def set_leaving(self, endpoints):
        """Set the endpoints that get no new work.

        Parameters
        ----------
        endpoints : iterable of str
            Names of endpoints.
        """
        self.leaving = frozenset(endpoints)

    def _configure_shifts(self, now):
        for name, spec in self.cfg["shifts"].items():
            progress = self.shifts.get(name)
            if progress is None or progress.spec["interval_s"] != spec["interval_s"]:
                self.shifts[name] = create_shift_progress(name, spec, now)
            else:
                progress.spec = spec
        for name in [name for name in self.shifts if name not in self.cfg["shifts"]]:
            del self.shifts[name]

    def _choose(self, service, work, now, avoid=None):
        """Return a grant from the best region with a free slot, or None."""
        moved_by = self._shift_for(service, work, now)
        if moved_by is not None:
            progress = self.shifts[moved_by]
            grant = self._choose_in(service, work, progress.spec["to"], now, avoid)
            if grant is not None:
                return self._count_moved(progress, grant, now)
        for region in self.regions:
            if region != self.region and not self._may_spill(service, region):
                continue
            grant = self._choose_in(service, work, region, now, avoid)
            if grant is not None:
                return self._count_spill(service, grant, region, now)
        return None

    def _choose_in(self, service, work, region, now, avoid):
        """Return a grant in one region, or None."""
        for kind in self._kinds_for(service, work):
            keys = self.ledger.free_keys(group_name(service.name, region, kind))
            sampled = keys.sample(SAMPLE, self.rng)
            grant = self._choose_of(service, work, sampled, len(keys), now, avoid)
            if grant is not None:
                return grant
        return None

    def _choose_of(self, service, work, keys, of, now, avoid):
        good, worse = [], []
        avoidable = len(service.slow) <= MOST_SLOW_FRACTION * len(service.endpoints)
        for key in keys:
            endpoint = key.rsplit("/", 1)[0]
            if endpoint in self.leaving or endpoint == avoid:
                continue
            load = service.loads[endpoint]
            slow = not work.long and is_slow(load, now, service.typical)
            if slow:
                self._index_slow(service, endpoint, load)
            warming = load["samples"] < WARM_UP_SAMPLES and load["open"]
            if avoidable and (slow or warming):
                worse.append(endpoint)
            else:
                good.append(endpoint)
        if good:
            endpoint = service.policy(good, service.loads, now, self.rng)
            if avoid is None and not self._worth(service, work, endpoint, now):
                return None
            return self._take(service, work, endpoint, now, "fastest", of)
        if worse and avoid is None:
            endpoint = service.policy(worse, service.loads, now, self.rng)
            if self._worth(service, work, endpoint, now):
                return self._take(service, work, endpoint, now, "only slow", of)
        return None

    def _worth(self, service, work, endpoint, now):
        """Return whether a request waited long enough for a slower endpoint."""
        extra_s = expected_s(service.loads[endpoint], now) - service.typical
        if extra_s < service.typical:
            return True
        return now - work.arrived >= WORSE_WAIT_FRACTION * extra_s

    def _take(self, service, work, endpoint, now, reason, of):
        """Return a grant at one endpoint, or None if no slot is free there."""
        hold_s = work.deadline - now
        for kind in self._kinds_for(service, work):
            key = f"{endpoint}/{kind}"
            if self.ledger.acquire(key, now, hold_s):
                load = service.loads[endpoint]
                figure = expected_s(load, now)
                if not work.long:
                    record_start(load, work.request_id, now)
                return Grant(work, endpoint, key, reason, of, figure, now)
        return None

    def _kinds_for(self, service, work):
        if work.long:
            return (LONG,)
        long_head = service.lines[LONG].head()
        if long_head is not None and long_head.rank < work.rank:
            return (SHORT,)
        return (SHORT, LONG)

    def _shift_for(self, service, work, now):
        """Return the shift that should move this request, or None."""
        for name, progress in self.shifts.items():
            spec = progress.spec
            if spec["service"] != service.name or spec["from"] != self.region:
                continue
            if not progress.running() or not progress.fraction:
                continue
            if self.rng.random() < progress.fraction and self._cap_left(progress, now):
                return name
        return None

    def _cap_left(self, progress, now):
        limit = self.ledger.entitled(progress.key, now, progress.spec["interval_s"])
        return progress.window.total(now) < limit

    def _count_moved(self, progress, grant, now):
        progress.take(self.ledger, now)
        return grant._replace(reason="shift", moved_by=progress.name)

    def _may_spill(self, service, region):
        """Return whether work may leave this region without breaking a shift's cap."""
        progress = self._shift_between(service, region)
        return progress is None or progress.running()

    def _count_spill(self, service, grant, region, now):
        progress = self._shift_between(service, region)
        if progress is None:
            return grant
        if not progress.take(self.ledger, now):
            self._undo(service, grant, now)
            return None
        return grant._replace(moved_by=progress.name)

    def _shift_between(self, service, region):
        for progress in self.shifts.values():
            spec = progress.spec
            ends = (spec["service"], spec["from"], spec["to"])
            if ends == (service.name, self.region, region):
                return progress
        return None

    def _undo(self, service, grant, now):
        self.ledger.release(grant.key, now)
        service.loads[grant.endpoint]["open"].pop(grant.work.request_id, None)

    def _index_slow(self, service, endpoint, load):
        if load["slow"]:
            service.slow.add(endpoint)
        else:
            service.slow.discard(endpoint)

    def _step_shift(self, progress, now):
        spec = progress.spec
        service = self.services.get(spec["service"])
        if service is None or spec["from"] != self.region:
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
        progress.step(measured_s, age_s, self._headroom(service, spec["to"]), now)

    def _headroom(self, service, region):
        """Return the free part of the units held in a region; 1 if none is held."""
        used = free = 0
        for key in service.keys(SHORT, region):
            units = self.ledger.used.get(key, 0)
            used += units
            free += key in self.ledger.free_keys(
                group_name(service.name, region, SHORT)
            )
        return free / (used + free) if used + free else 1.0


def hold_limits(cfg):
    """Return the longest time for which a unit of each key may be held.

    Parameters
    ----------
    cfg : dict
        Merged configuration.

    Returns
    -------
    dict of str to float
        Key to seconds.
    """
    limits = {}
    for spec in cfg["services"].values():
        classes = [cfg["classes"][route["class"]] for route in spec["routes"]]
        longest = max(item["max_duration_s"] for item in classes)
        short = max(
            (i["max_duration_s"] for i in classes if not i.get("long", False)),
            default=longest,
        )
        for endpoint in spec["endpoints"]:
            limits[f"{endpoint}/{SHORT}"] = short
            limits[f"{endpoint}/{LONG}"] = longest
    return limits


def create_steering(cfg, region, now, rng, ledger=None):
    """Return the decisions of one instance.

    Parameters
    ----------
    cfg : dict
        Merged configuration.
    region : str
        Region of the instance.
    now : float
        Monotonic seconds.
    rng : random.Random
        Source of randomness.
    ledger : Ledger, default=None
        Units that the instance may use; an empty one if None.

    Returns
    -------
    Steering
    """
    return Steering(cfg, region, now, rng, ledger=ledger)
