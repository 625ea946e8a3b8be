"""How fast callers read, learned from the responses that fill their connections.

A stopping instance uses it to tell whether a response can still be sent completely.
"""

from collections import deque

__all__ = ["ReadingRates"]

MIN_OBSERVED_S = 0.2  # with less time between two looks, a rate says little
MIN_SIZE_BYTES = 128 * 1024  # the kernel takes smaller responses at once
MAX_AGE_S = 10.0  # of the rate of a response that was sent
MAX_SAMPLES = 200
SLOW_FRACTION = 0.1  # of the callers, which may be slower than the rate expected


class ReadingRates:
    """Rates of responses that are being sent, or were sent a short time ago.

    Parameters
    ----------
    monotonic : callable
        Clock in seconds.
    """

    def __init__(self, monotonic):
        self._monotonic = monotonic
        self._first_looks = {}
        self._rates = {}  # of responses that are being sent
        self._sent = deque(maxlen=MAX_SAMPLES)

    def observe(self, deliveries):
        """Look at the progress of responses that are being sent.

        Parameters
        ----------
        deliveries : iterable of Delivery
            The responses.
        """
        now = self._monotonic()
        for delivery in deliveries:
            read_bytes = delivery.connection.acknowledged_bytes()
            if read_bytes is None:
                self._rates[delivery] = delivery.sent_bytes / (now - delivery.ready)
                continue
            since, first_bytes = self._first_looks.setdefault(
                delivery, (now, read_bytes)
            )
            if now - since >= MIN_OBSERVED_S:
                self._rates[delivery] = (read_bytes - first_bytes) / (now - since)

    def record_sent(self, delivery):
        """Record that a response was sent completely, or given up.

        Parameters
        ----------
        delivery : Delivery
            The response.
        """
        now = self._monotonic()
        self._first_looks.pop(delivery, None)
        rate = self._rates.pop(delivery, None)
        if delivery.is_cut_off or delivery.sent_bytes < MIN_SIZE_BYTES:
            return
        if rate is None:
            rate = delivery.sent_bytes / max(1e-6, now - delivery.ready)
        self._sent.append((now, rate))

    def delivery_s(self, size):
        """Return the time in which a caller is expected to read a response.

        Parameters
        ----------
        size : int
            Bytes of the response.

        Returns
        -------
        float
            Seconds; 0 while nothing is known.
        """
        oldest = self._monotonic() - MAX_AGE_S
        while self._sent and self._sent[0][0] < oldest:
            self._sent.popleft()
        rates = sorted([*self._rates.values(), *(rate for _, rate in self._sent)])
        if not rates:
            return 0.0
        rate = rates[int(SLOW_FRACTION * len(rates))]
        return size / max(1.0, rate)
