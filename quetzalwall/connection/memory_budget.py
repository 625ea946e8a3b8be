"""Limit on the memory that bodies of requests and responses occupy in a process."""

import gevent

from quetzalwall.connection.yielding_socket import YIELD_SLEEP_S

__all__ = ["Reservation", "MemoryBudget"]

MAX_RESPONSE_FRACTION = 0.25  # of the capacity, so that others are not starved
MAX_ROUNDS = 40  # in which readers that were cut off give their memory back


class MemoryBudget:
    """Memory for the bodies of all open requests of a process.

    Parameters
    ----------
    capacity : int
        Maximum number of bytes reserved at one time.

    Attributes
    ----------
    used_bytes : int
        Bytes reserved now.
    open_requests : int
        Requests whose responses have not been sent completely.
    max_response_bytes : int
        Maximum length of one response.
    make_room : callable
        Makes requests give up memory; returns whether some becomes free soon.
    """

    def __init__(self, capacity):
        self.capacity = capacity
        self.used_bytes = 0
        self.open_requests = 0
        self.make_room = lambda: False
        self.max_response_bytes = int(capacity * MAX_RESPONSE_FRACTION)

    def open_reservation(self, await_room=None):
        """Return the reservation of a new request, which the caller has to close.

        Parameters
        ----------
        await_room : callable, default=None
            As of `Reservation`.

        Returns
        -------
        Reservation
        """
        self.open_requests += 1
        return Reservation(self, await_room)

    def try_reserve(self, size, fraction=1.0):
        """Reserve bytes if there is room for them.

        Parameters
        ----------
        size : int
            Number of bytes.
        fraction : float, default=1.0
            Fraction of the capacity that may be reserved after that.

        Returns
        -------
        bool
            Whether the bytes were reserved.
        """
        if self.used_bytes + size > fraction * self.capacity:
            return False
        self.used_bytes += size
        return True

    def release(self, size):
        """Take bytes back that were reserved.

        Parameters
        ----------
        size : int
            Number of bytes.
        """
        self.used_bytes -= size


class Reservation:
    """Memory reserved by one request: for its body, and for responses to it.

    Parameters
    ----------
    budget : MemoryBudget
        The budget of the process.
    await_room : callable, default=None
        Called with the number of bytes before they are reserved; it may wait.

    Attributes
    ----------
    reserved_bytes : int
        Bytes reserved now.
    account : str or None
        Name of the client account that the request belongs to.
    """

    def __init__(self, budget, await_room=None):
        self.budget = budget
        self.account = None
        self.reserved_bytes = 0
        self._await_room = await_room
        self._is_open = True

    def try_reserve(self, size):
        """Reserve more bytes if the budget has room for them, or others make room.

        Parameters
        ----------
        size : int
            Number of bytes.

        Returns
        -------
        bool
            Whether the bytes were reserved.
        """
        if self._await_room is not None:
            self._await_room(size)
        for _ in range(MAX_ROUNDS):
            if self.budget.try_reserve(size):
                self.reserved_bytes += size
                return True
            if not self.budget.make_room():
                return False
            gevent.sleep(YIELD_SLEEP_S)
        return False

    def release(self, size):
        """Give bytes back to the budget.

        Parameters
        ----------
        size : int
            Number of bytes, at most those reserved.
        """
        self.budget.release(size)
        self.reserved_bytes -= size

    def close(self):
        """Give all bytes back and end the request; further calls do nothing."""
        self.release(self.reserved_bytes)
        self.budget.open_requests -= self._is_open
        self._is_open = False
