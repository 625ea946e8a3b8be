"""Requests that wait for a slot, ordered by class, then fairly between callers."""

from collections import OrderedDict, deque

__all__ = ["WaitingLine"]


class WaitingLine:
    """Bounded queue of one service's requests.

    Within a class each caller has its own queue and the callers take turns, so that
    one caller's burst delays only itself.

    Parameters
    ----------
    length : int
        Most requests that may wait.
    """

    def __init__(self, length):
        self.length = length
        self._ranks = {}
        self._sizes = {}

    def __len__(self):
        return sum(self._sizes.values())

    def push(self, work):
        """Add a request, dropping another if the queue is full.

        Parameters
        ----------
        work : Work
            The request.

        Returns
        -------
        Work or None
            The request dropped: the newest of the caller with the most requests in
            the lowest class, which may be ``work`` itself.
        """
        if self.length == 0:
            return work
        callers = self._ranks.setdefault(work.rank, OrderedDict())
        callers.setdefault(work.caller, deque()).append(work)
        self._sizes[work.rank] = self._sizes.get(work.rank, 0) + 1
        if len(self) <= self.length:
            return None
        return self._drop_lowest()

    def head(self):
        """Return the next request without removing it.

        Returns
        -------
        Work or None
        """
        if not self._ranks:
            return None
        callers = self._ranks[min(self._ranks)]
        return next(iter(callers.values()))[0]

    def pop(self):
        """Remove and return the next request.

        Returns
        -------
        Work
        """
        rank = min(self._ranks)
        callers = self._ranks[rank]
        caller = next(iter(callers))
        work = callers[caller].popleft()
        callers.move_to_end(caller)
        self._shrink(rank, caller, 1)
        return work

    def ahead_of(self, rank):
        """Return the number of waiting requests served before a new one of a rank.

        Parameters
        ----------
        rank : int
            Rank of the new request's class.

        Returns
        -------
        int
        """
        return sum(size for other, size in self._sizes.items() if other <= rank)

    def drop_hopeless(self, now, least_s):
        """Remove the requests that can't be answered in time.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        least_s : float
            Least seconds that an answer takes.

        Returns
        -------
        list of Work
        """
        dropped = []
        for rank in list(self._ranks):
            for caller, line in list(self._ranks[rank].items()):
                late = [work for work in line if work.deadline < now + least_s]
                if late:
                    dropped += late
                    kept = deque(w for w in line if w.deadline >= now + least_s)
                    self._ranks[rank][caller] = kept
                    self._shrink(rank, caller, len(late))
        return dropped

    def remove(self, work):
        """Remove one request if it still waits.

        Parameters
        ----------
        work : Work
            The request.
        """
        line = self._ranks.get(work.rank, {}).get(work.caller)
        if line is not None and work in line:
            line.remove(work)
            self._shrink(work.rank, work.caller, 1)

    def _drop_lowest(self):
        rank = max(self._ranks)
        callers = self._ranks[rank]
        caller = max(callers, key=lambda name: len(callers[name]))
        work = callers[caller].pop()
        self._shrink(rank, caller, 1)
        return work

    def _shrink(self, rank, caller, count):
        self._sizes[rank] -= count
        if not self._ranks[rank][caller]:
            del self._ranks[rank][caller]
        if not self._ranks[rank]:
            del self._ranks[rank]
            del self._sizes[rank]
