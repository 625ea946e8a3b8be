"""The other instances: who runs, and how many requests each has open where.

Every instance sends small datagrams to the others. Each holds the whole state of its
sender, so that a lost one is made good by the next.
"""

import math
from bisect import insort

from quetzalwall.logs import get_logger, log_event
from quetzalwall.process.cluster.endpoint_code import endpoint_code
from quetzalwall.process.cluster.endpoint_stats import EndpointFigures
from quetzalwall.process.cluster.members import Members, counts
from quetzalwall.process.cluster.peer_report import Peer, PeerReport, is_newer
from quetzalwall.process.cluster.peer_socket import PeerSocket
from quetzalwall.process.cluster.report_group import (
    NAMED_S,
    PERIOD_S,
    UNRESPONSIVE_AFTER_S,
    ReportGroup,
)
from quetzalwall.process.cluster.table_updates import TableNews
from quetzalwall.process.tasks import repeat

__all__ = ["UNRESPONSIVE_AFTER_S", "Fleet", "create_fleet"]

LOCAL_DATAGRAMS_PER_S = (
    60.0  # datagrams of one instance to its region; more peers hear less often
)
REMOTE_DATAGRAMS_PER_S = 40.0  # and to the other regions
READ_PART = 0.1  # of the time between two datagrams of a peer, for which one may wait
LEAST_READ_S = 0.03  # below which waiting saves no wake-ups
OWN_PAUSE_S = 1.0  # between two looks, after which silence says nothing
CALL_EVERY_S = 1.0  # to known instances that are silent
LOG = get_logger("fleet")


class Fleet:
    """The instances that this one knows.

    Parameters
    ----------
    info : PeerInfo
        This instance.
    port : int
        UDP port, the same on every instance.
    endpoints : EndpointTable
        Gets the open requests of the others.
    monotonic : callable
        Clock in seconds.
    process : int
        Random number of this process; a restarted one has another.
    """

    def __init__(self, info, port, endpoints, monotonic, process):
        self.own_info = info
        self.leaving = False
        self.reaches_store = True
        self.tables = {}
        self.read_up_to = {}
        self.news = TableNews()
        self._port = port
        self._figures = EndpointFigures(endpoints)
        self._monotonic = monotonic
        self._process = process
        self._sequence = 0
        self._looked = None
        self._first_silence = -math.inf
        self._before = []
        self._audiences = (
            ReportGroup(True, LOCAL_DATAGRAMS_PER_S),
            ReportGroup(False, REMOTE_DATAGRAMS_PER_S),
        )
        self._peers = {}
        self._members = Members(info)
        self._task = None
        self._socket = None

    def start(self):
        """Begin to send and to listen."""
        self._socket = PeerSocket(
            self.own_info.host, self._port, self._take, self._read_pause_s
        )
        self._task = repeat(self._report, PERIOD_S)

    def close(self):
        """Stop."""
        if self._socket is not None:
            self._task.kill()
            self._socket.close()

    def announce_cached(self, endpoint, object_key):
        """Have the others told that an endpoint has served an object.

        Parameters
        ----------
        endpoint : str
            Identity of the endpoint.
        object_key : int
            Code of the object.
        """
        for group in self._audiences:
            group.held.append((endpoint_code(endpoint), object_key))

    def add_registered(self, info):
        """Take over an instance that the store names; it may run or not.

        Until it is known to be silent, it counts as one that shares all limits.

        Parameters
        ----------
        info : PeerInfo
            Who it is.
        """
        if info.name != self.own_info.name and info.name not in self._peers:
            self._add(info).introduced = self._monotonic()
            self._members.clear()

    def others(self):
        """Return the number of other instances that are known.

        Returns
        -------
        int
        """
        return len(self._peers)

    def live(self):
        """Return the instances that callers may use, this one included.

        Returns
        -------
        list of PeerInfo
        """
        then = (self._looked or 0.0) - NAMED_S
        found = self._peers.values()
        members = [
            p.info for p in found if not (p.silent or p.leaving or p.heard < then)
        ]
        return members if self.leaving else [self.own_info, *members]

    def size(self):
        """Return the number of instances that may send requests to endpoints.

        Returns
        -------
        int
            Silent ones count for a while: they may be cut off and at work.
        """
        return len(self.names())

    def names(self, region=None):
        """Return the names of the instances that may send requests to endpoints.

        Parameters
        ----------
        region : str, default=None
            Region of the instances; all if None.

        Returns
        -------
        list of str
            Not to be changed; the same one until an instance comes or goes.
        """
        return self._members.names(self._peers, region, self._monotonic())

    def members(self):
        """Return the instances that may run, this one included.

        Returns
        -------
        list of PeerInfo
        """
        return self._members.members(self._peers, self._monotonic())

    def receive(self, report, now):
        """Take over what another instance reports.

        Parameters
        ----------
        report : PeerReport
            The report.
        now : float
            Monotonic seconds.
        """
        name = report.info.name
        if name == self.own_info.name:
            return
        peer = self._peers.get(name)
        if peer is None:
            peer = self._add(report.info)
        if not is_newer(report, peer):
            return
        if peer.info != report.info or not counts(peer, now):
            self._members.clear()
        if peer.info.region != report.info.region:
            self._count(peer.info, -1)
            self._count(report.info, 1)
        peer.info = report.info
        if report.process != peer.process:
            peer.former_process, peer.process = peer.process, report.process
        peer.sequence = report.sequence
        if peer.silent:
            log_event(LOG, "heard", peer=name, domain=peer.info.domain)
        if report.leaving and not peer.leaving:
            log_event(LOG, "leaving", peer=name)
        peer.leaving = report.leaving
        peer.reaches_store = report.reaches_store
        peer.tables = report.tables
        self.news.hear(report, now)
        if peer.silent:
            self._first_silence = -math.inf
        peer.heard, peer.silent = now, False
        self._figures.take(peer, report, now)

    def due_reports(self, now):
        """Return the reports to send now; each call tells what came since the last.

        Parameters
        ----------
        now : float
            Monotonic seconds.

        Returns
        -------
        list of (PeerReport, list of PeerInfo)
            Each report with those that get it.
        """
        due = []
        for group in self._audiences:
            if now - group.told > group.period_s() - PERIOD_S / 2:
                due.append((self._own_report(group, now), self._called(group, now)))
                group.told = now
                group.held.clear()
        return due

    def _called(self, group, now):
        members = []
        for peer in self._peers.values():
            if (peer.info.region == self.own_info.region) != group.near:
                continue
            if peer.silent and now - peer.called < CALL_EVERY_S:
                continue
            peer.called = now
            members.append(peer.info)
        return members

    def peers(self):
        """Return what is known of each other instance.

        Returns
        -------
        list of Peer
        """
        return list(self._peers.values())

    def before(self):
        """Yield the other instances that come before this one, in a fixed order.

        Yields
        ------
        Peer
        """
        own = endpoint_code(self.own_info.name)
        for code, name in self._before:
            if code >= own:
                return
            yield self._peers[name]

    def expire(self, now):
        """Find out which instances have fallen silent.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        """
        looked, self._looked = self._looked, now
        if looked is not None and now - looked > OWN_PAUSE_S:
            # This instance was paused itself, and has heard nobody meanwhile.
            for peer in self._peers.values():
                if not peer.silent:
                    peer.heard = now
            self._members.clear()
            self.news.forget_confirmations()
            return
        if now < self._first_silence:
            return
        limits_s = {group.near: group.silent_s() for group in self._audiences}
        self._first_silence = math.inf
        for peer in self._peers.values():
            if peer.silent:
                continue
            limit_s = limits_s[peer.info.region == self.own_info.region]
            if now - peer.heard <= limit_s:
                self._first_silence = min(self._first_silence, peer.heard + limit_s)
            else:
                peer.silent = True
                self._figures.set_open(peer, {})
                log_event(
                    LOG,
                    "silent",
                    "warning",
                    peer=peer.info.name,
                    domain=peer.info.domain,
                    silent_s=now - peer.heard,
                )

    def _add(self, info):
        peer = self._peers[info.name] = Peer(info)
        self._count(info, 1)
        insort(self._before, (endpoint_code(info.name), info.name))
        return peer

    def _count(self, info, change):
        near = info.region == self.own_info.region
        for group in self._audiences:
            if group.near == near:
                group.peers += change
        self._first_silence = -math.inf

    def report_s(self):
        """Return the seconds between two reports of the peers that report most often.

        Returns
        -------
        float
            0 if there are no peers.
        """
        return min((a.period_s() for a in self._audiences if a.peers), default=0.0)

    def _read_pause_s(self):
        pause_s = READ_PART * self.report_s()
        return min(PERIOD_S, pause_s) if pause_s > LEAST_READ_S else 0

    def _take(self, report):
        self.receive(report, self._monotonic())

    def _report(self):
        now = self._monotonic()
        self.expire(now)
        for report, members in self.due_reports(now):
            self._socket.send(report, members)

    def _own_report(self, group, now):
        self._sequence += 1
        opened, slow, limited = self._figures.own(group.told, now)
        return PeerReport(
            self.own_info,
            self._process,
            self._sequence,
            self.leaving,
            self.reaches_store,
            self.tables,
            opened,
            slow,
            list(group.held),
            self.news.ages_ms(now),
            limited,
        )


def create_fleet(info, port, endpoints, monotonic, process):
    """Return a view of the other instances, not yet started.

    Parameters
    ----------
    info, port, endpoints, monotonic, process
        As of `Fleet`.

    Returns
    -------
    Fleet
    """
    return Fleet(info, port, endpoints, monotonic, process)
