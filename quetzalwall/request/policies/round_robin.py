"""Choose the endpoints in turn."""

import itertools

__all__ = ["create_round_robin"]


def create_round_robin():
    """Return a policy that takes the candidates in turn.

    Returns
    -------
    callable
        Takes ``candidates``, ``loads``, ``now`` and ``rng``; returns a candidate.
    """
    turns = itertools.count()

    def round_robin(candidates, loads, now, rng):
        order = sorted(candidates)
        return order[next(turns) % len(order)]

    return round_robin
