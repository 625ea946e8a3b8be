"""Datagrams between instances, read in batches where many arrive."""

from contextlib import suppress

import gevent.socket
import msgspec

from quetzalwall.logs import get_logger, log_event
from quetzalwall.process.cluster.confirmation import (
    decode_confirmation,
    encode_confirmation,
    is_confirmation,
)
from quetzalwall.process.cluster.peer_report import decode_report, encode_report
from quetzalwall.process.tasks import repeat

__all__ = ["PeerSocket"]

MAX_DATAGRAM_BYTES = 60_000
DATAGRAMS_PER_WAKEUP = 64  # read before other tasks run
# A report counts as having waited since the socket was last found empty.
MAX_IDLE_S = 0.25
LOG = get_logger("fleet")


class PeerSocket:
    """UDP socket that sends and receives reports and confirmations.

    Parameters
    ----------
    host : str
        IP address to listen on.
    port : int
        UDP port, the same on every instance.
    on_report : callable
        Called with each report.
    read_delay_s : callable
        Returns the seconds for which datagrams may wait; a delay saves wake-ups where
        many arrive.
    traffic : TrafficMeter or None
        Counts the bytes sent; None counts none.
    freshness : Freshness
        Learns when the socket was empty, and whether a report has been delayed.
    on_confirmation : callable, default=None
        Called with each confirmation; None ignores them.
    """

    def __init__(
        self,
        host,
        port,
        on_report,
        read_delay_s,
        traffic,
        freshness,
        on_confirmation=None,
    ):
        self._port = port
        self._traffic = traffic
        self._on_report = on_report
        self._on_confirmation = on_confirmation
        self._freshness = freshness
        sock = gevent.socket.socket(gevent.socket.AF_INET, gevent.socket.SOCK_DGRAM)
        try:
            sock.bind((host, port))
        except OSError:
            sock.close()
            raise
        sock.setblocking(False)
        self._sock = sock
        self._task = repeat(self._receive, read_delay_s)

    def close(self):
        """Stop receiving and close the socket."""
        self._task.kill()
        self._sock.close()

    def send(self, report, recipients, built_at):
        """Send a report; the next one makes up for a lost datagram.

        Parameters
        ----------
        report : PeerReport
            The report.
        recipients : sequence of PeerInfo
            Instances to send it to.
        built_at : float
            Moment at which the report was built.
        """
        raw = encode_report(report)
        for info in recipients:
            proves = report.operators_proof is not None
            if proves and not self._freshness.may_tell_age(built_at):
                report = report._replace(operators_proof=None)
                raw = encode_report(report)
            self._send(raw, info, "report")

    def send_confirmations(self, due, built_at):
        """Send confirmations, unless this process was stopped since they were built.

        Parameters
        ----------
        due : list of (Confirmation, PeerInfo)
            Each with its recipient.
        built_at : float
            Moment at which they were built.
        """
        for confirmation, info in due:
            if not self._freshness.may_tell_age(built_at):
                return
            self._send(encode_confirmation(confirmation), info, "confirmation")

    def _send(self, raw, info, kind):
        try:
            self._sock.sendto(raw, (info.host, self._port))
        except OSError as exc:
            log_event(LOG, "not-sent", "warning", peer=info.host, reason=str(exc))
            return
        if self._traffic is not None:
            self._traffic.record(kind, len(raw), info.region, info.domain)

    def _receive(self):
        with suppress(TimeoutError):
            gevent.socket.wait_read(self._sock.fileno(), timeout=MAX_IDLE_S)
        for _ in range(DATAGRAMS_PER_WAKEUP):
            before = self._freshness.now()
            try:
                raw = self._sock.recv(MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                self._freshness.record_drained(before)
                return
            try:
                if is_confirmation(raw):
                    read, message = self._on_confirmation, decode_confirmation(raw)
                else:
                    read, message = self._on_report, decode_report(raw)
            except msgspec.DecodeError as exc:
                log_event(LOG, "bad-datagram", "warning", reason=str(exc))
                continue
            if read is not None:
                read(message)
