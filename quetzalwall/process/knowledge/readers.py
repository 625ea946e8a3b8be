"""Which instances follow the store, and who knows more than this one."""

from quetzalwall.process.knowledge.endpoint_table import endpoint_code

__all__ = ["ahead_of", "follows_store"]

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
    peers = fleet.peers()
    if len(peers) < ALL_READ or not fleet.reaches_store:
        return True
    own = endpoint_code(fleet.card.name)
    before = sum(
        endpoint_code(peer.card.name) < own
        for peer in peers
        if peer.card.region == fleet.card.region
        and not (peer.silent or peer.leaving)
        and peer.reaches_store
    )
    return before < READERS


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
    list of PeerCard
        Those of the own region first.
    """
    own = fleet.known(table)
    cards = [
        peer.card
        for peer in fleet.peers()
        if not peer.silent and peer.tables.get(table, 0) > own
    ]
    return sorted(cards, key=lambda card: card.region != fleet.card.region)
