"""Load on endpoints that name limits, with instances that tell one another."""

import math
import random
from collections import defaultdict
from typing import NamedTuple

from quetzalwall.process.cluster.advertised_limit import AdvertisedLimit
from quetzalwall.process.cluster.fleet import (
    LOCAL_DATAGRAMS_PER_S,
    REMOTE_DATAGRAMS_PER_S,
)
from quetzalwall.process.cluster.report_group import ReportGroup

__all__ = ["LimitPattern", "judge", "play"]

STEP_S = 0.02
STABLE_S = 4.0
SPAN_S = 4.0
BOUND_S = 0.5  # after which an instance that had such an answer is bound by it
REGIONS = 3
WAY_S = (0.001, 0.035)  # within a region, and to another one
WORK_S = 0.1
LOSS = 0.01
LEARN_S = 0.3  # until an instance that comes is known to the others
FORGET_S = 30.0


class LimitPattern(NamedTuple):
    """What is played.

    Attributes
    ----------
    instances, endpoints : int
        How many there are at the start.
    limit : callable
        From an endpoint's number, a moment and a source of randomness to the requests
        a second that it names; None names none.
    per_s : float
        Requests of callers a second.
    seconds : float
        Length.
    faults : tuple of (str, float, int, float)
        Kind (``"kill"``, ``"pause"``, ``"cut"``, ``"add"``), second, instances and
        seconds.
    keeps : bool, default=True
        Whether the instances keep the limits.
    """

    instances: int
    endpoints: int
    limit: object
    per_s: float
    seconds: float
    faults: tuple = ()
    keeps: bool = True


class _Instance:
    def __init__(self, number, began):
        self.name = f"front-{number}"
        self.region = number % REGIONS
        self.began = began
        self.limits = {}
        self.bound_at = {}
        self.told = [-math.inf, -math.inf]
        self.excused = [(-math.inf, began + STABLE_S)] if began else []
        self.away_until = -math.inf
        self.cut_until = -math.inf

    def excuse(self, begin, end):
        self.excused.append((begin, end + STABLE_S))


class Arrival(NamedTuple):
    """A request at an endpoint.

    Attributes
    ----------
    at : float
        Second.
    counted : bool
        Whether it was sent by an instance that the limit binds.
    """

    at: float
    counted: bool


def play(pattern, seed):
    """Play a pattern.

    Parameters
    ----------
    pattern : LimitPattern
        What is played.
    seed : int
        Seed of the source of randomness.

    Returns
    -------
    (list of list of Arrival, list of dict, int)
        Arrivals and limits named (by step) at each endpoint, and requests refused.
    """
    return _Play(pattern, seed).run()


class _Play:
    def __init__(self, pattern, seed):
        self.pattern = pattern
        self.rng = random.Random(seed)
        self.instances = [_Instance(n, 0.0) for n in range(pattern.instances)]
        self.names = [instance.name for instance in self.instances]
        self.arrivals = [[] for _ in range(pattern.endpoints)]
        self.named = [{} for _ in range(pattern.endpoints)]
        self.refused = 0
        self.due = defaultdict(list)
        self.step = 0

    def run(self):
        faults = sorted(self.pattern.faults, key=lambda fault: fault[1])
        owed = 0.0
        for step in range(int(self.pattern.seconds / STEP_S)):
            self.step, now = step, step * STEP_S
            while faults and faults[0][1] <= now:
                self._fault(*faults.pop(0))
            for number in range(self.pattern.endpoints):
                limit = self.pattern.limit(number, now, self.rng)
                self.named[number][self.step] = limit
            for task, *args in self.due.pop(self.step, ()):
                task(*args, now)
            self._report(now)
            owed += self.pattern.per_s * STEP_S
            while owed >= 1:
                owed -= 1
                self._request(now)
        return self.arrivals, self.named, self.refused

    def _later(self, seconds, task, *args):
        steps = max(1, round(seconds / STEP_S))
        self.due[self.step + steps].append((task, *args))

    def _fault(self, kind, at, count, seconds):
        if kind == "add":
            first = len(self.instances)
            for number in range(first, first + count):
                self.instances.append(_Instance(number, at))
            self._later(LEARN_S, self._learn)
            return
        for instance in self.rng.sample(self.instances, count):
            instance.excuse(at, at + seconds)
            if kind == "cut":
                instance.cut_until = at + seconds
                continue
            instance.away_until = at + seconds
            if kind == "kill":
                instance.limits, instance.bound_at = {}, {}

    def _learn(self, now):
        self.names = [instance.name for instance in self.instances]

    def _running(self, now):
        return [i for i in self.instances if now >= i.away_until]

    def _report(self, now):
        running = self._running(now)
        for sender in running:
            for far in (False, True):
                peers = [
                    peer
                    for peer in self.instances
                    if peer is not sender and (peer.region != sender.region) == far
                ]
                group = ReportGroup(
                    not far, REMOTE_DATAGRAMS_PER_S if far else LOCAL_DATAGRAMS_PER_S
                )
                group.peers = len(peers)
                if now - sender.told[far] < group.period_s() - STEP_S / 2:
                    continue
                sender.told[far] = now
                told = {n: limit.own_report(now) for n, limit in sender.limits.items()}
                if not told or now < sender.cut_until:
                    continue
                for peer in peers:
                    if self.rng.random() >= LOSS:
                        self._later(WAY_S[far], self._hear, peer, sender, told)

    def _hear(self, peer, sender, told, now):
        if now < max(peer.away_until, peer.cut_until):
            return
        for number, figures in told.items():
            if number not in peer.limits:
                if figures[0] < 0 or figures[1] < 0:
                    continue
                peer.limits[number] = AdvertisedLimit(now)
            peer.limits[number].receive_report(sender.name, figures, now)

    def _request(self, now):
        instance = self.rng.choice(self._running(now))
        order = list(range(self.pattern.endpoints))
        self.rng.shuffle(order)
        order.sort(key=lambda number: number % REGIONS != instance.region)
        for number in order:
            limit = instance.limits.get(number)
            if self.pattern.keeps and limit is not None:
                limit.record_demand(now)
                if not limit.allows(f"ep-{number}", instance.name, self.names, now):
                    continue
                limit.record_sent(now)
            way_s = WAY_S[number % REGIONS != instance.region]
            way_s += self.rng.random() * STEP_S
            self._later(way_s, self._arrive, instance, number, way_s)
            return
        self.refused += 1

    def _arrive(self, instance, number, way_s, now):
        bound = now - instance.bound_at.get(number, math.inf) >= BOUND_S
        excused = any(begin <= now <= end for begin, end in instance.excused)
        self.arrivals[number].append(Arrival(now, bound and not excused))
        self._later(WORK_S + way_s, self._answer, instance, number)

    def _answer(self, instance, number, now):
        if now < instance.away_until:
            return
        per_s = self.named[number][self.step]
        if per_s is None:
            instance.bound_at.pop(number, None)
        else:
            instance.bound_at.setdefault(number, now)
        if number not in instance.limits:
            if per_s is None:
                return
            instance.limits[number] = AdvertisedLimit(now)
        instance.limits[number].record_response(per_s, now)


def judge(arrivals, named):
    """Return how far an endpoint's limit was reached.

    Parameters
    ----------
    arrivals : list of Arrival
        Requests at the endpoint.
    named : dict of int to float
        Its limit by step.

    Returns
    -------
    (float, float)
        The most requests in 4 s as part of the bound, and the part of what it takes
        that it got, from `STABLE_S` after it first named a limit.
    """
    first = next((s for s, per_s in named.items() if per_s is not None), None)
    if first is None:
        return 0.0, math.nan
    begin = first + int(STABLE_S / STEP_S)
    span = int(SPAN_S / STEP_S)
    counted, got = defaultdict(int), 0
    for arrival in arrivals:
        step = round(arrival.at / STEP_S)
        counted[step] += arrival.counted
        got += step >= begin and named.get(step) is not None
    worst, taken = 0.0, sum(counted[s] for s in range(begin, begin + span))
    for step in range(begin, len(named) - span):
        limits = [named[s] for s in range(step, step + span)]
        if None not in limits:
            most = 1.5 * sum(limits) * STEP_S + 5
            worst = max(worst, taken / most)
        taken += counted[step + span] - counted[step]
    allowed = sum(per_s for s, per_s in named.items() if s >= begin and per_s) * STEP_S
    return worst, got / allowed if allowed else math.nan
