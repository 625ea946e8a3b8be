"""Simulation of hedged requests: response times with and without, extra requests."""

from types import SimpleNamespace
from typing import NamedTuple

from benchmarks.choice_simulation import (
    LONG_WORK_RATIO,
    SERVICE,
    _Request,
    _Simulation,
    choose_ours,
)
from benchmarks.load_pattern import Pattern
from quetzalwall.platform.settings import Bounds
from quetzalwall.process.limits.retry_budget import create_retry_budget
from quetzalwall.request.hedging import CHECK_RATIO, create_hedging

__all__ = [
    "CROWDED",
    "HedgeResult",
    "QUIET_TARGET",
    "QUIET_WITHOUT_OBJECTS",
    "UNEVEN_DEMAND",
    "simulate_hedging",
]

WARM_UP_FRACTION = 0.4  # of the duration; quantiles are learned meanwhile
TAIL_QUANTILE = 0.99

# Three percent of the work takes seven times as long, and endpoints are slow by a
# factor of 2.5 for 0.6 s, each for a tenth of the time.
QUIET_TARGET = Pattern(
    requests_per_s=300.0,
    work_s=0.4,
    target_s=0.5,
    timeout_s=4.0,
    objects=300,
    endpoints=51,
    slots=3,
    instances=7,
    duration_s=50.0,
    noisy_fraction=0.1,
    long_fraction=0.03,
    remote_rtt_s=0.035,
    drops_abandoned=True,
)
# The same without objects, so that another endpoint is as quick as the first.
QUIET_WITHOUT_OBJECTS = QUIET_TARGET._replace(
    requests_per_s=150.0, work_s=0.25, objects=1_000_000
)
# One region has a tenth of the endpoints and a third of the demand, which swings by 55%
# in one region after the other.
UNEVEN_DEMAND = QUIET_TARGET._replace(
    requests_per_s=400.0, endpoint_shares=(0.1, 0.45, 0.45), swing_ratio=0.55
)
# More requests than the endpoints can serve in time.
CROWDED = UNEVEN_DEMAND._replace(requests_per_s=1100.0)


class HedgeResult(NamedTuple):
    """Measures of a run after its warm-up.

    Attributes
    ----------
    tail_s : float
        99th percentile of the response times; a time-out counts with its duration.
    in_target, served : float
        Fractions of the requests that got their response within the target, and at all.
    extra : float
        Hedges sent, as a fraction of the requests.
    won : float
        Fraction of the hedges that responded first.
    """

    tail_s: float
    in_target: float
    served: float
    extra: float
    won: float


class _HedgeSimulation(_Simulation):
    def __init__(self, pattern, seed, share, by_attempt):
        super().__init__(pattern, choose_ours, seed)
        self.by_attempt = by_attempt
        self.measured_from = self.now + WARM_UP_FRACTION * pattern.duration_s
        self.response_times, self.received, self.sent, self.won = [], 0, 0, 0
        self.withheld = {}
        for one in self.instances:
            one.budget = create_retry_budget(Bounds(), share)
            one.hedging = create_hedging(
                one.chooser, one.endpoints, one.latency, one.budget
            )

    def send(self, req):
        if not req.retried:
            req.instance.budget.record_request(SERVICE, self.now)
            self.received += req.arrived_at >= self.measured_from
        super().send(req)
        req.hedge = req.first = None
        req.sent_at = self.now
        if req.choice is not None:
            self.await_late(req)

    def await_late(self, req):
        late_s = req.instance.hedging.late_after_s(self.route, req.choice, self.now)
        if late_s is not None:
            at = max(self.now, req.sent_at + late_s)
            self.schedule(at, self.hedge_if_late, req)

    def hedge_if_late(self, req):
        if req.slot_time_s is None:
            return
        one, now = req.instance, self.now
        late_s = one.hedging.late_after_s(self.route, req.choice, now)
        if now < req.sent_at + late_s - 1e-9:
            self.await_late(req)
            return
        fields = {"cfg": self.cfg, "route": self.route, "service": SERVICE}
        fields["deadline"] = req.arrived_at + self.pattern.timeout_s
        asked = SimpleNamespace(object_key=req.key, **fields)
        tried, instances = [req.choice.state.name], one.fleet.size()
        elapsed_s = now - req.sent_at
        choice = one.hedging.decide(asked, req.choice, tried, elapsed_s, now, instances)
        if isinstance(choice, str):
            self.withheld[choice] = self.withheld.get(choice, 0) + 1
            at = req.sent_at + CHECK_RATIO * elapsed_s
            self.schedule(at, self.hedge_if_late, req)
            return
        self.sent += req.arrived_at >= self.measured_from
        hedge = _Request(req.arrived_at, req.region, req.key, self.draw_work(req))
        hedge.instance, hedge.choice = one, choice
        hedge.first, hedge.hedge, hedge.sent_at = req, None, now
        req.hedge = hedge
        name = choice.state.name
        choice.state.own_in_flight += 1
        if not self.endpoints[name].unresponsive:
            self.schedule(now + self.one_way_s(hedge, name), self.arrive, name, hedge)

    def draw_work(self, req):
        if not self.by_attempt:
            return req.work_s
        work_s = self.pattern.work_s * self.rng.lognormvariate(0, 0.15)
        long = self.rng.random() < self.pattern.long_fraction
        return work_s * (LONG_WORK_RATIO if long else 1.0)

    def record_response(self, req, endpoint):
        super().record_response(req, endpoint)
        response_s = self.now - req.arrived_at
        if req.arrived_at >= self.measured_from:
            self.response_times.append(response_s)
        one, choice = req.instance, req.choice
        elapsed_s = self.now - req.sent_at
        one.hedging.record_attempt(self.route, choice, elapsed_s, self.now)
        if req.first is not None:
            self.won += req.arrived_at >= self.measured_from
            first = req.first
            elapsed_s = self.now - first.sent_at
            one.hedging.record_attempt(
                self.route, first.choice, elapsed_s, self.now, complete=False
            )
            self.cancel(first)
        elif req.hedge is not None:
            self.cancel(req.hedge)

    def cancel(self, req):
        if req.slot_time_s is None:
            return
        name = req.choice.state.name
        req.choice.state.own_in_flight -= 1
        endpoint = self.endpoints[name]
        if req in endpoint.queue:
            endpoint.queue.remove(req)
        elif req.running_at is not None:
            endpoint.slots_in_use -= 1
            self.fill_slots(name)
        req.slot_time_s = None

    def time_out(self, req):
        if req.slot_time_s is None:
            return
        if req.hedge is not None:
            self.cancel(req.hedge)
        if req.arrived_at >= self.measured_from:
            self.response_times.append(self.pattern.timeout_s)
        super().time_out(req)


def simulate_hedging(pattern, share, seed=1, by_attempt=True):
    """Simulate a load pattern with hedged requests.

    Parameters
    ----------
    pattern : Pattern
        The load.
    share : float
        Maximum share of the requests that are hedged; 0 hedges none.
    seed : int, default=1
        Seed of arrivals, objects and work.
    by_attempt : bool, default=True
        Whether it is the attempt that takes seven times as long, as with a fault of its
        endpoint. Otherwise it is the request, at each endpoint.

    Returns
    -------
    HedgeResult
    """
    simulation = _HedgeSimulation(pattern, seed, share, by_attempt)
    simulation.run()
    times = sorted(simulation.response_times)
    received = max(1, simulation.received)
    served = [seconds for seconds in times if seconds < pattern.timeout_s]
    in_target = sum(seconds <= pattern.target_s for seconds in served)
    return HedgeResult(
        times[int(TAIL_QUANTILE * len(times))],
        in_target / received,
        len(served) / received,
        simulation.sent / received,
        simulation.won / max(1, simulation.sent),
    )
