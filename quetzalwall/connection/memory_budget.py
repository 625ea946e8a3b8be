"""Limit on the bytes of requests and answers that a process holds at one time."""

__all__ = ["Reservation", "MemoryBudget"]

ANSWER_PART = 0.25  # of all, for one answer, so that it does not starve others


class MemoryBudget:
    """Bytes of all requests under way in a process.

    Parameters
    ----------
    capacity : int
        Most bytes held at one time.

    Attributes
    ----------
    held : int
        Bytes held now.
    requests : int
        Requests under way, until their answers have been sent.
    max_response_bytes : int
        Most bytes of one answer.
    """

    def __init__(self, capacity):
        self.capacity = capacity
        self.used_bytes = 0
        self.open_requests = 0
        self.max_response_bytes = int(capacity * ANSWER_PART)

    def open(self):
        """Return the share of a request, which has to be closed.

        Returns
        -------
        Reservation
        """
        self.open_requests += 1
        return Reservation(self)


class Reservation:
    """Bytes that one request holds: its body, and answers to it.

    Parameters
    ----------
    whole : MemoryBudget
        Those of the process.
    """

    def __init__(self, whole):
        self.whole = whole
        self._own = 0
        self._open = True

    def take(self, size):
        """Count more bytes if there is room for them.

        Parameters
        ----------
        size : int
            Bytes.

        Returns
        -------
        bool
            Whether there is room.
        """
        if self.whole.used_bytes + size > self.whole.capacity:
            return False
        self.whole.used_bytes += size
        self._own += size
        return True

    def give_back(self, size):
        """Count bytes no more.

        Parameters
        ----------
        size : int
            Bytes that were taken.
        """
        self.whole.used_bytes -= size
        self._own -= size

    def close(self):
        """Count the request and its bytes no more."""
        self.give_back(self._own)
        self.whole.open_requests -= self._open
        self._open = False
