"""Claims that this instance has made lately, to write them again after a restore.

A store that is restored from an older copy may lack the claims of the last seconds.
"""

from collections import OrderedDict

import gevent

from quetzalwall.exceptions import StoreUnavailable

__all__ = ["CLAIMED", "NOT_RUN", "RecentClaims", "is_unheld"]

CLAIMED = "claimed"  # states of a claim in its row
NOT_RUN = "not-run"
KEPT_S = 600.0
MAX_CLAIMS = 5000  # without their recorded responses; the oldest are discarded
REWRITE_TASKS = 32
REWRITE_TIMEOUT_S = 30.0
REWRITE_PAUSE_S = 0.5
MAX_REWRITE_TRIES = 20


def is_unheld(row):
    """Return whether a row says "not run" for an attempt that never held the claim.

    Such a row says nothing of another attempt whose claim a restored store lost.

    Parameters
    ----------
    row : dict
        Value of the row of a claim.

    Returns
    -------
    bool
    """
    return row["state"] == NOT_RUN and row.get("held") is False


class RecentClaims:
    """The last state of each claim that this instance holds or has held.

    Parameters
    ----------
    batcher : WriteBatcher
        Sends the writes.
    clock : Clock
        Source of time.
    spawn : callable
        Starts a task.
    """

    def __init__(self, batcher, clock, spawn):
        self._batcher = batcher
        self._clock = clock
        self._spawn = spawn
        self._values = OrderedDict()

    def record(self, row_key, value):
        """Record the state of a claim.

        Parameters
        ----------
        row_key : str
            Key of its row.
        value : dict
            Value of the row. A recorded response is not kept.
        """
        kept = value if value.get("answer") is None else value | {"answer": None}
        self._values[row_key] = (self._clock.monotonic(), kept)
        self._values.move_to_end(row_key)
        if len(self._values) > MAX_CLAIMS:
            self._values.popitem(last=False)

    def may_have_run(self, row_key):
        """Return whether a request with a key may have run here lately.

        Parameters
        ----------
        row_key : str
            Key of the row of its claim.

        Returns
        -------
        bool
        """
        at, value = self._values.get(row_key, (-KEPT_S, {"state": NOT_RUN}))
        recent = self._clock.monotonic() - at < KEPT_S
        return recent and value["state"] != NOT_RUN

    def rewrite_all(self):
        """Write the claims again, in the background, where the store lost them."""
        now = self._clock.monotonic()
        pending = [
            (row_key, value)
            for row_key, (at, value) in self._values.items()
            if now - at < KEPT_S
        ]

        def work():
            while pending:
                self.rewrite(*pending.pop())

        for _ in range(min(REWRITE_TASKS, len(pending))):
            self._spawn(work)

    def rewrite(self, row_key, value):
        """Write one claim again unless the store has a later state of it.

        Parameters
        ----------
        row_key : str
            Key of its row.
        value : dict
            Value of the row.
        """
        deadline = self._clock.monotonic() + REWRITE_TIMEOUT_S
        expected_version = 0
        try:
            for _ in range(MAX_REWRITE_TRIES):
                result = self._batcher.write(row_key, expected_version, value, deadline)
                row = result.value
                if result.written:
                    return
                if row is None:
                    expected_version = 0
                elif row["token"] == value["token"] or is_unheld(row):
                    expected_version = result.version
                elif row["state"] == CLAIMED:
                    # Of an attempt that may not have been accepted after the restore.
                    expected_version = 0
                    gevent.sleep(REWRITE_PAUSE_S)
                else:
                    return
        except StoreUnavailable:
            # The other instances know of the claim by its code in the reports.
            return
