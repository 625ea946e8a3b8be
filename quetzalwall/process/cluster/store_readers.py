"""Which instances follow the store, and who knows more than this one."""

__all__ = ["ahead_of", "comes_first", "follows_store", "known_up_to"]

READERS = 2  # instances of a region that follow the store for the others
ALL_READ = 8  # instances up to which each follows the store itself


def follows_store(fleet):
    """Return whether this instance follows the store for itself and others.

    Parameters
    ----------
    fleet : Fleet
        The instances.

    Returns
    -------
    bool
        In a large fleet the first few of each region that reach the store do.
    """
    if fleet.others() < ALL_READ or not fleet.reaches_store:
        return True
    before = 0
    for peer in fleet.before():
        if peer.info.region != fleet.own_info.region:
            continue
        if peer.reaches_store and not (peer.silent or peer.leaving):
            before += 1
            if before >= READERS:
                return False
    return True


def comes_first(fleet):
    """Return whether no other instance that reaches the store comes before this one.

    Parameters
    ----------
    fleet : Fleet
        The instances.

    Returns
    -------
    bool
    """
    return not any(
        peer.reaches_store and not (peer.silent or peer.leaving)
        for peer in fleet.before()
    )


def known_up_to(fleet, table):
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
        0 if nothing is known; it may be later than the last change known.
    """
    return max(fleet.tables.get(table, 0), fleet.read_up_to.get(table, 0))


def ahead_of(fleet, table):
    """Return the instances that know a later change of a table than this one.

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
    own = known_up_to(fleet, table)
    if fleet.news.newest(table) <= own:
        return []
    cards = [
        peer.info
        for peer in fleet.peers()
        if not peer.silent and peer.tables.get(table, 0) > own
    ]
    return sorted(cards, key=lambda info: info.region != fleet.own_info.region)
