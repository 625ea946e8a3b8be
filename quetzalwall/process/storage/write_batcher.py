"""Conditional writes of single rows, sent to the store in batches.

The store handles several hundred transactions a second; requests arrive faster. Writes
that arrive within a few milliseconds share one transaction. If rows don't have the
expected versions, their writes are taken out and the others are sent again.
"""

from typing import NamedTuple

import gevent
from gevent.event import AsyncResult
from gevent.queue import Empty, Queue

from quetzalwall.exceptions import StoreUnavailable
from quetzalwall.platform.store_era import era_of
from quetzalwall.process.tasks import repeat

__all__ = ["RowWrite", "WriteBatcher", "WriteResult", "create_write_batcher"]

BATCH_DELAY_S = 0.004  # for which a batch waits for more writes
MAX_BATCH_ROWS = 64
MAX_BATCHES_IN_FLIGHT = 8
MAX_PENDING_WRITES = 4096
MIN_ATTEMPT_TIMEOUT_S = 0.1
INITIAL_BACKOFF_S = 0.05
MAX_BACKOFF_S = 1.0


class WriteResult(NamedTuple):
    """Result of one conditional write.

    Attributes
    ----------
    written : bool
        Whether the write took effect.
    version : int
        Current version of the row.
    value : object
        Current value of the row if the write did not take effect.
    """

    written: bool
    version: int
    value: object


class RowWrite:
    """One conditional write and its result.

    Parameters
    ----------
    key : str
        Key of the row.
    expected_version : int
        Version that the row must have; 0 if it must be absent.
    value : dict
        New value, with a ``token`` that no other write uses.
    deadline : float
        Monotonic seconds from which on the write is no longer sent.
    """

    def __init__(self, key, expected_version, value, deadline):
        self.key = key
        self.expected_version = expected_version
        self.value = value
        self.deadline = deadline
        self.result = AsyncResult()


class WriteBatcher:
    """Sends row writes in batches.

    Parameters
    ----------
    table : StoreTable
        Rows of the store.
    clock : Clock
        Source of time.
    rng : random.Random
        Adds jitter to the backoff after a failed transaction.
    """

    def __init__(self, table, clock, rng):
        self._table = table
        self._clock = clock
        self._rng = rng
        self._queue = Queue(MAX_PENDING_WRITES)
        self._tasks = []
        self._backoff_s = 0.0

    def start(self):
        """Start sending."""
        self._tasks = [repeat(self._round, 0) for _ in range(MAX_BATCHES_IN_FLIGHT)]

    def close(self):
        """Stop sending; pending writes get no result."""
        gevent.killall(self._tasks)

    def write(self, key, expected_version, value, deadline):
        """Write one row if it has the expected version.

        Parameters
        ----------
        key : str
            Key of the row.
        expected_version : int
            Version that the row must have; 0 if it must be absent.
        value : dict
            New value, with a ``token`` that no other write uses.
        deadline : float
            Monotonic seconds until which the write is sent and its result awaited.

        Returns
        -------
        WriteResult

        Raises
        ------
        StoreUnavailable
            Too many writes are pending, or there was no result before the deadline. In
            the latter case the write may have taken effect, or may do so later.
        """
        write = RowWrite(key, expected_version, value, deadline)
        if self._queue.full():
            raise StoreUnavailable("too many writes wait", "queue write", "table")
        self._queue.put(write)
        remaining_s = max(0.0, deadline - self._clock.monotonic())
        try:
            return write.result.get(timeout=remaining_s)
        except gevent.Timeout:
            # The write may be in a batch in flight, and take effect later.
            message = "no answer in time"
            raise StoreUnavailable(message, "write row", "table") from None

    def _round(self):
        """Send one batch, until each write has a result or its deadline has passed."""
        batch = self._collect_batch()
        while batch:
            batch = self._send_batch(batch)

    def _collect_batch(self):
        batch = [self._queue.get()]
        if self._queue.empty():
            gevent.sleep(BATCH_DELAY_S)
        keys = {batch[0].key}
        while len(batch) < MAX_BATCH_ROWS:
            try:
                write = self._queue.get_nowait()
            except Empty:
                break
            if write.key in keys:
                # A transaction can contain each key only once: left for another batch.
                self._queue.put(write)
                break
            keys.add(write.key)
            batch.append(write)
        return batch

    def _send_batch(self, batch):
        """Send a batch; return the writes that have to be sent again."""
        now = self._clock.monotonic()
        batch = [write for write in batch if now < write.deadline]
        batch = self._drop_stale(batch)
        if not batch:
            return []
        checks = {write.key: write.expected_version for write in batch}
        writes = {write.key: write.value for write in batch}
        remaining_s = max(write.deadline for write in batch) - now
        # If the response is lost, there has to be time for another attempt.
        timeout_s = min(
            self._table.timeout_s, max(MIN_ATTEMPT_TIMEOUT_S, remaining_s / 2)
        )
        try:
            result = self._table.transact(checks, writes, timeout_s=timeout_s)
        except StoreUnavailable:
            self._back_off()
            return batch
        self._backoff_s = 0.0
        if result.committed:
            for write in batch:
                write.result.set(WriteResult(True, result.versions[write.key], None))
            return []
        return self._resolve_conflicts(batch, result.rows)

    def _drop_stale(self, batch):
        """Reject writes that expect a row as it was before the store was restored."""
        current, era = [], self._table.era
        for write in batch:
            if write.expected_version and era_of(write.expected_version) < era:
                write.result.set(WriteResult(False, 0, None))
            else:
                current.append(write)
        return current

    def _resolve_conflicts(self, batch, rows):
        """Set the results of conflicting writes; return the other writes."""
        for write in batch:
            row = rows.get(write.key)
            if row is None:
                continue
            written = isinstance(row.value, dict) and (
                row.value.get("token") == write.value["token"]
                and row.value.get("state") == write.value.get("state")
            )
            # The write's own token in the row shows that an earlier attempt took
            # effect, and that its response was lost.
            write.result.set(WriteResult(written, row.version, row.value))
        return [write for write in batch if write.key not in rows]

    def _back_off(self):
        doubled_s = max(INITIAL_BACKOFF_S, 2 * self._backoff_s)
        self._backoff_s = min(MAX_BACKOFF_S, doubled_s)
        gevent.sleep(self._backoff_s * (0.5 + self._rng.random()))


def create_write_batcher(table, clock, rng):
    """Return a batcher that is not started yet.

    Parameters
    ----------
    table, clock, rng
        As of `WriteBatcher`.

    Returns
    -------
    WriteBatcher
    """
    return WriteBatcher(table, clock, rng)
