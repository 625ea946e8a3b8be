"""Simulation of the choice of endpoints under load patterns, without a network.

Instances run the daemon's own code for the cluster state and the choice, on a simulated
clock. Endpoints are models: slots, a first-in first-out queue, and a cache of the
objects that they served last; a request for a cached object takes a fraction of the
work.
"""

import heapq
import itertools
import json
import math
import random
from collections import OrderedDict, deque

from benchmarks.load_pattern import Pattern, Result
from quetzalwall.platform.bounds import Bounds
from quetzalwall.platform.headers import parse_response
from quetzalwall.platform.store import RowChange, Rows
from quetzalwall.process.cluster.cluster_state import create_cluster_state
from quetzalwall.process.cluster.endpoint_table import create_endpoint_table
from quetzalwall.process.cluster.fleet import create_fleet
from quetzalwall.process.cluster.peer_report import PeerInfo
from quetzalwall.process.limits.cold_start_limiter import create_cold_start_limiter
from quetzalwall.request.endpoint_chooser import Rejection, create_chooser
from quetzalwall.request.latency_model import create_latency_model
from quetzalwall.version.model import Configuration, Limits, Route, Service

__all__ = ["Pattern", "Result", "simulate"]

REPORT_PERIOD_S = 0.1
SERVICE = "desk"
NOISE_PERIOD_S = 0.6  # after which the endpoints with noisy neighbours are drawn anew
NOISE_SLOWDOWN = 2.5
LONG_WORK_RATIO = 7.0
FAILURE_STRIDE = 5  # every fifth endpoint fails
OUTAGE_S = 2.0
CACHED_WORK_FRACTION = 0.3  # of the work, if the endpoint has the object cached


class _Endpoint:
    def __init__(self, pattern, slowness):
        self.pattern = pattern
        self.slowness = slowness
        self.noise_slowdown = 1.0
        self.unresponsive = False
        self.slots_in_use = 0
        self.queue = deque()
        self.cached = OrderedDict()

    def slot_time_s(self, req):
        fraction = CACHED_WORK_FRACTION if req.key in self.cached else 1.0
        return req.work_s * fraction * self.current_slowness()

    def current_slowness(self):
        return self.slowness * self.noise_slowdown

    def fail(self):
        self.unresponsive = True
        self.cached.clear()

    def recover(self):
        self.unresponsive = False

    def cache(self, key):
        self.cached[key] = True
        self.cached.move_to_end(key)
        if len(self.cached) > self.pattern.cache_size:
            self.cached.popitem(last=False)


class _Request:
    """A request; its slot time is None once it has a response or has timed out."""

    def __init__(self, arrived_at, region, key, work_s):
        self.arrived_at = arrived_at
        self.region = region
        self.key = key
        self.work_s = work_s
        self.choice = None
        self.instance = None
        self.slot_time_s = 0.0
        self.retried = False
        self.retry_after_s = 0.2
        self.running_at = None


class _Instance:
    def __init__(self, number, pattern, simulation):
        region = f"region-{number % 3}"
        self.region = region
        domains = {f"domain-{n}": f"region-{n}" for n in range(3)}
        endpoints = create_endpoint_table(domains, parse_response, simulation.monotonic)
        info = PeerInfo(f"front-{number}", region, f"domain-{number % 3}", f"h{number}")
        self.fleet = create_fleet(info, 1, endpoints, simulation.monotonic, number + 1)
        cluster_state = create_cluster_state(endpoints, self.fleet)
        cluster_state.apply("servers", simulation.rows, True, False)
        self.endpoints = endpoints
        self.cluster_state = cluster_state
        self.latency = create_latency_model(region)
        self.chooser = create_chooser(
            endpoints,
            self.latency,
            create_cold_start_limiter(info.name, Bounds()),
            self.fleet,
            random.Random(number),
        )


class _Simulation:
    def __init__(self, pattern, choose_endpoint, seed):
        self.pattern = pattern
        self.now = 100.0
        self.rng = random.Random(seed)
        self.choose_endpoint = choose_endpoint
        self.events = []
        self.failed_region = None
        self.event_numbers = itertools.count()
        self.counts = {"in_target": 0, "late": 0, "refused": 0, "timed_out": 0}
        names = [f"ep-{n}" for n in range(pattern.endpoints)]
        self.rows = Rows(
            [
                RowChange(name, _endpoint_row(number, region, pattern), 1)
                for number, (name, region) in enumerate(
                    zip(names, _endpoint_regions(pattern), strict=True)
                )
            ],
            1,
        )
        self.regions = dict(zip(names, _endpoint_regions(pattern), strict=True))
        self.endpoints = {
            name: _Endpoint(pattern, pattern.slow_ratio if n % 7 == 0 else 1.0)
            for n, name in enumerate(names)
        }
        self.instances = [_Instance(n, pattern, self) for n in range(pattern.instances)]
        route = Route(
            "look",
            "h",
            "/",
            True,
            pattern.timeout_s,
            pattern.target_s,
            1,
            2,
            True,
            (),
            ((SERVICE, 1.0),),
        )
        self.route = route
        service = Service(SERVICE, "/health", 400, 3.0, 4.0)
        self.cfg = Configuration(1, {"h": [route]}, {SERVICE: service}, Limits())

    def monotonic(self):
        return self.now

    def schedule(self, at, action, *args):
        heapq.heappush(self.events, (at, next(self.event_numbers), action, args))

    def run(self):
        end = self.now + self.pattern.duration_s
        self.schedule(self.now, self.exchange_reports)
        self.schedule(self.now, self.generate_request, end)
        self.schedule_failures(end)
        while self.events:
            self.now, _, action, args = heapq.heappop(self.events)
            action(*args)
            if self.now > end + self.pattern.timeout_s:
                break
        total = sum(self.counts.values())
        return Result(*(self.counts[name] / total for name in Result._fields))

    def current_rate(self, end):
        elapsed = (self.pattern.duration_s - (end - self.now)) / self.pattern.duration_s
        surging = 1 / 3 <= elapsed < 2 / 3
        return self.pattern.requests_per_s * (
            self.pattern.surge_ratio if surging else 1.0
        )

    def fail_region(self):
        names = [name for n, name in enumerate(self.endpoints) if n % 3 == 0]
        self.failed_region = "region-0"
        for name in names:
            self.endpoints[name].fail()
        removed = Rows([RowChange(name, None, 2) for name in names], 2)
        for instance in self.instances:
            instance.cluster_state.apply("servers", removed, False, False)

    def schedule_failures(self, end):
        if self.pattern.region_fails_at_s is not None:
            self.schedule(self.now + self.pattern.region_fails_at_s, self.fail_region)
        if self.pattern.noisy_fraction:
            self.schedule(self.now, self.change_noise, end)
        if self.pattern.endpoints_fail_at_s is not None:
            failing = list(self.endpoints.values())[::FAILURE_STRIDE]
            for endpoint in failing:
                self.schedule(
                    self.now + self.pattern.endpoints_fail_at_s, endpoint.fail
                )
                recovery_at = self.now + self.pattern.endpoints_fail_at_s + OUTAGE_S
                self.schedule(recovery_at, endpoint.recover)

    def change_noise(self, end):
        for endpoint in self.endpoints.values():
            noisy = self.rng.random() < self.pattern.noisy_fraction
            endpoint.noise_slowdown = NOISE_SLOWDOWN if noisy else 1.0
        if self.now < end:
            self.schedule(self.now + NOISE_PERIOD_S, self.change_noise, end)

    def exchange_reports(self):
        hosts = {instance.fleet.own_info.host: instance for instance in self.instances}
        for instance in self.instances:
            if self.now == 100.0:
                for other in self.instances:
                    instance.fleet.add_registered(other.fleet.own_info)
            for report, recipients in instance.fleet.due_reports(self.now):
                for info in recipients:
                    hosts[info.host].fleet.receive(report, self.now)
        self.schedule(self.now + REPORT_PERIOD_S, self.exchange_reports)

    def generate_request(self, end):
        if self.now > end:
            return
        self.schedule(
            self.now + self.rng.expovariate(self.current_rate(end)),
            self.generate_request,
            end,
        )
        key = self.draw_object()
        region = f"region-{key % 3}"
        if region == self.failed_region:
            region = "region-1"  # its callers are sent to the next region
        work_s = self.pattern.work_s * self.rng.lognormvariate(0, 0.15)
        if self.rng.random() < self.pattern.long_fraction:
            work_s *= LONG_WORK_RATIO
        req = _Request(self.now, region, key, work_s)
        local = [one for one in self.instances if one.region == region]
        req.instance = self.rng.choice(local)
        self.send(req)

    def draw_object(self):
        pattern = self.pattern
        key = self.rng.randrange(pattern.objects)
        if not pattern.swing_ratio:
            return key
        phase = 2 * math.pi * (self.now / pattern.swing_period_s + key % 3 / 3)
        share = 1 + pattern.swing_ratio * math.sin(phase)
        if self.rng.random() * (1 + pattern.swing_ratio) < share:
            return key
        return self.draw_object()

    def send(self, req):
        name = self.choose_endpoint(self, req)
        if name is None:
            if self.pattern.retry_rejected and not req.retried:
                req.retried = True
                self.schedule(self.now + req.retry_after_s, self.send, req)
                return
            self.counts["refused"] += 1
            return
        self.schedule(self.now + self.pattern.timeout_s, self.time_out, req)
        endpoint = self.endpoints[name]
        if endpoint.unresponsive:
            return
        self.schedule(self.now + self.one_way_s(req, name), self.arrive, name, req)

    def one_way_s(self, req, name):
        remote = self.regions[name] != int(req.instance.region[-1])
        return self.pattern.remote_rtt_s / 2 if remote else 0.0

    def arrive(self, name, req):
        if req.slot_time_s is None:
            return
        self.endpoints[name].queue.append(req)
        self.fill_slots(name)

    def fill_slots(self, name):
        endpoint = self.endpoints[name]
        while endpoint.queue and endpoint.slots_in_use < self.pattern.slots:
            req = endpoint.queue.popleft()
            endpoint.slots_in_use += 1
            req.slot_time_s = endpoint.slot_time_s(req)
            req.running_at = name
            self.schedule(self.now + req.slot_time_s, self.finish, name, req)

    def finish(self, name, req):
        endpoint = self.endpoints[name]
        if req.slot_time_s is None and self.pattern.drops_abandoned:
            return
        endpoint.slots_in_use -= 1
        self.fill_slots(name)
        if req.slot_time_s is None:
            return
        endpoint.cache(req.key)
        response_s = self.now + self.one_way_s(req, name) - req.arrived_at
        self.counts["in_target" if response_s <= self.pattern.target_s else "late"] += 1
        self.record_response(req, endpoint)
        req.slot_time_s = None

    def record_response(self, req, endpoint):
        if req.choice is None:
            return
        state = req.choice.state
        state.own_in_flight -= 1
        state.record_slowness(endpoint.current_slowness(), self.now, own=True)
        state.record_success()
        state.record_cached(req.key)
        req.instance.fleet.announce_cached(state.name, req.key)
        if req.choice.queueing_delay_s == 0:
            work_s = req.slot_time_s / req.choice.slowness
            latency = req.instance.latency
            latency.record_work(self.route, SERVICE, req.choice.cached, work_s)
            latency.learn_cache_size(
                self.route, SERVICE, req.choice.reuse_distance, work_s
            )

    def time_out(self, req):
        if req.slot_time_s is None:
            return
        self.counts["timed_out"] += 1
        if req.choice is not None:
            req.choice.state.own_in_flight -= 1
            req.choice.state.record_failure(self.now)
        for endpoint in self.endpoints.values():
            if req in endpoint.queue:
                endpoint.queue.remove(req)
        if self.pattern.drops_abandoned and req.running_at is not None:
            self.endpoints[req.running_at].slots_in_use -= 1
            self.fill_slots(req.running_at)
        req.slot_time_s = None


def choose_ours(simulation, req):
    """Return the endpoint that the daemon's code chooses; None if it rejects."""
    choice = req.instance.chooser.choose(
        simulation.cfg,
        simulation.route,
        SERVICE,
        req.key,
        simulation.pattern.timeout_s,
        simulation.now,
    )
    if isinstance(choice, Rejection):
        req.retry_after_s = choice.retry_after_s
        return None
    choice.state.own_in_flight += 1
    req.choice = choice
    return choice.state.name


def choose_at_random(simulation, req):
    """Return a random endpoint."""
    return simulation.rng.choice(list(simulation.endpoints))


def choose_shortest(simulation, req):
    """Return the endpoint with the fewest requests, waiting and in progress.

    It sees the requests of all instances, which no instance does.
    """
    return min(
        simulation.endpoints,
        key=lambda name: (
            simulation.endpoints[name].slots_in_use
            + len(simulation.endpoints[name].queue),
            simulation.rng.random(),
        ),
    )


POLICIES = {
    "ours": choose_ours,
    "random": choose_at_random,
    "shortest": choose_shortest,
}


def simulate(pattern, policy="ours", seed=1):
    """Simulate a load pattern and return the outcomes of its requests.

    Parameters
    ----------
    pattern : Pattern
        The load.
    policy : {"ours", "random", "shortest"}, default="ours"
        What chooses the endpoints: the daemon's code, or one of two baselines.
    seed : int, default=1
        Seed of arrivals, objects and work.

    Returns
    -------
    Result
    """
    return _Simulation(pattern, POLICIES[policy], seed).run()


def _endpoint_regions(pattern):
    """Return the number of each endpoint's region."""
    if len(set(pattern.endpoint_shares)) == 1:
        return [number % 3 for number in range(pattern.endpoints)]
    first, second, _ = (round(s * pattern.endpoints) for s in pattern.endpoint_shares)
    counts = (first, second, pattern.endpoints - first - second)
    return [region for region, count in enumerate(counts) for _ in range(count)]


def _endpoint_row(number, region, pattern):
    body = {
        "service": SERVICE,
        "address": f"10.0.0.{number + 1}:80",
        "zone": f"domain-{region}",
        "version": "v1",
        "slots": pattern.slots,
        "state": "ready",
        "coldLeft": "0ms",
        "seq": 1,
    }
    return json.dumps(body).encode()
