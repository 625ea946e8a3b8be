"""Allotments of client accounts: limits on their requests over all instances."""

import math

import xxhash

from quetzalwall.process.limits.account_bucket import AccountBucket

__all__ = ["Allotments", "create_allotments"]

REFRESH_S = 0.25  # between two computations of what the other instances may use
HORIZON_PERIODS = 1.5  # report periods in which the instances spend what is left
MIN_HORIZON_S = 0.5
MIN_PERIOD_S, MAX_PERIOD_S = 0.1, 4.0
PERIOD_MEMORY_S = 20.0  # time constant with which the longest period is forgotten
FIRST_REPORTS = 5  # from which the usual period is learned
OVERDUE_PERIODS = 2.5  # one lost report is no sign of a partition
OVERDUE_EXTRA_S = 0.3
STALL_S = 1.5  # without a report of this process, which it makes each 0.7 s at most
# After its start a process admits nothing until it can know the others' demand.
START_S = 1.0


class _Arrivals:
    """When reports arrive, from one other instance or from a failure domain."""

    __slots__ = ("codes", "count", "last_at", "period_s")

    def __init__(self, now):
        self.last_at = now
        self.period_s = 0.0
        self.count = 0
        self.codes = set()

    def record(self, now):
        gap_s = now - self.last_at
        self.count += 1
        if self.count > FIRST_REPORTS:
            # An interruption is no usual period; the next one is noticed as soon.
            usual_s = max(MIN_PERIOD_S, self.period_s)
            gap_s = min(gap_s, OVERDUE_PERIODS * usual_s)
        period_s = self.period_s * math.exp(-gap_s / PERIOD_MEMORY_S)
        self.period_s = max(min(MAX_PERIOD_S, gap_s), period_s)
        self.last_at = now

    def lateness(self, now):
        """Return the time since the last report, as a ratio to the longest expected."""
        limit_s = OVERDUE_PERIODS * self.period_s + OVERDUE_EXTRA_S
        return (now - self.last_at) / limit_s


class Allotments:
    """Decides which requests of accounts with a limit this instance admits.

    Parameters
    ----------
    own : str
        Name of this instance.
    get_members : callable
        Returns the infos of all instances that may be running, this one included.
    rng : random.Random
        Source of randomness.
    """

    def __init__(self, own, get_members, rng):
        self._own = own
        self._get_members = get_members
        self._rng = rng
        self._buckets = {}
        self._by_code = {}
        self._listed = set()  # codes of the accounts in the last report
        self._accounts = {}
        self._peers = {}
        self._started_at = None
        self._last_report_at = None
        self._refresh_at = 0.0
        self._overdue = set()
        self._domains = {}
        self._arrivals_by_domain = {}

    def configure(self, cfg, bounds):
        """Apply the accounts of a configuration.

        A raised limit holds at once. So does a lowered one: what was admitted before
        counts against it for one window.

        Parameters
        ----------
        cfg : Configuration or None
            The active configuration; None if there is none yet.
        bounds : Bounds
            Bounds set by the operators.
        """
        accounts = cfg.accounts.by_name if cfg is not None and cfg.accounts else {}
        self._accounts = {n: a for n, a in accounts.items() if a.per_s > 0}
        for name in self._buckets.keys() - self._accounts.keys():
            del self._buckets[name]
        for name, account in self._accounts.items():
            bucket = self._buckets.get(name)
            if bucket is None:
                # An account that is new to this process begins with an empty bucket.
                bucket = AccountBucket(self._rng.random(), self._fill_from())
                self._buckets[name] = bucket
            elif self._last_report_at is not None:
                bucket.settle(self._last_report_at)
            bucket.configure(account, bounds)
        self._by_code = {_account_code(n): b for n, b in self._buckets.items()}
        self._listed &= self._by_code.keys()

    def try_admit(self, account, now):
        """Admit a request of an account, or return when capacity is expected.

        Parameters
        ----------
        account : ClientAccount or None
            The account of the request.
        now : float
            Monotonic seconds.

        Returns
        -------
        float or None
            Seconds until capacity is expected; None if the request is admitted.
        """
        bucket = None if account is None else self._buckets.get(account.name)
        if bucket is None:
            return None
        self._begin(now)
        if now >= self._refresh_at:
            self._refresh(now)
        return bucket.try_admit(now)

    def undecided_s(self, account, now):
        """Return for how long a rejection may be due to missing reports only.

        When the demand of an account rises, the other instances may have the same rise;
        their reports tell within this time.

        Parameters
        ----------
        account : ClientAccount
            The account.
        now : float
            Monotonic seconds.

        Returns
        -------
        float
            Seconds; 0 if a rejection is final.
        """
        bucket = self._buckets.get(account.name)
        return 0.0 if bucket is None else bucket.undecided_s(now)

    def give_back(self, account, now):
        """Return the credit of an admitted request that was not sent.

        Parameters
        ----------
        account : ClientAccount or None
            The account of the request.
        now : float
            Monotonic seconds.
        """
        bucket = None if account is None else self._buckets.get(account.name)
        if bucket is not None:
            bucket.settle(now)
            bucket.give_back()

    def own_report(self, now):
        """Return the figures of active accounts, to report to the other instances.

        Parameters
        ----------
        now : float
            Monotonic seconds.

        Returns
        -------
        list of (int, int, int, int)
            Code of an account, and the figures of `AccountBucket.own_figures`.
        """
        self._begin(now)
        self._last_report_at = now
        if self._buckets and now >= self._refresh_at:
            self._refresh(now)
        figures = []
        for code, bucket in self._by_code.items():
            if bucket.is_active(now):
                figures.append((code, *bucket.own_figures(now)))
                self._listed.add(code)
            elif code not in self._listed:
                continue
            else:
                self._listed.discard(code)
            bucket.mark_reported()
            bucket.news_pending = False
        return figures

    def has_news(self, now):
        """Return whether the demand of an account has changed since the last report.

        Parameters
        ----------
        now : float
            Monotonic seconds.

        Returns
        -------
        bool
        """
        for bucket in self._buckets.values():
            if bucket.is_active(now):
                bucket.check_fall(now)
                if bucket.news_pending:
                    return True
        return False

    def receive_report(self, instance, figures, now, complete=True):
        """Apply the figures that another instance reports.

        Parameters
        ----------
        instance : str
            Its name.
        figures : iterable of (int, int, int, int)
            As of `own_report`.
        now : float
            Monotonic seconds.
        complete : bool, default=True
            Whether accounts without figures have become inactive; otherwise their
            figures have not changed.
        """
        self._begin(now)
        peer = self._peers.get(instance)
        if peer is None:
            peer = self._peers[instance] = _Arrivals(now)
        peer.record(now)
        domain = self._domains.get(instance)
        if domain in self._arrivals_by_domain:
            self._arrivals_by_domain[domain].record(now)
        if instance in self._overdue:
            self._overdue.discard(instance)
            for bucket in self._buckets.values():
                bucket.receive_inactive(instance, now)
        elif not figures and not peer.codes:
            return
        codes = set() if complete else peer.codes
        for code, *account_figures in figures:
            bucket = self._by_code.get(code)
            if bucket is not None:
                codes.add(code)
                bucket.receive(instance, account_figures, now)
        if not complete:
            return
        for code in peer.codes - codes:
            bucket = self._by_code.get(code)
            if bucket is not None:
                bucket.receive_inactive(instance, now)
        peer.codes = codes

    def status(self, name, now):
        """Return the figures of an account, for logs and metrics.

        Parameters
        ----------
        name : str
            Name of the account.
        now : float
            Monotonic seconds.

        Returns
        -------
        dict or None
            None if the account has no limit.
        """
        bucket = self._buckets.get(name)
        if bucket is None:
            return None
        bucket.settle(now)
        demand_hundredths, _, admitted = bucket.own_figures(now)
        return {
            "per_s": bucket.per_s,
            "burst": bucket.burst,
            "left": bucket.level,
            "demand_per_s": demand_hundredths / 100,
            "fleet_demand_per_s": bucket.fleet_demand_per_s(),
            "admitted": admitted,
        }

    def _fill_from(self):
        """Return when a new bucket begins to fill; None before the first call."""
        if self._started_at is None:
            return None
        return max(self._started_at + START_S, self._last_report_at)

    def _begin(self, now):
        """Detect the start of the process, and that it was stalled."""
        if self._started_at is None:
            self._started_at = now
            for bucket in self._buckets.values():
                bucket.start(now + START_S)
        elif now - self._last_report_at > STALL_S:
            for bucket in self._buckets.values():
                bucket.discard_credit(now)
            self._refresh_at = now
        if self._last_report_at is None or now > self._last_report_at + STALL_S:
            self._last_report_at = now

    def _refresh(self, now):
        self._refresh_at = now + REFRESH_S
        members = self._get_members()
        self._domains = {info.name: info.domain for info in members}
        for name in self._peers.keys() - self._domains.keys():
            del self._peers[name]
            self._overdue.discard(name)
            for bucket in self._buckets.values():
                bucket.remove_peer(name, now)
        overdue, recent = [], set()
        longest_s = 0.0
        for name, domain in self._domains.items():
            if name == self._own:
                continue
            peer = self._peers.get(name)
            if peer is None:
                # The first report of a member counts as expected now.
                peer = self._peers[name] = _Arrivals(now)
            longest_s = max(longest_s, peer.period_s)
            arrivals = self._arrivals_by_domain.get(domain)
            if arrivals is None:
                arrivals = self._arrivals_by_domain[domain] = _Arrivals(now)
            # A partitioned instance finds the others overdue after the same time, and
            # then uses no more than an even share.
            lateness = max(peer.lateness(now), arrivals.lateness(now))
            if lateness > 1:
                overdue.append(name)
                if lateness <= 2:
                    recent.add(name)
        self._overdue = set(overdue)
        horizon_s = max(MIN_HORIZON_S, HORIZON_PERIODS * longest_s)
        for bucket in self._buckets.values():
            bucket.settle(now)
            late = overdue
            if now < bucket.risen_at + MAX_PERIOD_S:
                late = overdue + self._unconfirmed(bucket.risen_at)
            bucket.set_fleet(len(members), horizon_s, late, recent)

    def _unconfirmed(self, risen_at):
        """Return the instances in failure domains without a report since a rise.

        They may be partitioned, which their overdue reports show only later.
        """
        silent = {
            domain
            for domain, arrivals in self._arrivals_by_domain.items()
            if arrivals.last_at <= risen_at
        }
        return [
            name
            for name, domain in self._domains.items()
            if domain in silent and name != self._own and name not in self._overdue
        ]


def _account_code(name):
    return xxhash.xxh32_intdigest(name.encode())


def create_allotments(own, get_members, rng):
    """Return allotments without accounts.

    Parameters
    ----------
    own, get_members, rng
        As of `Allotments`.

    Returns
    -------
    Allotments
    """
    return Allotments(own, get_members, rng)
