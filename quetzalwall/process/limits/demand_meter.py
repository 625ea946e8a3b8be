"""Measure the requests a second of a client account at this instance."""

import math

__all__ = ["DEMAND_SPAN_S", "DemandMeter"]

# Time constants of the measured demand. The shorter one counts where it contains some
# requests; with fewer it would be noise.
DEMAND_SPAN_S = 0.5
LOW_DEMAND_SPAN_S = 2.0
LOW_DEMAND_PER_S = 8.0
SILENT_PER_S = 0.5  # demand that rises from less begins anew
MIN_AVERAGE_S = 0.1  # over which the average at the beginning is taken


class DemandMeter:
    """Two decaying averages of the requests a second.

    Attributes
    ----------
    recent_per_s : float
        Average over `DEMAND_SPAN_S`, as of the last call of `settle`.
    """

    def __init__(self):
        self.recent_per_s = 0.0
        self._slow_per_s = 0.0
        self._settled_at = self._began_at = -math.inf

    def settle(self, now):
        """Bring the averages up to date.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        """
        elapsed_s = now - self._settled_at
        if elapsed_s > 0:
            self.recent_per_s *= math.exp(-elapsed_s / DEMAND_SPAN_S)
            self._slow_per_s *= math.exp(-elapsed_s / LOW_DEMAND_SPAN_S)
            self._settled_at = now

    def record(self, now):
        """Count a request.

        Parameters
        ----------
        now : float
            Monotonic seconds; `settle` was called with the same.
        """
        if self.recent_per_s < SILENT_PER_S:
            self._began_at = now
        self.recent_per_s += 1 / DEMAND_SPAN_S
        self._slow_per_s += 1 / LOW_DEMAND_SPAN_S

    def per_s(self):
        """Return the demand in requests a second.

        Returns
        -------
        float
        """
        if max(self.recent_per_s, self._slow_per_s) < LOW_DEMAND_PER_S:
            return self._slow_per_s
        # A decaying average begins too low: it includes the silence before.
        average_s = max(MIN_AVERAGE_S, self._settled_at - self._began_at)
        return self.recent_per_s / (1 - math.exp(-average_s / DEMAND_SPAN_S))
