"""Keep what the store says up to date: two tasks for each table.

One asks the store, the other one asks the instances that know more. Neither waits for
the other: a call to the store may hang for as long as its limit.
"""

import math

import gevent
from gevent.lock import BoundedSemaphore

from quetzalwall.exceptions import StoreError
from quetzalwall.logs import get_logger, log_event
from quetzalwall.platform.store import HistoryGone
from quetzalwall.process.cluster.store_readers import (
    ahead_of,
    comes_first,
    follows_store,
    known_up_to,
)
from quetzalwall.process.tasks import repeat

__all__ = ["TableWatch", "create_table_watch"]

FEED_WAIT_S = 2.0  # a silent connection is noticed within this and the call's limit
FIRST_WAIT_S = 1.0  # the same for the one whose answers all others rely on
PEER_PAUSE_S = 0.1  # between two looks at what peers know
PAUSE_S = 0.25  # between two calls, so that one call brings several changes
RETRY_FIRST_S = 0.2
RETRY_MOST_S = 0.5
RETRY_EACH_S = 0.01  # longer for each other instance, where others read
ASK_AFTER_S = 0.4  # for which the own call may bring what others have told
BEHIND_S = 0.8  # after which the store is asked for what no instance has told
HANDOVER_S = 1.5  # for which an instance goes on, until its successor has read
AWAY_AFTER_S = 3.0  # without contact, entries may have lapsed
SLACK_S = 0.35  # for calls and reports on their way
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
        Monotonic seconds as of which the table is known.
    lost : bool
        Whether the last call failed.
    """

    def __init__(self, store, table, on_rows, ask_peer, fleet, monotonic):
        self.loaded = False
        self.last_call_failed = False
        self.contact = monotonic()
        self._store = store
        self._table = table
        self._on_rows = on_rows
        self._ask_peer = ask_peer
        self._fleet = fleet
        self._monotonic = monotonic
        self._version = 0
        self._whole = True
        self._pause_s = RETRY_FIRST_S
        self._followed = -math.inf
        self._called = None
        self._told_since = None
        self._taking = BoundedSemaphore(1)
        self._tasks = []

    def start(self):
        """Begin to follow."""
        self._tasks = [
            repeat(self._ask_store, 0),
            repeat(self._ask_others, PEER_PAUSE_S),
        ]

    def close(self):
        """Stop following."""
        gevent.killall(self._tasks, block=False)

    def away(self):
        """Return whether the store has not answered for a while.

        Returns
        -------
        bool
        """
        return self.last_call_failed and self._monotonic() - self.contact > AWAY_AFTER_S

    def check_staleness(self):
        """Write a line if other instances have known more for a while.

        Returns
        -------
        float
            Seconds since the moment as of which the table is known.
        """
        told_s = self._told_s()
        if told_s > TOLD_S:
            log_event(
                LOG,
                "late",
                "warning",
                table=self._table,
                version=self._known(),
                told=self._fleet.news.newest(self._table),
                late_s=told_s,
                call_s=self._call_s(),
                follows=follows_store(self._fleet),
            )
        return self._monotonic() - self.contact

    def _known(self):
        return known_up_to(self._fleet, self._table)

    def _call_s(self):
        """Return for how long a call to the store has been under way, 0 if none is."""
        return 0.0 if self._called is None else self._monotonic() - self._called

    def _told_s(self):
        """Return for how long others have told a newer version, 0 if none has."""
        if not ahead_of(self._fleet, self._table):
            self._told_since = None
            return 0.0
        if self._told_since is None:
            self._told_since = self._monotonic()
        return self._monotonic() - self._told_since

    def _ask_store(self):
        follows = self._follows_store()
        if self.loaded and not follows and not self._stale():
            gevent.sleep(PEER_PAUSE_S)
            return
        try:
            # After a failure an answer is wanted at once, whether or not there is news.
            self._call(
                self._feed_wait_s() if follows and not self.last_call_failed else 0
            )
            gevent.sleep(PAUSE_S)
        except HistoryGone:
            log_event(LOG, "history-gone", "warning", table=self._table)
            self._whole = True
            gevent.sleep(RETRY_FIRST_S)
        except StoreError as exc:
            self._note_lost(exc)
            gevent.sleep(self._pause_s)
            most_s = RETRY_MOST_S
            if not follows:
                most_s = max(most_s, RETRY_EACH_S * self._fleet.others())
            self._pause_s = min(most_s, 2 * self._pause_s)

    def _follows_store(self):
        now = self._monotonic()
        if follows_store(self._fleet):
            self._followed = now
        return now - self._followed < HANDOVER_S

    def _stale(self):
        """Return whether what others know and tell is not enough to rely on."""
        if self._told_s() > BEHIND_S:
            log_event(LOG, "behind", "warning", table=self._table)
            return True
        age_s = self._monotonic() - self.contact
        limit_s = FIRST_WAIT_S + PAUSE_S + SLACK_S + 2 * self._fleet.report_s()
        if age_s > limit_s:
            log_event(LOG, "unconfirmed", "warning", table=self._table, age_s=age_s)
            return True
        return False

    def _feed_wait_s(self):
        return FIRST_WAIT_S if comes_first(self._fleet) else FEED_WAIT_S

    def _call(self, wait_s):
        whole, after = self._whole, self._version
        self._called = self._monotonic()
        if whole:
            rows = self._store.read(self._table)
        else:
            rows = self._store.follow(self._table, after, wait_s)
        self._called = None
        away = self.away()
        self._note_answer()
        # A failure to take rows over has them read again.
        taken = self._take(rows, whole, away, after)
        self._whole = False
        if taken:
            self.contact = self._monotonic()
            last = self._fleet.tables.get(self._table, 0)
            self._fleet.news.confirm(self._table, last, self.contact)

    def _take(self, rows, whole, away, after):
        """Take over what has changed after a version; return whether it was done.

        Rows that one task was told while the other one took over later ones are left:
        they hold older states of what is known.
        """
        with self._taking:
            if self._version != after or rows.version < after:
                log_event(LOG, "stale-rows", table=self._table, version=rows.version)
                return False
            self._on_rows(rows, whole, away)
            self._version = rows.version
            self.loaded = True
            return True

    def _ask_others(self):
        as_of = self._fleet.news.known_as_of(self._table, self._known())
        self.contact = max(self.contact, as_of)
        told_s = self._told_s()
        if not self.loaded:
            asks = self.last_call_failed or self._call_s() > ASK_AFTER_S
        elif follows_store(self._fleet):
            asks = told_s > ASK_AFTER_S
        else:
            asks = self._told_since is not None
        if asks:
            self._take_from_peer()

    def _take_from_peer(self):
        after = self._version
        found = self._ask_peer(self._known() if self.loaded else 0)
        if found is None:
            return
        rows, whole = found
        if rows.version <= after or not self._take(rows, whole, False, after):
            return
        self._whole = False
        self._told_since = None
        log_event(LOG, "from-peer", table=self._table, version=rows.version)

    def _note_answer(self):
        if self.last_call_failed:
            away_s = self._monotonic() - self.contact
            log_event(LOG, "regained", table=self._table, away_s=away_s)
        self.last_call_failed = False
        self._fleet.reaches_store = True
        self._pause_s = RETRY_FIRST_S

    def _note_lost(self, exc):
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
