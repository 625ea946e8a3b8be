"""Assignment of client blocks to sites by weighted rendezvous hashing.

Every instance works out the same assignment from the same version of the settings. A
change of one site's weight moves only blocks to or from that site, and a region is
worked out by itself, so a change costs one region.
"""

import math

import xxhash

__all__ = ["assign_blocks", "assignment_delta", "reassign_regions"]

HASH_RANGE = 2.0**64


def assign_blocks(blocks, sites):
    """Return the site of each block.

    Parameters
    ----------
    blocks : dict of str to dict
        Block in CIDR notation to ``region`` and ``weight`` (expected load).
    sites : dict of str to dict
        Site to ``region``, ``weight`` (share of the load) and ``capacity`` (most load).

    Returns
    -------
    dict of str to str
        Block to site. No site gets more than its capacity while another site of the
        region has room.

    References
    ----------
    .. [1] D. Thaler and C. Ravishankar, "Using name-based mappings to increase hit
       rates", IEEE/ACM Transactions on Networking 6(1), 1998.

    Examples
    --------
    >>> sites = {"s1": {"region": "r", "weight": 1.0, "capacity": 9.0}}
    >>> assign_blocks({"192.0.2.0/24": {"region": "r", "weight": 1.0}}, sites)
    {'192.0.2.0/24': 's1'}
    """
    regions = sorted({block["region"] for block in blocks.values()})
    return reassign_regions({}, blocks, sites, regions)


def reassign_regions(assignment, blocks, sites, regions):
    """Return an assignment with some regions worked out anew.

    Parameters
    ----------
    assignment : dict of str to str
        Block to site, kept for all other regions.
    blocks, sites : dict of str to dict
        As for `assign_blocks`.
    regions : iterable of str
        Regions whose sites or blocks changed.

    Returns
    -------
    dict of str to str
    """
    chosen = set(regions)
    kept = {
        block: site
        for block, site in assignment.items()
        if block in blocks and blocks[block]["region"] not in chosen
    }
    for region in sorted(chosen):
        kept.update(_assign_region(region, blocks, sites))
    return kept


def assignment_delta(old, new):
    """Return what changed between two assignments.

    Parameters
    ----------
    old, new : dict of str to str
        Block to site.

    Returns
    -------
    dict of str to str or None
        Block to its new site; None for a block that is gone.
    """
    delta = {block: site for block, site in new.items() if old.get(block) != site}
    delta.update({block: None for block in old if block not in new})
    return delta


def _assign_region(region, blocks, sites):
    local = {
        name: (xxhash.xxh64_intdigest(name.encode()), spec["weight"])
        for name, spec in sorted(sites.items())
        if spec["region"] == region and spec["weight"] > 0
    }
    room = {name: sites[name]["capacity"] for name in local}
    found = {}
    if not local:
        return found
    members = [name for name, spec in blocks.items() if spec["region"] == region]
    for block in sorted(members, key=_hash):
        weight = blocks[block]["weight"]
        site = _best_site(block, weight, local, room)
        room[site] -= weight
        found[block] = site
    return found


def _best_site(block, weight, sites, room):
    """Return the site of the least cost that has room, or that has the most room."""
    key = block.encode()
    best, least = None, math.inf
    for name, (seed, site_weight) in sites.items():
        if room[name] < weight:
            continue
        point = (xxhash.xxh64_intdigest(key, seed) + 1) / HASH_RANGE
        cost = -math.log(point) / site_weight if point < 1.0 else 0.0
        if cost < least:
            best, least = name, cost
    if best is None:
        best = max(sites, key=lambda name: (room[name], name))
    return best


def _hash(block):
    return xxhash.xxh64_intdigest(block.encode())
