"""Recovery after the store was restored from an older copy."""

import gevent

from quetzalwall.process.registration import register

__all__ = ["recover_restored"]


def recover_restored(front, store, claims, era, first):
    """Write again, in the background, what this system wrote and the copy may lack.

    Parameters
    ----------
    front : Front
        The instance.
    store : StoreClient
        The store.
    claims : Claims or None
        Claims of this instance; None if requests carry no idempotency keys.
    era : int
        The new era of the store.
    first : bool
        Whether nothing was known of the store before; the instance is starting then,
        and has nothing but claims of others to wait for.
    """
    if claims is not None:
        claims.begin_era()
    if first or front.stopping:
        return
    gevent.spawn(register, store, front.fleet)
    if front.settings_admin is not None:
        gevent.spawn(front.settings_admin.restore)
