"""Keeps the tables of the store up to date, with two tasks for each table.

One reads the store, the other one asks the instances that have a newer table. Neither
waits for the other, since a call to the store may hang until its time-out.
"""

import math

import gevent
from gevent.lock import BoundedSemaphore

from quetzalwall.exceptions import MissingRows, StoreError
from quetzalwall.logs import get_logger, log_event
from quetzalwall.platform.rows import OPERATOR_TABLE
from quetzalwall.platform.store import HistoryGone
from quetzalwall.process.cluster.freshness import MAX_LATE_RESPONSE_S, proved_by_call
from quetzalwall.process.cluster.store_readers import (
    ALL_READ_BELOW,
    follows_store,
    has_heard_peers,
    known_version,
    peers_ahead,
    store_rank,
)
from quetzalwall.process.cluster.table_trust import (
    ask_delay_s,
    bound_s,
    confirming_poll_s,
    is_due,
)
from quetzalwall.process.tasks import repeat

__all__ = ["TableWatch", "create_table_watch"]

LONG_POLL_S = 2.0  # a dead connection is noticed within this and the call's time-out
FIRST_READER_LONG_POLL_S = 1.0  # for a reader whose confirmations all others rely on
CONFIRMING_READERS = 2  # instances whose confirmations all others rely on
PEER_CHECK_INTERVAL_S = 0.1
CALL_PAUSE_S = 0.25  # between calls, so that one call returns several changes
# The same in a large fleet until a peer was heard: endpoints register all the time, so
# that each call returns at once, and all instances that start together make such calls.
START_PAUSE_S = 0.7
RETRY_DELAY_MIN_S = 0.2
RETRY_DELAY_MAX_S = 0.5
RETRY_DELAY_PER_PEER_S = 0.01  # raises the maximum where other instances read the store
ASK_PEER_AFTER_S = 0.4  # until then the own call to the store may bring the change
ASK_STORE_AFTER_S = 0.8  # until then the peers that have a change may provide it
HANDOVER_S = 1.5  # a former reader goes on for so long, until its successor has read
OUTAGE_AFTER_S = 3.0  # unconfirmed for longer, entries may have expired in the store
LATE_LOG_AFTER_S = 1.0  # for which peers have a newer table before it is logged
LOG = get_logger("store")


class TableWatch:
    """Follows the changes of one table of the store.

    Parameters
    ----------
    store : StoreClient
        The store.
    table : str
        Name of the table.
    on_rows : callable
        Called with `Rows`, whether they are all rows of the table, and whether a store
        outage preceded them.
    ask_peer : callable
        Takes the version up to which the table is known; returns the later changes that
        another instance knows and whether they are all rows of the table, or None.
    fleet : Fleet
        The instances that may read the store, and the versions of their tables.
    monotonic : callable
        Clock in seconds.

    Attributes
    ----------
    loaded : bool
        Whether the table has been read.
    confirmed_at : float
        Monotonic seconds at which the known table was last confirmed to be current.
    last_call_failed : bool
        Whether the last call to the store failed.
    """

    def __init__(self, store, table, on_rows, ask_peer, fleet, monotonic):
        self.loaded = False
        self.last_call_failed = False
        self.confirmed_at = monotonic()
        # As of which moment the table is proved to be current; at most `confirmed_at`.
        self._current_as_of = self.confirmed_at
        self._store = store
        self._table = table
        self._on_rows = on_rows
        self._ask_peer = ask_peer
        self._fleet = fleet
        self._monotonic = monotonic
        self._version = 0
        self._read_all = True
        self._ask_whole = False
        self._retry_delay_s = RETRY_DELAY_MIN_S
        self._last_followed = -math.inf
        self._called_at = None
        self._is_slow = False  # the last call took longer than its wait and some
        self._behind_since = None
        self._freshness = None
        if table == OPERATOR_TABLE:
            self._freshness = fleet.table_updates.freshness
            self._freshness.followed = True
        self._apply_lock = BoundedSemaphore(1)
        self._tasks = []

    def start(self):
        """Start following the table."""
        self._tasks = [
            repeat(self._ask_store, 0),
            repeat(self._ask_others, PEER_CHECK_INTERVAL_S),
        ]

    def close(self):
        """Stop following the table."""
        gevent.killall(self._tasks, block=False)

    def in_outage(self):
        """Return whether the last call failed and the table is unconfirmed for long.

        Returns
        -------
        bool
        """
        return (
            self.last_call_failed
            and self._monotonic() - self.confirmed_at > OUTAGE_AFTER_S
        )

    def check_staleness(self):
        """Log it if other instances have had a newer table for a while.

        Returns
        -------
        float
            Seconds since the known table was last confirmed to be current.
        """
        behind_s = self._behind_s()
        if behind_s > LATE_LOG_AFTER_S:
            log_event(
                LOG,
                "late",
                "warning",
                table=self._table,
                version=self._known_version(),
                told=self._fleet.table_updates.newest_version(self._table),
                late_s=behind_s,
                call_s=self._call_s(),
                follows=follows_store(self._fleet),
            )
        return self._monotonic() - self.confirmed_at

    def _known_version(self):
        return known_version(self._fleet, self._table)

    def _call_s(self):
        """Return the seconds for which a call has been under way, or 0."""
        return 0.0 if self._called_at is None else self._monotonic() - self._called_at

    def _behind_s(self):
        """Return the seconds for which peers have had a newer table, or 0."""
        if not peers_ahead(self._fleet, self._table):
            self._behind_since = None
            return 0.0
        if self._behind_since is None:
            self._behind_since = self._monotonic()
        return self._monotonic() - self._behind_since

    def _ask_store(self):
        follows = self._follows_store()
        if self.loaded and not follows and not self._needs_store():
            gevent.sleep(PEER_CHECK_INTERVAL_S)
            return
        try:
            # After a failure the store has to respond at once, even without changes.
            self._call(
                self._long_poll_s() if follows and not self.last_call_failed else 0
            )
            gevent.sleep(self._pause_s())
        except HistoryGone:
            log_event(LOG, "history-gone", "warning", table=self._table)
            self._read_all = True
            gevent.sleep(RETRY_DELAY_MIN_S)
        except StoreError as exc:
            self._record_failure(exc)
            gevent.sleep(self._retry_delay_s)
            max_delay_s = RETRY_DELAY_MAX_S
            if not follows:
                max_delay_s = max(
                    max_delay_s, RETRY_DELAY_PER_PEER_S * self._fleet.peer_count()
                )
            self._retry_delay_s = min(max_delay_s, 2 * self._retry_delay_s)

    def _follows_store(self):
        now = self._monotonic()
        if follows_store(self._fleet):
            self._last_followed = now
        return now - self._last_followed < HANDOVER_S

    def _needs_store(self):
        """Return whether the other instances don't keep this one up to date."""
        fleet, overdue_s = self._fleet, self._behind_s() - ASK_STORE_AFTER_S
        if overdue_s > 0 and overdue_s > ask_delay_s(fleet):
            self._log_asked("behind", overdue_s + ASK_STORE_AFTER_S)
            return True
        age_s = self._monotonic() - self._current_as_of
        if is_due(fleet, bound_s(fleet.bounds, self._table), age_s):
            self._log_asked("unconfirmed", age_s)
            return True
        if self._rejects_when_stale():
            age_s = self._freshness.age_s()
            if is_due(fleet, self._freshness.max_age_s, age_s):
                self._log_asked("unproved", age_s)
                return True
        return False

    def _log_asked(self, event, age_s):
        rank = store_rank(self._fleet)
        log_event(LOG, event, "warning", table=self._table, age_s=age_s, rank=rank)

    def _rejects_when_stale(self):
        return self._freshness is not None and self._freshness.fail_closed

    def _pause_s(self):
        if has_heard_peers(self._fleet):
            return CALL_PAUSE_S
        return START_PAUSE_S

    def _long_poll_s(self):
        if self._rejects_when_stale() and self._is_slow:
            # A late response proves its call only; two with a wait reach `revoke`.
            return 0
        if self._confirms_for_others():
            bound = bound_s(self._fleet.bounds, self._table)
            poll_s = confirming_poll_s(self._fleet, bound, CALL_PAUSE_S)
            return min(FIRST_READER_LONG_POLL_S, poll_s)
        # Twice a long poll of 2 s and the time between them would reach `revoke`.
        if self._rejects_when_stale() or store_rank(self._fleet) == 0:
            return FIRST_READER_LONG_POLL_S
        return LONG_POLL_S

    def _confirms_for_others(self):
        """Return whether instances that don't follow the store rely on this one."""
        fleet = self._fleet
        if fleet.peer_count() < ALL_READ_BELOW:
            return False
        return store_rank(fleet) < CONFIRMING_READERS or not follows_store(fleet)

    def _call(self, wait_s):
        complete, after = self._read_all, self._version
        sent = self._called_at = self._monotonic()
        if complete:
            rows = self._store.read(self._table)
        else:
            rows = self._store.follow(self._table, after, wait_s)
        called_s, self._called_at = self._call_s(), None
        self._is_slow = called_s > MAX_LATE_RESPONSE_S + (0 if complete else wait_s)
        after_outage = self.in_outage()
        self._record_response()
        # If applying them fails, `_version` is unchanged and they are read again.
        applied = self._apply(rows, complete, after_outage, after)
        self._read_all = False
        if applied:
            self._confirm(sent, 0 if complete or rows.rows else wait_s)

    def _confirm(self, sent, wait_s):
        """Record what a call proved, with its wait as of `proved_by_call`."""
        fleet, now = self._fleet, self._monotonic()
        as_of = proved_by_call(sent, wait_s, now)
        self.confirmed_at = now
        self._current_as_of = max(self._current_as_of, as_of)
        version = fleet.table_versions.get(self._table, 0)
        fleet.table_updates.confirm(self._table, version, as_of)
        if self._freshness is not None:
            self._freshness.confirm(sent, wait_s)
        if self._confirms_for_others():
            fleet.confirmations.spread_own()

    def _apply(self, rows, complete, after_outage, after):
        """Apply the changes after a version; return whether they were applied.

        Rows that one task received while the other one applied later rows are
        discarded, since they hold older states.
        """
        with self._apply_lock:
            if self._version != after or rows.version < after:
                log_event(LOG, "stale-rows", table=self._table, version=rows.version)
                return False
            self._on_rows(rows, complete, after_outage)
            self._version = rows.version
            if self._freshness is not None:
                self._freshness.record_applied(rows.version)
            self.loaded = True
            return True

    def _ask_others(self):
        as_of = self._fleet.table_updates.known_as_of(
            self._table, self._known_version()
        )
        self.confirmed_at = max(self.confirmed_at, as_of)
        self._current_as_of = max(self._current_as_of, as_of)
        behind_s = self._behind_s()
        if not self.loaded:
            ask = self.last_call_failed or self._call_s() > ASK_PEER_AFTER_S
        elif follows_store(self._fleet):
            ask = behind_s > ASK_PEER_AFTER_S
        else:
            ask = self._behind_since is not None
        if ask:
            self._apply_from_peer()

    def _apply_from_peer(self):
        after = self._version
        ask_changes = self.loaded and not self._ask_whole
        found = self._ask_peer(self._known_version() if ask_changes else 0)
        if found is None:
            return
        rows, complete = found
        try:
            if rows.version <= after or not self._apply(rows, complete, False, after):
                return
        except MissingRows as exc:
            log_event(LOG, "incomplete", "warning", table=self._table, reason=str(exc))
            self._ask_whole = True
            return
        self._ask_whole = False
        self._read_all = False
        self._behind_since = None
        log_event(LOG, "from-peer", table=self._table, version=rows.version)
        self._fleet.confirmations.send_due()

    def _record_response(self):
        if self.last_call_failed:
            outage_s = self._monotonic() - self.confirmed_at
            log_event(LOG, "regained", table=self._table, away_s=outage_s)
        self.last_call_failed = False
        self._fleet.reaches_store = True
        self._retry_delay_s = RETRY_DELAY_MIN_S

    def _record_failure(self, exc):
        if not self.last_call_failed:
            log_event(
                LOG,
                "lost",
                "warning",
                table=self._table,
                step=exc.step,
                reason=exc.message,
                version=self._version,
                call_s=self._call_s(),
            )
        self.last_call_failed = True
        self._called_at = None
        self._fleet.reaches_store = False


def create_table_watch(store, table, on_rows, ask_peer, fleet, monotonic):
    """Return a watch that is not yet started.

    Parameters
    ----------
    store, table, on_rows, ask_peer, fleet, monotonic
        As of `TableWatch`.

    Returns
    -------
    TableWatch
    """
    return TableWatch(store, table, on_rows, ask_peer, fleet, monotonic)
