"""Admit the requests of client accounts within their allotments."""

import gevent

from quetzalwall.request.choice import FAIRNESS, OVERLOAD
from quetzalwall.request.request import NOT_RUN_OUTCOMES
from quetzalwall.request.send_checks import check_caller_connected

__all__ = ["OVER_ALLOTMENT", "AccountAdmission", "create_account_admission"]

OVER_ALLOTMENT = "over allotment"  # reason of the rejection
ADMITTED = "admitted"


class AccountAdmission:
    """Asks the allotments, and returns the credit of requests that are not run.

    Parameters
    ----------
    allotments : Allotments
        Limits the requests of each account.
    metrics : FrontMetrics
        Counters.
    monotonic : callable
        Clock in seconds.
    """

    def __init__(self, allotments, metrics, monotonic):
        self._allotments = allotments
        self._metrics = metrics
        self._monotonic = monotonic

    def admit(self, req):
        """Admit a request, or return why it is rejected.

        A rejection that may be due only to reports that have not arrived yet is decided
        once more when they should have, within 0.3 s.

        Parameters
        ----------
        req : Request
            The request; one without an account is admitted.

        Returns
        -------
        (float, dict) or None
            Seconds until capacity is expected, and the figures of the decision; None if
            the request is admitted.

        Raises
        ------
        CallerLeft
            The caller disconnected meanwhile.
        """
        if req.account is None:
            return None
        account, now = req.account, self._monotonic()
        wait_s = self._allotments.try_admit(account, now)
        if wait_s is not None:
            undecided_s = self._allotments.undecided_s(account, now)
            if 0 < undecided_s < req.deadline - now:
                gevent.sleep(undecided_s)
                check_caller_connected(req)
                now = self._monotonic()
                wait_s = self._allotments.try_admit(account, now)
        if wait_s is None:
            self._metrics.record_account(account.name, ADMITTED)
            return None
        self._metrics.record_account(account.name, OVER_ALLOTMENT)
        figures = self._allotments.status(account.name, now) or {}
        return wait_s, {"account": account.name, **figures}

    def explain_rejection(self, req, rejection, over_share):
        """Return the rejection of a request with its cause, if that is its account.

        Parameters
        ----------
        req : Request
            The request.
        rejection : Rejection
            Why no endpoint was chosen.
        over_share : bool
            Whether the request is beyond its account's share of the service.

        Returns
        -------
        Rejection
        """
        if not over_share or rejection.reason != OVERLOAD:
            return rejection
        if req.account is not None:
            self._metrics.record_account(req.account.name, FAIRNESS)
        return rejection._replace(reason=FAIRNESS)

    def record_result(self, req, result):
        """Return the credit of a request that no endpoint has run.

        Parameters
        ----------
        req : Request
            The request.
        result : RequestResult
            Its result.
        """
        if req.account is not None and result.outcome in NOT_RUN_OUTCOMES:
            self._allotments.give_back(req.account, self._monotonic())


def create_account_admission(allotments, metrics, monotonic):
    """Return the admission of requests of accounts.

    Parameters
    ----------
    allotments, metrics, monotonic
        As of `AccountAdmission`.

    Returns
    -------
    AccountAdmission
    """
    return AccountAdmission(allotments, metrics, monotonic)
