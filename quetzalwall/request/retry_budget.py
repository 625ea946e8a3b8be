"""Budget for requests sent in addition to the callers' own."""

__all__ = ["RetryBudget"]

ADDED_FRACTION = 0.05  # hedges, probes and retries, as a part of callers' requests
LARGEST_CREDIT = 10.0


class RetryBudget:
    """Credit that grows with callers' requests and shrinks with added ones.

    One budget serves hedges, probes and retries alike, so that they can't multiply.

    Parameters
    ----------
    fraction : float, default=0.05
        Added requests for each request of a caller.
    """

    def __init__(self, fraction=ADDED_FRACTION):
        self.fraction = fraction
        self.credit = 0.0

    def earn(self):
        """Record a caller's request."""
        self.credit = min(LARGEST_CREDIT, self.credit + self.fraction)

    def spend(self):
        """Take the credit for one added request.

        Returns
        -------
        bool
            Whether there was enough.
        """
        if self.credit < 1.0:
            return False
        self.credit -= 1.0
        return True
