"""Limit on an amount in every interval of a given length."""

from collections import deque

__all__ = ["SlidingWindow"]


class SlidingWindow:
    """Amounts taken during the last interval.

    A token bucket lets through up to its rate plus its burst within one interval;
    this window never lets through more than the limit in any interval, wherever the
    interval begins.

    Parameters
    ----------
    span_s : float
        Length of the interval in seconds.
    resolution_s : float, default=0.0
        Amounts taken this close together share one entry, which bounds the memory.
        The interval grows by as much, so that the limit still holds.
    """

    def __init__(self, span_s, resolution_s=0.0):
        self.span_s = span_s
        self.resolution_s = resolution_s
        self._taken = deque()
        self._total = 0

    def total(self, now):
        """Return the amount taken during the interval that ends now.

        Parameters
        ----------
        now : float
            Monotonic seconds.

        Returns
        -------
        int
        """
        oldest = now - self.span_s - self.resolution_s
        while self._taken and self._taken[0][0] <= oldest:
            self._total -= self._taken.popleft()[1]
        return self._total

    def try_add(self, amount, limit, now):
        """Take an amount if the limit allows it.

        Parameters
        ----------
        amount : int
            Amount to take.
        limit : int
            Most that may be taken in any interval.
        now : float
            Monotonic seconds.

        Returns
        -------
        bool
            Whether the amount was taken.
        """
        if self.total(now) + amount > limit:
            return False
        if self._taken and now - self._taken[-1][0] < self.resolution_s:
            self._taken[-1][1] += amount
        else:
            self._taken.append([now, amount])
        self._total += amount
        return True

    def wait_s(self, amount, limit, now):
        """Return the seconds until an amount fits, or infinity if it never will.

        Parameters
        ----------
        amount : int
            Amount to take.
        limit : int
            Most that may be taken in any interval.
        now : float
            Monotonic seconds.

        Returns
        -------
        float
        """
        excess = self.total(now) + amount - limit
        if excess <= 0:
            return 0.0
        for taken_at, taken in self._taken:
            excess -= taken
            if excess <= 0:
                return taken_at + self.span_s + self.resolution_s - now
        return float("inf")
