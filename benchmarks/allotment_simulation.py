"""Simulation of instances that share the allotment of one client account."""

import math
import random
from collections import defaultdict
from itertools import accumulate
from types import SimpleNamespace
from typing import NamedTuple

from benchmarks.limit_simulation import DATAGRAM_LOSS_FRACTION, ONE_WAY_S, REGION_COUNT
from quetzalwall.platform.bounds import Bounds
from quetzalwall.process.cluster.peer_report import PeerInfo
from quetzalwall.process.cluster.report_group import MAX_NEWS_WAIT_S, ReportGroup
from quetzalwall.process.cluster.report_groups import (
    LOCAL_DATAGRAMS_PER_S,
    READ_DELAY_FRACTION,
    REMOTE_DATAGRAMS_PER_S,
)
from quetzalwall.process.limits.allotments import START_S, create_allotments
from quetzalwall.process.limits.changed_figures import ChangedFigures
from quetzalwall.version.accounts import ClientAccount, create_accounts

__all__ = ["AllotmentPattern", "AllotmentResult", "simulate_allotment"]

STEP_S = 0.02
TICK_STEPS = 5  # steps between two checks whether a report is due
DISCOVERY_S = 0.5  # until a new process knows the others and they know it
DOWN_S = 0.4  # of a process that is restarted
BOUNDS = Bounds()


class AllotmentPattern(NamedTuple):
    """The demand of one account, and the faults of instances during it.

    Attributes
    ----------
    instances : int
        Number of instances at the start.
    per_s, burst : float
        The allotment.
    demand : callable
        Takes the simulated time in seconds; returns the requests a second, and the
        instances that receive them: a number, or None for random ones.
    duration_s : float
        Length of the simulation, in seconds.
    faults : tuple of (str, float, int, float)
        Kind (``"kill"``, ``"restart"``, ``"add"``, ``"pause"``, or ``"cut"`` off from
        the other regions), start in seconds, number of instances or of the region, and
        length in seconds.
    """

    instances: int
    per_s: float
    burst: float
    demand: object
    duration_s: float
    faults: tuple = ()


class AllotmentResult(NamedTuple):
    """What a simulation measures.

    Attributes
    ----------
    max_fraction : float
        The most requests admitted in any window, as a fraction of the bound.
    used_fraction : float
        The requests admitted, as a fraction of those that one token bucket would admit
        for the same demand; it is empty until `START_S` after all processes start, or
        restart at once.
    """

    max_fraction: float
    used_fraction: float


class _Instance:
    def __init__(self, number):
        self.name = f"front-{number}"
        self.region = number % REGION_COUNT
        domain = f"{self.region}-{number // REGION_COUNT % 2}"
        self.info = PeerInfo(self.name, str(self.region), domain, "127.0.0.1")
        self.phase = number % TICK_STEPS
        self.last_report_at = [-math.inf, -math.inf]
        self.changed_figures = [ChangedFigures(), ChangedFigures()]
        self.news_at = -math.inf
        self.down_until = -math.inf
        self.knows_others_at = -math.inf
        self.allotments = None


def simulate_allotment(pattern, seed):
    """Simulate the demand of one account.

    Parameters
    ----------
    pattern : AllotmentPattern
        The demand and the faults.
    seed : int
        Seed of the random source.

    Returns
    -------
    AllotmentResult
    """
    return _Simulation(pattern, seed).run()


class _Simulation:
    def __init__(self, pattern, seed):
        self.pattern = pattern
        self.rng = random.Random(seed)
        self.account = ClientAccount("acme", None, pattern.per_s, pattern.burst)
        accounts = create_accounts([(self.account, ["key"])])
        self.cfg = SimpleNamespace(accounts=accounts)
        self.instances = []
        self.members = []
        self.scheduled = defaultdict(list)
        self.admitted = []
        self.ideal_level = 0.0
        self.ideal = 0
        self.ideal_from = START_S
        self.cut_region, self.cut_until = None, -math.inf
        self.step = 0
        self._add(pattern.instances, -math.inf)
        self._update_members(0.0)

    def run(self):
        faults = sorted(self.pattern.faults, key=lambda fault: fault[1])
        pending = 0.0
        for step in range(int(self.pattern.duration_s / STEP_S)):
            self.step, now = step, step * STEP_S
            self.admitted.append(0)
            while faults and faults[0][1] <= now:
                self._start_fault(*faults.pop(0))
            for action, *args in self.scheduled.pop(step, ()):
                action(*args, now)
            self._tick(now)
            per_s, target = self.pattern.demand(now)
            pending += per_s * STEP_S
            refill = self.pattern.per_s * STEP_S
            if now >= self.ideal_from:
                self.ideal_level += refill
            self.ideal_level = min(self.pattern.burst + refill, self.ideal_level)
            running = [i for i in self.instances if now >= i.down_until]
            while pending >= 1 and running:
                pending -= 1
                if target is None:
                    instance = self.rng.choice(running)
                else:
                    instance = running[target % len(running)]
                if self.ideal_level >= 1:
                    self.ideal_level -= 1
                    self.ideal += 1
                self._request(instance, True, now)
        return self._result()

    def _result(self):
        window = int(BOUNDS.quota_window_s / STEP_S)
        sums = [0, *accumulate(self.admitted)]
        most = max(b - a for a, b in zip(sums, sums[window:], strict=False))
        allowed = self.pattern.per_s * BOUNDS.quota_window_s + self.pattern.burst
        bound = allowed * (1 + BOUNDS.quota_overage) + BOUNDS.quota_slack
        return AllotmentResult(most / bound, sums[-1] / self.ideal)

    def _schedule(self, delay_s, action, *args):
        steps = max(1, round(delay_s / STEP_S))
        self.scheduled[self.step + steps].append((action, *args))

    def _request(self, instance, first, now):
        if now < instance.down_until:
            return
        if instance.allotments.try_admit(self.account, now) is None:
            self.admitted[self.step] += 1
            return
        wait_s = instance.allotments.undecided_s(self.account, now)
        if first and wait_s > 0:
            self._schedule(wait_s, self._request, instance, False)

    def _start_process(self, instance, knows_others_at):
        instance.knows_others_at = knows_others_at

        def get_members():
            if self.step * STEP_S < instance.knows_others_at:
                return [instance.info]
            return self.members

        instance.allotments = create_allotments(instance.name, get_members, self.rng)
        instance.allotments.configure(self.cfg, BOUNDS)

    def _add(self, count, knows_others_at):
        first = len(self.instances)
        for number in range(first, first + count):
            self.instances.append(_Instance(number))
            self._start_process(self.instances[-1], knows_others_at)

    def _update_members(self, now):
        self.members = [instance.info for instance in self.instances]

    def _start_fault(self, kind, at, count, duration_s):
        if kind == "cut":
            self.cut_region, self.cut_until = count, at + duration_s
        elif kind == "add":
            self._add(count, at + DISCOVERY_S)
            self._schedule(DISCOVERY_S, self._update_members)
        elif kind == "pause":
            for instance in self.instances[:count]:
                instance.down_until = at + duration_s
        else:
            for instance in self.instances[:count]:
                instance.down_until = at + duration_s
                self._start_process(instance, at + duration_s + DISCOVERY_S)
            if count == len(self.instances):
                self.ideal_level, self.ideal_from = 0.0, at + duration_s + START_S

    def _is_cut(self, sender, peer, now):
        separated = (sender.region == self.cut_region) != (
            peer.region == self.cut_region
        )
        return separated and now < self.cut_until

    def _tick(self, now):
        for sender in self.instances:
            if (self.step + sender.phase) % TICK_STEPS or now < sender.down_until:
                continue
            has_news = sender.allotments.has_news(now) and now >= sender.news_at
            if has_news:
                sender.news_at = now + MAX_NEWS_WAIT_S
            for remote in (False, True):
                self._report(sender, remote, has_news, now)

    def _report(self, sender, remote, has_news, now):
        peers = [
            peer
            for peer in self.instances
            if peer is not sender and (peer.region != sender.region) == remote
        ]
        rate = REMOTE_DATAGRAMS_PER_S if remote else LOCAL_DATAGRAMS_PER_S
        group = ReportGroup(not remote, rate)
        group.peers = len(peers)
        period_s = group.period_s()
        due = now - sender.last_report_at[remote] > period_s - TICK_STEPS * STEP_S / 2
        if not (due or has_news):
            return
        spread_s = 0.0
        if sender.last_report_at[remote] == -math.inf:
            spread_s = period_s * self.rng.random()  # as Fleet does at its first report
        sender.last_report_at[remote] = now - spread_s
        report = sender.allotments.own_report(now)
        if now < sender.knows_others_at:
            return
        report = sender.changed_figures[remote].select(report, now)
        for peer in peers:
            if self._is_cut(sender, peer, now):
                continue
            if self.rng.random() >= DATAGRAM_LOSS_FRACTION:
                delay_s = ONE_WAY_S[remote]
                delay_s += READ_DELAY_FRACTION * period_s * self.rng.random()
                self._schedule(delay_s, self._receive, peer, sender, report)

    def _receive(self, peer, sender, report, now):
        if now >= peer.down_until:
            figures, complete = report
            peer.allotments.receive_report(sender.name, figures, now, complete)
