import gevent
import gevent.event
from nose2.tools import params

from quetzalwall.tests.platform_fixtures import running_site, wait_for

LOOK, BOOK = ("GET", "/look/1"), ("POST", "/book/1")


def routable(front):
    return [state.name for state in front.endpoints.routable_endpoints("desk")]


def take_out(site, how):
    if how == "draining":
        site.register(site.endpoints[0], state="draining")
    elif how == "removed":
        site.store.put("servers", "ep-0", None)
    else:
        site.store.put("op", "evacuate/north-a", b"{}")


# DRAIN: a request that was waiting for a connection when its endpoint was drained,
# removed or evacuated was still sent there, up to 0.6 s later.
@params(("draining", LOOK), ("draining", BOOK), ("removed", BOOK), ("evacuated", BOOK))
def test_a_request_that_waits_for_a_connection_is_not_sent_to_a_draining_endpoint(
    how, request
):
    method, target = request
    with running_site(endpoints=2) as site:
        front, (draining, other) = site.fronts[0], site.endpoints
        site.register(other, domain="north-b", state="draining")
        wait_for(lambda: routable(front) == ["ep-0"])
        client = front.endpoints.get("ep-0").client
        acquire, waiting = client.acquire, gevent.event.Event()

        def acquire_slowly(idempotent, request_id):
            waiting.set()
            gevent.sleep(0.9)
            return acquire(idempotent, request_id)

        client.acquire = acquire_slowly
        # Nothing has been sent, so the next attempt does not count as a retry.
        front.limits.retry_budget.try_acquire = lambda *args: False
        running = gevent.spawn(site.get, target, 0, method)
        assert waiting.wait(2.0)
        site.register(other, domain="north-b")
        take_out(site, how)
        wait_for(lambda: routable(front) == ["ep-1"], 0.8)
        assert running.get(timeout=2.0)[0] == 200
        assert not draining.arrivals
        assert len(other.arrivals) == 1
        assert not front.endpoints.get("ep-0") or not front.endpoints.get(
            "ep-0"
        ).avoided(front.clock.monotonic())
