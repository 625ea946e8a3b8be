"""Checks the observations of callers and endpoints against the product's promises."""

from collections import Counter
from typing import NamedTuple

__all__ = [
    "MAX_COLD_PER_S",
    "DEADLINE_S",
    "MAX_DRAIN_DELAY_S",
    "Attempt",
    "Breach",
    "Timeline",
    "find_breaches",
]

NOT_RUN_STATUSES = (408, 421, 429, 503)
MAX_CONFIG_DELAY_S = 2.5  # the operators' bound, while the store responds
MAX_DRAIN_DELAY_S = 2.5
RECOVERY_S = 4.0  # after a disruption, until the bounds hold again
IDLE_CLOSE_RACE_S = 0.2  # a request lost sooner met the close of an idle connection
DEADLINE_S = 2.0  # of each request
DEADLINE_SLACK_S = 1.5  # allowed beyond the deadline on a busy machine
LIMIT_WINDOW_S = 4.0
# From half a second after an endpoint asked an instance for no requests until the end
# of that time.
PAUSE_DELAY_S = 0.5
MAX_REQUESTS_IN_PAUSE = 2
# Allowed in a window: the factor times what the limit allows, plus the burst.
LIMIT_FACTOR, LIMIT_BURST = 1.5, 5
MAX_COLD_PER_S = 4.0 * 1.5 + 5.0  # to a cold endpoint, from all instances together


class Attempt(NamedTuple):
    """A caller's request and its result.

    Attributes
    ----------
    request_id, kind : str
        Identity, and "look", "book" or the route of a configuration, such as "v3".
    instance : int
        Index of the instance that the request was sent to.
    starts : int
        Number of process starts of that instance when the request was sent.
    sent, ended : float
        Monotonic seconds.
    status : int
        HTTP status; 0 if the connection ended without a response.
    request_echo, body : str
        Request identity in the response's header, and its body.
    planned : bool
        Whether the instance was in a planned stop, undisturbed by other faults.
    ahead : int, default=0
        Number of requests before it in the same write.
    connected : bool, default=True
        Whether there was a connection to send it on.
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
    ahead: int = 0
    connected: bool = True


class Breach(NamedTuple):
    """A broken promise."""

    promise: str
    detail: str


def find_breaches(attempts, endpoints, timeline):
    """Return the breaches of all promises.

    Parameters
    ----------
    attempts : sequence of Attempt
        All requests of callers.
    endpoints : sequence of PlatformEndpoint
        All endpoints of the run, including drained ones.
    timeline : Timeline
        Configuration changes and disruptions of the run.

    Returns
    -------
    list of Breach
    """
    runs = Counter()
    for endpoint in endpoints:
        runs.update(endpoint.runs)
    draining_since = {
        e.name: e.draining_since for e in endpoints if e.draining_since is not None
    }
    return [
        *_check_at_most_once(attempts, runs),
        *_check_not_run(attempts, runs),
        *_check_responses(attempts),
        *_check_no_rejection_as_wrong(attempts),
        *_check_planned_stops(attempts, runs),
        *_check_no_revert(attempts),
        *_check_active_version(attempts, timeline),
        *_check_drains(attempts, draining_since, timeline),
        *_check_deadlines(attempts, timeline),
        *_check_advertised_limits(attempts, endpoints, timeline),
        *_check_pauses(attempts, endpoints, timeline),
    ]


class Timeline(NamedTuple):
    """Configuration changes and disruptions of a run.

    Attributes
    ----------
    versions : list of (float, int)
        Monotonic seconds at which each version was written to the store, and the
        version.
    disruptions : list of (float, float, int)
        Begin and end, in monotonic seconds, of each span in which an instance was
        disrupted, for example paused or cut off from the store, and the instance's
        index; -1 for all instances.
    """

    versions: list
    disruptions: list


def _check_at_most_once(attempts, runs):
    for attempt in attempts:
        if attempt.kind == "book" and runs[attempt.request_id] > 1:
            yield Breach("at most once", f"{attempt.request_id} ran twice")


def _check_not_run(attempts, runs):
    for attempt in attempts:
        claims_not_run = attempt.kind == "book" and attempt.status in NOT_RUN_STATUSES
        if claims_not_run and runs[attempt.request_id]:
            yield Breach("not run", f"{attempt} had run")


def _check_responses(attempts):
    for attempt in attempts:
        if attempt.status != 200:
            continue
        words = attempt.body.split()
        own = attempt.request_echo == attempt.request_id
        if not own or len(words) != 3 or words[1] != attempt.request_id:
            yield Breach("own complete response", f"{attempt}")


def _check_no_rejection_as_wrong(attempts):
    # All configurations of a run have the routes of "look" and "book".
    for attempt in attempts:
        wrong = 300 <= attempt.status < 500 and attempt.status not in NOT_RUN_STATUSES
        if wrong and attempt.kind in ("look", "book"):
            yield Breach("proper requests", f"{attempt} was rejected as wrong")


def _check_planned_stops(attempts, runs):
    for attempt in attempts:
        # A request that was sent while the instance closed the idle connection, or
        # behind a response that closed it, was never read.
        waited = attempt.ended - attempt.sent > IDLE_CLOSE_RACE_S and attempt.connected
        was_read = runs[attempt.request_id] or (waited and not attempt.ahead)
        # The HTTP server responds with 500 when a request's task is killed.
        cut = attempt.status in (0, 500) or "the instance stopped" in attempt.body
        if attempt.planned and was_read and cut:
            yield Breach("planned stop", f"{attempt} was cut off")


def _check_no_revert(attempts):
    newest = {}
    for attempt in sorted(attempts, key=lambda a: a.sent):
        if not attempt.kind.startswith("v"):
            continue
        process = (attempt.instance, attempt.starts)
        version = int(attempt.kind[1:])
        known, last_seen = newest.get(process, (0, 0.0))
        if attempt.status == 200:
            if version < known and attempt.sent > last_seen + 0.25:
                yield Breach("never reverts", f"{attempt} after version {known}")
            if version > known:
                newest[process] = (version, attempt.ended)


def _check_active_version(attempts, timeline):
    for attempt in attempts:
        if not attempt.kind.startswith("v") or attempt.status not in (200, 404):
            continue
        version = int(attempt.kind[1:])
        due = [
            v for at, v in timeline.versions if attempt.sent > at + MAX_CONFIG_DELAY_S
        ]
        if not due or _was_disrupted(attempt, timeline):
            continue
        if attempt.status == 200 and version < max(due):
            yield Breach("active configuration", f"{attempt}, but {max(due)} was due")
        # Each version replaces the routes of the versions before it.
        newer = any(v > version and at <= attempt.ended for at, v in timeline.versions)
        if attempt.status == 404 and version in due and not newer:
            yield Breach("active configuration", f"{attempt}, but this version was due")


def _check_drains(attempts, draining_since, timeline):
    for attempt in attempts:
        name = attempt.body.partition(" ")[0]
        if attempt.status != 200 or name not in draining_since:
            continue
        late = attempt.sent > draining_since[name] + MAX_DRAIN_DELAY_S
        if late and not _was_disrupted(attempt, timeline, draining_since[name]):
            yield Breach("drain", f"{attempt} at {name}, which was draining")


def _check_deadlines(attempts, timeline):
    for attempt in attempts:
        if attempt.ended - attempt.sent <= DEADLINE_S + DEADLINE_SLACK_S:
            continue
        excused = any(
            begin <= attempt.ended
            and attempt.sent <= end + RECOVERY_S
            and number == attempt.instance
            for begin, end, number in timeline.disruptions
        )
        if not excused:
            yield Breach("deadline", f"{attempt} ended too long after its deadline")


def _check_advertised_limits(attempts, endpoints, timeline):
    sent = {attempt.request_id: attempt for attempt in attempts}
    for endpoint in endpoints:
        for begin, end, per_s in endpoint.advertised_limits:
            times = [
                at
                for at, (request_id, _) in zip(
                    endpoint.arrival_times, endpoint.arrivals, strict=True
                )
                if begin + RECOVERY_S <= at <= end
                and request_id in sent
                and not _was_disrupted(sent[request_id], timeline)
            ]
            allowed = LIMIT_FACTOR * LIMIT_WINDOW_S * per_s + LIMIT_BURST
            peak = max(
                (sum(a <= t < a + LIMIT_WINDOW_S for t in times) for a in times),
                default=0,
            )
            if peak > allowed:
                yield Breach(
                    "advertised limit", f"{endpoint.name}: {peak} of {allowed} in 4 s"
                )


def _check_pauses(attempts, endpoints, timeline):
    sent = {attempt.request_id: attempt for attempt in attempts}
    for endpoint in endpoints:
        for begin, end, seconds in endpoint.pauses:
            arrivals = {}
            for at, (request_id, _) in zip(
                endpoint.arrival_times, endpoint.arrivals, strict=True
            ):
                attempt = sent.get(request_id)
                if attempt is None or _was_disrupted(attempt, timeline, begin):
                    continue
                if begin <= at:
                    arrivals.setdefault(attempt.instance, []).append(at)
            for instance, times in arrivals.items():
                if times[0] > end:
                    continue
                late = [
                    at
                    for at in times
                    if times[0] + PAUSE_DELAY_S < at < times[0] + seconds
                ]
                if len(late) > MAX_REQUESTS_IN_PAUSE:
                    detail = f"{endpoint.name}: {len(late)} requests from {instance}"
                    yield Breach("no requests asked for", detail)


def _was_disrupted(attempt, timeline, since=None):
    """Return whether a request's instance was disrupted when the request was sent.

    With ``since``, return whether it was disrupted at any time between ``since`` and
    then. A disruption counts for `RECOVERY_S` after its end.
    """
    since = attempt.sent if since is None else since
    return any(
        begin <= attempt.sent
        and since <= end + RECOVERY_S
        and number in (-1, attempt.instance)
        for begin, end, number in timeline.disruptions
    )
