"""What one instance knows of another one's use of a client account."""

__all__ = ["PeerUse"]


class PeerUse:
    """What one other instance reports of the account.

    Attributes
    ----------
    admitted : int or None
        Requests that its process has admitted; None before its first report.
    demand_per_s : float
        Its demand in requests a second.
    predicted : float
        Admissions taken off the level before they are reported.
    ratio_sum : float
        Value of the integral of the admitted fraction when the demand was reported.
    even_sum : float or None
        The same for even shares, while it is overdue and taken to use one.
    """

    __slots__ = ("admitted", "demand_per_s", "even_sum", "predicted", "ratio_sum")

    def __init__(self):
        self.demand_per_s = 0.0
        self.admitted = None
        self.predicted = 0.0
        self.ratio_sum = 0.0
        self.even_sum = None

    def receive_admitted(self, total, in_window, bucket_fraction):
        """Record the admissions in a report and return those to take off the level.

        At its first report, and after a restart, only the last window is known to be
        recent. What a process of longer standing admitted before the bucket began is
        left out, since the bucket was empty then. Where all processes restart at once,
        everything counts.

        Parameters
        ----------
        total : int
            Requests admitted since the process started.
        in_window : int
            Those admitted in the last window.
        bucket_fraction : float
            Part of the last window in which the bucket has existed, from 0 to 1.

        Returns
        -------
        float
        """
        before, self.admitted = self.admitted, total
        is_known = before is not None and total >= before
        admitted = total - before if is_known else in_window
        if total > in_window and not (is_known and bucket_fraction > 0):
            admitted *= bucket_fraction
        return admitted
