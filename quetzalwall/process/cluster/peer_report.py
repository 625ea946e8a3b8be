"""What instances tell one another, and what one knows of another."""

import math
from typing import Annotated, NamedTuple

import msgspec

__all__ = [
    "Peer",
    "PeerInfo",
    "PeerReport",
    "decode_report",
    "encode_report",
    "is_newer",
]

OCTET = "(25[0-5]|2[0-4][0-9]|1[0-9][0-9]|[1-9]?[0-9])"
# A name would be looked up in each send, which holds the event loop.
Host = Annotated[str, msgspec.Meta(pattern=rf"\A({OCTET}\.){{3}}{OCTET}\Z")]


class PeerInfo(NamedTuple):
    """Who an instance is.

    Attributes
    ----------
    name, region, domain : str
        Name, region and failure domain.
    host : str
        IP number.
    link_mbps : float
        Rate of its link in Mbit/s.
    """

    name: str
    region: str
    domain: str
    host: Host
    link_mbps: float = 1000.0


class PeerReport(NamedTuple):
    """One datagram.

    Attributes
    ----------
    info : PeerInfo
        The sender.
    process : int
        Random number of the sender's process.
    sequence : int
        Grows with each datagram of this process.
    leaving : bool
        Whether it is about to stop.
    reaches_store : bool
        Whether the store answers it.
    tables : dict of str to int
        Version of the last change that it knows of each table.
    open : list of (int, int)
        Code of an endpoint, and requests of the sender open there.
    slow : list of (int, int, int)
        Code of an endpoint, its slowness in hundredths, and the report's age in ms.
    held : list of (int, int)
        Code of an endpoint, and of an object that it has served for the sender since
        its last report.
    confirmed : dict of str to int
        Milliseconds since the store last told the sender what has changed in a table.
    limited : list of (int, int, int, int, int)
        Code of an endpoint that names a limit, and the figures of
        `AdvertisedLimit.own_report`.
    """

    info: PeerInfo
    process: int
    sequence: int
    leaving: bool
    reaches_store: bool
    tables: dict[str, int]
    open: list[tuple[int, int]]
    slow: list[tuple[int, int, int]]
    held: list[tuple[int, int]]
    confirmed: dict[str, int] = {}
    limited: list[tuple[int, int, int, int, int]] = []


_DECODER = msgspec.msgpack.Decoder(PeerReport)
_ENCODER = msgspec.msgpack.Encoder()


class Peer:
    """What is known of one other instance.

    Parameters
    ----------
    info : PeerInfo
        Who it is.
    """

    def __init__(self, info):
        self.info = info
        self.process = None
        self.former_process = None
        self.sequence = -1
        self.leaving = False
        self.reaches_store = False
        self.tables = {}
        self.heard = -math.inf
        self.introduced = -math.inf
        self.open = {}
        self.called = -math.inf
        self.silent = True


def encode_report(report):
    """Return the bytes of a report.

    Parameters
    ----------
    report : PeerReport
        The report.

    Returns
    -------
    bytes
    """
    return _ENCODER.encode(report)


def decode_report(raw):
    """Return the report that a datagram holds.

    Parameters
    ----------
    raw : bytes
        The datagram.

    Returns
    -------
    PeerReport

    Raises
    ------
    msgspec.DecodeError
        It holds none.
    """
    return _DECODER.decode(raw)


def is_newer(report, peer):
    """Return whether a report is no late one; wall clocks may step, so none is used.

    Parameters
    ----------
    report : PeerReport
        The report.
    peer : Peer
        What is known of its sender.

    Returns
    -------
    bool
    """
    if report.process == peer.process:
        return report.sequence > peer.sequence
    return report.process != peer.former_process
