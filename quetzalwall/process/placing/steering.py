"""Decisions about requests: which endpoint, when, or a refusal.

The daemon calls this with its clock; the same code runs as a library with any clock
and source of randomness. Nothing here waits or sends.
"""

from quetzalwall.process.placing.loads import record_end, record_failure
from quetzalwall.process.placing.placement import SAMPLE, choose, index_slow, take
from quetzalwall.process.placing.service_state import ServiceState
from quetzalwall.process.sharing.ledger import Ledger
from quetzalwall.process.shifting.shift import create_shift_progress
from quetzalwall.process.shifting.shift_rules import step_shift
from quetzalwall.request.work import Shed
from quetzalwall.version.shares import LONG, SHORT

__all__ = ["Steering", "create_steering", "hold_limits"]

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
                grant = choose(self, service, head, now)
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
        index_slow(service, grant.endpoint)

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
        grant = choose(self, service, work, now, avoid=first)
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
        return choose(self, service, work, now, avoid=failed)

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
            grant = take(self, service, work, endpoint, now, "probe", 1)
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
            step_shift(self, progress, now)
        return decisions

    def any_waiting(self):
        """Return whether any request waits for a slot.

        Returns
        -------
        bool
        """
        return any(
            len(line)
            for service in self.services.values()
            for line in service.lines.values()
        )

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
