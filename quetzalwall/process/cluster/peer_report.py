"""Reports that instances send one another, and the state kept of each peer."""

import math
from typing import Annotated, NamedTuple

import msgspec

from quetzalwall.process.cluster.endpoint_code import endpoint_code

__all__ = [
    "Peer",
    "PeerInfo",
    "PeerReport",
    "decode_report",
    "encode_report",
    "is_newer",
]

IPV4_OCTET = "(25[0-5]|2[0-4][0-9]|1[0-9][0-9]|[1-9]?[0-9])"
# A host name would be resolved on each send, which blocks the event loop.
Host = Annotated[str, msgspec.Meta(pattern=rf"\A({IPV4_OCTET}\.){{3}}{IPV4_OCTET}\Z")]


class PeerInfo(NamedTuple):
    """Identity, location and link of an instance.

    Attributes
    ----------
    name, region, domain : str
        Name, region and failure domain.
    host : str
        IPv4 address.
    link_mbps : float
        Bandwidth of its network link in Mbit/s.
    """

    name: str
    region: str
    domain: str
    host: Host
    link_mbps: float = 1000.0


class PeerReport(NamedTuple):
    """Report of an instance on itself and its endpoints, sent as one datagram.

    Attributes
    ----------
    sender : PeerInfo or None
        The sender; None if an earlier report of the process has named it.
    process_id : int
        Random number drawn when the sender's process started.
    sequence : int
        Increases with each report of this process.
    leaving : bool
        Whether the sender is about to stop.
    reaches_store : bool
        Whether the store responds to the sender.
    table_versions : dict of str to int
        Version of the last change that the sender knows of each table.
    in_flight : list of (int, int)
        Code of an endpoint, and the sender's requests in flight there.
    slowness : list of (int, int, int)
        Code of an endpoint, its slowness in hundredths, and the age of that figure in
        ms.
    cached : list of (int, int)
        Code of an endpoint, and hash of the key of an object that it has served to the
        sender since the sender's last report.
    confirmation_ages_ms : dict of str to int
        Milliseconds since the store last responded to the sender, by table.
    advertised_limits : list of (int, int, int, int, int)
        Code of an endpoint that advertises a limit, and the figures of
        `AdvertisedLimit.own_report`.
    operators_proof : (int, int) or None
        As of which moment the store proved the operators' table to the sender, as of
        `Freshness.own_proof`; None if it did not, or if the report was delayed.
    draining : list of (int, int)
        Code of one start of an endpoint that has stated that it is draining, as of
        `incarnation_code`, and the age of that statement in ms.
    overloaded : list of (int, int)
        Code of an endpoint that has lately asked the sender for no requests, and the
        age of that response in ms.
    configuration_version : int
        Version of the active configuration; 0 if there is none. It never goes back,
        while the store may show an older one after it was restored.
    claimed : list of int
        Codes of the idempotency keys that the sender claimed lately, as of
        `ClaimCodes`.
    accounts : list of (int, int, int, int)
        Code of an active client account, and the figures of `Allotments.own_report`.
    accounts_complete : bool
        Whether accounts that are not listed have become inactive; otherwise their
        figures have not changed.
    """

    sender: PeerInfo | None
    process_id: int
    sequence: int
    leaving: bool
    reaches_store: bool
    table_versions: dict[str, int]
    in_flight: list[tuple[int, int]]
    slowness: list[tuple[int, int, int]]
    cached: list[tuple[int, int]]
    confirmation_ages_ms: dict[str, int] = {}
    advertised_limits: list[tuple[int, int, int, int, int]] = []
    operators_proof: tuple[int, int] | None = None
    draining: list[tuple[int, int]] = []
    overloaded: list[tuple[int, int]] = []
    configuration_version: int = 0
    claimed: list[int] = []
    accounts: list[tuple[int, int, int, int]] = []
    accounts_complete: bool = True


_DECODER = msgspec.msgpack.Decoder(PeerReport)
_ENCODER = msgspec.msgpack.Encoder()


class Peer:
    """Last known state of another instance.

    Parameters
    ----------
    info : PeerInfo
        The instance.

    Attributes
    ----------
    code : int
        Short code of its name.
    last_seen : float
        Monotonic seconds of its last report; -inf before the first one.
    added_at : float
        Monotonic seconds at which it was read from the store; -inf if it was not.
    last_sent_at : float
        Monotonic seconds at which this instance last sent it a report.
    in_flight : dict of int to int
        Its requests in flight, by code of the endpoint.
    configuration_version : int
        Version of its active configuration; 0 if it has none.
    unresponsive : bool
        Whether its reports are overdue, or none has come yet.
    """

    def __init__(self, info):
        self.info = info
        self.code = endpoint_code(info.name)
        self.process_id = None
        self.former_process_id = None
        self.sequence = -1
        self.leaving = False
        self.reaches_store = False
        self.table_versions = {}
        self.configuration_version = 0
        self.last_seen = -math.inf
        self.added_at = -math.inf
        self.in_flight = {}
        self.last_sent_at = -math.inf
        self.unresponsive = True

    def apply(self, report):
        """Keep what a newer report says about its sender.

        Parameters
        ----------
        report : PeerReport
            The report.
        """
        self.sequence = report.sequence
        self.leaving = report.leaving
        self.reaches_store = report.reaches_store
        self.table_versions = report.table_versions
        self.configuration_version = report.configuration_version

    def record_versions(self, versions):
        """Keep later versions of tables that the instance stated between its reports.

        Parameters
        ----------
        versions : dict of str to int
            Version of the last change that the instance knows of each table.
        """
        known = self.table_versions
        later = {t: v for t, v in versions.items() if v > known.get(t, 0)}
        if later:
            self.table_versions = known | later


def encode_report(report):
    """Return a report as a datagram.

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
    """Return the report in a datagram.

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
        The datagram is no valid report.
    """
    return _DECODER.decode(raw)


def is_newer(report, peer):
    """Return whether a report is newer than the last one received from its sender.

    The order does not depend on wall clocks, which may step. Reports of the process
    before the current one are late, whatever their sequence number.

    Parameters
    ----------
    report : PeerReport
        The report.
    peer : Peer
        Its sender.

    Returns
    -------
    bool
    """
    if report.process_id == peer.process_id:
        return report.sequence > peer.sequence
    return report.process_id != peer.former_process_id
