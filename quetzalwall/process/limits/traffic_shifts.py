"""Planned moves of traffic between regions, under the operators' caps.

A cap counts the requests that are moved in any interval, over all instances. It is
divided over the instances of the region that traffic leaves; each counts its part in a
sliding window. How fast a shift goes within its cap follows from how the receiving
region does.
"""

from quetzalwall.process.limits.share import even_share
from quetzalwall.process.sliding_window import SlidingWindow

__all__ = ["ShiftProgress", "TrafficShifts", "create_traffic_shifts"]

STEP_PERIOD_S = 1.0
STEP_UP = 0.1  # part of the traffic added at each step
STEP_DOWN = 0.5  # factor at a step when the receiving region does badly
SLOWER_RATIO = 1.5  # of usual work: the receiving region does badly
LEAST_HEADROOM = 0.1  # of the receiving region's slots


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
    fraction : float
        Part of the traffic now offered to the other region.
    reason : str
        Why the last step went as it did.
    """

    def __init__(self, shift, now):
        self.shift = shift
        self.fraction = 0.0
        self.reason = "start"
        self.window = SlidingWindow(shift.interval_s)
        self._next_step = now

    def adjust(self, headroom, slowness, now):
        """Adapt the fraction to how the receiving region does.

        Parameters
        ----------
        headroom : float
            Free part of the slots in the receiving region, 0 to 1.
        slowness : float
            How long work takes there, 1.0 being usual.
        now : float
            Monotonic seconds.
        """
        if now < self._next_step:
            return
        self._next_step = now + STEP_PERIOD_S
        if not self.shift.running:
            self.fraction, self.reason = 0.0, "stopped"
        elif headroom < LEAST_HEADROOM:
            self.fraction, self.reason = STEP_DOWN * self.fraction, "headroom"
        elif slowness > SLOWER_RATIO:
            self.fraction *= STEP_DOWN
            self.reason = "receiving region slower"
        else:
            self.fraction = min(self.shift.fraction, self.fraction + STEP_UP)
            self.reason = "within limits"


class TrafficShifts:
    """All shifts on this instance.

    Parameters
    ----------
    endpoints : EndpointTable
        Tells how regions do.
    fleet : Fleet
        The instances that share the caps.
    rng : random.Random
        Decides which requests are offered to the other region.
    monotonic : callable
        Clock in seconds.
    """

    def __init__(self, endpoints, fleet, rng, monotonic):
        self._endpoints = endpoints
        self._fleet = fleet
        self._rng = rng
        self._monotonic = monotonic
        self._progress = {}

    def configure(self, shifts):
        """Take over the shifts of a configuration; those that stay keep their counts.

        Parameters
        ----------
        shifts : sequence of Shift
            The shifts.
        """
        now = self._monotonic()
        old, self._progress = self._progress, {}
        for shift in shifts:
            progress = old.get(shift.name)
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
            Service of the request.
        now : float
            Monotonic seconds.

        Returns
        -------
        ShiftProgress or None
        """
        for progress in self._progress.values():
            shift = progress.shift
            if shift.service != service or shift.source != self._fleet.own_info.region:
                continue
            if not shift.running or self._rng.random() >= progress.fraction:
                continue
            if progress.window.total(now) < self.part(shift):
                return progress
        return None

    def part(self, shift):
        """Return this instance's part of a shift's cap.

        Parameters
        ----------
        shift : Shift
            The shift.

        Returns
        -------
        int
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
            From `choose_shift`.
        now : float
            Monotonic seconds.
        """
        progress.window.try_add(1, self.part(progress.shift), now)

    def adjust(self):
        """Let each shift adapt to how its receiving region does."""
        now = self._monotonic()
        for progress in self._progress.values():
            shift = progress.shift
            states = [
                state
                for state in self._endpoints.routable_endpoints(shift.service)
                if state.region == shift.to
            ]
            slots = sum(state.entry.slots for state in states)
            used = sum(min(state.in_flight(), state.entry.slots) for state in states)
            headroom = 1 - used / slots if slots else 0.0
            slowness = [state.slowness(now) for state in states]
            mean = sum(slowness) / len(slowness) if slowness else 1.0
            progress.adjust(headroom, mean, now)

    def status(self):
        """Return what operators see of the shifts.

        Returns
        -------
        dict of str to dict
        """
        now = self._monotonic()
        return {
            name: {
                "fraction": round(progress.fraction, 3),
                "target": progress.shift.fraction,
                "moved": progress.window.total(now),
                "limit": self.part(progress.shift),
                "reason": progress.reason,
            }
            for name, progress in self._progress.items()
        }


def create_traffic_shifts(endpoints, fleet, rng, monotonic):
    """Return the shifts of one instance; there are none yet.

    Parameters
    ----------
    endpoints, fleet, rng, monotonic
        As of `TrafficShifts`.

    Returns
    -------
    TrafficShifts
    """
    return TrafficShifts(endpoints, fleet, rng, monotonic)
