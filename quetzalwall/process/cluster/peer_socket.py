"""Datagrams between instances, taken as they come or, where many do, some at once."""

import gevent.socket
import msgspec

from quetzalwall.logs import get_logger, log_event
from quetzalwall.process.cluster.peer_report import decode_report, encode_report
from quetzalwall.process.tasks import repeat

__all__ = ["PeerSocket"]

MOST_DATAGRAM_BYTES = 60_000
RECEIVED_AT_ONCE = 64  # datagrams, before other tasks get their turn
LOG = get_logger("fleet")


class PeerSocket:
    """Where an instance sends its reports from, and gets those of the others.

    Parameters
    ----------
    host : str
        IP number to listen on.
    port : int
        UDP port, the same on every instance.
    on_report : callable
        Called with each report.
    pause_s : callable
        Returns the seconds for which datagrams may wait: few wake-ups where many come.
    """

    def __init__(self, host, port, on_report, pause_s):
        self._port = port
        self._on_report = on_report
        sock = gevent.socket.socket(gevent.socket.AF_INET, gevent.socket.SOCK_DGRAM)
        try:
            sock.bind((host, port))
        except OSError:
            sock.close()
            raise
        sock.setblocking(False)
        self._sock = sock
        self._task = repeat(self._receive, pause_s)

    def close(self):
        """Stop."""
        self._task.kill()
        self._sock.close()

    def send(self, report, cards):
        """Send a report; one that is lost is made good by the next.

        Parameters
        ----------
        report : PeerReport
            The report.
        cards : sequence of PeerInfo
            Instances that get it.
        """
        raw = encode_report(report)
        for info in cards:
            try:
                self._sock.sendto(raw, (info.host, self._port))
            except OSError as exc:
                log_event(LOG, "not-sent", "warning", peer=info.host, reason=str(exc))

    def _receive(self):
        gevent.socket.wait_read(self._sock.fileno())
        for _ in range(RECEIVED_AT_ONCE):
            try:
                raw = self._sock.recv(MOST_DATAGRAM_BYTES)
            except BlockingIOError:
                return
            try:
                report = decode_report(raw)
            except msgspec.DecodeError as exc:
                log_event(LOG, "bad-datagram", "warning", reason=str(exc))
                continue
            self._on_report(report)
