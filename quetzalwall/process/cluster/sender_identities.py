"""Who the senders of reports are that do not name them."""

__all__ = ["SenderIdentities"]


class SenderIdentities:
    """The peers by the process whose reports named them."""

    def __init__(self):
        self._infos = {}

    def identify(self, report):
        """Return the sender of a report.

        Parameters
        ----------
        report : PeerReport
            The report.

        Returns
        -------
        PeerInfo or None
            None if no report of this process has named its sender yet.
        """
        return report.sender or self._infos.get(report.process_id)

    def replace(self, former_process_id, report):
        """Remember the sender of a new process in place of that of a former one.

        Parameters
        ----------
        former_process_id : int or None
            The process before the one that the new process has replaced; None if there
            was none.
        report : PeerReport
            The first report of the new process, which names its sender.
        """
        self._infos.pop(former_process_id, None)
        self._infos[report.process_id] = report.sender
