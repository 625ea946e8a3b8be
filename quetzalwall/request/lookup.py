"""Choose the instances that a look-up names to a caller."""

import xxhash

__all__ = ["order_instances", "sample_by_bandwidth"]

MAX_WEIGHTED_MBPS = 100.0  # above, the processor limits an instance, not its link


def order_instances(instances, region, caller, count):
    """Return the instances that a caller should try, best first.

    Parameters
    ----------
    instances : sequence of PeerInfo
        Live instances that are not leaving.
    region : str
        Region nearest to the caller.
    caller : str
        Identity of the caller; its hash spreads callers evenly over the instances and
        keeps each at the same instances.
    count : int
        Maximum number of instances.

    Returns
    -------
    list of PeerInfo
        Those of the region first, each part in order of rendezvous hashing. If all
        would be of one failure domain, the last one is replaced by the first of another
        domain.

    References
    ----------
    .. [1] D. Thaler and C. Ravishankar, "Using name-based mappings to increase hit
       rates", IEEE/ACM Transactions on Networking 6(1), 1998.
    """
    order = sorted(
        instances,
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


def sample_by_bandwidth(instances, count, rng):
    """Draw instances for one look-up, in proportion to the bandwidth of their links.

    Callers spread their requests evenly over the instances that a look-up names, so an
    instance with less bandwidth has to be named less often.

    Parameters
    ----------
    instances : sequence of PeerInfo
        Instances that may be named.
    count : int
        Maximum number of instances.
    rng : random.Random
        Source of randomness.

    Returns
    -------
    list of PeerInfo
        All of them if there are no more than ``count``, or if all have the same weight.
    """
    weights = [min(MAX_WEIGHTED_MBPS, info.link_mbps) for info in instances]
    if len(instances) <= count or min(weights) == max(weights):
        return list(instances)
    weighted = [
        (rng.random() ** (1.0 / weight), info)
        for weight, info in zip(weights, instances, strict=True)
    ]
    weighted.sort(key=lambda pair: pair[0], reverse=True)
    return [info for _, info in weighted[:count]]
