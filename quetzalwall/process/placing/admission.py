"""Waiting for a slot: connects requests' tasks with the decisions.

Each request has its own task, which waits here until the decision about it is made.
"""

import gevent
from gevent.event import AsyncResult, Event

from quetzalwall.exceptions import NotRun
from quetzalwall.logs import get_logger, log_event
from quetzalwall.process.placing.steering import create_steering
from quetzalwall.process.tasks import repeat
from quetzalwall.request.work import Grant

__all__ = ["Admission", "create_admission"]

TICK_S = 0.02  # while requests wait
BUSY_TICK_S = 0.1  # while some are served
IDLE_TICK_S = 0.5
CANCEL_MARGIN_S = 0.25  # an endpoint may need this long to notice a cancellation
LOG = get_logger("route")


class Admission:
    """Slots for requests.

    Parameters
    ----------
    steering : Steering
        The decisions.
    clock : Clock
        Source of time.
    metrics : EntryMetrics
        Counters.
    """

    def __init__(self, steering, clock, metrics):
        self.steering = steering
        self._clock = clock
        self._metrics = metrics
        self.on_shortage = None
        self._waiting = {}
        self._wake = Event()
        self._task = None

    def start(self):
        """Begin to look at waiting requests regularly."""
        self._task = repeat(self._tick, 0.0)

    def close(self):
        """Stop; requests that wait are not decided any more."""
        gevent.kill(self._task)

    def wait(self, work):
        """Return a slot for a request.

        Parameters
        ----------
        work : Work
            The request.

        Returns
        -------
        Grant

        Raises
        ------
        NotRun
            The request was refused before anything was sent.
        """
        result = AsyncResult()
        self._waiting[work.request_id] = result
        try:
            self.deliver(self.steering.submit(work, self._clock.monotonic()))
            if not result.ready():
                self._wake.set()
                if self.on_shortage is not None:
                    self.on_shortage()
            decision = result.get()
        finally:
            self._waiting.pop(work.request_id, None)
        if isinstance(decision, Grant):
            return decision
        raise NotRun(
            decision.reason, "admission", "", retry_after_s=decision.retry_after_s
        )

    def finish(self, grant, answered):
        """Free a slot whose request has ended.

        Parameters
        ----------
        grant : Grant
            The slot.
        answered : bool
            Whether the endpoint answered in full.
        """
        now = self._clock.monotonic()
        self.steering.finish(grant, now, answered, release=answered)
        if not answered:
            gevent.spawn_later(CANCEL_MARGIN_S, self._release, grant)
        self.deliver(self.steering.pump(grant.work.service, now))
        if self.steering.ledger.borrowed and self.on_shortage is not None:
            # A borrowed slot that is free now may be needed by its lender.
            self.on_shortage()

    def cancel(self, grant):
        """Free a slot whose request was cancelled by this instance.

        Parameters
        ----------
        grant : Grant
            The slot.
        """
        self.steering.cancel(grant, self._clock.monotonic())
        gevent.spawn_later(CANCEL_MARGIN_S, self._release, grant)

    def deliver(self, decisions):
        """Hand decisions to the tasks that wait for them.

        Parameters
        ----------
        decisions : list of Grant or Shed
            Decisions.
        """
        for decision in decisions:
            self.log_decision(decision)
            result = self._waiting.get(decision.work.request_id)
            if result is not None:
                result.set(decision)
            elif isinstance(decision, Grant):
                # The caller left while the request waited.
                self.steering.cancel(decision, self._clock.monotonic())
                self._release(decision)

    def log_decision(self, decision):
        """Write the line of one decision and count it.

        Parameters
        ----------
        decision : Grant or Shed
            The decision.
        """
        work = decision.work
        waited_s = self._clock.monotonic() - work.arrived
        if isinstance(decision, Grant):
            self._metrics.routed(work.service, work.work_class, decision.reason)
            log_event(
                LOG,
                "route",
                req=work.request_id,
                service=work.service,
                work_class=work.work_class,
                endpoint=decision.endpoint,
                of=decision.of,
                rule=decision.reason,
                expected_s=decision.figure,
                waited_s=waited_s,
                shift=decision.moved_by or "none",
            )
            return
        self._metrics.shed(work.service, work.work_class, decision.reason)
        log_event(
            LOG,
            "shed",
            req=work.request_id,
            service=work.service,
            work_class=work.work_class,
            rule=decision.reason,
            waited_s=waited_s,
        )

    def _release(self, grant):
        now = self._clock.monotonic()
        self.steering.ledger.release(grant.key, now)
        self.deliver(self.steering.pump(grant.work.service, now))

    def _tick(self):
        if self.steering.any_waiting():
            gevent.sleep(TICK_S)
        else:
            ledger = self.steering.ledger
            busy = ledger.used or ledger.borrowed
            self._wake.wait(BUSY_TICK_S if busy else IDLE_TICK_S)
            self._wake.clear()
        self.deliver(self.steering.tick(self._clock.monotonic()))


def create_admission(cfg, region, clock, rng, ledger, metrics):
    """Return the admission of one instance, not yet started.

    Parameters
    ----------
    cfg : dict
        Merged configuration.
    region : str
        Region of the instance.
    clock : Clock
        Source of time.
    rng : random.Random
        Source of randomness.
    ledger : Ledger
        Units that the instance may use.
    metrics : EntryMetrics
        Counters.

    Returns
    -------
    Admission
    """
    steering = create_steering(cfg, region, clock.monotonic(), rng, ledger=ledger)
    return Admission(steering, clock, metrics)
