"""Until when a stopping instance takes requests and has them answered."""

import math

__all__ = ["GracePeriod", "create_grace_period"]

ACCEPT_PART = 0.4  # of the grace, in which requests are taken that end in time
ANSWER_PART = 0.9  # of the grace, by which what is taken then must be answered


class GracePeriod:
    """The time between the signal to stop an instance and its end.

    Parameters
    ----------
    monotonic : callable
        Clock in seconds.

    Attributes
    ----------
    stopping : bool
        Whether the instance is about to stop, so that what is under way must end.
    end : float
        Monotonic seconds by which attempts that begin now must be answered.
    """

    def __init__(self, monotonic):
        self.stopping = False
        self.end = math.inf
        self._accept_until = math.inf
        self._monotonic = monotonic

    def begin(self, seconds):
        """Note that the signal has come.

        Parameters
        ----------
        seconds : float
            The grace.
        """
        now = self._monotonic()
        self._accept_until = now + ACCEPT_PART * seconds
        self.end = now + ANSWER_PART * seconds
        self.stopping = True

    def accept_limit_s(self):
        """Return the seconds in which a new request must be answered.

        Returns
        -------
        float
            Infinity while nothing is stopping; 0 if none is taken any more.
        """
        now = self._monotonic()
        return 0.0 if now > self._accept_until else self.end - now


def create_grace_period(monotonic):
    """Return the grace of an instance that is not stopping.

    Parameters
    ----------
    monotonic
        As of `GracePeriod`.

    Returns
    -------
    GracePeriod
    """
    return GracePeriod(monotonic)
