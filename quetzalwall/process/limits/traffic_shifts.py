"""Planned shifts of traffic between regions, limited by caps that operators set.

A cap limits how many requests are moved in any interval, over all instances. It is
divided between the instances of the source region; each counts the requests that it
moves in a sliding window. How fast a shift proceeds within its cap depends on the load
of the receiving region.
"""

from quetzalwall.process.limits.share import even_share
from quetzalwall.process.sliding_window import SlidingWindow

__all__ = ["ShiftProgress", "TrafficShifts", "create_traffic_shifts"]

ADJUST_PERIOD_S = 1.0
FRACTION_INCREMENT = 0.1  # added to the fraction of traffic at each adjustment
DECREASE_FACTOR = 0.5  # applied to it while the receiving region is overloaded
MAX_SLOWNESS = 1.5  # of the receiving region; 1.0 is its usual service time
MIN_HEADROOM_FRACTION = 0.1  # of the receiving region's slots that have to be free


class ShiftProgress:
    """Progress of one shift on this instance.

    Parameters
    ----------
    shift : Shift
        The shift.
    now : float
        Monotonic seconds.

    Attributes
    ----------
    shift : Shift
        The shift as last configured.
    fraction : float
        Fraction of the traffic that is currently to be moved, 0 to 1.
    reason : str
        Reason for the last adjustment of the fraction.
    window : SlidingWindow
        Counts the requests that this instance moved.
    """

    def __init__(self, shift, now):
        self.shift = shift
        self.fraction = 0.0
        self.reason = "start"
        self.window = SlidingWindow(shift.interval_s)
        self._next_adjustment = now

    def adjust(self, headroom, slowness, now):
        """Adjust the fraction to the load of the receiving region.

        Does nothing if the last adjustment was less than `ADJUST_PERIOD_S` ago.

        Parameters
        ----------
        headroom : float
            Fraction of the receiving region's slots that are free, 0 to 1.
        slowness : float
            Service time in the receiving region, relative to the usual one (1.0).
        now : float
            Monotonic seconds.
        """
        if now < self._next_adjustment:
            return
        self._next_adjustment = now + ADJUST_PERIOD_S
        if not self.shift.running:
            self.fraction, self.reason = 0.0, "stopped"
        elif headroom < MIN_HEADROOM_FRACTION:
            self.fraction, self.reason = DECREASE_FACTOR * self.fraction, "headroom"
        elif slowness > MAX_SLOWNESS:
            self.fraction *= DECREASE_FACTOR
            self.reason = "receiving region slower"
        else:
            self.fraction = min(self.shift.fraction, self.fraction + FRACTION_INCREMENT)
            self.reason = "within limits"


class TrafficShifts:
    """All configured shifts, and their progress on this instance.

    Parameters
    ----------
    endpoints : EndpointTable
        Endpoints whose slots and slowness show the load of a region.
    fleet : Fleet
        The instances that share the caps.
    rng : random.Random
        Decides which requests are to be moved.
    monotonic : callable
        Returns monotonic seconds.
    """

    def __init__(self, endpoints, fleet, rng, monotonic):
        self._endpoints = endpoints
        self._fleet = fleet
        self._rng = rng
        self._monotonic = monotonic
        self._progress = {}

    def configure(self, shifts):
        """Apply the shifts of a new configuration.

        A shift that was configured before keeps its progress and its count of moved
        requests, unless its interval changes.

        Parameters
        ----------
        shifts : sequence of Shift
            The shifts.
        """
        now = self._monotonic()
        previous, self._progress = self._progress, {}
        for shift in shifts:
            progress = previous.get(shift.name)
            if progress is None or progress.shift.interval_s != shift.interval_s:
                progress = ShiftProgress(shift, now)
            progress.shift = shift
            self._progress[shift.name] = progress

    def progress(self, name):
        """Return the progress of a shift.

        Parameters
        ----------
        name : str
            Name of the shift.

        Returns
        -------
        ShiftProgress
        """
        return self._progress[name]

    def choose_shift(self, service, now):
        """Return the shift that should move a request, or None.

        Parameters
        ----------
        service : str
            Service that the request is for.
        now : float
            Monotonic seconds.

        Returns
        -------
        ShiftProgress or None
            None if the request should stay in its region.
        """
        for progress in self._progress.values():
            shift = progress.shift
            if shift.service != service or shift.source != self._fleet.own_info.region:
                continue
            if not shift.running or self._rng.random() >= progress.fraction:
                continue
            if progress.window.total(now) < self.cap_share(shift):
                return progress
        return None

    def cap_share(self, shift):
        """Return this instance's share of a shift's cap.

        Parameters
        ----------
        shift : Shift
            The shift.

        Returns
        -------
        int
            Requests per interval; 0 if this instance is not in the source region.
        """
        if shift.source != self._fleet.own_info.region:
            return 0
        names = self._fleet.names(shift.source)
        return even_share(shift.cap, shift.name, self._fleet.own_info.name, names)

    def record_move(self, progress, now):
        """Count one request as moved.

        Parameters
        ----------
        progress : ShiftProgress
            The shift that moves the request, from `choose_shift`.
        now : float
            Monotonic seconds.
        """
        progress.window.try_add(1, self.cap_share(progress.shift), now)

    def adjust(self):
        """Adjust each shift to the load of its receiving region."""
        now = self._monotonic()
        for progress in self._progress.values():
            shift = progress.shift
            states = [
                state
                for state in self._endpoints.routable_endpoints(shift.service)
                if state.region == shift.destination
            ]
            slots = sum(state.entry.slots for state in states)
            used = sum(min(state.in_flight(), state.entry.slots) for state in states)
            headroom = 1 - used / slots if slots else 0.0
            slowness = [state.slowness(now) for state in states]
            mean_slowness = sum(slowness) / len(slowness) if slowness else 1.0
            progress.adjust(headroom, mean_slowness, now)

    def status(self):
        """Return the state of all shifts, for operators.

        Returns
        -------
        dict of str to dict
            By the name of the shift.
        """
        now = self._monotonic()
        return {
            name: {
                "fraction": round(progress.fraction, 3),
                "target": progress.shift.fraction,
                "moved": progress.window.total(now),
                "limit": self.cap_share(progress.shift),
                "reason": progress.reason,
            }
            for name, progress in self._progress.items()
        }


def create_traffic_shifts(endpoints, fleet, rng, monotonic):
    """Return the shifts of one instance; none are configured yet.

    Parameters
    ----------
    endpoints, fleet, rng, monotonic
        As of `TrafficShifts`.

    Returns
    -------
    TrafficShifts
    """
    return TrafficShifts(endpoints, fleet, rng, monotonic)
