"""Translate the fields that the platform has for an instance into its settings."""

__all__ = ["read_bound_table", "settings_from_fields"]


def settings_from_fields(fields, metrics_port):
    """Return the settings of an instance as its file holds them.

    Parameters
    ----------
    fields : dict
        The platform's fields; any may be missing or null.
    metrics_port : int
        Where the metrics are fetched.

    Returns
    -------
    dict
        Holds only what the platform has a value for.

    Examples
    --------
    >>> settings_from_fields({"zone": "north-a", "zones": {"north-a": "north"}}, 9464)
    {'region': 'north', 'domain': 'north-a', 'domains': {'north-a': 'north'}}
    """
    listen, limits = _table(fields, "listen"), _table(fields, "limits")
    address, domain = fields.get("ip"), fields.get("zone")
    domains = _table(fields, "zones")
    places = {
        "callers": listen.get("front"),
        "health": listen.get("ready"),
        "peers": listen.get("control"),
        "lookup": listen.get("directory"),
        "metrics": f"{address}:{metrics_port}" if address else None,
    }
    settings = {
        "instance": fields.get("nodeName"),
        "address": address,
        "region": fields.get("region") or domains.get(domain) or domain,
        "domain": domain,
        "domains": domains,
        "listen": {name: place for name, place in places.items() if place} or None,
        "peer_ports": fields.get("portRange"),
        "seeds": fields.get("seeds"),
        "store": _table(fields, "platform").get("address"),
        "link_mbps": limits.get("linkMbps"),
        "memory_mb": limits.get("memoryMb"),
        "connections": limits.get("maxFds"),
        "bounds": fields.get("bounds"),
    }
    return {name: value for name, value in settings.items() if value is not None}


def _table(fields, name):
    value = fields.get(name)
    return value if isinstance(value, dict) else {}


def read_bound_table(bounds):
    """Return bounds as a table, whichever form the platform gives them.

    Parameters
    ----------
    bounds : dict, list of str or str
        A table, texts ``name=value``, or such texts with commas between them.

    Returns
    -------
    dict
        Names with their values; anything else is returned as it is.

    Examples
    --------
    >>> read_bound_table(["grace=6s", "coldSlack=5"])
    {'grace': '6s', 'coldSlack': '5'}
    >>> read_bound_table("grace=6s,coldSlack=5")
    {'grace': '6s', 'coldSlack': '5'}
    """
    if isinstance(bounds, str):
        bounds = [text for text in bounds.split(",") if text.strip()]
    if not isinstance(bounds, list):
        return bounds
    pairs = [str(text).partition("=") for text in bounds]
    return {name.strip(): value.strip() for name, _, value in pairs}
