"""Limit an amount in every interval of a given length."""

from collections import deque

__all__ = ["SlidingWindow"]


class SlidingWindow:
    """Sum of the amounts that were added during the last interval.

    A token bucket lets through up to its rate plus its burst within one interval;
    this window never lets through more than the limit in any interval, wherever the
    interval begins.

    Parameters
    ----------
    span_s : float
        Length of the interval in seconds.
    resolution_s : float, default=0.0
        Amounts added within this many seconds share one entry, which bounds the memory.
        The interval is longer by as much, so that the limit still holds.
    """

    def __init__(self, span_s, resolution_s=0.0):
        self.span_s = span_s
        self.resolution_s = resolution_s
        self._entries = deque()
        self._total = 0

    def total(self, now):
        """Return the amount added during the interval that ends now.

        Parameters
        ----------
        now : float
            Monotonic seconds.

        Returns
        -------
        int
        """
        expired_at = now - self.span_s - self.resolution_s
        while self._entries and self._entries[0][0] <= expired_at:
            self._total -= self._entries.popleft()[1]
        return self._total

    def try_add(self, amount, limit, now):
        """Add an amount if the total stays within the limit.

        Parameters
        ----------
        amount : int
            Amount to add.
        limit : int
            Maximum total in any interval.
        now : float
            Monotonic seconds.

        Returns
        -------
        bool
            Whether the amount was added.
        """
        if self.total(now) + amount > limit:
            return False
        if self._entries and now - self._entries[-1][0] < self.resolution_s:
            self._entries[-1][1] += amount
        else:
            self._entries.append([now, amount])
        self._total += amount
        return True

    def wait_s(self, amount, limit, now):
        """Return the seconds until an amount fits, or infinity if it never will.

        Parameters
        ----------
        amount : int
            Amount to add.
        limit : int
            Maximum total in any interval.
        now : float
            Monotonic seconds.

        Returns
        -------
        float
        """
        excess = self.total(now) + amount - limit
        if excess <= 0:
            return 0.0
        for added_at, added in self._entries:
            excess -= added
            if excess <= 0:
                return added_at + self.span_s + self.resolution_s - now
        return float("inf")
