"""Responses on their way to callers, and which give way if they take too much memory.

Responses are kept in memory completely until their callers have read them. Where the
budget has no room for a new one, or an account has more than its part, the slowest
reader is cut off first. This module needs no network.
"""

from collections.abc import Callable
from typing import NamedTuple

from quetzalwall.connection.reading_rates import MIN_OBSERVED_S, ReadingRates

__all__ = ["Deliveries", "DeliveryConnection", "choose_slowest"]

MIN_AGE_S = 0.5  # a response that was ready later isn't known to be read slowly
ACCOUNT_FRACTION = 0.5  # of the budget, for responses that wait for one account


class DeliveryConnection(NamedTuple):
    """What is asked of the connection that a response is sent on.

    Attributes
    ----------
    request_id : str
        Identity of the request.
    acknowledged_bytes : callable
        Returns the bytes that the caller has acknowledged on the connection so far;
        None if that is unknown.
    hand_over : callable
        Lets the kernel take the rest of the response at once.
    """

    request_id: str
    acknowledged_bytes: Callable
    hand_over: Callable


NO_CONNECTION = DeliveryConnection("", lambda: None, lambda: None)


class Deliveries:
    """Responses that are being sent to callers.

    Parameters
    ----------
    capacity : callable
        Returns the bytes of the memory budget.
    monotonic : callable
        Clock in seconds.

    Attributes
    ----------
    cut_off : dict of str to int
        Number of responses cut off by reason; ``"stop"`` is added at the end of the
        process.
    rates : ReadingRates
        How fast callers read.
    """

    def __init__(self, capacity, monotonic):
        self.cut_off = {"memory": 0, "account": 0}
        self.rates = ReadingRates(monotonic)
        self._capacity = capacity
        self._monotonic = monotonic
        self._open = {}
        self._handing_over = False

    def __len__(self):
        return len(self._open)

    def __iter__(self):
        return iter(list(self._open))

    def add(self, size, account, cut_off, connection=NO_CONNECTION):
        """Return the delivery of a response that is ready.

        Parameters
        ----------
        size : int
            Bytes that its memory takes.
        account : str or None
            Name of the account that it is for.
        cut_off : callable
            Ends the connection, so that the response does not look complete.
        connection : DeliveryConnection, default=NO_CONNECTION
            The caller's connection.

        Returns
        -------
        Delivery
        """
        delivery = Delivery(size, account, cut_off, self._monotonic(), connection)
        self._open[delivery] = None
        if self._handing_over:
            connection.hand_over()
        if account is not None:
            self._limit_account(account)
        return delivery

    def remove(self, delivery):
        """Record that a response was sent or given up.

        Parameters
        ----------
        delivery : Delivery
            The delivery.
        """
        if self._open.pop(delivery, self) is not self:
            self.rates.record_sent(delivery)

    def observe(self):
        """Learn how fast callers read from the responses that are being sent."""
        now = self._monotonic()
        self.rates.observe([d for d in self._open if now - d.ready >= MIN_OBSERVED_S])

    def hand_over(self):
        """Let the kernel take all responses completely, those that follow too.

        The kernel goes on sending after the end of the process.
        """
        self._handing_over = True
        for delivery in self._open:
            delivery.connection.hand_over()

    def record_cut_off_by_stop(self):
        """Count and return the responses that the end of the process cuts off.

        Returns
        -------
        list of Delivery
        """
        rest = [delivery for delivery in self._open if not delivery.is_cut_off]
        if rest:
            self.cut_off["stop"] = len(rest)
        return rest

    def waiting_bytes(self, account=None):
        """Return the bytes that wait for callers, or for those of an account.

        Parameters
        ----------
        account : str, default=None
            Name of the account; all callers if None.

        Returns
        -------
        int
        """
        return sum(
            delivery.size
            for delivery in self._open
            if not delivery.is_cut_off and account in (None, delivery.account)
        )

    def make_room(self):
        """Cut off the slowest reader, unless one cut off before still has its memory.

        Returns
        -------
        bool
            Whether memory becomes free, of this reader or of those cut off before.
        """
        if any(delivery.is_cut_off for delivery in self._open):
            return True
        return self._cut_off_slowest(self._open, "memory")

    def _limit_account(self, account):
        limit = ACCOUNT_FRACTION * self._capacity()
        own = [delivery for delivery in self._open if delivery.account == account]
        while self.waiting_bytes(account) > limit:
            if not self._cut_off_slowest(own, "account"):
                return

    def _cut_off_slowest(self, deliveries, reason):
        slowest = choose_slowest(deliveries, self._monotonic())
        if slowest is None:
            return False
        slowest.is_cut_off = True
        self.cut_off[reason] += 1
        slowest.cut_off()
        return True


class Delivery:
    """One response that is being sent.

    Parameters
    ----------
    size : int
        Bytes that its memory takes.
    account : str or None
        Name of the account that it is for.
    cut_off : callable
        Ends the connection.
    ready : float
        Monotonic seconds at which it was ready.
    connection : DeliveryConnection
        The caller's connection.

    Attributes
    ----------
    sent_bytes : int
        Bytes that the caller's connection has taken.
    is_cut_off : bool
        Whether it was cut off.
    """

    __slots__ = (
        "account",
        "connection",
        "cut_off",
        "is_cut_off",
        "ready",
        "sent_bytes",
        "size",
    )

    def __init__(self, size, account, cut_off, ready, connection):
        self.size = size
        self.account = account
        self.cut_off = cut_off
        self.ready = ready
        self.connection = connection
        self.sent_bytes = 0
        self.is_cut_off = False


def choose_slowest(deliveries, now):
    """Return the delivery whose caller has read slowest since the response was ready.

    Parameters
    ----------
    deliveries : iterable of Delivery
        The candidates.
    now : float
        Monotonic seconds.

    Returns
    -------
    Delivery or None
        The one with the fewest bytes a second, of equal ones the one that has waited
        longest; None if there is none to choose, or none old enough.
    """
    candidates = [
        delivery
        for delivery in deliveries
        if not delivery.is_cut_off and now - delivery.ready >= MIN_AGE_S
    ]
    return min(
        candidates,
        key=lambda delivery: (
            delivery.sent_bytes / (now - delivery.ready),
            delivery.ready,
        ),
        default=None,
    )
