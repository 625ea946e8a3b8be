"""Claims on idempotency keys, so that a request runs at most once.

The caller of a request that is not idempotent sends an idempotency key. Before the
request leaves an instance, a row for the key is written to the table on condition that
it is absent. An attempt that finds the row of another attempt never runs the request:
it responds from the row. A claim is never taken over; only the attempt that made it may
record that it did not run, after which another attempt may claim the key.
"""

import base64
import hashlib
import math
from typing import NamedTuple
from uuid import uuid4

from quetzalwall.exceptions import NotRun, StoreUnavailable
from quetzalwall.request.recent_claims import CLAIMED, NOT_RUN, RecentClaims, is_unheld

__all__ = [
    "Claim",
    "ClaimConflict",
    "Claims",
    "RecordedResponse",
    "create_claims",
    "request_digest",
]

DONE = "done"
UNKNOWN = "unknown"
RECORD_TIMEOUT_S = 30.0
# After the store was restored: until then all instances have reported their claims and
# those that reach the store have written them again.
RESTORE_PAUSE_S = 3.0
IN_PROGRESS_MARGIN_S = 5.0  # over the longest duration of the request


class Claim(NamedTuple):
    """The right to run a request once.

    Attributes
    ----------
    row_key : str
        Key of the row in the table.
    token : str
        Random identity of this attempt.
    version : int
        Version of the row.
    digest : str
        Digest of the request.
    """

    row_key: str
    token: str
    version: int
    digest: str


class RecordedResponse(NamedTuple):
    """A response that is recorded for repeated requests with the same key."""

    status: int
    headers: list
    body: bytes


class ClaimConflict(NamedTuple):
    """The key is claimed by another attempt.

    Attributes
    ----------
    state : str
        ``"done"``, ``"in-progress"``, ``"unknown"`` or ``"mismatch"``.
    response : RecordedResponse or None
        The recorded response; None unless the request is done and its response was
        small enough to be recorded.
    holder : str
        Instance that made the attempt.
    """

    state: str
    response: RecordedResponse | None
    holder: str


class Claims:
    """Claims made by one instance.

    Parameters
    ----------
    batcher : WriteBatcher
        Sends the writes.
    clock : Clock
        Source of time.
    instance : str
        Name of this instance.
    spawn : callable
        Starts a task, so that writing a record does not delay the response.
    codes : ClaimCodes or None, default=None
        Tells the other instances of claims, and which they have made.
    """

    def __init__(self, batcher, clock, instance, spawn, codes=None):
        self._codes = codes
        self._recent = RecentClaims(batcher, clock, spawn)
        self._accept_after = -math.inf
        self._batcher = batcher
        self._clock = clock
        self._instance = instance
        self._spawn = spawn

    def begin_era(self):
        """Begin to recover from a restore of the store from an older copy."""
        self._accept_after = self._clock.monotonic() + RESTORE_PAUSE_S
        self._recent.rewrite_all()

    def claim(self, service, key, digest, duration_s, deadline):
        """Claim a key before its request is sent.

        Parameters
        ----------
        service : str
            The service.
        key : str
            The caller's idempotency key.
        digest : str
            From `request_digest`.
        duration_s : float
            Longest time that the request may take.
        deadline : float
            Monotonic seconds after which the claim is abandoned.

        Returns
        -------
        Claim or ClaimConflict

        Raises
        ------
        NotRun
            The table did not respond in time, or was restored lately, so the request
            was not sent.
        """
        self._check_restored()
        row_key = f"claim/{service}/{key}"
        value = {
            "token": uuid4().hex,
            "instance": self._instance,
            "state": CLAIMED,
            "digest": digest,
            "at": self._clock.wall(),
            "duration_s": duration_s,
        }
        expected_version = 0
        while True:
            result = self._write(row_key, expected_version, value, deadline)
            if result.written:
                return self._accept(row_key, expected_version, value, result.version)
            row = result.value
            if row is None:
                expected_version = 0
            elif is_unheld(row) and self._was_claimed(row_key):
                return ClaimConflict("unknown", None, row["instance"])
            elif row["state"] == NOT_RUN and row["digest"] == digest:
                expected_version = result.version
                if is_unheld(row):
                    value["held"] = False  # also if this attempt is given up
            else:
                return self._conflict(row, digest)

    def _check_restored(self):
        wait_s = self._accept_after - self._clock.monotonic()
        if wait_s > 0:
            message = "the store was restored"
            raise NotRun(message, "claim", "table", retry_after_s=wait_s)

    def _was_claimed(self, row_key):
        """Return whether a claim on a key is known that the store should have."""
        now = self._clock.monotonic()
        elsewhere = self._codes is not None and self._codes.claimed_elsewhere(
            row_key, now
        )
        return elsewhere or self._recent.may_have_run(row_key)

    def _accept(self, row_key, expected_version, value, version):
        """Return the claim that was written, unless the store lost an earlier one."""
        try:
            self._check_restored()
        except NotRun:
            self._spawn_tombstone(row_key, expected_version, value)
            raise
        claim = Claim(row_key, value["token"], version, value["digest"])
        if expected_version == 0 and self._was_claimed(row_key):
            self.record_unknown(claim)
            return ClaimConflict("unknown", None, self._instance)
        self._recent.record(row_key, value)
        if self._codes is not None:
            self._codes.record_own(row_key, self._clock.monotonic())
        return claim

    def record_response(self, claim, response):
        """Record, in the background, the response of a request that ran.

        Parameters
        ----------
        claim : Claim
            From `claim`.
        response : RecordedResponse or None
            The response; None if it is too long to be recorded.
        """
        record = None
        if response is not None:
            body = base64.b64encode(response.body).decode()
            record = {
                "status": response.status,
                "headers": response.headers,
                "body": body,
            }
        self._record(claim, {"state": DONE, "answer": record})

    def record_not_run(self, claim):
        """Record, in the background, that the request was not and will not be sent.

        Parameters
        ----------
        claim : Claim
            From `claim`.
        """
        self._record(claim, {"state": NOT_RUN})

    def record_unknown(self, claim):
        """Record, in the background, that it is not known whether the request ran.

        Parameters
        ----------
        claim : Claim
            From `claim`.
        """
        self._record(claim, {"state": UNKNOWN})

    def _write(self, row_key, expected_version, value, deadline):
        try:
            return self._batcher.write(row_key, expected_version, value, deadline)
        except StoreUnavailable as exc:
            # The write may still take effect, but this attempt ends here.
            self._spawn_tombstone(row_key, expected_version, value)
            raise NotRun(exc.message, step="claim", peer="table") from exc

    def _spawn_tombstone(self, row_key, expected_version, value):
        self._spawn(self._write_tombstone, row_key, expected_version, value)

    def _write_tombstone(self, row_key, expected_version, value):
        """Free the key if the outcome of writing a claim is not known.

        The first write fails if the claim took effect, and otherwise keeps it from
        taking effect later. The second replaces the claim if this attempt made it.
        """
        tombstone = {**value, "state": NOT_RUN}
        if expected_version == 0:
            tombstone["held"] = False
        deadline = self._clock.monotonic() + RECORD_TIMEOUT_S
        try:
            result = self._batcher.write(row_key, expected_version, tombstone, deadline)
            if result.written or result.value is None:
                return
            if result.value["token"] == value["token"]:
                self._batcher.write(row_key, result.version, tombstone, deadline)
        except StoreUnavailable:
            # Repeated requests get "unknown", and nothing runs twice.
            return

    def _record(self, claim, fields):
        self._spawn(self._write_record, claim, fields)

    def _write_record(self, claim, fields):
        value = {
            "token": claim.token,
            "instance": self._instance,
            "digest": claim.digest,
            "at": self._clock.wall(),
            "duration_s": 0.0,
            **fields,
        }
        deadline = self._clock.monotonic() + RECORD_TIMEOUT_S
        self._recent.record(claim.row_key, value)
        try:
            result = self._batcher.write(claim.row_key, claim.version, value, deadline)
            if not result.written:
                # The store was restored, and may lack the claim.
                self._recent.rewrite(claim.row_key, value)
        except StoreUnavailable:
            # The row stays "claimed"; repeated requests get "unknown" later on.
            return

    def _conflict(self, row, digest):
        if row["digest"] != digest:
            return ClaimConflict("mismatch", None, row["instance"])
        if row["state"] == DONE:
            return ClaimConflict("done", _recorded_response(row), row["instance"])
        age_s = self._clock.wall() - row["at"]
        recent = age_s < row["duration_s"] + IN_PROGRESS_MARGIN_S
        if row["state"] == CLAIMED and recent:
            return ClaimConflict("in-progress", None, row["instance"])
        return ClaimConflict("unknown", None, row["instance"])


def request_digest(method, target, body):
    """Return a digest that tells whether two requests with one key are the same.

    Parameters
    ----------
    method, target : str
        HTTP method, and path with query.
    body : bytes
        The body.

    Returns
    -------
    str
    """
    head = f"{method} {target}\n".encode()
    return hashlib.sha256(head + body).hexdigest()


def _recorded_response(row):
    record = row["answer"]
    if record is None:
        return None
    headers = [(name, value) for name, value in record["headers"]]
    return RecordedResponse(record["status"], headers, base64.b64decode(record["body"]))


def create_claims(batcher, clock, instance, spawn, codes=None):
    """Return the claims of one instance.

    Parameters
    ----------
    batcher, clock, instance, spawn, codes
        As of `Claims`.

    Returns
    -------
    Claims
    """
    return Claims(batcher, clock, instance, spawn, codes)
