"""Drives the decisions of several instances with a seeded load and a passed clock.

The decision code is the one that the daemon runs. Endpoints, links between regions and
messages between instances are fakes with fixed delays; there is no real time in it, so
that the same seed gives the same figures.
"""

import heapq
import itertools
import random

from benchmarks.driver_loans import LoanMessages
from benchmarks.driver_types import (
    FOREVER,
    LOCAL_S,
    REMOTE_S,
    FakeEndpoint,
    Result,
    Stream,
)
from quetzalwall.process.membership.peers import LOAN_TICK_S
from quetzalwall.process.placing.steering import create_steering, hold_limits
from quetzalwall.process.sharing.ledger import Ledger
from quetzalwall.request.classify import RequestFacts, classify
from quetzalwall.request.work import Grant
from quetzalwall.version.shares import divide_slots, slot_totals

__all__ = ["Driver", "Result", "Stream", "run_driver"]

TICK_S = 0.02
SAMPLE_S = 0.05


class Driver:
    """One run.

    Parameters
    ----------
    cfg : dict
        Merged configuration.
    service : str
        Service that gets the load.
    streams : sequence of Stream
        The load.
    seed : int
        Seed of arrivals, durations and decisions.
    sharing : str, default="lending"
        ``"lending"``, ``"static"``, ``"single"`` (one instance owns all slots) or
        ``"none"`` (each instance sends at once to any endpoint of its region).
    policy : str, default="fastest_sampled"
        Policy for the choice of an endpoint.
    weights : dict of str to float, default=None
        Instance to its part of the callers; equal parts if None.
    hedge : bool, default=True
        Whether short idempotent requests are hedged and probed.
    """

    def __init__(
        self,
        cfg,
        service,
        streams,
        seed,
        sharing="lending",
        policy="fastest_sampled",
        weights=None,
        hedge=True,
    ):
        spec = cfg["services"][service] | {"policy": policy, "hedge": hedge}
        self.cfg = cfg | {"services": cfg["services"] | {service: spec}}
        self.service = service
        self.streams = streams
        self.sharing = sharing
        self.rng = random.Random(seed)
        self.now = 0.0
        self.events = []
        self.order = itertools.count()
        self.endpoints = {n: FakeEndpoint(s) for n, s in spec["endpoints"].items()}
        self.instances = dict(cfg["instances"])
        if sharing == "single":
            first = next(iter(self.instances))
            self.instances = {first: self.instances[first]}
        self.paused = {}
        self.weights = weights or dict.fromkeys(self.instances, 1.0)
        self.steerings = {}
        self.hold_s = hold_limits(self.cfg)
        self._create_steerings(seed)
        self.requests = {}
        self.loans = LoanMessages(self)
        self.result = Result({}, {}, [], 0, 0, [], [])
        self.over_limit = 0
        self.sent = 0
        self.dead = set()

    def at(self, when, action, *arguments):
        """Run an action at a time.

        Parameters
        ----------
        when : float
            Seconds.
        action : callable
            Called with the arguments.
        *arguments
            Passed on.
        """
        heapq.heappush(self.events, (when, next(self.order), action, arguments))

    def run(self, duration_s):
        """Run for a time.

        Parameters
        ----------
        duration_s : float
            Seconds.

        Returns
        -------
        Result
        """
        for stream in self.streams:
            self.at(0.0, self._arrive, stream)
        for name in self.steerings:
            self.at(self.rng.random() * TICK_S, self._tick, name)
            if self.sharing == "lending":
                self.at(self.rng.random() * LOAN_TICK_S, self.loans.lend_tick, name)
        self.at(0.0, self._sample)
        while self.events and self.events[0][0] <= duration_s:
            self.now, _, action, arguments = heapq.heappop(self.events)
            action(*arguments)
        return self.result._replace(over_limit=self.over_limit, sent=self.sent)

    def kill_region(self, region):
        """End the instances and endpoints of a region.

        Parameters
        ----------
        region : str
            The region.
        """
        for endpoint in self.endpoints.values():
            if endpoint.region == region:
                endpoint.down_at = self.now
        for name, spec in self.instances.items():
            if spec["region"] == region:
                self.dead.add(name)

    def _create_steerings(self, seed):
        division = divide_slots(self.cfg)
        for name, spec in self.instances.items():
            ledger = Ledger()
            rng = random.Random(f"{seed} {name}")
            steering = create_steering(self.cfg, spec["region"], 0.0, rng, ledger)
            if self.sharing == "single":
                ledger.set_share(slot_totals(self.cfg, self.service), {})
            else:
                ledger.set_share(division[name].units, division[name].reserve)
            ledger.lease_until = ledger.reserve_until = FOREVER
            ledger.expire(0.0)
            self.steerings[name] = steering

    def _arrive(self, stream):
        rate = stream.per_s(self.now)
        if rate > 0:
            live = [n for n in self.steerings if n not in self.dead]
            weights = [self.weights[n] for n in live]
            self._submit(stream, self.rng.choices(live, weights)[0])
        pause = self.rng.expovariate(rate) if rate > 0 else TICK_S
        self.at(self.now + pause, self._arrive, stream)

    def _submit(self, stream, name):
        request_id = f"r{next(self.order)}"
        caller = f"c{self.rng.randrange(200)}"
        facts = RequestFacts(
            request_id, self.service, stream.method, stream.path, caller,
            stream.body_bytes,
        )  # fmt: skip
        work = classify(self.cfg, facts, self.now)
        self.requests[request_id] = [stream, name, work, self.now, []]
        if self.sharing == "none":
            self._send_at_once(name, work)
            return
        decisions = self.steerings[name].submit(work, self.now)
        self.deliver(name, decisions)
        waits = not any(d.work.request_id == request_id for d in decisions)
        if waits:
            self.loans.borrow_soon(name)

    def _send_at_once(self, name, work):
        """Choose like a balancer that knows nothing of slots."""
        steering = self.steerings[name]
        service = steering.services[self.service]
        region = self.instances[name]["region"]
        local = [n for n, e in self.endpoints.items() if e.region == region]
        chosen = service.policy(local, service.loads, self.now, steering.rng)
        service.loads[chosen]["open"][work.request_id] = self.now
        grant = Grant(work, chosen, "", "policy", len(local), 0.0, self.now)
        self._start(name, grant)

    def deliver(self, name, decisions):
        """Act on decisions of one instance.

        Parameters
        ----------
        name : str
            The instance.
        decisions : list of Grant or Shed
            Decisions.
        """
        for decision in decisions:
            if isinstance(decision, Grant):
                self._granted(name, decision)
            else:
                self._refuse(decision.work)

    def _granted(self, name, grant):
        self._start(name, grant)
        steering = self.steerings[name]
        work = grant.work
        if work.long or not work.idempotent or self.sharing == "none":
            return
        service = steering.services[self.service]
        if service.hedging:
            self._probe(name, work)
            delay = service.hedge_after.value
            self.at(self.now + delay, self._hedge, name, work, grant.endpoint)

    def _probe(self, name, work):
        copy = work._replace(request_id=f"p{next(self.order)}")
        grant = self.steerings[name].probe(copy, self.now)
        if grant is not None:
            stream = self.requests[work.request_id][0]
            self.requests[copy.request_id] = [stream, name, copy, self.now, None]
            self._start(name, grant)

    def _hedge(self, name, work, first):
        if work.request_id not in self.requests:
            return
        copy = work._replace(request_id=f"h{next(self.order)}")
        grant = self.steerings[name].hedge(copy, first, self.now)
        if grant is not None:
            entry = self.requests[work.request_id]
            self.requests[copy.request_id] = [entry[0], name, work, entry[3], entry[4]]
            self._start(name, grant)

    def _start(self, name, grant):
        self.sent += 1
        if grant.moved_by:
            self.result.moved.append(self.now)
        entry = self.requests[grant.work.request_id]
        if entry[4] is not None:
            entry[4].append(grant)
        delay = self._delay(name, grant.endpoint)
        self.at(self.now + delay, self._reach, name, grant)

    def _delay(self, name, endpoint):
        local = self.instances[name]["region"] == self.endpoints[endpoint].region
        return LOCAL_S if local else REMOTE_S

    def _reach(self, name, grant):
        endpoint = self.endpoints[grant.endpoint]
        if self.now >= endpoint.down_at:
            self.at(grant.work.deadline, self._fail, name, grant)
        elif endpoint.busy >= endpoint.slots:
            self.over_limit += 1
            endpoint.queue.append((name, grant))
        else:
            self._serve(name, grant)

    def _serve(self, name, grant):
        endpoint = self.endpoints[grant.endpoint]
        endpoint.busy += 1
        stream = self.requests.get(grant.work.request_id, [self.streams[0]])[0]
        seconds = stream.mean_s * (0.5 + 0.5 * self.rng.expovariate(1.0))
        seconds *= endpoint.factor(self.now)
        cancelled = grant.work.request_id not in self.requests
        if cancelled:
            seconds = 0.0
        self.at(self.now + seconds, self._served, name, grant)

    def _served(self, name, grant):
        endpoint = self.endpoints[grant.endpoint]
        endpoint.busy -= 1
        while endpoint.queue:
            other, waiting = endpoint.queue.popleft()
            if waiting.work.deadline > self.now:
                self._serve(other, waiting)
                break
            self._refuse(waiting.work)
        if self.now >= endpoint.down_at:
            self.at(grant.work.deadline, self._fail, name, grant)
        else:
            self.at(
                self.now + self._delay(name, grant.endpoint), self._answer, name, grant
            )

    def _answer(self, name, grant):
        steering = self.steerings[name]
        request_id = grant.work.request_id
        if self.sharing == "none":
            steering.services[self.service].loads[grant.endpoint]["open"].pop(
                request_id
            )
        else:
            steering.finish(grant, self.now, answered=True)
            self.deliver(name, steering.pump(self.service, self.now))
            if steering.ledger.borrowed:
                self.loans.borrow_soon(name)
        entry = self.requests.pop(request_id, None)
        if entry is None or entry[4] is None:
            return
        stream, _, _, arrived, grants = entry
        if any(g is None for g in grants):
            return
        for other in grants:
            self.requests.pop(other.work.request_id, None)
        grants.append(None)
        row = (arrived, self.now - arrived)
        self.result.latencies.setdefault(stream.path, []).append(row)

    def _fail(self, name, grant):
        steering = self.steerings[name]
        if self.sharing != "none":
            steering.finish(grant, self.now, answered=False)
            self.deliver(name, steering.pump(self.service, self.now))
        self._refuse(grant.work)

    def _refuse(self, work):
        entry = self.requests.pop(work.request_id, None)
        if entry is None or entry[4] is None or any(g is None for g in entry[4]):
            return
        entry[4].append(None)
        self.result.refused.setdefault(entry[0].path, []).append(entry[3])

    def _tick(self, name):
        if name in self.dead:
            return
        until = self.paused.get(name, 0.0)
        if self.now >= until and self.sharing != "none":
            self.deliver(name, self.steerings[name].tick(self.now))
        self.at(self.now + TICK_S, self._tick, name)

    def _sample(self):
        busy = sum(endpoint.busy for endpoint in self.endpoints.values())
        self.result.busy.append((self.now, busy))
        for region in self.cfg["regions"]:
            used = sum(e.busy for e in self.endpoints.values() if e.region == region)
            self.result.shares.append((self.now, used, region))
        self.at(self.now + SAMPLE_S, self._sample)


def run_driver(cfg, service, streams, seed, duration_s, events=(), **options):
    """Run a load and return the result.

    Parameters
    ----------
    cfg : dict
        Merged configuration.
    service : str
        Service that gets the load.
    streams : sequence of Stream
        The load.
    seed : int
        Seed.
    duration_s : float
        Seconds.
    events : sequence of (float, callable), default=()
        Times, and functions that are called with the driver.
    **options
        Further parameters of `Driver`.

    Returns
    -------
    Result
    """
    driver = Driver(cfg, service, streams, seed, **options)
    for when, action in events:
        driver.at(when, action, driver)
    return driver.run(duration_s)
