"""The other instances: which are running, and their requests in flight at endpoints.

Every instance sends its complete state to the others in small datagrams, so that the
next one makes up for a lost one.
"""

from quetzalwall.logs import get_logger, log_event
from quetzalwall.platform.bounds import Bounds
from quetzalwall.process.cluster.claim_codes import ClaimCodes
from quetzalwall.process.cluster.confirmation_relay import ConfirmationRelay
from quetzalwall.process.cluster.endpoint_code import endpoint_code
from quetzalwall.process.cluster.endpoint_stats import EndpointStats
from quetzalwall.process.cluster.members import Members, is_member
from quetzalwall.process.cluster.peer_order import PeerOrder
from quetzalwall.process.cluster.peer_report import Peer, PeerReport, is_newer
from quetzalwall.process.cluster.peer_socket import PeerSocket
from quetzalwall.process.cluster.peer_timeouts import PeerTimeouts
from quetzalwall.process.cluster.report_group import (
    LOOKUP_TIMEOUT_S,
    MIN_REPORT_PERIOD_S,
    UNRESPONSIVE_AFTER_S,
)
from quetzalwall.process.cluster.report_groups import ReportGroups
from quetzalwall.process.cluster.sender_identities import SenderIdentities
from quetzalwall.process.cluster.table_updates import TableUpdates
from quetzalwall.process.tasks import repeat

__all__ = ["UNRESPONSIVE_AFTER_S", "Fleet", "create_fleet"]

LOG = get_logger("fleet")


class Fleet:
    """The instances known to this one.

    Parameters
    ----------
    info : PeerInfo
        This instance.
    port : int
        UDP port, the same on every instance.
    endpoints : EndpointTable
        Receives the figures that other instances report on endpoints.
    monotonic : callable
        Clock in seconds.
    process_id : int
        Random number of this process; a restarted instance has another one.

    Attributes
    ----------
    own_info : PeerInfo
        This instance.
    bounds : Bounds
        The operators' bounds.
    leaving : bool
        Whether this instance is about to stop.
    reaches_store : bool
        Whether the store responds to this instance.
    table_versions : dict of str to int
        Version of the last change known of each table.
    read_versions : dict of str to int
        Version of the store up to which each table has been read.
    configuration_version : int
        Version of the active configuration; 0 if there is none.
    claim_codes : ClaimCodes
        Which idempotency keys were claimed lately.
    traffic : TrafficMeter or None
        Counts the bytes of reports; None counts none.
    allotments : Allotments or None
        Exchanges the figures of client accounts.
    table_updates : TableUpdates
        What other instances report of the tables.
    confirmations : ConfirmationRelay
        Passes on what the store confirmed.
    """

    def __init__(self, info, port, endpoints, monotonic, process_id):
        self.own_info = info
        self.bounds = Bounds()
        self.leaving = False
        self.reaches_store = True
        self.table_versions = {}
        self.read_versions = {}
        self.configuration_version = 0
        self.claim_codes = ClaimCodes()
        self.traffic = self.allotments = None
        self.table_updates = TableUpdates(monotonic)
        self.confirmations = ConfirmationRelay(self, process_id, monotonic)
        self._port = port
        self._endpoint_stats = EndpointStats(endpoints)
        self._monotonic = monotonic
        self._process_id = process_id
        self._sequence = 0
        self._peer_order = PeerOrder()
        self._identities = SenderIdentities()
        self._report_groups = ReportGroups(info.region)
        self._timeouts = PeerTimeouts(self._report_groups)
        self._peers = {}
        self._members = Members(info)
        self._task = None
        self._socket = None

    def start(self):
        """Start sending and receiving reports."""
        self._socket = PeerSocket(
            self.own_info.host,
            self._port,
            self._on_report,
            self._report_groups.read_delay_s,
            self.traffic,
            self.table_updates.freshness,
            self.confirmations.on_confirmation,
        )
        self.confirmations.start(self._socket)
        self._task = repeat(self._report, MIN_REPORT_PERIOD_S)

    def close(self):
        """Stop sending and receiving reports."""
        if self._socket is not None:
            self._task.kill()
            self.confirmations.close()
            self._socket.close()

    def announce_cached(self, endpoint, object_key):
        """Announce in the next reports that an endpoint has an object cached.

        Parameters
        ----------
        endpoint : str
            Identity of the endpoint.
        object_key : int
            Hash of the object's key.
        """
        for group in self._report_groups:
            group.cached.append((endpoint_code(endpoint), object_key))

    def add_registered(self, info):
        """Add an instance that the store lists; it may be running or not.

        It shares all limits until it has sent no report for `FORGET_AFTER_S`.

        Parameters
        ----------
        info : PeerInfo
            The instance.
        """
        if info.name != self.own_info.name and info.name not in self._peers:
            self._add_peer(info).added_at = self._monotonic()
            self._members.invalidate()

    def peer_count(self):
        """Return the number of known other instances.

        Returns
        -------
        int
        """
        return len(self._peers)

    def live(self):
        """Return the instances to give to callers, this one unless it is leaving.

        Returns
        -------
        list of PeerInfo
        """
        cutoff = (self._timeouts.last_check_at or 0.0) - LOOKUP_TIMEOUT_S
        found = self._peers.values()
        live = [
            p.info
            for p in found
            if not (p.unresponsive or p.leaving or p.last_seen < cutoff)
        ]
        return live if self.leaving else [self.own_info, *live]

    def size(self):
        """Return the number of instances that may send requests to endpoints.

        Returns
        -------
        int
            Unresponsive ones count for a while: they may be partitioned and at work.
        """
        return len(self.names())

    def names(self, region=None):
        """Return the names of the instances that may send requests to endpoints.

        Parameters
        ----------
        region : str, default=None
            Region of the instances; all regions if None.

        Returns
        -------
        list of str
            Must not be modified; the same list until an instance joins or leaves.
        """
        return self._members.names(self._peers, region, self._monotonic())

    def members(self):
        """Return the instances that may be running, this one first.

        Returns
        -------
        list of PeerInfo
        """
        return self._members.members(self._peers, self._monotonic())

    def receive(self, report, now):
        """Apply a report of another instance, unless it is late.

        Parameters
        ----------
        report : PeerReport
            The report.
        now : float
            Monotonic seconds.
        """
        sender = self._identities.identify(report)
        if sender is None or sender.name == self.own_info.name:
            return
        peer = self._peers.get(sender.name)
        if peer is None:
            peer = self._add_peer(sender)
        if not is_newer(report, peer):
            return
        if peer.info != sender or not is_member(peer, now):
            self._members.invalidate()
        if peer.info.region != sender.region:
            self._resize_group(peer.info, -1)
            self._resize_group(sender, 1)
        peer.info = sender
        if peer.unresponsive or report.process_id != peer.process_id:
            group = self._report_groups.of_region(sender.region)
            group.record_new_peer(now)
        if report.process_id != peer.process_id:
            self._identities.replace(peer.former_process_id, report)
            peer.former_process_id, peer.process_id = peer.process_id, report.process_id
        if peer.unresponsive:
            log_event(LOG, "heard", peer=sender.name, domain=sender.domain)
        if report.leaving and not peer.leaving:
            log_event(LOG, "leaving", peer=sender.name)
        peer.apply(report)
        self.claim_codes.receive(report.claimed, now)
        self.table_updates.receive(report, now)
        if peer.unresponsive:
            self._timeouts.reset()
        peer.last_seen, peer.unresponsive = now, False
        self._endpoint_stats.apply_report(peer, report, now)
        if self.allotments is not None:
            self.allotments.receive_report(
                sender.name, report.accounts, now, report.accounts_complete
            )

    def due_reports(self, now):
        """Return the reports to send now, and count them as sent.

        Parameters
        ----------
        now : float
            Monotonic seconds.

        Returns
        -------
        list of (PeerReport, list of PeerInfo)
            Each report with its recipients.
        """
        due, news = [], self.allotments is not None and self.allotments.has_news(now)
        phase = endpoint_code(self.own_info.name) / 2**32
        group_of = self._report_groups.of_region
        for group in self._report_groups:
            if group.is_due(now, news):
                peers = (
                    p for p in self._peers.values() if group_of(p.info.region) is group
                )
                recipients = group.recipients(peers, now)
                due.append((self._build_report(group, now), recipients))
                group.record_sent(now, phase)
        return due

    def peers(self):
        """Return the known other instances.

        Returns
        -------
        list of Peer
        """
        return list(self._peers.values())

    def preceding_peers(self):
        """Yield the other instances that precede this one, in an order common to all.

        Yields
        ------
        Peer
        """
        for name in self._peer_order.preceding(self.own_info.name):
            yield self._peers[name]

    def check_timeouts(self, now):
        """Mark the instances whose reports are overdue as unresponsive.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        """
        peers = self._peers.values()
        if self._timeouts.has_stalled(now):
            # This process has received no reports meanwhile.
            for peer in peers:
                if not peer.unresponsive:
                    peer.last_seen = now
            self._members.invalidate()
            self.table_updates.clear_confirmations()
            return
        for peer in self._timeouts.find_overdue(peers, now):
            peer.unresponsive = True
            self._endpoint_stats.set_peer_in_flight(peer, {})

    def _add_peer(self, info):
        peer = self._peers[info.name] = Peer(info)
        self._resize_group(info, 1)
        self._peer_order.add(info.name)
        return peer

    def _resize_group(self, info, change):
        self._report_groups.of_region(info.region).peers += change
        self._timeouts.reset()

    def report_age_s(self, region):
        """Return the mean age of what the instances of a region have reported.

        Parameters
        ----------
        region : str
            The region.

        Returns
        -------
        float
            Seconds, without the delay of the network.
        """
        return self._report_groups.of_region(region).period_s() / 2

    def _on_report(self, report):
        self.receive(report, self._monotonic())

    def _report(self):
        now = self._monotonic()
        self.check_timeouts(now)
        for report, recipients in self.due_reports(now):
            self._socket.send(report, recipients, now)
        self.confirmations.send_due()

    def _build_report(self, group, now):
        self._sequence += 1
        named = group.names_sender(now)
        figures = self._endpoint_stats.collect(group.last_sent_at, now, named)
        accounts, complete = [], True
        if self.allotments is not None:
            accounts = self.allotments.own_report(now)
            accounts, complete = group.accounts.select(accounts, now)
        return PeerReport(
            self.own_info if named else None,
            self._process_id,
            self._sequence,
            self.leaving,
            self.reaches_store,
            self.table_versions,
            cached=list(group.cached),
            confirmation_ages_ms=self.table_updates.confirmation_ages_ms(now),
            operators_proof=self.table_updates.freshness.own_proof(now),
            configuration_version=self.configuration_version,
            claimed=self.claim_codes.own_report(now),
            accounts=accounts,
            accounts_complete=complete,
            **figures,
        )


def create_fleet(info, port, endpoints, monotonic, process_id):
    """Return a fleet that is not yet started and knows no other instance.

    Parameters
    ----------
    info, port, endpoints, monotonic, process_id
        As of `Fleet`.

    Returns
    -------
    Fleet
    """
    return Fleet(info, port, endpoints, monotonic, process_id)
