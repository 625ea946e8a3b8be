"""Conditional writes of single rows, sent to the table in batches.

The table takes several hundred transactions a second; requests arrive faster. Writes
that arrive within a few milliseconds share one transaction. A row that fails its check
is taken out and the others are sent again.
"""

from typing import NamedTuple

import gevent
from gevent.event import AsyncResult
from gevent.queue import Empty, Queue

from quetzalwall.exceptions import StoreUnavailable
from quetzalwall.process.tasks import repeat

__all__ = ["RowWrite", "WriteBatcher", "WriteResult", "create_write_batcher"]

GATHER_S = 0.004
BATCH_ROWS = 64
BATCHES_IN_FLIGHT = 8
MAX_PENDING = 4096
SHORTEST_TIMEOUT_S = 0.1
FIRST_BACKOFF_S = 0.05
LONGEST_BACKOFF_S = 1.0


class WriteResult(NamedTuple):
    """Result of one conditional write.

    Attributes
    ----------
    written : bool
        Whether the write took effect.
    version : int
        Version of the row now.
    value : object
        Value of the row when the write did not take effect.
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
    expected : int
        Version that the row must have; 0 for absent.
    value : dict
        New value, with a ``token`` that no other write uses.
    until : float
        Monotonic seconds after which the write is given up.
    """

    def __init__(self, key, expected, value, until):
        self.key = key
        self.expected = expected
        self.value = value
        self.until = until
        self.result = AsyncResult()


class WriteBatcher:
    """Sends row writes in batches.

    Parameters
    ----------
    table : TableClient
        The table service.
    clock : Clock
        Source of time.
    rng : random.Random
        Spreads retries after an outage.
    """

    def __init__(self, table, clock, rng):
        self._table = table
        self._clock = clock
        self._rng = rng
        self._queue = Queue(MAX_PENDING)
        self._tasks = []
        self._backoff_s = 0.0

    def start(self):
        """Begin to send."""
        self._tasks = [repeat(self._round, 0) for _ in range(BATCHES_IN_FLIGHT)]

    def close(self):
        """Stop sending; writes that wait get no result."""
        gevent.killall(self._tasks)

    def write(self, key, expected, value, until):
        """Write one row if it has the expected version.

        Parameters
        ----------
        key : str
            Key of the row.
        expected : int
            Version that the row must have; 0 for absent.
        value : dict
            New value, with a ``token`` that no other write uses.
        until : float
            Monotonic seconds after which the write is given up.

        Returns
        -------
        WriteResult

        Raises
        ------
        StoreUnavailable
            The table did not answer in time; the write may have taken effect, also
            later than this.
        """
        write = RowWrite(key, expected, value, until)
        if self._queue.full():
            raise StoreUnavailable("too many writes wait", "queue write", "table")
        self._queue.put(write)
        left_s = max(0.0, until - self._clock.monotonic())
        try:
            return write.result.get(timeout=left_s)
        except gevent.Timeout:
            # The write may be under way in a batch, and take effect later.
            message = "no answer in time"
            raise StoreUnavailable(message, "write row", "table") from None

    def _round(self):
        batch = self._gather()
        while batch:
            batch = self._send(batch)

    def _gather(self):
        batch = [self._queue.get()]
        if self._queue.empty():
            gevent.sleep(GATHER_S)
        keys = {batch[0].key}
        while len(batch) < BATCH_ROWS:
            try:
                write = self._queue.get_nowait()
            except Empty:
                break
            if write.key in keys:
                # One transaction holds each key once; the later write goes next.
                self._queue.put(write)
                break
            keys.add(write.key)
            batch.append(write)
        return batch

    def _send(self, batch):
        """Send a batch; return the writes to be sent again."""
        now = self._clock.monotonic()
        batch = [write for write in batch if now < write.until]
        if not batch:
            return []
        checks = {write.key: write.expected for write in batch}
        writes = {write.key: write.value for write in batch}
        left_s = max(write.until for write in batch) - now
        # A lost reply must leave time for another attempt.
        timeout_s = min(self._table.timeout_s, max(SHORTEST_TIMEOUT_S, left_s / 2))
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
        return self._settle_conflicts(batch, result.rows)

    def _settle_conflicts(self, batch, rows):
        for write in batch:
            row = rows.get(write.key)
            if row is None:
                continue
            mine = isinstance(row.value, dict) and (
                row.value.get("token") == write.value["token"]
                and row.value.get("state") == write.value.get("state")
            )
            # An earlier attempt whose reply was lost shows as our own token.
            write.result.set(WriteResult(mine, row.version, row.value))
        return [write for write in batch if write.key not in rows]

    def _back_off(self):
        doubled = max(FIRST_BACKOFF_S, 2 * self._backoff_s)
        self._backoff_s = min(LONGEST_BACKOFF_S, doubled)
        gevent.sleep(self._backoff_s * (0.5 + self._rng.random()))


def create_write_batcher(table, clock, rng):
    """Return a batcher that is not yet started.

    Parameters
    ----------
    table, clock, rng
        As of `WriteBatcher`.

    Returns
    -------
    WriteBatcher
    """
    return WriteBatcher(table, clock, rng)
