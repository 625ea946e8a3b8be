"""Translate the platform's fields for an instance into the project's settings."""

__all__ = ["parse_bounds", "settings_from_fields"]


def settings_from_fields(fields, metrics_port):
    """Return the settings of an instance in the form of a settings file.

    Parameters
    ----------
    fields : dict
        The platform's fields; each may be missing or null.
    metrics_port : int
        Port on which the instance serves its metrics.

    Returns
    -------
    dict
        Only the settings for which the platform has a value.

    Examples
    --------
    >>> settings_from_fields({"zone": "north-a", "zones": {"north-a": "north"}}, 9464)
    {'region': 'north', 'domain': 'north-a', 'domains': {'north-a': 'north'}}
    """
    listen, limits = _get_dict(fields, "listen"), _get_dict(fields, "limits")
    address, domain = fields.get("ip"), fields.get("zone")
    domains = _get_dict(fields, "zones")
    region = domains.get(domain) if isinstance(domain, str) else None
    addresses = {
        "callers": listen.get("front"),
        "health": listen.get("ready"),
        "peers": listen.get("control"),
        "lookup": listen.get("directory"),
        "metrics": f"{address}:{metrics_port}" if address else None,
    }
    settings = {
        "instance": fields.get("nodeName"),
        "address": address,
        "region": fields.get("region") or region or domain,
        "domain": domain,
        "domains": domains,
        "listen": {name: text for name, text in addresses.items() if text} or None,
        "peer_ports": fields.get("portRange"),
        "seeds": fields.get("seeds"),
        "store": _get_dict(fields, "platform").get("address"),
        "link_mbps": limits.get("linkMbps"),
        "memory_mb": limits.get("memoryMb"),
        "connections": limits.get("maxFds"),
        "bounds": fields.get("bounds"),
    }
    return {name: value for name, value in settings.items() if value is not None}


def _get_dict(fields, name):
    value = fields.get(name)
    return value if isinstance(value, dict) else {}


def parse_bounds(bounds):
    """Return bounds as a dictionary, in whichever form the platform gives them.

    Parameters
    ----------
    bounds : dict, list of str or str
        A dictionary, a list of ``name=value``, or one string of such pairs separated by
        commas.

    Returns
    -------
    dict
        Name to value. A value of any other type is returned unchanged.

    Examples
    --------
    >>> parse_bounds(["grace=6s", "coldSlack=5"])
    {'grace': '6s', 'coldSlack': '5'}
    >>> parse_bounds("grace=6s,coldSlack=5")
    {'grace': '6s', 'coldSlack': '5'}
    """
    if isinstance(bounds, str):
        bounds = [text for text in bounds.split(",") if text.strip()]
    if not isinstance(bounds, list):
        return bounds
    pairs = [str(text).partition("=") for text in bounds]
    return {name.strip(): value.strip() for name, _, value in pairs}
