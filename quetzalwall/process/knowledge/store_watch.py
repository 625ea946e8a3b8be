"""Keep what the store says up to date: one task for each table."""

import math

import gevent

from quetzalwall.exceptions import StoreError
from quetzalwall.logs import get_logger, log_event
from quetzalwall.platform.store import HistoryGone
from quetzalwall.process.knowledge.readers import (
    ahead_of,
    follows_store,
    known_up_to,
)
from quetzalwall.process.tasks import repeat

__all__ = ["TableWatch", "create_table_watch"]

FEED_WAIT_S = 2.5  # a silent connection is noticed within this and the call's limit
PEER_PAUSE_S = 0.1  # between two looks at what peers know
PAUSE_S = 0.25  # between two calls, so that one call brings several changes
RETRY_FIRST_S = 0.2
RETRY_MOST_S = 1.0
BEHIND_S = 0.8  # after which the store is asked for what no instance has told
HANDOVER_S = 1.5  # for which an instance goes on, until its successor has read
AWAY_AFTER_S = 3.0  # without contact, entries may have lapsed
TOLD_S = 1.0  # for which others know more, before a line says so
LOG = get_logger("store")


class TableWatch:
    """Follows one table of the store.

    Parameters
    ----------
    store : StoreClient
        The store.
    table : str
        Name of the table.
    on_rows : callable
        Called with `Rows`, whether they are all rows of the table, and whether the
        store was away before.
    ask_peer : callable
        From the version up to which the table is known to the changes that another
        instance knows, and whether they are all rows; None if it knows no more.
    fleet : Fleet
        Tells whether this instance follows the store, and whether others know more.
    monotonic : callable
        Clock in seconds.

    Attributes
    ----------
    loaded : bool
        Whether the table has been read.
    contact : float
        Monotonic seconds of the last answer.
    lost : bool
        Whether the last call failed.
    """

    def __init__(self, store, table, on_rows, ask_peer, fleet, monotonic):
        self.loaded = False
        self.lost = False
        self.contact = monotonic()
        self._store = store
        self._table = table
        self._on_rows = on_rows
        self._ask_peer = ask_peer
        self._fleet = fleet
        self._monotonic = monotonic
        self._version = None
        self._pause_s = RETRY_FIRST_S
        self._behind_since = None
        self._followed = -math.inf
        self._called = None
        self._told_since = None
        self._task = None

    def start(self):
        """Begin to follow."""
        self._task = repeat(self._round, 0)

    def close(self):
        """Stop following."""
        if self._task is not None:
            self._task.kill()

    def away(self):
        """Return whether the store has not answered for a while.

        Returns
        -------
        bool
        """
        return self.lost and self._monotonic() - self.contact > AWAY_AFTER_S

    def look(self):
        """Write a line if other instances have known more for a while.

        Returns
        -------
        float
            Seconds since the last answer about this table.
        """
        now = self._monotonic()
        if not ahead_of(self._fleet, self._table):
            self._told_since = None
        elif self._told_since is None:
            self._told_since = now
        elif now - self._told_since > TOLD_S:
            log_event(
                LOG,
                "late",
                "warning",
                table=self._table,
                version=known_up_to(self._fleet, self._table),
                told=self._fleet.newest(self._table),
                late_s=now - self._told_since,
                call_s=self._call_s(),
                follows=follows_store(self._fleet),
            )
        return now - self.contact

    def _call_s(self):
        """Return for how long a call to the store has been under way, 0 if none is."""
        return 0.0 if self._called is None else self._monotonic() - self._called

    def _round(self):
        try:
            if self.loaded and not self._follows_store():
                self._follow_peers()
                gevent.sleep(PEER_PAUSE_S)
                return
            self._step()
            gevent.sleep(PAUSE_S)
        except HistoryGone:
            log_event(LOG, "history-gone", "warning", table=self._table)
            self._version = None
        except StoreError as exc:
            self._note_lost(exc)
            self._take_from_peer()
            gevent.sleep(self._pause_s)
            self._pause_s = min(RETRY_MOST_S, 2 * self._pause_s)

    def _follows_store(self):
        now = self._monotonic()
        if follows_store(self._fleet):
            self._followed = now
        return now - self._followed < HANDOVER_S

    def _step(self, wait_s=FEED_WAIT_S):
        whole = self._version is None
        self._called = self._monotonic()
        if whole:
            rows = self._store.read(self._table)
        else:
            rows = self._store.follow(self._table, self._version, wait_s)
        self._called = None
        away = self.away()
        self._note_contact()
        # A failure to take rows over has them read again.
        self._on_rows(rows, whole, away)
        self._version = rows.version
        self.loaded = True

    def _follow_peers(self):
        self.lost = False
        self.contact = now = self._monotonic()
        if not ahead_of(self._fleet, self._table):
            self._behind_since = None
            return
        if self._behind_since is None:
            self._behind_since = now
        if now - self._behind_since > BEHIND_S:
            self._behind_since = None
            log_event(LOG, "behind", "warning", table=self._table)
            self._step(0)  # what the others know the store has at once
        else:
            self._take_from_peer()

    def _take_from_peer(self):
        known = known_up_to(self._fleet, self._table)
        found = self._ask_peer(known if self.loaded else 0)
        if found is None:
            return
        rows, whole = found
        if rows.version <= (self._version or 0):
            return
        self._on_rows(rows, whole, False)
        self._version = rows.version
        self._behind_since = None
        self.loaded = True
        log_event(LOG, "from-peer", table=self._table, version=rows.version)

    def _note_contact(self):
        now = self._monotonic()
        if self.lost:
            log_event(LOG, "regained", table=self._table, away_s=now - self.contact)
        self.lost = False
        self._fleet.reaches_store = True
        self.contact = now
        self._pause_s = RETRY_FIRST_S

    def _note_lost(self, exc):
        if not self.lost:
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
        self.lost = True
        self._called = None
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
