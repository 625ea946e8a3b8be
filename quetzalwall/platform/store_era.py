"""Eras of the store, which rise each time it is restored from an older copy.

A restored store assigns versions again, so order is by (era, version). Everywhere
outside `platform/store.py` the two are one number, in which the era counts first; in
era 0 it is the store's own version, as instances of older builds report it.
"""

from quetzalwall.connection.digits import is_decimal
from quetzalwall.logs import get_logger, log_event

__all__ = [
    "ERA_HEADERS",
    "VERSIONS_PER_ERA",
    "combine_version",
    "era_of",
    "parse_era",
    "store_version",
]

ERA_HEADERS = frozenset(("store-era", "x-quetzalwall-store-era"))
VERSIONS_PER_ERA = 2**48
MAX_ERA = 2**15 - 1  # the combined version fits into 63 bits
MAX_ERA_DIGITS = len(str(MAX_ERA))
MAX_LOGGED_CHARACTERS = 60
LOG = get_logger("store")


def combine_version(era, version):
    """Return one number for an era and a version of the store.

    Parameters
    ----------
    era, version : int
        From the store.

    Returns
    -------
    int

    Raises
    ------
    ValueError
        The version is out of range.

    Examples
    --------
    >>> combine_version(0, 7)
    7
    >>> combine_version(1, 7) > combine_version(0, 2**40)
    True
    """
    if not 0 <= version < VERSIONS_PER_ERA:
        raise ValueError(f"version out of range: {version}")
    return era * VERSIONS_PER_ERA + version


def era_of(combined):
    """Return the era in a number of `combine_version`.

    Parameters
    ----------
    combined : int
        The number.

    Returns
    -------
    int
    """
    return combined // VERSIONS_PER_ERA


def store_version(combined):
    """Return the store's own version in a number of `combine_version`.

    Parameters
    ----------
    combined : int
        The number.

    Returns
    -------
    int
    """
    return combined % VERSIONS_PER_ERA


def parse_era(headers):
    """Return the era that a response of the store names.

    Parameters
    ----------
    headers : dict of str to str
        Its headers by lower-case name.

    Returns
    -------
    int or None
        None if it names none, or none that is valid; the latter is logged.
    """
    eras = []
    for name in ERA_HEADERS & headers.keys():
        text = headers[name].strip()
        if is_decimal(text) and len(text) <= MAX_ERA_DIGITS and int(text) <= MAX_ERA:
            eras.append(int(text))
        else:
            value = text[:MAX_LOGGED_CHARACTERS]
            log_event(LOG, "odd-era", "warning", value=value)
    return max(eras, default=None)
