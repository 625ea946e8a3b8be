"""Client accounts of one version of the configuration, found by their keys."""

import hashlib
from typing import NamedTuple

__all__ = ["Accounts", "ClientAccount", "create_accounts", "route_for_account"]

DIGEST_BYTES = 16


class ClientAccount(NamedTuple):
    """A client account.

    Attributes
    ----------
    name : str
        Name, which endpoints receive.
    rank : int or None
        Priority, which precedes that of the route; 0 is the most urgent. None if the
        account has none.
    per_s : float
        Requests a second over all instances; 0 for no limit.
    burst : float
        Requests beyond the rate that may come at once.
    regions : tuple of str
        Regions that may serve its requests; empty for all.
    """

    name: str
    rank: int | None = None
    per_s: float = 0.0
    burst: float = 0.0
    regions: tuple = ()


class Accounts:
    """The client accounts of a configuration.

    Only digests of the keys are kept, so that neither a log nor the duration of a
    look-up reveals a key.

    Parameters
    ----------
    accounts : iterable of (ClientAccount, iterable of str)
        Each account with its keys.

    Attributes
    ----------
    by_name : dict of str to ClientAccount
        Accounts by name.

    Raises
    ------
    ValueError
        Two accounts have the same name or share a key.
    """

    def __init__(self, accounts=()):
        self.by_name = {}
        self._by_digest = {}
        for account, keys in accounts:
            if account.name in self.by_name:
                raise ValueError(f"two accounts are named {account.name!r}")
            self.by_name[account.name] = account
            for key in keys:
                other = self._by_digest.setdefault(_digest(key), account)
                if other is not account:
                    raise ValueError(
                        f"accounts {other.name!r} and {account.name!r} share a key"
                    )

    def find(self, key):
        """Return the account that holds a key.

        Parameters
        ----------
        key : str
            The key.

        Returns
        -------
        ClientAccount or None
        """
        return self._by_digest.get(_digest(key))


def _digest(key):
    raw = key.encode("utf-8", "surrogateescape")
    return hashlib.blake2b(raw, digest_size=DIGEST_BYTES).digest()


def route_for_account(route, account):
    """Return the route as it applies to the requests of an account.

    Parameters
    ----------
    route : Route
        The request's route.
    account : ClientAccount
        The account.

    Returns
    -------
    Route or None
        The route with the account's priority, and with the regions that both allow;
        None if there are none.
    """
    regions = route.regions or account.regions
    if route.regions and account.regions:
        regions = tuple(name for name in route.regions if name in account.regions)
        if not regions:
            return None
    rank = route.rank if account.rank is None else account.rank
    return route._replace(rank=rank, regions=regions)


def create_accounts(accounts=()):
    """Return the index of a configuration's accounts.

    Parameters
    ----------
    accounts
        As of `Accounts`.

    Returns
    -------
    Accounts
    """
    return Accounts(accounts)
