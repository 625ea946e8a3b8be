"""Longest-prefix match of addresses in sorted arrays."""

import socket
import sys
from array import array
from bisect import bisect_right
from typing import NamedTuple

from quetzalwall.exceptions import SettingsError

__all__ = ["BlockTable", "create_block_table", "find_site", "table_bytes"]

NO_SITE = 0xFFFF


class BlockTable(NamedTuple):
    """Disjoint ranges of addresses, each with the site of its longest prefix.

    Attributes
    ----------
    starts : array of uint32
        First address of each range, ascending.
    places : array of uint16
        Index into ``sites``, or 0xFFFF for addresses outside all blocks.
    sites : list of str
        Names of sites.
    """

    starts: array
    places: array
    sites: list


def create_block_table(assignment):
    """Return the table of an assignment.

    Parameters
    ----------
    assignment : dict of str to str
        Block in CIDR notation to site; blocks may lie inside others.

    Returns
    -------
    BlockTable

    Raises
    ------
    SettingsError
        A block is malformed.

    Examples
    --------
    >>> table = create_block_table({"10.0.0.0/8": "a", "10.1.0.0/16": "b"})
    >>> [find_site(table, ip) for ip in ("10.0.0.1", "10.1.2.3", "11.0.0.0")]
    ['a', 'b', None]
    """
    sites = sorted(set(assignment.values()))
    index = {site: place for place, site in enumerate(sites)}
    ranges = sorted(
        (start, -end, index[assignment[block]])
        for block in assignment
        for start, end in [_range_of(block)]
    )
    starts, places = array("I"), array("H")
    open_ranges = []  # enclosing blocks: end and place, innermost last

    def begin(address, place):
        if starts and starts[-1] == address:
            places[-1] = place
        elif not places or places[-1] != place:
            starts.append(address)
            places.append(place)

    def close_until(address):
        while open_ranges and open_ranges[-1][0] <= address:
            end, _ = open_ranges.pop()
            if end <= 0xFFFFFFFF:
                begin(end, open_ranges[-1][1] if open_ranges else NO_SITE)

    begin(0, NO_SITE)
    for start, negative_end, place in ranges:
        close_until(start)
        begin(start, place)
        open_ranges.append((-negative_end, place))
    close_until(sys.maxsize)
    return BlockTable(starts, places, sites)


def find_site(table, address):
    """Return the site of an address.

    Parameters
    ----------
    table : BlockTable
        The table.
    address : str
        IP number, version 4.

    Returns
    -------
    str or None
        None if no block holds the address.
    """
    number = int.from_bytes(socket.inet_aton(address), "big")
    place = table.places[bisect_right(table.starts, number) - 1]
    return None if place == NO_SITE else table.sites[place]


def table_bytes(table):
    """Return the size of a table's arrays in bytes.

    Parameters
    ----------
    table : BlockTable
        The table.

    Returns
    -------
    int
    """
    arrays = (table.starts, table.places)
    return sum(item.itemsize * len(item) for item in arrays)


def _range_of(block):
    try:
        text, _, length = block.partition("/")
        bits = int(length)
        start = int.from_bytes(socket.inet_aton(text), "big")
    except (OSError, ValueError) as exc:
        raise SettingsError(f"{block}: not a block in CIDR notation") from exc
    size = 1 << (32 - bits) if 0 <= bits <= 32 else 0
    if not size or start % size:
        raise SettingsError(f"{block}: prefix length does not fit the address")
    return start, start + size
