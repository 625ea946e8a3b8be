"""Select the figures of client accounts that a report has to contain."""

import math

__all__ = ["ChangedFigures"]

# Between two complete lists, which make up for lost reports. Most of the processor time
# that allotments took was for figures that had not changed.
COMPLETE_PERIOD_S = 5.0
MIN_CHANGE_RATIO = 0.5  # of the demand; a smaller change can wait for a complete list
MIN_CHANGE_HUNDREDTHS = 50  # of a request a second; the same for low demand


class ChangedFigures:
    """What has been sent to one group of instances."""

    def __init__(self):
        self._sent = {}
        self._complete_at = -math.inf

    def select(self, figures, now):
        """Return the figures to send now, and whether they are complete.

        Parameters
        ----------
        figures : list of (int, int, int, int)
            Code and figures of all active accounts, as of `Allotments.own_report`.
        now : float
            Monotonic seconds.

        Returns
        -------
        (list of (int, int, int, int), bool)
            All of them once in `COMPLETE_PERIOD_S`; otherwise those of accounts that
            have admitted requests since they were sent, or whose demand has changed.
        """
        if now >= self._complete_at + COMPLETE_PERIOD_S:
            self._complete_at = now
            self._sent = {entry[0]: entry for entry in figures}
            return figures, True
        changed = [entry for entry in figures if self._is_changed(entry)]
        for entry in changed:
            self._sent[entry[0]] = entry
        return changed, False

    def _is_changed(self, entry):
        code, hundredths, total, _ = entry
        sent = self._sent.get(code)
        if sent is None or total != sent[2]:
            return True
        limit = MIN_CHANGE_RATIO * sent[1] + MIN_CHANGE_HUNDREDTHS
        return abs(hundredths - sent[1]) > limit
