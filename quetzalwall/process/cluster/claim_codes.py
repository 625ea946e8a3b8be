"""Idempotency keys that instances have claimed lately, as short codes.

A store that is restored from an older copy may lack the claims of the last seconds. So
each instance tells the others which keys it has claimed, and none takes a key whose row
is absent although it was claimed.
"""

import math
from collections import OrderedDict

import xxhash

__all__ = ["ClaimCodes"]

# A copy is some seconds old, and callers repeat requests for longer than that.
KEPT_S = 600.0
MAX_CODES = 20_000  # of all instances; the oldest are discarded
# For which each report contains a claim: several reports, as one may be lost, and at
# least one in a large fleet, where peers of other regions get one each 2 s.
REPEAT_S = 2.5
MAX_CODES_PER_REPORT = 300  # the latest; more could exceed a datagram


class ClaimCodes:
    """Codes of the keys claimed by this and the other instances."""

    def __init__(self):
        self._own = OrderedDict()
        self._others = OrderedDict()

    def record_own(self, row_key, now):
        """Record that this instance has claimed a key.

        Parameters
        ----------
        row_key : str
            Key of its row.
        now : float
            Monotonic seconds.
        """
        _put(self._own, _code(row_key), now)

    def receive(self, codes, now):
        """Record the claims in a report of another instance.

        Parameters
        ----------
        codes : list of int
            From `own_report`.
        now : float
            Monotonic seconds.
        """
        for code in codes:
            _put(self._others, code, now)

    def own_report(self, now):
        """Return the codes for the next report.

        Parameters
        ----------
        now : float
            Monotonic seconds.

        Returns
        -------
        list of int
        """
        codes = []
        for code, at in reversed(self._own.items()):
            if now - at > REPEAT_S or len(codes) >= MAX_CODES_PER_REPORT:
                break
            codes.append(code)
        return codes

    def claimed_elsewhere(self, row_key, now):
        """Return whether another instance has claimed a key lately.

        Parameters
        ----------
        row_key : str
            Key of its row.
        now : float
            Monotonic seconds.

        Returns
        -------
        bool
        """
        return now - self._others.get(_code(row_key), -math.inf) < KEPT_S


def _code(row_key):
    return xxhash.xxh64_intdigest(row_key.encode())


def _put(codes, code, now):
    codes[code] = now
    codes.move_to_end(code)
    if len(codes) > MAX_CODES:
        codes.popitem(last=False)
