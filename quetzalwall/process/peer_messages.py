"""Messages between instances, checked on arrival."""

from typing import NamedTuple

import jsonschema

from quetzalwall.exceptions import PeerError

__all__ = ["Heartbeat", "LoanRequest", "parse_heartbeat", "parse_loan_request"]

_NAME = {"type": "string", "minLength": 1, "maxLength": 64}
_COUNT = {"type": "integer", "minimum": 0, "maximum": 2**62}
_CHANGES = {
    "type": "object",
    "maxProperties": 8192,
    "additionalProperties": {
        "type": "array",
        "prefixItems": [_COUNT, {"enum": ["live", "leaving", "dead"]}, _COUNT],
        "minItems": 3,
        "maxItems": 3,
    },
}
_HEARTBEAT = jsonschema.Draft202012Validator(
    {
        "type": "object",
        "properties": {
            "sender": _NAME,
            "process": _COUNT,
            "changes": _CHANGES,
            "held": _COUNT,
            "in_force": _COUNT,
            "roster": _NAME,
            "vouch": {"type": "boolean"},
            "known": {"type": "boolean"},
        },
        "required": [
            "sender",
            "process",
            "changes",
            "held",
            "in_force",
            "roster",
        ],
    }
)
_LOAN_REQUEST = jsonschema.Draft202012Validator(
    {
        "type": "object",
        "properties": {
            "sender": _NAME,
            "loan_id": _NAME,
            "service": _NAME,
            "kind": {"enum": ["short", "long"]},
            "region": _NAME,
            "count": {"type": "integer", "minimum": 1, "maximum": 1_000_000},
            "waiting": {"type": "integer", "minimum": 0, "maximum": 1_000_000},
        },
        "required": [
            "sender",
            "loan_id",
            "service",
            "kind",
            "region",
            "count",
            "waiting",
        ],
    }
)


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
    _check(_HEARTBEAT, body, "heartbeat", peer)
    return Heartbeat(**{k: body[k] for k in Heartbeat._fields if k in body})


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
    _check(_LOAN_REQUEST, body, "loan request", peer)
    return LoanRequest(**{name: body[name] for name in LoanRequest._fields})


def _check(validator, body, step, peer):
    error = next(validator.iter_errors(body), None)
    if error is not None:
        path = "/".join(str(part) for part in error.absolute_path)
        raise PeerError(f"malformed at /{path}: {error.message[:200]}", step, peer)
