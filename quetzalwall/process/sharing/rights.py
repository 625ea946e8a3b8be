"""How long rights to units last, and how long to wait until they have run out."""

from quetzalwall.process.sharing.ledger import CLOCK_RATE_MARGIN, LOAN_MARGIN_S

__all__ = ["LEASE_S", "RESERVE_S", "loan_ttl_s", "wait_after_s"]

LEASE_S = 3.0
RESERVE_S = 7200.0  # after the lease, in which the reserve may still be used
LOAN_BEYOND_HOLD_S = 4.0


def loan_ttl_s(hold_s):
    """Return how long a loan of a unit lasts.

    Parameters
    ----------
    hold_s : float
        Longest time for which work may hold the unit.

    Returns
    -------
    float
        Seconds; longer than the work, so that the loan can be extended in time.
    """
    return hold_s + LOAN_BEYOND_HOLD_S


def wait_after_s(hold_s):
    """Return how long to wait before using a unit that another may have held.

    Parameters
    ----------
    hold_s : float
        Longest time for which work may hold the unit.

    Returns
    -------
    float
        Seconds that cover the lease of the heir that vouched, the lease that it
        vouched for, and the loans granted under that.
    """
    rights_s = 2 * LEASE_S + loan_ttl_s(hold_s)
    return rights_s * (1 + 2 * CLOCK_RATE_MARGIN) + 2 * LOAN_MARGIN_S
