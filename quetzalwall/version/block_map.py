"""Assignment of client blocks to sites by weighted rendezvous hashing.

Every instance computes the same assignment from the same version of the settings. A
change of one site's weight moves only blocks to or from that site. Each region is
computed separately, so that a change requires only the affected region to be computed.
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
        Site to ``region``, ``weight`` (share of the load) and ``capacity`` (maximum
        load).

    Returns
    -------
    dict of str to str
        Block to site. No site gets more than its capacity while another site of the
        region has free capacity.

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
    """Return an assignment with some regions computed again.

    Parameters
    ----------
    assignment : dict of str to str
        Block to site, unchanged for all other regions.
    blocks, sites : dict of str to dict
        As for `assign_blocks`.
    regions : iterable of str
        Regions whose sites or blocks changed.

    Returns
    -------
    dict of str to str
    """
    changed = set(regions)
    result = {
        block: site
        for block, site in assignment.items()
        if block in blocks and blocks[block]["region"] not in changed
    }
    for region in sorted(changed):
        result.update(_assign_region(region, blocks, sites))
    return result


def assignment_delta(old, new):
    """Return the difference between two assignments.

    Parameters
    ----------
    old, new : dict of str to str
        Block to site.

    Returns
    -------
    dict of str to str or None
        Block to its new site; None for a block that was removed.
    """
    delta = {block: site for block, site in new.items() if old.get(block) != site}
    delta.update({block: None for block in old if block not in new})
    return delta


def _assign_region(region, blocks, sites):
    local_sites = {
        name: (xxhash.xxh64_intdigest(name.encode()), spec["weight"])
        for name, spec in sorted(sites.items())
        if spec["region"] == region and spec["weight"] > 0
    }
    free_capacity = {name: sites[name]["capacity"] for name in local_sites}
    assigned = {}
    if not local_sites:
        return assigned
    local_blocks = [name for name, spec in blocks.items() if spec["region"] == region]
    for block in sorted(local_blocks, key=_hash):
        weight = blocks[block]["weight"]
        site = _best_site(block, weight, local_sites, free_capacity)
        free_capacity[site] -= weight
        assigned[block] = site
    return assigned


def _best_site(block, weight, sites, free_capacity):
    """Return the cheapest site with enough free capacity, or that with the most."""
    key = block.encode()
    best_site, lowest_cost = None, math.inf
    for name, (seed, site_weight) in sites.items():
        if free_capacity[name] < weight:
            continue
        fraction = (xxhash.xxh64_intdigest(key, seed) + 1) / HASH_RANGE
        cost = -math.log(fraction) / site_weight if fraction < 1.0 else 0.0
        if cost < lowest_cost:
            best_site, lowest_cost = name, cost
    if best_site is None:
        best_site = max(sites, key=lambda name: (free_capacity[name], name))
    return best_site


def _hash(block):
    return xxhash.xxh64_intdigest(block.encode())
