"""The end of an instance on a signal: every response that was begun is delivered."""

import gevent

from quetzalwall.logs import get_logger, log_event

__all__ = ["finish_requests"]

MIN_STOP_FRACTION = 0.7  # of the grace period: a planned stop lasts at least this long
# Before the end of the grace period, at which the last connections are accepted, and at
# which the process begins to end.
FINAL_ACCEPT_S = 0.6
EXIT_S = 0.2
MAX_EXIT_FRACTION = 0.075  # of the grace period
STOP_POLL_S = 0.05
FINAL_REQUESTS_S = 0.1  # for requests on the connections that were accepted last
FINAL_ACCEPT_ROUNDS = 4  # each evicts idle connections so that others are accepted
LOG = get_logger("front")


def finish_requests(front, servers, grace_s):
    """Wait until all requests have been answered, at most the grace period.

    Parameters
    ----------
    front : Front
        The instance, which has begun to stop.
    servers : dict of str to NoDelayServer
        Its servers by the name of the listener; they accept no more connections
        afterwards.
    grace_s : float
        Length of the grace period, which begins now.
    """
    monotonic = front.clock.monotonic
    start = monotonic()
    end = start + grace_s - min(EXIT_S, MAX_EXIT_FRACTION * grace_s)
    last_accept = start + max(MIN_STOP_FRACTION * grace_s, grace_s - FINAL_ACCEPT_S)

    def is_busy():
        return any(server.open_requests for server in servers.values())

    gevent.sleep(MIN_STOP_FRACTION * grace_s)
    while is_busy() and monotonic() < last_accept:
        gevent.sleep(STOP_POLL_S)
    _serve_accept_queues(servers)
    handed_over = len(front.deliveries)
    front.deliveries.hand_over()
    gevent.sleep(FINAL_REQUESTS_S)
    while is_busy() and monotonic() < end:
        gevent.sleep(STOP_POLL_S / 2)
    for delivery in front.deliveries.record_cut_off_by_stop():
        log_event(
            LOG,
            "cut-off",
            "warning",
            req=delivery.connection.request_id,
            sent_bytes=delivery.sent_bytes,
            of_bytes=delivery.size,
            ready_s=monotonic() - delivery.ready,
        )
    log_event(
        LOG,
        "stopped",
        in_flight=front.in_flight,
        handed_over=handed_over,
        took_s=monotonic() - start,
    )


def _serve_accept_queues(servers):
    """Serve the callers that wait to be accepted, then stop accepting."""
    for _ in range(FINAL_ACCEPT_ROUNDS):
        for server in servers.values():
            if server.pool.free_count() == 0:
                server.idle.evict(server.pool, spare_fraction=1.0, min_idle_s=0.0)
        gevent.sleep(STOP_POLL_S)
    for server in servers.values():
        server.close()
