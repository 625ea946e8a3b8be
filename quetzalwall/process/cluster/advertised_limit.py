"""The rate that an endpoint names for itself, and who sends how much of it."""

import math
from collections import deque

from quetzalwall.process.limits.share import rate_share, rendezvous_order
from quetzalwall.process.sliding_window import SlidingWindow

__all__ = ["ENDED", "AdvertisedLimit"]

SPAN_S = 4.0  # in which what the rate allows is counted
WAY_S = 0.3  # longer than the span: requests take different times to arrive
GRAIN_S = 0.05
USED_PART = 1.1  # of the rate, as parts of instances that send less remain unused
RECENT_S = 1.0
RECENT_PART = 1.3  # of a second's part, so that a limit that falls finds little sent
MOST_PART = 1.25  # of the rate, by what instances have told; and as many requests more
MOST_MORE = 3
LEAST_S = 2.0  # in which the lowest rate named counts: others may still keep to it
SHARE_S = 0.25  # for which a share is kept
SETTLE_S = 2.0  # until all have told what they would send
TOLD_S = 5.0  # for which another instance's figures hold
ENDED_S = 8.0  # for which the end of a limit is told
MOST_PER_S = 1e9
ENDED = -1  # in place of a rate, for an endpoint that names none any more
SECOND_HAND = -1  # in place of an age


class AdvertisedLimit:
    """A limit that an endpoint named in its answers, shared by all instances.

    Parameters
    ----------
    now : float
        Monotonic seconds.

    Attributes
    ----------
    per_s : float or None
        Requests a second that it takes from all instances together; None if it names
        no limit any more.
    last_share : int
        Requests that this instance may send in a span, as last worked out.
    logged : float
        Monotonic seconds of the last line about a change.
    """

    def __init__(self, now):
        self.per_s = None
        self.last_share = 0
        self.logged = -math.inf
        self._lowest = deque()
        self._since = now
        self._at = -math.inf
        self._own_at = -math.inf
        self._wanted = SlidingWindow(SPAN_S, GRAIN_S)
        self._sent = SlidingWindow(SPAN_S + WAY_S, GRAIN_S)
        self._recent = SlidingWindow(RECENT_S, GRAIN_S)
        self._peers = {}
        self._names = None
        self._order = ()
        self._room = 0
        self._share_until = -math.inf

    def record_response(self, per_s, now):
        """Take over what an answer to this instance named.

        Parameters
        ----------
        per_s : float or None
            Requests a second; None if it named no limit.
        now : float
            Monotonic seconds.
        """
        self._own_at = now
        self._set(per_s, now)

    def receive_report(self, instance, figures, now):
        """Take over what another instance tells.

        Parameters
        ----------
        instance : str
            Its name.
        figures : sequence of int
            As `own_report` gives them, without the code.
        now : float
            Monotonic seconds.
        """
        thousandths, age_ms, wanted, sent = figures
        self._peers[instance] = (wanted, sent, now)
        at = now - age_ms / 1000
        if age_ms != SECOND_HAND and at > self._at:
            self._set(None if thousandths == ENDED else thousandths / 1000, at)

    def own_report(self, now):
        """Return what to tell the other instances.

        Parameters
        ----------
        now : float
            Monotonic seconds.

        Returns
        -------
        tuple of int
            The limit in thousandths, the age in ms of the answer that named it, and the
            requests that this instance would have sent and has sent in the last span.
        """
        thousandths = ENDED if self.per_s is None else int(self.per_s * 1000)
        age_ms = SECOND_HAND
        if self._own_at == self._at:
            age_ms = int((now - self._at) * 1000)
        return thousandths, age_ms, self._wanted.total(now), self._sent.total(now)

    def forgettable(self, now):
        """Return whether it has ended, and its end has been told for long enough.

        Parameters
        ----------
        now : float
            Monotonic seconds.

        Returns
        -------
        bool
        """
        return self.per_s is None and now - self._at > ENDED_S

    def record_demand(self, now):
        """Count a request that goes to the endpoint if the limit allows it.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        """
        self._wanted.try_add(1, math.inf, now)

    def record_sent(self, now):
        """Count a request that is sent.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        """
        self._sent.try_add(1, math.inf, now)
        self._recent.try_add(1, math.inf, now)

    def allows(self, endpoint, own, names, now):
        """Return whether this instance may send a request.

        Parameters
        ----------
        endpoint : str
            Identity of the endpoint.
        own : str
            Name of this instance.
        names : sequence of str
            Names of all instances; a list that is never changed.
        now : float
            Monotonic seconds.

        Returns
        -------
        bool
        """
        if self.per_s is None:
            return True
        sent = self._sent.total(now)
        if sent >= self.share(endpoint, own, names, now) or sent >= self._room:
            return False
        return self._recent.total(now) < self._recent_share()

    def share(self, endpoint, own, names, now):
        """Return how many requests this instance may send in a span.

        Parameters
        ----------
        endpoint, own, names, now
            As of `allows`.

        Returns
        -------
        int
            One at least over all instances, so that somebody hears of the end.
        """
        if now < self._share_until and names is self._names:
            return self.last_share
        if names is not self._names:
            self._names, self._order = names, rendezvous_order(endpoint, names)
        allowed = self._lowest_per_s(now) * SPAN_S
        own_report = {n: f for n, f in self._peers.items() if now - f[2] < TOLD_S}
        wanted = None
        if now - self._since > SETTLE_S:
            wanted = {name: figures[0] for name, figures in own_report.items()}
            wanted[own] = self._wanted.total(now)
        whole = max(1, int(allowed * USED_PART))
        self.last_share = rate_share(whole, own, self._order, wanted)
        sent = sum(figures[1] for name, figures in own_report.items())
        self._room = allowed * MOST_PART + MOST_MORE - sent
        self._share_until = now + SHARE_S
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
            Infinity if it has no share.
        """
        span_s = self._sent.wait_s(1, self.last_share, now)
        return max(span_s, self._recent.wait_s(1, self._recent_share(), now))

    def _recent_share(self):
        return math.ceil(RECENT_PART * self.last_share * RECENT_S / SPAN_S)

    def _lowest_per_s(self, now):
        while len(self._lowest) > 1 and self._lowest[1][0] <= now - LEAST_S:
            self._lowest.popleft()
        return min((per_s for _, per_s in self._lowest), default=self.per_s)

    def _set(self, per_s, at):
        if per_s is None:
            self._lowest.clear()
        elif self.per_s != per_s:
            # A rate holds until the next one is named.
            self._lowest.append((at, per_s))
        if per_s is not None and self.per_s is None:
            self._since = at
        if per_s != self.per_s:
            self._share_until = -math.inf
        self.per_s, self._at = per_s, at
