"""Running estimate of a quantile in constant memory."""

__all__ = ["RunningQuantile"]


class RunningQuantile:
    """Quantile that follows a changing distribution.

    Each sample above the estimate raises it by ``fraction`` steps and each one below
    lowers it by the rest of a step, so that it settles where that fraction of samples
    lies below. A step is a part of the estimate, which suits durations.

    Parameters
    ----------
    fraction : float
        Part of the samples below the estimate, between 0 and 1.
    initial : float
        First estimate.
    step : float, default=0.05
        Relative size of a step.
    """

    def __init__(self, fraction, initial, step=0.05):
        self.fraction = fraction
        self.value = initial
        self.step = step

    def add(self, sample):
        """Take one sample into account.

        Parameters
        ----------
        sample : float
            A positive value.
        """
        if sample > self.value:
            self.value *= 1 + self.step * self.fraction
        else:
            self.value *= 1 - self.step * (1 - self.fraction)
