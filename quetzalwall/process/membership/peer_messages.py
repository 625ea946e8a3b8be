"""Messages between instances, checked on arrival."""

from typing import Annotated, Literal, NamedTuple

import msgspec

from quetzalwall.exceptions import PeerError

__all__ = ["Heartbeat", "LoanRequest", "parse_heartbeat", "parse_loan_request"]

_Name = Annotated[str, msgspec.Meta(min_length=1, max_length=64)]
_Count = Annotated[int, msgspec.Meta(ge=0, le=2**62)]
_Units = Annotated[int, msgspec.Meta(ge=0, le=1_000_000)]
_Change = tuple[_Count, Literal["live", "leaving", "dead"], _Count]


class _HeartbeatFields(msgspec.Struct):
    sender: _Name
    process: _Count
    changes: Annotated[dict[_Name, _Change], msgspec.Meta(max_length=8192)]
    held: _Count
    in_force: _Count
    roster: _Name
    vouch: bool = False
    known: bool = False


class _LoanFields(msgspec.Struct):
    sender: _Name
    loan_id: _Name
    service: _Name
    kind: Literal["short", "long"]
    region: _Name
    count: Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]
    waiting: _Units


class Heartbeat(NamedTuple):
    """A heartbeat or the answer to one.

    Attributes
    ----------
    sender : str
        Who sent it.
    process : int
        Incarnation under which the sender is on record.
    changes : dict of str to list
        Member to incarnation, state and settled version.
    held, in_force : int
        Versions of the configuration at the sender.
    roster : str
        Digest of the sender's list of instances.
    vouch : bool
        Whether the sender vouches for the receiver's lease.
    known : bool
        Whether the sender has the receiver's process on its record.
    """

    sender: str
    process: int
    changes: dict
    held: int
    in_force: int
    roster: str
    vouch: bool = False
    known: bool = False


class LoanRequest(NamedTuple):
    """A wish to borrow units, or to extend a loan of the same identifier."""

    sender: str
    loan_id: str
    service: str
    kind: str
    region: str
    count: int
    waiting: int


def parse_heartbeat(body, peer):
    """Return a heartbeat from decoded JSON.

    Parameters
    ----------
    body : object
        Decoded JSON.
    peer : str
        Sender, for the error.

    Returns
    -------
    Heartbeat

    Raises
    ------
    PeerError
        The message is malformed.
    """
    return _convert(body, _HeartbeatFields, Heartbeat, "heartbeat", peer)


def parse_loan_request(body, peer):
    """Return a loan request from decoded JSON.

    Parameters
    ----------
    body : object
        Decoded JSON.
    peer : str
        Sender, for the error.

    Returns
    -------
    LoanRequest

    Raises
    ------
    PeerError
        The message is malformed.
    """
    return _convert(body, _LoanFields, LoanRequest, "loan request", peer)


def _convert(body, fields, kind, step, peer):
    try:
        checked = msgspec.convert(body, fields)
    except msgspec.ValidationError as exc:
        raise PeerError(f"malformed: {exc}", step, peer) from exc
    return kind(*(getattr(checked, name) for name in kind._fields))
