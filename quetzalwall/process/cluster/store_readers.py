"""Which instances read the store, and which have newer tables than this one."""

__all__ = [
    "follows_store",
    "has_heard_peers",
    "known_version",
    "peers_ahead",
    "store_rank",
]

READERS_PER_REGION = 2  # instances that follow the store on behalf of their region
ALL_READ_BELOW = 8  # other instances; in a smaller fleet each follows the store


def follows_store(fleet):
    """Return whether this instance follows the store itself.

    Parameters
    ----------
    fleet : Fleet
        The instances.

    Returns
    -------
    bool
        In a large fleet, only for the first few instances of each region that reach
        the store; one that does not reach it keeps trying.
    """
    if fleet.peer_count() < ALL_READ_BELOW or not fleet.reaches_store:
        return True
    preceding_readers = 0
    for peer in fleet.preceding_peers():
        if peer.info.region != fleet.own_info.region:
            continue
        if peer.reaches_store and not (peer.unresponsive or peer.leaving):
            preceding_readers += 1
            if preceding_readers >= READERS_PER_REGION:
                return False
    return True


def has_heard_peers(fleet):
    """Return whether it is known which instances read the store for others.

    Parameters
    ----------
    fleet : Fleet
        The instances.

    Returns
    -------
    bool
        In a large fleet, only once a report of another instance has arrived.
    """
    if fleet.peer_count() < ALL_READ_BELOW:
        return True
    return any(not peer.unresponsive for peer in fleet.peers())


def store_rank(fleet):
    """Return how many other instances that reach the store precede this one.

    Parameters
    ----------
    fleet : Fleet
        The instances.

    Returns
    -------
    int
        0 for the first one, on which all others rely.
    """
    return sum(
        peer.reaches_store and not (peer.unresponsive or peer.leaving)
        for peer in fleet.preceding_peers()
    )


def known_version(fleet, table):
    """Return the version of the store up to which this instance knows a table.

    Parameters
    ----------
    fleet : Fleet
        The instances.
    table : str
        Name of the table.

    Returns
    -------
    int
        0 if nothing is known; may be later than the last change of the table.
    """
    return max(fleet.table_versions.get(table, 0), fleet.read_versions.get(table, 0))


def peers_ahead(fleet, table):
    """Return the instances that know a later change of a table.

    Parameters
    ----------
    fleet : Fleet
        The instances.
    table : str
        Name of the table.

    Returns
    -------
    list of PeerInfo
        Those of the own region first.
    """
    own_version = known_version(fleet, table)
    if fleet.table_updates.newest_version(table) <= own_version:
        return []
    ahead = [
        peer.info
        for peer in fleet.peers()
        if not peer.unresponsive and peer.table_versions.get(table, 0) > own_version
    ]
    return sorted(ahead, key=lambda info: info.region != fleet.own_info.region)
