"""Ways to choose an endpoint, one a module; `POLICIES` names them.

Each takes the candidates, the observations and a source of randomness, and returns
one candidate. The simple ones serve as baselines in measurements.
"""

from quetzalwall.request.policies.fastest_sampled import fastest_sampled
from quetzalwall.request.policies.least_outstanding import least_outstanding
from quetzalwall.request.policies.power_of_two import power_of_two
from quetzalwall.request.policies.random_choice import random_choice
from quetzalwall.request.policies.round_robin import create_round_robin

__all__ = [
    "POLICIES",
    "create_policy",
    "create_round_robin",
    "fastest_sampled",
    "least_outstanding",
    "power_of_two",
    "random_choice",
]

POLICIES = {
    "fastest_sampled": lambda: fastest_sampled,
    "least_outstanding": lambda: least_outstanding,
    "power_of_two": lambda: power_of_two,
    "random_choice": lambda: random_choice,
    "round_robin": create_round_robin,
}


def create_policy(name):
    """Return a policy by name.

    Parameters
    ----------
    name : str
        A key of `POLICIES`.

    Returns
    -------
    callable
        Takes ``candidates``, ``loads``, ``now`` and ``rng``; returns a candidate.
    """
    return POLICIES[name]()
