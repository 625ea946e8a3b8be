"""What an instance holds for one service: its queues and observations."""

from quetzalwall.process.placing.loads import create_load, typical_s
from quetzalwall.process.sharing.indexed_set import IndexedSet
from quetzalwall.request.policies import create_policy
from quetzalwall.request.quantile import RunningQuantile
from quetzalwall.request.retry_budget import RetryBudget
from quetzalwall.request.waiting import WaitingLine
from quetzalwall.version.shares import LONG, SHORT, slot_totals

__all__ = ["ServiceState", "group_name"]

DEFAULT_QUEUE_LENGTH = 500
DEFAULT_POLICY = "fastest_sampled"
HEDGE_QUANTILE = 0.95
INITIAL_HEDGE_S = 0.5
INITIAL_LONG_S = 0.5
MEAN_WEIGHT = 0.05
REFRESH_PERIOD_S = 0.1
MOST_USED_FOR_EXTRA = 0.8  # part of the slots in use, up to which hedges are sent
PEAK_DECAY = 0.95  # at each refresh


class ServiceState:
    """Queues, observations and budgets of one service on one instance.

    Parameters
    ----------
    name : str
        Name of the service.
    cfg : dict
        Merged configuration.
    now : float
        Monotonic seconds.

    Attributes
    ----------
    lines : dict of str to WaitingLine
        Kind of slot to the requests waiting for one.
    loads : dict of str to EndpointLoad
        Endpoint to observations.
    slow : IndexedSet
        Endpoints that are avoided.
    typical : float
        Typical duration of short work, in seconds.
    mean_s : dict of str to float
        Kind of slot to the mean time for which work holds one.
    slots : dict of str to int
        Kind of slot to the units that this instance may use.
    peak_used : dict of str to float
        Kind of slot to the most units lately in use.
    budget : RetryBudget
        For hedges, probes and retries.
    hedge_after : RunningQuantile
        Duration after which a short request is hedged.
    """

    def __init__(self, name, cfg, now):
        self.name = name
        self.budget = RetryBudget()
        self.hedge_after = RunningQuantile(HEDGE_QUANTILE, INITIAL_HEDGE_S)
        self.loads = {}
        self.slow = IndexedSet()
        self.typical = typical_s([])
        self.lines = {}
        self.mean_s = {SHORT: self.typical, LONG: INITIAL_LONG_S}
        self._next_refresh = now
        self._used_part = 0.0
        self.slots = {SHORT: 0, LONG: 0}
        self.peak_used = {SHORT: 0.0, LONG: 0.0}
        self.configure(cfg, now)

    def configure(self, cfg, now):
        """Take over another version of the configuration.

        Parameters
        ----------
        cfg : dict
            Merged configuration.
        now : float
            Monotonic seconds.
        """
        spec = cfg["services"][self.name]
        self.endpoints = spec["endpoints"]
        self.hedging = spec.get("hedge", True)
        self.policy = create_policy(spec.get("policy", DEFAULT_POLICY))
        length = spec.get("queue_length", DEFAULT_QUEUE_LENGTH)
        for kind in (SHORT, LONG):
            line = self.lines.setdefault(kind, WaitingLine(length))
            line.length = length
        for endpoint in self.endpoints:
            self.loads.setdefault(endpoint, create_load(now))
        for endpoint in [name for name in self.loads if name not in self.endpoints]:
            del self.loads[endpoint]
            self.slow.discard(endpoint)
        totals = slot_totals(cfg, self.name)
        self.groups = {
            key: group_name(self.name, self.region_of(key), key.rsplit("/", 1)[1])
            for key in totals
        }

        self._keys = {}
        for key in totals:
            kind = key.rsplit("/", 1)[1]
            for region in (None, self.region_of(key)):
                self._keys.setdefault((kind, region), []).append(key)

    def region_of(self, key):
        """Return the region of a slot key.

        Parameters
        ----------
        key : str
            A slot key of this service.

        Returns
        -------
        str
        """
        return self.endpoints[key.rsplit("/", 1)[0]]["region"]

    def keys(self, kind, region=None):
        """Return the slot keys of one kind.

        Parameters
        ----------
        kind : {"short", "long"}
            Kind of slot.
        region : str, default=None
            Only this region's, if given.

        Returns
        -------
        list of str
        """
        return self._keys.get((kind, region), [])

    def note_duration(self, kind, seconds):
        """Record how long work held a slot.

        Parameters
        ----------
        kind : {"short", "long"}
            Kind of work.
        seconds : float
            Duration.
        """
        self.mean_s[kind] += MEAN_WEIGHT * (seconds - self.mean_s[kind])

    def expected_wait_s(self, kind, rank):
        """Return how long a new request will wait for a slot.

        Parameters
        ----------
        kind : {"short", "long"}
            Kind of work.
        rank : int
            Rank of its class.

        Returns
        -------
        float
            Seconds; 0 while the number of slots is not known.
        """
        ahead = self.lines[kind].ahead_of(rank)
        if not ahead or not self.slots[kind]:
            return 0.0
        return ahead * self.mean_s[kind] / self.slots[kind]

    def has_spare(self):
        """Return whether slots are left for requests that callers did not send.

        Returns
        -------
        bool
        """
        return not len(self.lines[SHORT]) and self._used_part <= MOST_USED_FOR_EXTRA

    def refresh(self, ledger, now):
        """Work out the figures that needn't follow each request.

        Parameters
        ----------
        ledger : Ledger
            Units that this instance may use.
        now : float
            Monotonic seconds.
        """
        if now < self._next_refresh:
            return
        self._next_refresh = now + REFRESH_PERIOD_S
        self.typical = typical_s(self.loads.values())
        for kind in (SHORT, LONG):
            keys = self.keys(kind)
            used = sum(ledger.used.get(key, 0) for key in keys)
            self.slots[kind] = sum(ledger.entitled(key, now) for key in keys)
            self.peak_used[kind] = max(used, self.peak_used[kind] * PEAK_DECAY)
            if kind == SHORT:
                self._used_part = used / max(1, self.slots[kind])


def group_name(service, region, kind):
    """Return the name of the keys that are chosen from together.

    Parameters
    ----------
    service, region : str
        Service and region of the endpoints.
    kind : {"short", "long"}
        Kind of slot.

    Returns
    -------
    str
    """
    return f"{service}@{region}/{kind}"
