"""Passes confirmations of the store's tables on to all instances.

An instance that got one from the store sends it to a few others, and to one of each
other region. Each of them passes it on to a share of its region, so that no instance
sends more datagrams in a larger fleet. The shares are ranges of codes, so the instances
need not agree on who is running.
"""

import math
from bisect import bisect_left
from typing import NamedTuple

from quetzalwall.process.cluster.confirmation import MAX_CODE, Confirmation
from quetzalwall.process.cluster.store_readers import known_version

__all__ = ["ConfirmationRelay"]

FANOUT = 24  # instances of the own region to which an instance sends it
MIN_INTERVAL_S = 0.2  # between two confirmations of the same origin
MAX_HELD_S = 1.0  # for which a recipient may take to fetch the version confirmed
MAX_HELD = 8
MAX_OWN_AGE_S = 3.0  # an older confirmation is of no use to others


class _Held(NamedTuple):
    """A confirmation to pass on once its versions are known here.

    Attributes
    ----------
    since : float
        Monotonic seconds of its arrival.
    tables : dict of str to (int, float)
        Version, and monotonic seconds as of which it was confirmed.
    proved_at : float or None
        The as-of moment of the operators' table.
    first_code, end_code : int
        As of `Confirmation`.
    """

    since: float
    tables: dict
    proved_at: float | None
    first_code: int
    end_code: int


class ConfirmationRelay:
    """Sends own confirmations and passes on those of others.

    Parameters
    ----------
    fleet : Fleet
        The instances.
    process_id : int
        Random number of this process.
    monotonic : callable
        Clock in seconds.
    """

    def __init__(self, fleet, process_id, monotonic):
        self._fleet = fleet
        self._updates = fleet.table_updates
        self._process_id = process_id
        self._monotonic = monotonic
        self._socket = None
        self._has_own = False
        self._sent_at = -math.inf
        self._held = []

    def start(self, sock):
        """Start sending confirmations.

        Parameters
        ----------
        sock : PeerSocket
            Socket to send them with.
        """
        self._socket = sock

    def close(self):
        """Send no more confirmations."""
        self._socket = None

    def spread_own(self):
        """Send what the store confirmed to this instance."""
        self._has_own = True
        self.send_due()

    def on_confirmation(self, confirmation):
        """Record a confirmation that has just arrived, and pass it on.

        Parameters
        ----------
        confirmation : Confirmation
            The confirmation.
        """
        self.receive(confirmation, self._monotonic())
        self.send_due()

    def send_due(self):
        """Send the confirmations that are due."""
        if self._socket is not None:
            now = self._monotonic()
            self._socket.send_confirmations(self.due(now), now)

    def receive(self, confirmation, now):
        """Record a confirmation, and keep it if it is to be passed on.

        Parameters
        ----------
        confirmation : Confirmation
            The confirmation.
        now : float
            Monotonic seconds.
        """
        if confirmation.process_id == self._process_id:
            return
        built_at = self._updates.freshness.sent_at(
            confirmation.process_id, confirmation.built_ms / 1000, now
        )
        if built_at is None:
            return
        tables = {
            table: (version, built_at - max(0, age_ms) / 1000)
            for table, (version, age_ms) in confirmation.tables.items()
        }
        proved_at = None
        if confirmation.proof_age_ms is not None:
            proved_at = built_at - max(0, confirmation.proof_age_ms) / 1000
        self._updates.receive_confirmation(tables, proved_at)
        self._record_versions(confirmation)
        first, end = confirmation.first_code, confirmation.end_code
        if first < end:
            self._held = self._held[-MAX_HELD + 1 :]
            self._held.append(_Held(now, tables, proved_at, first, end))

    def due(self, now):
        """Return the confirmations to send now.

        Parameters
        ----------
        now : float
            Monotonic seconds.

        Returns
        -------
        list of (Confirmation, PeerInfo)
            Each with its recipient.
        """
        due = []
        if self._has_own and now - self._sent_at >= MIN_INTERVAL_S:
            self._has_own, self._sent_at = False, now
            own = self._own_confirmation(now)
            due += self._to_other_regions(own)
            due += self._to_range(own, 0, MAX_CODE)
        if self._held:
            ready = [held for held in self._held if self._knows(held.tables)]
            self._held = [
                held
                for held in self._held
                if held not in ready and now - held.since < MAX_HELD_S
            ]
            for held in ready:
                passed_on = self._build(held.tables, held.proved_at, now)
                due += self._to_range(passed_on, held.first_code, held.end_code)
        return due

    def _record_versions(self, confirmation):
        for peer in self._fleet.peers():
            if peer.process_id == confirmation.process_id:
                versions = confirmation.tables.items()
                peer.record_versions(
                    {table: version for table, (version, _) in versions}
                )

    def _own_confirmation(self, now):
        confirmed = self._updates.own_confirmations
        tables = {
            table: (version, at)
            for table, (version, at) in confirmed.items()
            if now - at < MAX_OWN_AGE_S
        }
        return self._build(tables, self._updates.freshness.own_proved_at(now), now)

    def _build(self, tables, proved_at, now):
        ages_ms = {
            table: (version, math.ceil((now - at) * 1000))
            for table, (version, at) in tables.items()
        }
        proof_age_ms = None
        if proved_at is not None:
            proof_age_ms = math.ceil((now - proved_at) * 1000)
        return Confirmation(
            self._process_id, math.floor(now * 1000), ages_ms, proof_age_ms, 0, 0
        )

    def _knows(self, tables):
        return all(
            known_version(self._fleet, table) >= version
            for table, (version, _) in tables.items()
        )

    def _to_other_regions(self, confirmation):
        """Return one recipient of each other region, which passes it on there."""
        latest = {}
        for peer in self._fleet.peers():
            region = peer.info.region
            if peer.unresponsive or region == self._fleet.own_info.region:
                continue
            if region not in latest or peer.last_seen > latest[region].last_seen:
                latest[region] = peer
        confirmation = confirmation._replace(end_code=MAX_CODE)
        return [(confirmation, peer.info) for peer in latest.values()]

    def _to_range(self, confirmation, first_code, end_code):
        """Return the recipients in a range of codes of the own region.

        In a large range, the one of each share that was heard last passes it on: after
        a loss of many, it is most likely to be running.
        """
        own_region = self._fleet.own_info.region
        peers = sorted(
            (
                peer
                for peer in self._fleet.peers()
                if not peer.unresponsive and peer.info.region == own_region
            ),
            key=lambda peer: peer.code,
        )
        codes = [peer.code for peer in peers]
        first, end = bisect_left(codes, first_code), bisect_left(codes, end_code)
        if end - first <= FANOUT:
            return [(confirmation, peer.info) for peer in peers[first:end]]
        bounds = [first + (end - first) * n // FANOUT for n in range(FANOUT + 1)]
        recipients = []
        for begin, stop in zip(bounds, bounds[1:], strict=False):
            peer = max(peers[begin:stop], key=lambda peer: peer.last_seen)
            # The recipient may know of instances between two shares.
            share_first = first_code if begin == first else codes[begin]
            share_end = end_code if stop == end else codes[stop]
            share = confirmation._replace(first_code=share_first, end_code=share_end)
            recipients.append((share, peer.info))
        return recipients
