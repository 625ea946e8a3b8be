"""Check that the key of a request still gives access, before the request is sent."""

from quetzalwall.exceptions import ConfigurationStale, KeyRevoked, NotSent
from quetzalwall.request.choice import Rejection
from quetzalwall.request.request_log import log_unknown_key

__all__ = ["STALE_CONFIGURATION", "check_access"]

# Short, since a single response of the store ends it.
STALE_CONFIGURATION = Rejection("stale configuration", 0.5)


def check_access(req, cluster_state):
    """Raise if a request must not be sent, since its key may have been revoked.

    Parameters
    ----------
    req : Request
        The request.
    cluster_state : ClusterState
        Tells the active configuration, which may be later than that of the request, and
        whether it may be too old.

    Raises
    ------
    KeyRevoked
        No account holds the key any more.
    ConfigurationStale
        It is not known whether the key is still valid.
    NotSent
        The key is now that of another account, or keys were not needed before.
    """
    if req.route.public:
        return
    cfg = cluster_state.configuration()
    freshness = cluster_state.fleet.table_updates.freshness
    if cfg is not req.cfg and cfg.accounts is not None:
        account = cfg.accounts.find(req.metadata.credential)
        if account is None and not freshness.is_current():
            raise ConfigurationStale(STALE_CONFIGURATION.reason, "admission")
        if account is None:
            log_unknown_key(req.metadata, req.route, cfg.version)
            raise KeyRevoked("unknown key", "admission")
        if req.account is None or account.name != req.account.name:
            raise NotSent("the accounts changed", "admission")
    if req.account is not None and freshness.is_stale():
        raise ConfigurationStale(STALE_CONFIGURATION.reason, "admission")
