"""Exceptions of quetzalwall.

Every exception carries the step at which it arose and the peer that was involved,
so that a log line or a response to a caller can name both.
"""

__all__ = [
    "ConfigurationStale",
    "EndpointError",
    "IncompleteAnswer",
    "KeyRevoked",
    "ListenError",
    "MissingRows",
    "NoRoom",
    "NotConnected",
    "NotRun",
    "NotSent",
    "OutcomeUnknown",
    "PeerError",
    "QuetzalwallError",
    "SettingsConflict",
    "SettingsError",
    "StoreError",
    "StoreUnavailable",
]


class QuetzalwallError(Exception):
    """Base class of all exceptions raised by quetzalwall.

    Parameters
    ----------
    message : str
        What went wrong, in one sentence.
    step : str, default=""
        The step at which the error arose, for example ``"connect"``.
    peer : str, default=""
        The peer involved: an endpoint, an instance or a platform service.
    """

    def __init__(self, message, step="", peer=""):
        super().__init__(message)
        self.message = message
        self.step = step
        self.peer = peer


class SettingsError(QuetzalwallError):
    """Settings are invalid.

    Parameters
    ----------
    message : str
        Summary of the faults.
    faults : sequence of quetzalwall.version.check.Fault, default=()
        All faults found, each with file, path and value.
    """

    def __init__(self, message, faults=(), step="check settings", peer=""):
        super().__init__(message, step=step, peer=peer)
        self.faults = tuple(faults)


class ListenError(QuetzalwallError):
    """The process can't listen on an address that it needs."""


class SettingsConflict(QuetzalwallError):
    """A subtree has changed since the version on which a change was based.

    Parameters
    ----------
    message : str
        Summary with both versions.
    base : int
        Version of the subtree on which the change was based.
    current : int
        Version of the subtree that is now in the store.
    subtree : dict
        The subtree that is now in the store.
    """

    def __init__(self, message, base, current, subtree, peer=""):
        super().__init__(message, step="put settings", peer=peer)
        self.base = base
        self.current = current
        self.subtree = subtree


class StoreError(QuetzalwallError):
    """The store rejected a request."""


class StoreUnavailable(StoreError):
    """The store is unresponsive or failing; a write may have taken effect."""


class MissingRows(QuetzalwallError):
    """A peer lists rows of a table that this instance should know and does not."""


class PeerError(QuetzalwallError):
    """A JSON call to another process failed or its response was invalid."""


class EndpointError(QuetzalwallError):
    """Base class of failures between this instance and an endpoint."""


class NotRun(EndpointError):
    """The request was not run: it was not sent, or the endpoint reported so.

    Parameters
    ----------
    retry_after_s : float, default=1.0
        Seconds after which the caller may try again.
    """

    def __init__(self, message, step="", peer="", retry_after_s=1.0):
        super().__init__(message, step=step, peer=peer)
        self.retry_after_s = retry_after_s


class NotSent(NotRun):
    """Nothing was sent to the endpoint."""


class NotConnected(NotSent):
    """No connection to the endpoint could be opened."""


class NoRoom(NotSent):
    """The instance can open no further connection; the endpoint is not at fault."""


class KeyRevoked(NotSent):
    """No client account holds the key of the request any more."""


class ConfigurationStale(NotSent):
    """It is not known whether the key of the request is still valid."""


class OutcomeUnknown(EndpointError):
    """The request may have run: it may have been sent, and no response was received."""


class IncompleteAnswer(EndpointError):
    """A response arrived and can't be used, though the request may have run.

    It was truncated, malformed, contradictory, a failure, or too long for the memory.
    """
