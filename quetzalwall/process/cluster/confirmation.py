"""Datagrams that confirm tables of the store, apart from the reports.

Reports are too large to be sent to each instance of a large fleet as often as the
tables have to be confirmed.
"""

from typing import NamedTuple

import msgspec

__all__ = [
    "MAX_CODE",
    "Confirmation",
    "decode_confirmation",
    "encode_confirmation",
    "is_confirmation",
]

MAX_CODE = 2**32  # codes of instances are smaller
# The first half of the first byte of a msgpack array of at most 15 elements. Reports
# have more elements.
SHORT_ARRAY = 0x9


class Confirmation(NamedTuple):
    """As of which moment the store had no later version of some tables.

    Attributes
    ----------
    process_id : int
        Random number of the sender's process.
    built_ms : int
        Moment at which it was built, in milliseconds of the sender's clock.
    tables : dict of str to (int, int)
        Version of the last change of each table, and the age of its confirmation in ms.
    proof_age_ms : int or None
        Age of the as-of moment of the operators' table, as of `Freshness.own_proof`.
    first_code, end_code : int
        Codes of the instances to which the recipient passes it on: the first one, and
        the one after the last; equal if there are none.
    """

    process_id: int
    built_ms: int
    tables: dict[str, tuple[int, int]]
    proof_age_ms: int | None
    first_code: int
    end_code: int


_DECODER = msgspec.msgpack.Decoder(Confirmation)
_ENCODER = msgspec.msgpack.Encoder()


def encode_confirmation(confirmation):
    """Return a confirmation as a datagram.

    Parameters
    ----------
    confirmation : Confirmation
        The confirmation.

    Returns
    -------
    bytes
    """
    return _ENCODER.encode(confirmation)


def is_confirmation(raw):
    """Return whether a datagram is a confirmation rather than a report.

    Parameters
    ----------
    raw : bytes
        The datagram.

    Returns
    -------
    bool
    """
    return bool(raw) and raw[0] >> 4 == SHORT_ARRAY


def decode_confirmation(raw):
    """Return the confirmation in a datagram.

    Parameters
    ----------
    raw : bytes
        The datagram.

    Returns
    -------
    Confirmation

    Raises
    ------
    msgspec.DecodeError
        The datagram is no valid confirmation.
    """
    return _DECODER.decode(raw)
