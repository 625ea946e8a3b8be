"""Simulation of instances that share the limits which endpoints advertise."""

import math
import random
from collections import defaultdict
from typing import NamedTuple

from quetzalwall.process.cluster.advertised_limit import AdvertisedLimit
from quetzalwall.process.cluster.report_group import ReportGroup
from quetzalwall.process.cluster.report_groups import (
    LOCAL_DATAGRAMS_PER_S,
    REMOTE_DATAGRAMS_PER_S,
)

__all__ = ["LimitPattern", "compare_with_limit", "simulate"]

STEP_S = 0.02
SETTLE_S = 4.0  # after a first limit or a fault, until an excess counts
WINDOW_S = 4.0  # over which requests are compared with the limit
LIMIT_EFFECT_S = 0.5  # from a response with a limit until its receiver has to obey it
REGION_COUNT = 3
ONE_WAY_S = (0.001, 0.035)  # network delay within a region, and to another one
WORK_S = 0.1  # that an endpoint needs for a request
DATAGRAM_LOSS_FRACTION = 0.01
DISCOVERY_S = 0.3  # until a new instance is known to the others
FORGET_S = 30.0


class LimitPattern(NamedTuple):
    """A load on endpoints with limits, and the faults of instances during it.

    Attributes
    ----------
    instances, endpoints : int
        Numbers of instances and endpoints at the start.
    limit : callable
        Takes the number of an endpoint, the simulated time in seconds and a random
        source; returns the requests a second that the endpoint advertises, or None.
    requests_per_s : float
        Requests of callers a second.
    duration_s : float
        Length of the simulation, in seconds.
    faults : tuple of (str, float, int, float)
        Kind (``"kill"``, ``"pause"``, ``"cut"`` off from reports, or ``"add"``), start
        in seconds, number of instances, and length in seconds.
    enforced : bool, default=True
        Whether the instances obey the limits.
    """

    instances: int
    endpoints: int
    limit: object
    requests_per_s: float
    duration_s: float
    faults: tuple = ()
    enforced: bool = True


class _Instance:
    def __init__(self, number, started_at):
        self.name = f"front-{number}"
        self.region = number % REGION_COUNT
        self.started_at = started_at
        self.limits = {}
        self.limited_since = {}
        self.last_report_at = [-math.inf, -math.inf]
        self.exemptions = [(-math.inf, started_at + SETTLE_S)] if started_at else []
        self.down_until = -math.inf
        self.cut_off_until = -math.inf

    def exempt(self, begin, end):
        self.exemptions.append((begin, end + SETTLE_S))


class Arrival(NamedTuple):
    """A request at an endpoint.

    Attributes
    ----------
    at : float
        Simulated time in seconds.
    counted : bool
        Whether it counts against the limit: its sender had to know the limit, and no
        fault of the sender excuses it.
    """

    at: float
    counted: bool


def simulate(pattern, seed):
    """Simulate a load on endpoints with limits.

    Parameters
    ----------
    pattern : LimitPattern
        The load, the limits and the faults.
    seed : int
        Seed of the random source.

    Returns
    -------
    (list of list of Arrival, list of dict, int)
        Arrivals at each endpoint, the limits that each endpoint advertised by step, and
        the number of rejected requests.
    """
    return _Simulation(pattern, seed).run()


class _Simulation:
    def __init__(self, pattern, seed):
        self.pattern = pattern
        self.rng = random.Random(seed)
        self.instances = [_Instance(n, 0.0) for n in range(pattern.instances)]
        self.names = [instance.name for instance in self.instances]
        self.arrivals = [[] for _ in range(pattern.endpoints)]
        self.advertised = [{} for _ in range(pattern.endpoints)]
        self.rejected = 0
        self.scheduled = defaultdict(list)
        self.step = 0

    def run(self):
        faults = sorted(self.pattern.faults, key=lambda fault: fault[1])
        pending = 0.0
        for step in range(int(self.pattern.duration_s / STEP_S)):
            self.step, now = step, step * STEP_S
            while faults and faults[0][1] <= now:
                self._start_fault(*faults.pop(0))
            for number in range(self.pattern.endpoints):
                limit = self.pattern.limit(number, now, self.rng)
                self.advertised[number][self.step] = limit
            for action, *args in self.scheduled.pop(self.step, ()):
                action(*args, now)
            self._send_reports(now)
            pending += self.pattern.requests_per_s * STEP_S
            while pending >= 1:
                pending -= 1
                self._send_request(now)
        return self.arrivals, self.advertised, self.rejected

    def _schedule(self, delay_s, action, *args):
        steps = max(1, round(delay_s / STEP_S))
        self.scheduled[self.step + steps].append((action, *args))

    def _start_fault(self, kind, at, count, duration_s):
        if kind == "add":
            first = len(self.instances)
            for number in range(first, first + count):
                self.instances.append(_Instance(number, at))
            self._schedule(DISCOVERY_S, self._update_names)
            return
        for instance in self.rng.sample(self.instances, count):
            instance.exempt(at, at + duration_s)
            if kind == "cut":
                instance.cut_off_until = at + duration_s
                continue
            instance.down_until = at + duration_s
            if kind == "kill":
                instance.limits, instance.limited_since = {}, {}

    def _update_names(self, now):
        self.names = [instance.name for instance in self.instances]

    def _running(self, now):
        return [i for i in self.instances if now >= i.down_until]

    def _send_reports(self, now):
        running = self._running(now)
        for sender in running:
            for remote in (False, True):
                peers = [
                    peer
                    for peer in self.instances
                    if peer is not sender and (peer.region != sender.region) == remote
                ]
                group = ReportGroup(
                    not remote,
                    REMOTE_DATAGRAMS_PER_S if remote else LOCAL_DATAGRAMS_PER_S,
                )
                group.peers = len(peers)
                if now - sender.last_report_at[remote] < group.period_s() - STEP_S / 2:
                    continue
                sender.last_report_at[remote] = now
                report = {
                    n: limit.own_report(now) for n, limit in sender.limits.items()
                }
                if not report or now < sender.cut_off_until:
                    continue
                for peer in peers:
                    if self.rng.random() >= DATAGRAM_LOSS_FRACTION:
                        self._schedule(
                            ONE_WAY_S[remote],
                            self._receive_report,
                            peer,
                            sender,
                            report,
                        )

    def _receive_report(self, peer, sender, report, now):
        if now < max(peer.down_until, peer.cut_off_until):
            return
        for number, figures in report.items():
            if number not in peer.limits:
                if figures[0] < 0 or figures[1] < 0:
                    continue
                peer.limits[number] = AdvertisedLimit(now)
            peer.limits[number].receive_report(sender.name, figures, now)

    def _send_request(self, now):
        instance = self.rng.choice(self._running(now))
        order = list(range(self.pattern.endpoints))
        self.rng.shuffle(order)
        order.sort(key=lambda number: number % REGION_COUNT != instance.region)
        for number in order:
            limit = instance.limits.get(number)
            if self.pattern.enforced and limit is not None:
                limit.record_demand(now)
                if not limit.allows(f"ep-{number}", instance.name, self.names, now):
                    continue
                limit.record_sent(now)
            one_way_s = ONE_WAY_S[number % REGION_COUNT != instance.region]
            one_way_s += self.rng.random() * STEP_S
            self._schedule(
                one_way_s, self._receive_request, instance, number, one_way_s
            )
            return
        self.rejected += 1

    def _receive_request(self, instance, number, one_way_s, now):
        limited = now - instance.limited_since.get(number, math.inf) >= LIMIT_EFFECT_S
        exempt = any(begin <= now <= end for begin, end in instance.exemptions)
        self.arrivals[number].append(Arrival(now, limited and not exempt))
        self._schedule(WORK_S + one_way_s, self._receive_response, instance, number)

    def _receive_response(self, instance, number, now):
        if now < instance.down_until:
            return
        per_s = self.advertised[number][self.step]
        if per_s is None:
            instance.limited_since.pop(number, None)
        else:
            instance.limited_since.setdefault(number, now)
        if number not in instance.limits:
            if per_s is None:
                return
            instance.limits[number] = AdvertisedLimit(now)
        instance.limits[number].record_response(per_s, now)


def compare_with_limit(arrivals, advertised):
    """Return how much of an endpoint's limit was used: at most in 4 s, and in all.

    Parameters
    ----------
    arrivals : list of Arrival
        Requests at the endpoint.
    advertised : dict of int to float
        Its limit by step; None where it advertises none.

    Returns
    -------
    (float, float)
        The most counted requests in 4 s with a limit throughout, as a fraction of the
        bound (1.5 times the limit and 5 requests more), and the requests as a fraction
        of those that the limit allows; both from `SETTLE_S` after the first limit.
        (0, NaN) if the endpoint never advertises a limit.
    """
    first = next((s for s, per_s in advertised.items() if per_s is not None), None)
    if first is None:
        return 0.0, math.nan
    begin = first + int(SETTLE_S / STEP_S)
    window = int(WINDOW_S / STEP_S)
    counted, received = defaultdict(int), 0
    for arrival in arrivals:
        step = round(arrival.at / STEP_S)
        counted[step] += arrival.counted
        received += step >= begin and advertised.get(step) is not None
    max_fraction, in_window = 0.0, sum(counted[s] for s in range(begin, begin + window))
    for step in range(begin, len(advertised) - window):
        limits = [advertised[s] for s in range(step, step + window)]
        if None not in limits:
            bound = 1.5 * sum(limits) * STEP_S + 5
            max_fraction = max(max_fraction, in_window / bound)
        in_window += counted[step + window] - counted[step]
    allowed = (
        sum(per_s for s, per_s in advertised.items() if s >= begin and per_s) * STEP_S
    )
    return max_fraction, received / allowed if allowed else math.nan
