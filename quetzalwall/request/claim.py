"""At most one run of a request that is not idempotent.

The caller sends an idempotency key. Before the request leaves an instance, a row for
the key is written to the table on condition that it is absent. Whoever finds a row of
another attempt never runs the request: it answers from the row. A claim is never taken
over; only the attempt that made it may record that it did not run, after which another
attempt may claim the key.
"""

import base64
import hashlib
from typing import NamedTuple
from uuid import uuid4

from quetzalwall.exceptions import NotRun, StoreUnavailable

__all__ = [
    "Claim",
    "ClaimConflict",
    "Claims",
    "RecordedAnswer",
    "create_claims",
    "request_digest",
]

CLAIMED = "claimed"
DONE = "done"
NOT_RUN = "not-run"
UNKNOWN = "unknown"
RECORD_TIMEOUT_S = 30.0
IN_PROGRESS_MARGIN_S = 5.0


class Claim(NamedTuple):
    """The right to run a request once.

    Attributes
    ----------
    row_key : str
        Key of the row in the table.
    token : str
        Names this attempt.
    version : int
        Version of the row.
    digest : str
        Digest of the request.
    """

    row_key: str
    token: str
    version: int
    digest: str


class RecordedAnswer(NamedTuple):
    """An answer kept for repeats of a key."""

    status: int
    headers: list
    body: bytes


class ClaimConflict(NamedTuple):
    """Another attempt holds the key.

    Attributes
    ----------
    state : str
        ``"done"``, ``"in-progress"``, ``"unknown"`` or ``"mismatch"``.
    answer : RecordedAnswer or None
        When done and the answer was small enough to keep.
    holder : str
        Instance that made the attempt.
    """

    state: str
    answer: RecordedAnswer | None
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
        Starts a task; recording an answer must not delay it.
    """

    def __init__(self, batcher, clock, instance, spawn):
        self._batcher = batcher
        self._clock = clock
        self._instance = instance
        self._spawn = spawn

    def claim(self, service, key, digest, duration_s, until):
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
        until : float
            Monotonic seconds after which the caller no longer waits.

        Returns
        -------
        Claim or ClaimConflict

        Raises
        ------
        NotRun
            The table gave no answer, so the request was not sent.
        """
        row_key = f"claim/{service}/{key}"
        value = {
            "token": uuid4().hex,
            "instance": self._instance,
            "state": CLAIMED,
            "digest": digest,
            "at": self._clock.wall(),
            "duration_s": duration_s,
        }
        expected = 0
        while True:
            result = self._write(row_key, expected, value, until)
            if result.written:
                return Claim(row_key, value["token"], result.version, digest)
            found = result.value
            if found is None:
                expected = 0
            elif found["state"] == NOT_RUN and found["digest"] == digest:
                expected = result.version
            else:
                return self._conflict(found, digest)

    def record_answer(self, claim, answer):
        """Record the answer of a request that ran, in the background.

        Parameters
        ----------
        claim : Claim
            From `claim`.
        answer : RecordedAnswer or None
            The answer; None if it is too long to keep.
        """
        kept = None
        if answer is not None:
            body = base64.b64encode(answer.body).decode()
            kept = {"status": answer.status, "headers": answer.headers, "body": body}
        self._record(claim, {"state": DONE, "answer": kept})

    def record_not_run(self, claim):
        """Record, in the background, that the request was not and will not be sent.

        Parameters
        ----------
        claim : Claim
            From `claim`.
        """
        self._record(claim, {"state": NOT_RUN})

    def record_unknown(self, claim):
        """Record, in the background, that the request was sent without an answer.

        Parameters
        ----------
        claim : Claim
            From `claim`.
        """
        self._record(claim, {"state": UNKNOWN})

    def _write(self, row_key, expected, value, until):
        try:
            return self._batcher.write(row_key, expected, value, until)
        except StoreUnavailable as exc:
            # The claim may yet take effect, but this attempt ends here.
            self._abandon(row_key, expected, value)
            raise NotRun(exc.message, step="claim", peer="table") from exc

    def _abandon(self, row_key, expected, value):
        self._spawn(self._write_tombstone, row_key, expected, value)

    def _write_tombstone(self, row_key, expected, value):
        """Make sure that a claim whose fate is not known can't hold the key.

        The first write fails if the claim took effect, and keeps it from taking
        effect later otherwise. The second replaces the claim, and only this attempt's.
        """
        tombstone = {**value, "state": NOT_RUN}
        until = self._clock.monotonic() + RECORD_TIMEOUT_S
        try:
            result = self._batcher.write(row_key, expected, tombstone, until)
            if result.written or result.value is None:
                return
            if result.value["token"] == value["token"]:
                self._batcher.write(row_key, result.version, tombstone, until)
        except StoreUnavailable:
            # Repeats of the key hear "unknown", and nothing runs twice.
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
        until = self._clock.monotonic() + RECORD_TIMEOUT_S
        try:
            self._batcher.write(claim.row_key, claim.version, value, until)
        except StoreUnavailable:
            # The row keeps saying "claimed", which repeats hear as unknown.
            return

    def _conflict(self, found, digest):
        if found["digest"] != digest:
            return ClaimConflict("mismatch", None, found["instance"])
        if found["state"] == DONE:
            return ClaimConflict("done", _recorded(found), found["instance"])
        age_s = self._clock.wall() - found["at"]
        fresh = age_s < found["duration_s"] + IN_PROGRESS_MARGIN_S
        if found["state"] == CLAIMED and fresh:
            return ClaimConflict("in-progress", None, found["instance"])
        return ClaimConflict("unknown", None, found["instance"])


def request_digest(method, target, body):
    """Return a digest that tells whether a repeated key repeats the same request.

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


def _recorded(found):
    kept = found["answer"]
    if kept is None:
        return None
    headers = [(name, value) for name, value in kept["headers"]]
    return RecordedAnswer(kept["status"], headers, base64.b64decode(kept["body"]))


def create_claims(batcher, clock, instance, spawn):
    """Return the claims of one instance.

    Parameters
    ----------
    batcher, clock, instance, spawn
        As of `Claims`.

    Returns
    -------
    Claims
    """
    return Claims(batcher, clock, instance, spawn)
