"""A planned move of traffic from one region to another, under the operator's cap.

The cap counts requests moved in any interval, over all instances: it is divided like
slots are, and each instance counts its part in a sliding window. How fast the move
goes within the cap follows from how the receiving region does.
"""

from quetzalwall.process.window import SlidingWindow
from quetzalwall.version.shares import shift_key

__all__ = ["ShiftProgress", "create_shift_progress"]

STEP_PERIOD_S = 1.0
STEP_UP = 0.1  # part of the traffic added at each step
STEP_DOWN = 0.5  # factor at a step when the receiving region does badly
SLOWER_RATIO = 1.5  # of its typical duration before: the receiving region does badly
LEAST_HEADROOM = 0.1  # of the receiving region's slots
MEASUREMENT_MAX_AGE_S = 3.0


class ShiftProgress:
    """Progress of one shift on this instance.

    Parameters
    ----------
    name : str
        Name of the shift.
    spec : dict
        The shift's settings.
    now : float
        Monotonic seconds.

    Attributes
    ----------
    fraction : float
        Part of the traffic now offered to the other region.
    reason : str
        Why the last step went as it did.
    """

    def __init__(self, name, spec, now):
        self.name = name
        self.spec = spec
        self.key = shift_key(name)
        self.fraction = 0.0
        self.reason = "start"
        self.window = SlidingWindow(spec["interval_s"])
        self._next_step = now
        self._baseline_s = None

    def running(self):
        """Return whether the operator lets the shift move traffic.

        Returns
        -------
        bool
        """
        return self.spec.get("state", "running") == "running"

    def take(self, ledger, now):
        """Count one request as moved if the cap allows it.

        Parameters
        ----------
        ledger : Ledger
            Holds this instance's part of the cap.
        now : float
            Monotonic seconds.

        Returns
        -------
        bool
        """
        limit = ledger.entitled(self.key, now, self.spec["interval_s"])
        taken = self.window.take(1, limit, now)
        self.refresh(ledger, now)
        return taken

    def refresh(self, ledger, now):
        """Tell the ledger how much of the cap is in use.

        Parameters
        ----------
        ledger : Ledger
            Holds this instance's part of the cap.
        now : float
            Monotonic seconds.
        """
        moved = self.window.total(now)
        if moved:
            ledger.used[self.key] = moved
        else:
            ledger.used.pop(self.key, None)

    def step(self, measured_s, measured_age_s, headroom, now):
        """Adapt the fraction to how the receiving region does.

        Parameters
        ----------
        measured_s : float or None
            Typical duration at the receiving region's endpoints; None if unknown.
        measured_age_s : float
            Seconds since the last measurement there.
        headroom : float
            Free part of the slots known in the receiving region, 0 to 1.
        now : float
            Monotonic seconds.
        """
        if now < self._next_step:
            return
        self._next_step = now + STEP_PERIOD_S
        if not self.running():
            self.fraction = 0.0
            self.reason = "stopped"
            return
        if measured_s is not None and self._baseline_s is None:
            self._baseline_s = measured_s
        self._adapt(measured_s, measured_age_s, headroom)

    def _adapt(self, measured_s, measured_age_s, headroom):
        target = self.spec["fraction"]
        if headroom < LEAST_HEADROOM:
            self.fraction *= STEP_DOWN
            self.reason = "headroom"
        elif self.fraction and measured_age_s > MEASUREMENT_MAX_AGE_S:
            self.reason = "measurements stopped"
        elif measured_s is not None and measured_s > SLOWER_RATIO * self._baseline_s:
            self.fraction *= STEP_DOWN
            self.reason = "receiving region slower"
            self._baseline_s *= 1.05
        else:
            self.fraction = min(target, self.fraction + STEP_UP)
            self.reason = "within limits"


def create_shift_progress(name, spec, now):
    """Return the progress of a shift that begins.

    Parameters
    ----------
    name : str
        Name of the shift.
    spec : dict
        The shift's settings.
    now : float
        Monotonic seconds.

    Returns
    -------
    ShiftProgress
    """
    return ShiftProgress(name, spec, now)
