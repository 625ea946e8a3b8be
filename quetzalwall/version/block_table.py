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
    site_indexes : array of uint16
        Index into ``sites``, or 0xFFFF for addresses outside all blocks.
    sites : list of str
        Names of sites.
    """

    starts: array
    site_indexes: array
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
    index_by_site = {site: site_index for site_index, site in enumerate(sites)}
    ranges = sorted(
        (start, -end, index_by_site[assignment[block]])
        for block in assignment
        for start, end in [_parse_block(block)]
    )
    starts, site_indexes = array("I"), array("H")
    open_ranges = []  # enclosing blocks: end and site index, innermost last

    def start_range(address, site_index):
        if starts and starts[-1] == address:
            site_indexes[-1] = site_index
        elif not site_indexes or site_indexes[-1] != site_index:
            starts.append(address)
            site_indexes.append(site_index)

    def close_ranges_until(address):
        while open_ranges and open_ranges[-1][0] <= address:
            end, _ = open_ranges.pop()
            if end <= 0xFFFFFFFF:
                start_range(end, open_ranges[-1][1] if open_ranges else NO_SITE)

    start_range(0, NO_SITE)
    for start, negative_end, site_index in ranges:
        close_ranges_until(start)
        start_range(start, site_index)
        open_ranges.append((-negative_end, site_index))
    close_ranges_until(sys.maxsize)
    return BlockTable(starts, site_indexes, sites)


def find_site(table, address):
    """Return the site of an address.

    Parameters
    ----------
    table : BlockTable
        The table.
    address : str
        IPv4 address.

    Returns
    -------
    str or None
        None if no block contains the address.
    """
    number = int.from_bytes(socket.inet_aton(address), "big")
    site_index = table.site_indexes[bisect_right(table.starts, number) - 1]
    return None if site_index == NO_SITE else table.sites[site_index]


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
    arrays = (table.starts, table.site_indexes)
    return sum(item.itemsize * len(item) for item in arrays)


def _parse_block(block):
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
