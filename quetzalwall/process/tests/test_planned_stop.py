import gevent
import logbook

from quetzalwall.tests.platform_fixtures import (
    config_body,
    route_row,
    running_site,
    wait_for,
)


# A request at work when the grace ended got the library's 500, and no line in the log.
def test_a_request_at_work_at_the_end_of_the_grace_ends_as_unknown():
    lines = logbook.TestHandler()
    with running_site(endpoints=1) as site, lines.applicationbound():
        front = site.fronts[0]
        rows = [route_row("book", "/book/", "unsafe", timeout="8s")]
        site.write_config(config_body(2, rows))
        wait_for(lambda: front.knowledge.configuration().version == 2)
        site.endpoints[0].behaviour["hang"] = True
        running = gevent.spawn(site.get, "/book/1", 0, "POST")
        gevent.sleep(0.2)
        front.stop()
        status, _, body = running.get(timeout=2.0)
        assert status == 504 and b"the instance stopped" in body
        ended = [r.message for r in lines.records if "event=finished" in r.message]
        assert "outcome=unknown status=504" in ended[-1]
