"""Divide a route's requests between services in proportion to their weights."""

__all__ = ["WeightedSplit", "create_weighted_split"]


class WeightedSplit:
    """Smooth weighted round robin, with separate state for each route.

    Parameters
    ----------
    rng : random.Random
        Draws the initial state of each route, so that instances don't choose the same
        services in lockstep.
    """

    def __init__(self, rng):
        self._rng = rng
        self._current_weights = {}

    def next_service(self, route):
        """Return the service that gets the next request.

        Parameters
        ----------
        route : Route
            The route of the request.

        Returns
        -------
        str
        """
        weighted = [pair for pair in route.split if pair[1] > 0] or route.split
        if len(weighted) == 1:
            return weighted[0][0]
        total = sum(weight for _, weight in weighted)
        current = self._current_weights.get((route.name, route.split))
        if current is None:
            current = {service: self._rng.random() * total for service, _ in weighted}
            self._current_weights[route.name, route.split] = current
        for service, weight in weighted:
            current[service] += weight
        chosen = max(current, key=current.get)
        current[chosen] -= total
        return chosen

    def prune(self, active_routes):
        """Drop the state of routes that are no longer configured.

        Parameters
        ----------
        active_routes : set of (str, tuple)
            Name and split of each route of the active configuration.
        """
        self._current_weights = {
            key: current
            for key, current in self._current_weights.items()
            if key in active_routes
        }


def create_weighted_split(rng):
    """Return a split without state for any route.

    Parameters
    ----------
    rng : random.Random
        As of `WeightedSplit`.

    Returns
    -------
    WeightedSplit
    """
    return WeightedSplit(rng)
