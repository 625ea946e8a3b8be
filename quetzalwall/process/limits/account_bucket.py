"""Token bucket of one client account over all instances, as one of them sees it."""

import math

from quetzalwall.process.limits.demand_meter import DEMAND_SPAN_S, DemandMeter
from quetzalwall.process.limits.peer_use import PeerUse
from quetzalwall.process.sliding_window import SlidingWindow

__all__ = ["AccountBucket"]

# Demand that rises by this factor and this number of requests is reported at once.
RISE_FACTOR = 1.5
RISE_REQUESTS = 2.0
FALL_FACTOR = 0.4  # demand that falls below it is reported at once as well
# Until the other instances have reported such a rise of their own: a tick of 0.1 s,
# 35 ms between regions, and a read delay of up to 0.1 s.
RISE_SETTLE_S = 0.3
# A further rise within it is reported as well, but the others have shown theirs.
RISE_CALM_S = 1.5
MAX_STEP_S = 0.1  # of the integration of the level
MIN_STEP_S = 0.02  # reports arrive every few ms, and each would integrate the level
ALONE_SPEND_S = 0.01  # in which an instance alone may spend what is left
CAP_FRACTION = 0.15  # of the slack; added to the burst, for credit unused by late views
FLOOR_FRACTION = 0.25  # of the slack; the level may be below zero by it with others
RESOLUTION_S = 0.1
MIN_WAIT_S = 0.05


class AccountBucket:
    """The level of the bucket, the reported demand and the own admissions.

    Between two reports, the other instances are expected to admit the same fraction of
    their demand as this one; the next report corrects the level by the difference.

    Parameters
    ----------
    initial_credit : float
        From 0 to 1: fraction of a request that is admitted already. Random, so that
        instances with few requests each don't admit in lockstep.
    now : float or None
        Monotonic seconds; the bucket is empty then. None until `start` tells it.

    Attributes
    ----------
    per_s, burst : float
        The allotment.
    level : float
        Requests that all instances together may admit now; negative after an overrun.
    peers : dict of str to PeerUse
        Other instances with figures on this account, by name.
    admitted_total : int
        Own admissions since the start of the process.
    risen_at : float
        Monotonic seconds at which the own demand last rose.
    news_pending : bool
        Whether the own demand has changed and should be reported at once.
    """

    def __init__(self, initial_credit, now):
        self.per_s = self.burst = 0.0
        self.level = 0.0
        self.peers = {}
        self.admitted_total = 0
        self.news_pending = False
        self._cap = self._slack = 0.0
        self._window_s = 0.0
        self._admitted = None
        self._updated_at = self._began_at = math.inf if now is None else now
        self._last_asked_at = -math.inf
        self._credit = initial_credit
        self._returned = 0
        self._reported_per_s = 0.0
        self.risen_at = -math.inf
        self._peers_per_s = 0.0
        self._demand = DemandMeter()
        self._ratio_sum = 0.0  # integral of the admitted fraction of the demand
        self._overdue_count = 0
        self._live_count = 1
        self._even_sum = 0.0  # integral of what an overdue instance is taken to admit
        self._horizon_s = 0.5
        self._size = 1

    def configure(self, account, bounds):
        """Set the allotment.

        Parameters
        ----------
        account : ClientAccount
            The account.
        bounds : Bounds
            Bounds set by the operators.
        """
        self.per_s, self.burst = account.per_s, account.burst
        allowed = account.per_s * bounds.quota_window_s + account.burst
        self._slack = allowed * bounds.quota_overage + bounds.quota_slack
        self._cap = account.burst + CAP_FRACTION * self._slack
        self.level = min(self.level, self._cap)
        if self._window_s != bounds.quota_window_s:
            self._window_s = bounds.quota_window_s
            self._admitted = SlidingWindow(self._window_s, RESOLUTION_S)

    def start(self, at):
        """Begin with an empty bucket, which fills from then on.

        Parameters
        ----------
        at : float
            Monotonic seconds.
        """
        self.level, self._updated_at, self._began_at = 0.0, at, at

    def fleet_demand_per_s(self):
        """Return the demand of all instances in requests a second.

        Returns
        -------
        float
        """
        return self._demand.per_s() + self._others_per_s()

    def is_active(self, now):
        """Return whether the account had requests here in the last window.

        Returns
        -------
        bool
        """
        return now - self._last_asked_at < self._window_s

    def set_fleet(self, size, horizon_s, overdue, recent):
        """Apply what is known of the other instances.

        Parameters
        ----------
        size : int
            Number of instances, this one included.
        horizon_s : float
            Seconds in which the instances together spend what is left.
        overdue : sequence of str
            Instances whose reports are overdue; they are taken to use an even share.
        recent : set of str
            Those of them that may still use the share that they reported last, if it is
            larger.
        """
        self._size, self._horizon_s = size, horizon_s
        self._live_count = max(1, size - len(overdue))
        if self._overdue_count:
            overdue_set = set(overdue)
            for name, peer in self.peers.items():
                if name not in overdue_set:
                    self._end_overdue(peer)
        for name in overdue:
            peer = self.peers.get(name)
            if peer is None:
                peer = self.peers[name] = PeerUse()
            if peer.even_sum is not None:
                continue
            if name in recent and peer.demand_per_s > self._even_per_s():
                continue
            self._replace_demand(peer, 0.0)
            peer.even_sum = self._even_sum
            self._overdue_count += 1

    def settle(self, now):
        """Bring the level up to date.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        """
        elapsed_s = now - self._updated_at
        if elapsed_s < MIN_STEP_S:
            return
        self._updated_at = now
        others_per_s = self._others_per_s()
        if not others_per_s:
            self.level = min(self._cap, self.level + self.per_s * elapsed_s)
            self._ratio_sum += elapsed_s
            return
        steps = min(50, math.ceil(elapsed_s / MAX_STEP_S))
        step_s = elapsed_s / steps
        total_per_s = others_per_s + self._demand.per_s()
        even_per_s = self._even_per_s()
        for _ in range(steps):
            ratio = self._ratio(total_per_s, self._horizon_s)
            self._ratio_sum += ratio * step_s
            self._even_sum += even_per_s * ratio * step_s
            self.level += (self.per_s - others_per_s * ratio) * step_s
            self.level = min(self._cap, self.level)

    def discard_credit(self, now):
        """Empty the bucket: this process missed what others admitted."""
        self.settle(now)
        self.level = min(self.level, 0.0)

    def try_admit(self, now):
        """Admit a request, or return the seconds until capacity is expected.

        Parameters
        ----------
        now : float
            Monotonic seconds.

        Returns
        -------
        float or None
            None if the request is admitted.
        """
        self.settle(now)
        self._demand.settle(now)
        self._last_asked_at = now
        own_per_s = self._demand.per_s()  # of the requests before this one
        self._demand.record(now)
        self._check_rise(now)
        others_per_s = self._others_per_s()
        blind_s = self.risen_at + RISE_SETTLE_S - now
        if blind_s > 0:
            # The others may have the same rise and not have reported it yet.
            own_per_s = self._demand.recent_per_s
            others_per_s = max(others_per_s, (self._size - 1) * own_per_s)
        total_per_s = others_per_s + own_per_s
        share = own_per_s / total_per_s if total_per_s else 1.0
        # The others expect each instance to take the horizon, unless it is alone.
        spend_s = ALONE_SPEND_S + self._horizon_s * min(1.0, 2 * (1 - share))
        ratio = self._ratio(total_per_s, spend_s)
        has_level = self.level >= 1 - (1 - share) * FLOOR_FRACTION * self._slack
        self._credit = min(2.0, self._credit + ratio)
        if has_level and self._credit >= 1:
            self._credit -= 1
            self._record_admitted(now)
            return None
        self._credit = min(1.0, self._credit)
        return self._wait_s(ratio)

    def undecided_s(self, now):
        """Return for how long a rejection may be due to missing reports only.

        Returns
        -------
        float
            Seconds; 0 if a rejection is final.
        """
        if self.level < 1:
            return 0.0
        return max(0.0, self.risen_at + RISE_SETTLE_S - now)

    def give_back(self):
        """Return the credit of a request that was admitted and is not sent."""
        self.level = min(self._cap, self.level + 1)
        self._credit = min(1.0, self._credit + 1)
        # The reported total never falls, since that would look like a restart; the next
        # admission is not counted instead.
        self._returned += 1

    def own_figures(self, now):
        """Return the figures to report.

        Returns
        -------
        (int, int, int)
            Demand in hundredths of a request a second, requests admitted since the
            process started, and those admitted in the last window.
        """
        self._demand.settle(now)
        hundredths = round(self._demand.per_s() * 100)
        return hundredths, self.admitted_total, self._admitted.total(now)

    def check_fall(self, now):
        """Request an early report if the demand has fallen: it may have moved."""
        self._demand.settle(now)
        limit = FALL_FACTOR * self._reported_per_s - RISE_REQUESTS / DEMAND_SPAN_S
        if self._demand.recent_per_s < limit:
            self.news_pending = True

    def mark_reported(self):
        """Remember the demand that all other instances have been sent."""
        self._reported_per_s = self._demand.per_s()

    def receive(self, instance, figures, now):
        """Apply the figures of another instance.

        Parameters
        ----------
        instance : str
            Its name.
        figures : (int, int, int)
            As of `own_figures`.
        now : float
            Monotonic seconds.
        """
        self.settle(now)
        hundredths, total, in_window = figures
        peer = self.peers.get(instance)
        if peer is None:
            peer = self.peers[instance] = PeerUse()
            peer.ratio_sum = self._ratio_sum
        age_s = max(0.0, now - self._began_at)
        bucket_fraction = min(1.0, age_s / self._window_s)
        admitted = peer.receive_admitted(total, in_window, bucket_fraction)
        self._end_overdue(peer)
        self._replace_demand(peer, hundredths / 100)
        self.level = min(self._cap, self.level + peer.predicted - admitted)
        peer.predicted = 0.0

    def receive_inactive(self, instance, now):
        """Apply a report of another instance that has no figures on this account.

        Parameters
        ----------
        instance : str
            Its name.
        now : float
            Monotonic seconds.
        """
        peer = self.peers.get(instance)
        if peer is None:
            return
        self.settle(now)
        self._end_overdue(peer)
        self._replace_demand(peer, 0.0)
        self.level = min(self._cap, self.level + peer.predicted)
        peer.predicted = 0.0

    def remove_peer(self, instance, now):
        """Forget an instance that is no longer a member."""
        peer = self.peers.pop(instance, None)
        if peer is not None:
            self.settle(now)
            self._end_overdue(peer)
            self._replace_demand(peer, 0.0)

    def _others_per_s(self):
        if not self._overdue_count:
            return self._peers_per_s
        return self._peers_per_s + self._overdue_count * self._even_per_s()

    def _even_per_s(self):
        return (self._demand.per_s() + self._peers_per_s) / self._live_count

    def _end_overdue(self, peer):
        if peer.even_sum is not None:
            peer.predicted += self._even_sum - peer.even_sum
            peer.even_sum = None
            self._overdue_count -= 1

    def _replace_demand(self, peer, demand_per_s):
        peer.predicted += peer.demand_per_s * (self._ratio_sum - peer.ratio_sum)
        peer.ratio_sum = self._ratio_sum
        self._peers_per_s = max(
            0.0, self._peers_per_s + demand_per_s - peer.demand_per_s
        )
        peer.demand_per_s = demand_per_s

    def _ratio(self, total_per_s, spend_s):
        """Return the fraction of a demand that may be admitted, from 0 to 1."""
        if total_per_s <= 0:
            return 1.0
        return min(1.0, max(0.0, (self.per_s + self.level / spend_s) / total_per_s))

    def _record_admitted(self, now):
        self.level -= 1
        if self._returned:
            self._returned -= 1
            return
        self.admitted_total += 1
        self._admitted.try_add(1, math.inf, now)

    def _check_rise(self, now):
        threshold = RISE_FACTOR * self._reported_per_s + RISE_REQUESTS / DEMAND_SPAN_S
        if self._demand.recent_per_s <= threshold:
            return
        if now > self.risen_at + RISE_CALM_S:
            self.risen_at = now
        self.news_pending = True
        self._reported_per_s = self._demand.recent_per_s

    def _wait_s(self, ratio):
        level_s = (1 - self.level) / self.per_s
        ratio_s = self._window_s
        if ratio:
            ratio_s = (1 - self._credit) / (ratio * max(1.0, self._demand.per_s()))
        return min(self._window_s, max(MIN_WAIT_S, level_s, ratio_s))
