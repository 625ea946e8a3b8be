import gevent
import gevent.event
from nose2.tools import params

from quetzalwall.tests.platform_fixtures import running_site, wait_for

LOOK, BOOK = ("GET", "/look/1"), ("POST", "/book/1")


def usable(front):
    return [state.name for state in front.endpoints.routable_endpoints("desk")]


def tell(site, news):
    if news == "draining":
        site.register(site.endpoints[0], state="draining")
    elif news == "removed":
        site.store.put("servers", "ep-0", None)
    else:
        site.store.put("op", "evacuate/north-a", b"{}")


# DRAIN: a request that waited for a connection when the news came that its endpoint
# leaves was sent there all the same, up to 0.6 s later.
@params(("draining", LOOK), ("draining", BOOK), ("removed", BOOK), ("evacuated", BOOK))
def test_a_request_that_waits_for_a_connection_is_not_sent_to_a_leaving_endpoint(
    news, request
):
    method, target = request
    with running_site(endpoints=2) as site:
        front, (leaving, other) = site.fronts[0], site.endpoints
        site.register(other, domain="north-b", state="draining")
        wait_for(lambda: usable(front) == ["ep-0"])
        client = front.endpoints.get("ep-0").client
        take, waiting = client.acquire, gevent.event.Event()

        def take_slowly(idempotent, request_id):
            waiting.set()
            gevent.sleep(0.9)
            return take(idempotent, request_id)

        client.acquire = take_slowly
        # Nothing has been sent, so that the next attempt is no retry.
        front.limits.retry_budget.try_acquire = lambda *args: False
        running = gevent.spawn(site.get, target, 0, method)
        assert waiting.wait(2.0)
        site.register(other, domain="north-b")
        tell(site, news)
        wait_for(lambda: usable(front) == ["ep-1"], 0.8)
        assert running.get(timeout=2.0)[0] == 200
        assert not leaving.arrivals
        assert len(other.arrivals) == 1
        assert not front.endpoints.get("ep-0") or not front.endpoints.get(
            "ep-0"
        ).avoided(front.clock.monotonic())
