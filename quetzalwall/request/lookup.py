"""Which instances a caller should use, in order."""

import xxhash

__all__ = ["sample_by_bandwidth", "order_instances"]

ENOUGH_MBPS = 100.0  # beyond it the processor, not the link, limits an instance


def order_instances(cards, region, caller, count):
    """Return the instances that a caller should try, best first.

    Parameters
    ----------
    cards : sequence of PeerInfo
        Live instances that are not leaving.
    region : str
        Region nearest to the caller.
    caller : str
        The caller; spreads callers evenly and keeps each at the same instance.
    count : int
        Instances at most.

    Returns
    -------
    list of PeerInfo
        Those of the region first, in rendezvous order. The last place goes to another
        failure domain than the first one's, if there is any.

    References
    ----------
    .. [1] D. Thaler and C. Ravishankar, "Using name-based mappings to increase hit
       rates", IEEE/ACM Transactions on Networking 6(1), 1998.
    """
    order = sorted(
        cards,
        key=lambda info: (
            info.region != region,
            xxhash.xxh64_intdigest(f"{caller} {info.name}".encode()),
        ),
    )
    chosen = order[:count]
    domains = {info.domain for info in chosen}
    if len(domains) == 1 and len(order) > count > 1:
        other = next((c for c in order if c.domain not in domains), None)
        if other is not None:
            chosen[-1] = other
    return chosen


def sample_by_bandwidth(cards, count, rng):
    """Draw instances for one look-up, in proportion to the room of their links.

    Callers use the instances of an answer alike, so that an instance whose link is
    narrow must be in fewer answers.

    Parameters
    ----------
    cards : sequence of PeerInfo
        Instances that may be named.
    count : int
        Instances at most.
    rng : random.Random
        Source of randomness.

    Returns
    -------
    list of PeerInfo
        All of them if there are no more than ``count``, or if no link is narrow.
    """
    weights = [min(ENOUGH_MBPS, info.link_mbps) for info in cards]
    if len(cards) <= count or min(weights) == max(weights):
        return list(cards)
    keyed = [
        (rng.random() ** (1.0 / weight), info)
        for weight, info in zip(weights, cards, strict=True)
    ]
    keyed.sort(key=lambda pair: pair[0], reverse=True)
    return [info for _, info in keyed[:count]]
