"""Limit on the memory that bodies of requests and responses occupy in a process."""

__all__ = ["Reservation", "MemoryBudget"]

MAX_RESPONSE_FRACTION = 0.25  # of the capacity, so that others are not starved


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
    """

    def __init__(self, capacity):
        self.capacity = capacity
        self.used_bytes = 0
        self.open_requests = 0
        self.max_response_bytes = int(capacity * MAX_RESPONSE_FRACTION)

    def open_reservation(self):
        """Return the reservation of a new request, which the caller has to close.

        Returns
        -------
        Reservation
        """
        self.open_requests += 1
        return Reservation(self)


class Reservation:
    """Memory reserved by one request: for its body, and for responses to it.

    Parameters
    ----------
    budget : MemoryBudget
        The budget of the process.
    """

    def __init__(self, budget):
        self.budget = budget
        self._reserved_bytes = 0
        self._is_open = True

    def try_reserve(self, size):
        """Reserve more bytes if the budget has room for them.

        Parameters
        ----------
        size : int
            Number of bytes.

        Returns
        -------
        bool
            Whether the bytes were reserved.
        """
        if self.budget.used_bytes + size > self.budget.capacity:
            return False
        self.budget.used_bytes += size
        self._reserved_bytes += size
        return True

    def release(self, size):
        """Give bytes back to the budget.

        Parameters
        ----------
        size : int
            Number of bytes, at most those reserved.
        """
        self.budget.used_bytes -= size
        self._reserved_bytes -= size

    def close(self):
        """Give all bytes back and end the request; further calls do nothing."""
        self.release(self._reserved_bytes)
        self.budget.open_requests -= self._is_open
        self._is_open = False
