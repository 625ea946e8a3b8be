"""As of which moment the operators' table is known, and whether keys may still be used.

Each moment is one from which on a change may be unknown here; it never lies later than
what a response of the store proves. All times are of a clock that also advances while
the machine is suspended.
"""

import math

from quetzalwall.logs import get_logger, log_event
from quetzalwall.platform.store_era import era_of

__all__ = ["Freshness", "create_freshness", "proved_by_call"]

# From the check of a request to its arrival at the endpoint, and what the age in a
# report leaves out; docs/design/client-accounts.md gives the sum.
MARGIN_S = 0.6
# Of the time in which a change has to be active: some responses of the store miss the
# changes of the last second.
CONFIG_MARGIN_S = 1.0
MAX_DRAIN_GAP_S = 0.5  # a longer time without reading the socket is a stall
MAX_SEND_DELAY_S = 0.2  # after which the age in a report is no longer sent
MAX_LATE_RESPONSE_S = 0.5  # later, a stall may hide that the store responded early
MAX_TOLD_AGE_S = 20.0  # an older moment is of no use to peers
# For which the least delay of a peer's reports is kept. Clocks drift by 0.06 s in it;
# in a shorter one, the delay on a link with much traffic would become the least.
DELAY_WINDOW_S = 300.0
MAX_SILENT_S = 3600.0  # then the state of a peer's process is discarded
LOG = get_logger("store")


def proved_by_call(sent, wait_s, now):
    """Return the moment as of which a response of the store proves a table.

    Parameters
    ----------
    sent : float
        Moment at which the call was sent.
    wait_s : float
        Seconds for which the store waited for a change, as the call asked; 0 if it
        returned rows.
    now : float
        Moment at which the response arrived; a late one may have waited somewhere.

    Returns
    -------
    float
    """
    waited_until = sent + wait_s
    if waited_until <= now <= waited_until + MAX_LATE_RESPONSE_S:
        return waited_until
    return sent


class Freshness:
    """The as-of moment of the operators' table, and the bound on its age.

    Parameters
    ----------
    monotonic : callable
        Clock in seconds, which counts suspension.

    Attributes
    ----------
    fail_closed : bool
        Whether requests with a key are rejected while the table is stale.
    followed : bool
        Whether this process follows the operators' table at all.
    config_s : float
        Seconds in which a change of the configuration has to be active everywhere.
    now : callable
        The clock.
    """

    def __init__(self, monotonic):
        self.fail_closed = self.followed = False
        self.config_s = 0.0
        self.now = monotonic
        self._max_age_s = self._max_current_age_s = math.inf
        self._as_of = -math.inf
        self._own_as_of = -math.inf
        self._applied = None
        self._unapplied = None
        self._drained_at = -math.inf
        self._delays = {}
        self._logged_stale = False
        self._started_at = monotonic()

    def configure(self, bounds):
        """Set the bound on the age of the table.

        Parameters
        ----------
        bounds : Bounds
            The operators' bounds.
        """
        self.fail_closed = bounds.fail_closed
        self.config_s = bounds.config_s
        self._max_current_age_s = max(0.0, bounds.config_s - CONFIG_MARGIN_S)
        self._max_age_s = math.inf
        if bounds.fail_closed:
            self._max_age_s = bounds.revoke_s - MARGIN_S

    @property
    def max_age_s(self):
        """Age from which on requests with a key are rejected; infinity if never."""
        return self._max_age_s

    def is_stale(self):
        """Return whether requests with a key have to be rejected.

        Returns
        -------
        bool
        """
        return self.age_s() > self._max_age_s

    def is_current(self):
        """Return whether all changes are known that have to be active by now.

        Otherwise, what the known configuration does not contain may exist.

        Returns
        -------
        bool
        """
        return not self.followed or self.age_s() <= self._max_current_age_s

    def age_s(self):
        """Return the age of the as-of moment.

        Returns
        -------
        float
            Seconds; infinity if nothing has been proved since the start.
        """
        return self.now() - self._as_of

    def log_changes(self):
        """Log it if the table has become stale, or current again.

        After a start it is not logged as stale until the bound has passed.

        Returns
        -------
        float
            As of `age_s`.
        """
        age_s = self.age_s()
        stale = min(age_s, self.now() - self._started_at) > self._max_age_s
        if stale != self._logged_stale:
            self._logged_stale = stale
            event, level = ("stale", "error") if stale else ("current", "info")
            log_event(LOG, event, level, age_s=age_s, max_age_s=self._max_age_s)
        return age_s

    def record_applied(self, version):
        """Record up to which version of the store the table has been applied.

        Parameters
        ----------
        version : int
            The version.
        """
        self._applied = version
        if self._unapplied is not None and self._unapplied[1] <= version:
            self._as_of = max(self._as_of, self._unapplied[0])
            self._unapplied = None

    def confirm(self, sent, wait_s):
        """Record a call to the store whose response has just been applied.

        Parameters
        ----------
        sent : float
            Moment at which the call was sent.
        wait_s : float
            Seconds for which the store waited for a change, as the call asked; 0 if it
            returned rows.
        """
        proved_at = proved_by_call(sent, wait_s, self.now())
        self._own_as_of = max(self._own_as_of, proved_at)
        self._as_of = max(self._as_of, proved_at)

    def own_proved_at(self, now):
        """Return the as-of moment that the store itself proved to this instance.

        Parameters
        ----------
        now : float
            Seconds of the clock.

        Returns
        -------
        float or None
            None if nothing has been proved lately.
        """
        return None if now - self._own_as_of > MAX_TOLD_AGE_S else self._own_as_of

    def own_proof(self, now):
        """Return what the store itself proved to this instance, for a report.

        Parameters
        ----------
        now : float
            Seconds of the clock.

        Returns
        -------
        (int, int) or None
            The present moment and the age of the as-of moment, in milliseconds; None if
            nothing has been proved lately.
        """
        proved_at = self.own_proved_at(now)
        if proved_at is None:
            return None
        return math.floor(now * 1000), math.ceil((now - proved_at) * 1000)

    def may_tell_age(self, built_at):
        """Return whether the ages in a report still hold when it is sent.

        Parameters
        ----------
        built_at : float
            Moment at which the report was built.

        Returns
        -------
        bool
        """
        return self.now() - built_at <= MAX_SEND_DELAY_S

    def record_drained(self, at):
        """Record that the socket for reports was found empty.

        Parameters
        ----------
        at : float
            Moment before the read that found nothing.
        """
        self._drained_at = at

    def receive(self, process_id, proof, version, now):
        """Record what the store proved to a peer.

        Parameters
        ----------
        process_id : int
            The peer's process.
        proof : (int, int) or None
            As of `own_proof`.
        version : int
            Version of the peer's last change of the table.
        now : float
            Moment at which the report was read.
        """
        if proof is None:
            return
        sent_at = self.sent_at(process_id, proof[0] / 1000, now)
        if sent_at is not None:
            self.record_proved(sent_at - max(0, proof[1]) / 1000, version)

    def record_proved(self, at, version):
        """Record an as-of moment that the store proved to another instance.

        Parameters
        ----------
        at : float
            The moment.
        version : int
            Version of the last change of the table at that instance.
        """
        if at <= self._as_of:
            return
        if self._applied is None or version > self._applied:
            self._unapplied = at, version
        elif era_of(version) == era_of(self._applied):
            # A restored store may lack what it had proved to have before.
            self._as_of = at

    def arrived_after(self, now):
        """Return the earliest moment at which a datagram just read may have arrived.

        Parameters
        ----------
        now : float
            Moment at which it was read.

        Returns
        -------
        float or None
            None after a stall of this process, until the socket has been drained.
        """
        if now - self._drained_at > MAX_DRAIN_GAP_S:
            return None
        return min(now, self._drained_at)

    def sent_at(self, process_id, built_at, now):
        """Return the earliest moment at which a datagram just read may have been sent.

        It may have waited in the socket since that was last empty, and in the network
        for as long as it took longer than others of the same process.

        Parameters
        ----------
        process_id : int
            The process that sent it.
        built_at : float
            Moment at which it was built, in seconds of the sender's clock.
        now : float
            Moment at which it was read.

        Returns
        -------
        float or None
            Seconds of the own clock; None as of `arrived_after`.
        """
        arrived_at = self.arrived_after(now)
        if arrived_at is None:
            return None
        return min(
            arrived_at, built_at + self._least_delay_s(process_id, now - built_at, now)
        )

    def _least_delay_s(self, process_id, delay_s, now):
        """Return the least delay of a process's reports.

        Delays include the difference of the two clocks. A former one that no longer
        holds, since clocks drift, is too small, or larger than the present one.
        """
        delays = self._delays.get(process_id)
        if delays is None:
            self._delays = {
                known: value
                for known, value in self._delays.items()
                if now - value[2] < MAX_SILENT_S
            }
            delays = self._delays[process_id] = [math.inf, math.inf, now]
        elif now - delays[2] > DELAY_WINDOW_S:
            delays[:] = math.inf, delays[0], now
        delays[0] = min(delays[0], delay_s)
        return min(delays[0], delays[1])


def create_freshness(monotonic):
    """Return the state of a process that has proved nothing yet.

    Parameters
    ----------
    monotonic
        As of `Freshness`.

    Returns
    -------
    Freshness
    """
    return Freshness(monotonic)
