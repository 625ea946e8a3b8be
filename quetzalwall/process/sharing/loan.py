"""Units lent by one instance to another for a time."""

from typing import NamedTuple

__all__ = ["Loan"]


class Loan(NamedTuple):
    """Units lent or borrowed until a moment on this instance's clock.

    Attributes
    ----------
    loan_id : str
        Chosen by the borrower, the same in repeated messages.
    peer : str
        The other instance.
    units : dict of str to int
        Key to units.
    until : float
        Monotonic seconds.
    """

    loan_id: str
    peer: str
    units: dict
    until: float
