"""Divide a route's requests between services in proportion to their weights."""

__all__ = ["WeightedSplit", "create_weighted_split"]


class WeightedSplit:
    """Smooth weighted round robin, one count for each route.

    Parameters
    ----------
    rng : random.Random
        Where each route begins, so that instances do not go in step.
    """

    def __init__(self, rng):
        self._rng = rng
        self._credits = {}

    def next_service(self, route):
        """Return the service that takes the next request.

        Parameters
        ----------
        route : Route
            The route.

        Returns
        -------
        str
        """
        parts = [part for part in route.split if part[1] > 0] or route.split
        if len(parts) == 1:
            return parts[0][0]
        total = sum(weight for _, weight in parts)
        credits = self._credits.get((route.name, route.split))
        if credits is None:
            credits = {name: self._rng.random() * total for name, _ in parts}
            self._credits[route.name, route.split] = credits
        for name, weight in parts:
            credits[name] += weight
        chosen = max(credits, key=credits.get)
        credits[chosen] -= total
        return chosen

    def prune(self, routes):
        """Drop the counts of routes that are gone.

        Parameters
        ----------
        routes : set of (str, tuple)
            Name and split of the routes in force.
        """
        self._credits = {
            key: credits for key, credits in self._credits.items() if key in routes
        }


def create_weighted_split(rng):
    """Return unused counts.

    Parameters
    ----------
    rng : random.Random
        Where each route begins.

    Returns
    -------
    WeightedSplit
    """
    return WeightedSplit(rng)
