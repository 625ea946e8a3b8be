"""Counts the bytes that an instance exchanges, by what they are and how far they go."""

__all__ = ["TrafficMeter", "create_traffic_meter"]


class TrafficMeter:
    """Bytes by kind and by distance.

    Parameters
    ----------
    region, domain : str
        Location of this instance.

    Attributes
    ----------
    totals : dict of (str, str) to int
        Bytes by kind and distance. The kind is ``"request"`` or ``"response"`` of an
        endpoint, ``"report"`` or ``"table"`` sent to a peer. The distance is
        ``"domain"``, ``"region"`` or ``"remote"``: within the failure domain, within
        the region, or beyond it.
    """

    def __init__(self, region, domain):
        self.totals = {}
        self._region = region
        self._domain = domain

    def record(self, kind, size, region, domain):
        """Count bytes exchanged with a process.

        Parameters
        ----------
        kind : str
            What they are.
        size : int
            Number of bytes.
        region, domain : str
            Location of the process.
        """
        if domain == self._domain:
            key = kind, "domain"
        else:
            key = kind, "region" if region == self._region else "remote"
        self.totals[key] = self.totals.get(key, 0) + size


def create_traffic_meter(region, domain):
    """Return a meter that has counted nothing.

    Parameters
    ----------
    region, domain
        As of `TrafficMeter`.

    Returns
    -------
    TrafficMeter
    """
    return TrafficMeter(region, domain)
