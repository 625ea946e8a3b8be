"""Load patterns played against the choice of endpoints, without a network.

Instances run the daemon's own code for knowledge and choice on a clock that the player
moves. Endpoints are modelled: slots, a queue in order of arrival, and the objects that
they served last, whose requests take a part of the time.
"""

import heapq
import itertools
import json
import random
from collections import OrderedDict, deque

from benchmarks.load_pattern import Pattern, Result
from quetzalwall.platform.headers import parse_response
from quetzalwall.platform.settings import Bounds
from quetzalwall.platform.store import RowChange, Rows
from quetzalwall.process.cluster.cluster_state import create_cluster_state
from quetzalwall.process.cluster.endpoint_table import create_endpoint_table
from quetzalwall.process.cluster.fleet import create_fleet
from quetzalwall.process.cluster.peer_report import PeerInfo
from quetzalwall.process.limits.cold_start_limiter import create_cold_start_limiter
from quetzalwall.request.endpoint_chooser import Rejection, create_chooser
from quetzalwall.request.latency_model import create_latency_model
from quetzalwall.version.model import Configuration, Limits, Route, Service

__all__ = ["Pattern", "Result", "play"]

GOSSIP_S = 0.1
SERVICE = "desk"
NOISE_S = 0.6  # for which an endpoint's neighbours stay as they are
NOISE_RATIO = 2.5
TAIL_RATIO = 7.0
LOST_ONE_IN = 5
DARK_S = 2.0
HELD_PART = 0.3  # of the work, where the endpoint served the object lately


class _Endpoint:
    def __init__(self, pattern, slowness):
        self.pattern = pattern
        self.slowness = slowness
        self.noise = 1.0
        self.dark = False
        self.busy = 0
        self.queue = deque()
        self.held = OrderedDict()

    def work_s(self, req):
        part = HELD_PART if req.object in self.held else 1.0
        return req.work_s * part * self.present_slowness()

    def present_slowness(self):
        return self.slowness * self.noise

    def lose(self):
        self.dark = True
        self.held.clear()

    def come_back(self):
        self.dark = False

    def note(self, key):
        self.held[key] = True
        self.held.move_to_end(key)
        if len(self.held) > self.pattern.kept:
            self.held.popitem(last=False)


class _Request:
    def __init__(self, arrived, region, key, work_s):
        self.arrived = arrived
        self.region = region
        self.object = key
        self.work_s = work_s
        self.choice = None
        self.instance = None
        self.work = 0.0
        self.returned = False
        self.retry_after_s = 0.2


class _Instance:
    def __init__(self, number, pattern, player):
        region = f"region-{number % 3}"
        self.region = region
        domains = {f"domain-{n}": f"region-{n}" for n in range(3)}
        endpoints = create_endpoint_table(domains, parse_response, player.monotonic)
        info = PeerInfo(f"front-{number}", region, f"domain-{number % 3}", f"h{number}")
        self.fleet = create_fleet(info, 1, endpoints, player.monotonic, number + 1)
        cluster_state = create_cluster_state(endpoints, self.fleet)
        cluster_state.apply("servers", player.rows, True, False)
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


class _Player:
    def __init__(self, pattern, choose, seed):
        self.pattern = pattern
        self.now = 100.0
        self.rng = random.Random(seed)
        self.choose = choose
        self.events = []
        self.lost_region = None
        self.order = itertools.count()
        self.counts = {"in_target": 0, "late": 0, "refused": 0, "timed_out": 0}
        names = [f"ep-{n}" for n in range(pattern.endpoints)]
        self.rows = Rows(
            [RowChange(n, _entry(i, pattern), 1) for i, n in enumerate(names)], 1
        )
        self.endpoints = {
            name: _Endpoint(pattern, pattern.slow if n % 7 == 0 else 1.0)
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

    def at(self, when, step, *args):
        heapq.heappush(self.events, (when, next(self.order), step, args))

    def run(self):
        end = self.now + self.pattern.span_s
        self.at(self.now, self.gossip)
        self.at(self.now, self.arrive, end)
        self.trouble(end)
        while self.events:
            self.now, _, step, args = heapq.heappop(self.events)
            step(*args)
            if self.now > end + self.pattern.timeout_s:
                break
        total = sum(self.counts.values())
        return Result(*(self.counts[name] / total for name in Result._fields))

    def rate(self, end):
        begun = (self.pattern.span_s - (end - self.now)) / self.pattern.span_s
        surging = 1 / 3 <= begun < 2 / 3
        return self.pattern.per_s * (self.pattern.surge if surging else 1.0)

    def lose_region(self):
        names = [name for n, name in enumerate(self.endpoints) if n % 3 == 0]
        self.lost_region = "region-0"
        for name in names:
            self.endpoints[name].lose()
        removed = Rows([RowChange(name, None, 2) for name in names], 2)
        for instance in self.instances:
            instance.cluster_state.apply("servers", removed, False, False)

    def trouble(self, end):
        if self.pattern.region_lost_at_s is not None:
            self.at(self.now + self.pattern.region_lost_at_s, self.lose_region)
        if self.pattern.noise:
            self.at(self.now, self.change_noise, end)
        if self.pattern.lost_at_s is not None:
            lost = list(self.endpoints.values())[::LOST_ONE_IN]
            for endpoint in lost:
                self.at(self.now + self.pattern.lost_at_s, endpoint.lose)
                back = self.now + self.pattern.lost_at_s + DARK_S
                self.at(back, endpoint.come_back)

    def change_noise(self, end):
        for endpoint in self.endpoints.values():
            noisy = self.rng.random() < self.pattern.noise
            endpoint.noise = NOISE_RATIO if noisy else 1.0
        if self.now < end:
            self.at(self.now + NOISE_S, self.change_noise, end)

    def gossip(self):
        hosts = {instance.fleet.own_info.host: instance for instance in self.instances}
        for instance in self.instances:
            if self.now == 100.0:
                for other in self.instances:
                    instance.fleet.add_registered(other.fleet.own_info)
            for report, cards in instance.fleet.due_reports(self.now):
                for info in cards:
                    hosts[info.host].fleet.receive(report, self.now)
        self.at(self.now + GOSSIP_S, self.gossip)

    def arrive(self, end):
        if self.now > end:
            return
        self.at(self.now + self.rng.expovariate(self.rate(end)), self.arrive, end)
        key = self.rng.randrange(self.pattern.objects)
        region = f"region-{key % 3}"
        if region == self.lost_region:
            region = "region-1"  # its callers reach the next one
        work_s = self.pattern.work_s * self.rng.lognormvariate(0, 0.15)
        if self.rng.random() < self.pattern.tail:
            work_s *= TAIL_RATIO
        req = _Request(self.now, region, key, work_s)
        near = [one for one in self.instances if one.region == region]
        req.instance = self.rng.choice(near)
        self.send(req)

    def send(self, req):
        name = self.choose(self, req)
        if name is None:
            if self.pattern.returns and not req.returned:
                req.returned = True
                self.at(self.now + req.retry_after_s, self.send, req)
                return
            self.counts["refused"] += 1
            return
        self.at(self.now + self.pattern.timeout_s, self.time_out, req)
        endpoint = self.endpoints[name]
        if endpoint.dark:
            return
        endpoint.queue.append(req)
        self.begin(name)

    def begin(self, name):
        endpoint = self.endpoints[name]
        while endpoint.queue and endpoint.busy < self.pattern.slots:
            req = endpoint.queue.popleft()
            endpoint.busy += 1
            req.work = endpoint.work_s(req)
            self.at(self.now + req.work, self.finish, name, req)

    def finish(self, name, req):
        endpoint = self.endpoints[name]
        endpoint.busy -= 1
        self.begin(name)
        if req.work is None:
            return
        endpoint.note(req.object)
        took_s = self.now - req.arrived
        self.counts["in_target" if took_s <= self.pattern.target_s else "late"] += 1
        self.learn(req, endpoint)
        req.work = None

    def learn(self, req, endpoint):
        if req.choice is None:
            return
        state = req.choice.state
        state.own_in_flight -= 1
        state.record_slowness(endpoint.present_slowness(), self.now, own=True)
        state.record_success()
        state.record_cached(req.object)
        req.instance.fleet.announce_cached(state.name, req.object)
        if req.choice.queueing_delay_s == 0:
            seconds = req.work / req.choice.slowness
            latency = req.instance.latency
            latency.record_work(self.route, SERVICE, req.choice.cached, seconds)
            latency.learn_cache_size(
                self.route, SERVICE, req.choice.reuse_distance, seconds
            )

    def time_out(self, req):
        if req.work is None:
            return
        self.counts["timed_out"] += 1
        if req.choice is not None:
            req.choice.state.own_in_flight -= 1
            req.choice.state.record_failure(self.now)
        for endpoint in self.endpoints.values():
            if req in endpoint.queue:
                endpoint.queue.remove(req)
        req.work = None


def choose_ours(player, req):
    """Return the endpoint that the daemon's code chooses, or None."""
    choice = req.instance.chooser.choose(
        player.cfg,
        player.route,
        SERVICE,
        req.object,
        player.pattern.timeout_s,
        player.now,
    )
    if isinstance(choice, Rejection):
        req.retry_after_s = choice.retry_after_s
        return None
    choice.state.own_in_flight += 1
    req.choice = choice
    return choice.state.name


def choose_at_random(player, req):
    """Return any endpoint."""
    return player.rng.choice(list(player.endpoints))


def choose_shortest(player, req):
    """Return the endpoint with the fewest requests, as if all were known."""
    return min(
        player.endpoints,
        key=lambda name: (
            player.endpoints[name].busy + len(player.endpoints[name].queue),
            player.rng.random(),
        ),
    )


CHOICES = {"ours": choose_ours, "random": choose_at_random, "shortest": choose_shortest}


def play(pattern, choice="ours", seed=1):
    """Play a pattern and return what became of its requests.

    Parameters
    ----------
    pattern : Pattern
        The load.
    choice : {"ours", "random", "shortest"}, default="ours"
        Who chooses; the others are baselines.
    seed : int, default=1
        Seed of arrivals, objects and work.

    Returns
    -------
    Result
    """
    return _Player(pattern, CHOICES[choice], seed).run()


def _entry(number, pattern):
    body = {
        "service": SERVICE,
        "address": f"10.0.0.{number + 1}:80",
        "zone": f"domain-{number % 3}",
        "slots": pattern.slots,
        "state": "ready",
        "coldLeft": "0ms",
    }
    return json.dumps(body).encode()
