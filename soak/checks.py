"""What callers and endpoints see, held against the promises."""

from collections import Counter
from typing import NamedTuple

__all__ = [
    "COLD_PER_S",
    "DEADLINE_S",
    "DRAIN_S",
    "Attempt",
    "Breach",
    "Calm",
    "find_breaches",
]

NOT_RUN = (408, 421, 429, 503)
IN_FORCE_S = 2.5  # the operators' bound, while the store answers
DRAIN_S = 2.5
STABLE_S = 4.0  # after trouble, until the bounds hold again
LOSS_SLACK_S = 0.2
DEADLINE_S = 2.0  # of each request
LATE_S = 1.5  # beyond it, on a busy machine
LIMIT_SPAN_S = 4.0
LIMIT_PART, LIMIT_MORE = 1.5, 5  # of what a named limit allows in the span
COLD_PER_S = 4.0 * 1.5 + 5.0  # of a cold endpoint, from all instances


class Attempt(NamedTuple):
    """A request of a caller and what came of it.

    Attributes
    ----------
    request_id, kind : str
        Identity, and "look", "book" or the name of a version's route.
    instance : int
        Instance that it was sent to.
    starts : int
        Starts of that instance's process when it was sent.
    sent, ended : float
        Monotonic seconds.
    status : int
        HTTP status; 0 if the connection ended without an answer.
    request_echo, body : str
        What the answer says of itself.
    planned : bool
        Whether the instance was being stopped as planned, with no other trouble.
    """

    request_id: str
    kind: str
    instance: int
    starts: int
    sent: float
    ended: float
    status: int
    request_echo: str
    body: str
    planned: bool


class Breach(NamedTuple):
    """A promise that was not kept."""

    promise: str
    detail: str


def find_breaches(attempts, endpoints, calm):
    """Return the breaches of all promises.

    Parameters
    ----------
    attempts : sequence of Attempt
        All requests of callers.
    endpoints : sequence of PlatformEndpoint
        All endpoints that ever were.
    calm : Calm
        Moments from which a change has to be in force.

    Returns
    -------
    list of Breach
    """
    runs = Counter()
    for endpoint in endpoints:
        runs.update(endpoint.runs)
    left = {e.name: e.left_at for e in endpoints if e.left_at is not None}
    return [
        *_at_most_once(attempts, runs),
        *_not_run_is_true(attempts, runs),
        *_own_whole_answers(attempts),
        *_planned_stop(attempts, runs),
        *_never_back(attempts),
        *_in_force(attempts, calm),
        *_drained(attempts, left, calm),
        *_in_time(attempts, calm),
        *_within_limits(attempts, endpoints, calm),
    ]


class Calm(NamedTuple):
    """When changes had to be in force.

    Attributes
    ----------
    versions : list of (float, int)
        From that moment on, every instance in touch obeys at least that version.
    troubled : list of (float, float, int)
        Spans in which an instance was not in touch; -1 for all instances.
    """

    versions: list
    troubled: list


def _at_most_once(attempts, runs):
    for attempt in attempts:
        if attempt.kind == "book" and runs[attempt.request_id] > 1:
            yield Breach("at most once", f"{attempt.request_id} ran twice")


def _not_run_is_true(attempts, runs):
    for attempt in attempts:
        said = attempt.kind == "book" and attempt.status in NOT_RUN
        if said and runs[attempt.request_id]:
            yield Breach("not run", f"{attempt} had run")


def _own_whole_answers(attempts):
    for attempt in attempts:
        if attempt.status != 200:
            continue
        words = attempt.body.split()
        own = attempt.request_echo == attempt.request_id
        if not own or len(words) != 3 or words[1] != attempt.request_id:
            yield Breach("own whole answer", f"{attempt}")


def _planned_stop(attempts, runs):
    for attempt in attempts:
        # A request that crosses the close of an idle connection was not read.
        read = runs[attempt.request_id] or attempt.ended - attempt.sent > LOSS_SLACK_S
        # The HTTP server answers 500 for a task that was ended under way.
        cut = attempt.status in (0, 500) or "the instance stopped" in attempt.body
        if attempt.planned and read and cut:
            yield Breach("planned stop", f"{attempt} was cut")


def _never_back(attempts):
    newest = {}
    for attempt in sorted(attempts, key=lambda a: a.sent):
        if not attempt.kind.startswith("v"):
            continue
        process = (attempt.instance, attempt.starts)
        version = int(attempt.kind[1:])
        known, seen = newest.get(process, (0, 0.0))
        if attempt.status == 200:
            if version < known and attempt.sent > seen + 0.25:
                yield Breach("never back", f"{attempt} after version {known}")
            if version > known:
                newest[process] = (version, attempt.ended)


def _in_force(attempts, calm):
    for attempt in attempts:
        if not attempt.kind.startswith("v") or attempt.status not in (200, 404):
            continue
        version = int(attempt.kind[1:])
        due = [v for at, v in calm.versions if attempt.sent > at + IN_FORCE_S]
        if not due or _was_troubled(attempt, calm):
            continue
        if attempt.status == 200 and version < max(due):
            yield Breach("in force", f"{attempt} though {max(due)} is in force")
        # Each version drops the routes of those before it.
        newer = any(v > version and at <= attempt.ended for at, v in calm.versions)
        if attempt.status == 404 and version in due and not newer:
            yield Breach("in force", f"{attempt} though it is in force")


def _drained(attempts, left, calm):
    for attempt in attempts:
        name = attempt.body.partition(" ")[0]
        if attempt.status != 200 or name not in left:
            continue
        late = attempt.sent > left[name] + DRAIN_S
        if late and not _was_troubled(attempt, calm, left[name]):
            yield Breach("drain", f"{attempt} at {name}, which left before")


def _in_time(attempts, calm):
    for attempt in attempts:
        if attempt.ended - attempt.sent <= DEADLINE_S + LATE_S:
            continue
        excused = any(
            begin <= attempt.ended
            and attempt.sent <= end + STABLE_S
            and number == attempt.instance
            for begin, end, number in calm.troubled
        )
        if not excused:
            yield Breach("in time", f"{attempt} was held past its deadline")


def _within_limits(attempts, endpoints, calm):
    sent = {attempt.request_id: attempt for attempt in attempts}
    for endpoint in endpoints:
        for begin, end, per_s in endpoint.limits:
            times = [
                at
                for at, (name, _) in zip(
                    endpoint.arrival_times, endpoint.arrivals, strict=True
                )
                if begin + STABLE_S <= at <= end
                and name in sent
                and not _was_troubled(sent[name], calm)
            ]
            most = LIMIT_PART * LIMIT_SPAN_S * per_s + LIMIT_MORE
            got = max(
                (sum(a <= t < a + LIMIT_SPAN_S for t in times) for a in times),
                default=0,
            )
            if got > most:
                yield Breach("limit", f"{endpoint.name}: {got} of {most} in 4 s")


def _was_troubled(attempt, calm, since=None):
    """Return whether an instance was not in touch when a request was sent.

    With ``since``, whether it was not at any moment from then on.
    """
    since = attempt.sent if since is None else since
    return any(
        begin <= attempt.sent
        and since <= end + STABLE_S
        and number in (-1, attempt.instance)
        for begin, end, number in calm.troubled
    )
