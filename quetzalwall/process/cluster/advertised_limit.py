"""Rate limit that an endpoint advertises, and each instance's share of it."""

import math
from collections import deque

from quetzalwall.process.limits.share import rate_share, rendezvous_order
from quetzalwall.process.sliding_window import SlidingWindow

__all__ = ["ENDED", "AdvertisedLimit"]

WINDOW_S = 4.0  # over which requests are counted against the rate
ARRIVAL_SPREAD_S = 0.3  # added to the window: requests take different times to arrive
RESOLUTION_S = 0.05
OVERCOMMIT_FACTOR = 1.1  # of the rate, as instances that send less leave shares unused
BURST_WINDOW_S = 1.0
BURST_FACTOR = 1.3  # of a second's share, so that little was sent when a limit falls
# Bound on the requests of all instances together, by their reports: a multiple of the
# rate, and a number of requests beyond it.
MAX_FLEET_FACTOR = 1.25
MAX_FLEET_EXTRA = 3
LOWEST_RATE_HOLD_S = 2.0  # other instances may still apply an earlier, lower rate
SHARE_TTL_S = 0.25  # between two computations of the share
DEMAND_SETTLE_S = 2.0  # until all instances have reported their demand
PEER_FIGURES_TTL_S = 5.0
END_REPORTED_S = 8.0  # for which the end of a limit is reported
MAX_PER_S = 1e9
ENDED = -1  # in place of a rate: the endpoint advertises no limit any more
LEARNED_FROM_PEER = -1  # in place of an age: no response to this instance gave the rate


class AdvertisedLimit:
    """A limit that an endpoint advertises in its responses, shared by all instances.

    Parameters
    ----------
    now : float
        Monotonic seconds.

    Attributes
    ----------
    per_s : float or None
        Requests a second that it accepts from all instances together; None if it
        advertises no limit any more.
    last_share : int
        Requests that this instance may send in a window, as last computed.
    last_logged : float
        Monotonic seconds of the last log line about a change.
    """

    def __init__(self, now):
        self.per_s = None
        self.last_share = 0
        self.last_logged = -math.inf
        self._recent_rates = deque()
        self._limited_since = now
        self._updated_at = -math.inf
        self._own_response_at = -math.inf
        self._demand = SlidingWindow(WINDOW_S, RESOLUTION_S)
        self._sent = SlidingWindow(WINDOW_S + ARRIVAL_SPREAD_S, RESOLUTION_S)
        self._recent_sent = SlidingWindow(BURST_WINDOW_S, RESOLUTION_S)
        self._peer_figures = {}
        self._names = None
        self._order = ()
        self._max_sent = 0
        self._share_valid_until = -math.inf

    def record_response(self, per_s, now):
        """Apply the limit in a response to this instance.

        Parameters
        ----------
        per_s : float or None
            Requests a second; None if the response has no limit.
        now : float
            Monotonic seconds.
        """
        self._own_response_at = now
        self._set_rate(per_s, now)

    def receive_report(self, instance, figures, now):
        """Apply the figures that another instance reports.

        Parameters
        ----------
        instance : str
            Name of the other instance.
        figures : sequence of int
            As `own_report` returns them.
        now : float
            Monotonic seconds.
        """
        thousandths, age_ms, demand, sent = figures
        self._peer_figures[instance] = (demand, sent, now)
        at = now - age_ms / 1000
        if age_ms != LEARNED_FROM_PEER and at > self._updated_at:
            self._set_rate(None if thousandths == ENDED else thousandths / 1000, at)

    def own_report(self, now):
        """Return the figures to report to the other instances.

        Parameters
        ----------
        now : float
            Monotonic seconds.

        Returns
        -------
        tuple of int
            The limit in thousandths, the age in ms of the response that gave it, and
            the requests that this instance would have sent without the limit and those
            that it sent, both in the last window.
        """
        thousandths = ENDED if self.per_s is None else int(self.per_s * 1000)
        age_ms = LEARNED_FROM_PEER
        if self._own_response_at == self._updated_at:
            age_ms = int((now - self._updated_at) * 1000)
        return thousandths, age_ms, self._demand.total(now), self._sent.total(now)

    def is_removable(self, now):
        """Return whether the limit has ended and its end was reported for long enough.

        Parameters
        ----------
        now : float
            Monotonic seconds.

        Returns
        -------
        bool
        """
        return self.per_s is None and now - self._updated_at > END_REPORTED_S

    def record_demand(self, now):
        """Count a request that would go to the endpoint if the limit allows it.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        """
        self._demand.try_add(1, math.inf, now)

    def record_sent(self, now):
        """Count a request that is sent.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        """
        self._sent.try_add(1, math.inf, now)
        self._recent_sent.try_add(1, math.inf, now)

    def allows(self, endpoint, own, names, now):
        """Return whether this instance may send a request.

        Parameters
        ----------
        endpoint : str
            Identity of the endpoint.
        own : str
            Name of this instance.
        names : sequence of str
            Names of all instances; a list that is never modified.
        now : float
            Monotonic seconds.

        Returns
        -------
        bool
        """
        if self.per_s is None:
            return True
        sent = self._sent.total(now)
        if sent >= self.share(endpoint, own, names, now) or sent >= self._max_sent:
            return False
        return self._recent_sent.total(now) < self._burst_share()

    def share(self, endpoint, own, names, now):
        """Return how many requests this instance may send in a window.

        Parameters
        ----------
        endpoint, own, names, now
            As of `allows`.

        Returns
        -------
        int
            At least 1 over all instances, so that one of them learns when the limit
            ends.
        """
        if now < self._share_valid_until and names is self._names:
            return self.last_share
        if names is not self._names:
            self._names, self._order = names, rendezvous_order(endpoint, names)
        allowed = self._lowest_recent_per_s(now) * WINDOW_S
        reported = {
            peer: values
            for peer, values in self._peer_figures.items()
            if now - values[2] < PEER_FIGURES_TTL_S
        }
        demands = None
        if now - self._limited_since > DEMAND_SETTLE_S:
            demands = {name: figures[0] for name, figures in reported.items()}
            demands[own] = self._demand.total(now)
        total = max(1, int(allowed * OVERCOMMIT_FACTOR))
        self.last_share = rate_share(total, own, self._order, demands)
        sent = sum(figures[1] for name, figures in reported.items())
        self._max_sent = allowed * MAX_FLEET_FACTOR + MAX_FLEET_EXTRA - sent
        self._share_valid_until = now + SHARE_TTL_S
        return self.last_share

    def wait_s(self, now):
        """Return the seconds until this instance may send a request.

        Parameters
        ----------
        now : float
            Monotonic seconds.

        Returns
        -------
        float
            Infinity if this instance has no share.
        """
        window_s = self._sent.wait_s(1, self.last_share, now)
        return max(window_s, self._recent_sent.wait_s(1, self._burst_share(), now))

    def _burst_share(self):
        return math.ceil(BURST_FACTOR * self.last_share * BURST_WINDOW_S / WINDOW_S)

    def _lowest_recent_per_s(self, now):
        while (
            len(self._recent_rates) > 1
            and self._recent_rates[1][0] <= now - LOWEST_RATE_HOLD_S
        ):
            self._recent_rates.popleft()
        return min((per_s for _, per_s in self._recent_rates), default=self.per_s)

    def _set_rate(self, per_s, at):
        if per_s is None:
            self._recent_rates.clear()
        elif self.per_s != per_s:
            # A rate holds until the endpoint advertises the next one.
            self._recent_rates.append((at, per_s))
        if per_s is not None and self.per_s is None:
            self._limited_since = at
        if per_s != self.per_s:
            self._share_valid_until = -math.inf
        self.per_s, self._updated_at = per_s, at
