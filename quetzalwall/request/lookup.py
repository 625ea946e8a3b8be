"""Which entry instances a caller should use, in order."""

from typing import NamedTuple

import xxhash

__all__ = ["Member", "order_members"]


class Member(NamedTuple):
    """An entry instance as callers may use it.

    Attributes
    ----------
    name : str
        Name of the instance.
    address : str
        IP number.
    port : int
        TCP port.
    region : str
        Region.
    domain : str
        Failure domain.
    """

    name: str
    address: str
    port: int
    region: str
    domain: str


def order_members(members, region, caller, count):
    """Return the instances that a caller should try, best first.

    Parameters
    ----------
    members : sequence of Member
        Live instances that are not leaving.
    region : str
        Region nearest to the caller.
    caller : str
        The caller; spreads callers evenly and keeps each at the same instance.
    count : int
        Instances at most.

    Returns
    -------
    list of Member
        Those of the region first, in rendezvous order. The last place goes to another
        failure domain than the first one's, if there is any.

    References
    ----------
    .. [1] D. Thaler and C. Ravishankar, "Using name-based mappings to increase hit
       rates", IEEE/ACM Transactions on Networking 6(1), 1998.
    """
    order = sorted(
        members,
        key=lambda member: (
            member.region != region,
            xxhash.xxh64_intdigest(f"{caller} {member.name}".encode()),
        ),
    )
    chosen = order[:count]
    domains = {member.domain for member in chosen}
    if len(domains) == 1 and len(order) > count > 1:
        other = next((m for m in order if m.domain not in domains), None)
        if other is not None:
            chosen[-1] = other
    return chosen
