"""What callers get of endpoints whose answers are spoiled."""

from nose2.tools import params

from quetzalwall.process.tests.test_truncated_responses import Cutter, told
from quetzalwall.tests.platform_fixtures import running_site

NAME, STAMP = "X-Quetzalwall-Request-Id", "X-Quetzalwall-Server-Stamp"


# Callers were told "not run" of requests that ran, or these ran at a second endpoint.
@params("", "0123456789abcdef")
def test_an_earlier_refusal_written_once_more_refuses_nothing(named):
    with running_site() as site:
        for endpoint in site.endpoints:
            endpoint.behaviour["again"] = named
        for number in range(12):
            assert site.get(f"/book/{number}", method="POST")[0] == 200
        runs = [count for end in site.endpoints for count in end.runs.values()]
        assert runs == [1] * 12


# Callers that use an identity twice were told "not run" of the second request.
def test_an_earlier_refusal_of_the_same_identity_refuses_nothing():
    with running_site() as site:
        for endpoint in site.endpoints:
            endpoint.behaviour["again"] = "0123456789abcdef"
        sent = {"X_Quetzalwall_Request_Id": "0123456789abcdef"}
        for number in range(6):
            assert site.get(f"/book/{number}", method="POST", **sent)[0] == 200


@params("/look/1", "/book/1")
def test_a_refused_request_does_not_come_back_to_the_endpoint_that_refused(target):
    with running_site(endpoints=1) as site:
        (endpoint,) = site.endpoints
        endpoint.behaviour["shed"] = True
        assert site.get(target)[0] == 503
        assert len(endpoint.arrivals) == 1


# Success came to callers without the stamp, of a head that was empty but for its name.
@params("", "Content-Length: 0\r\n", f"{STAMP}: s\r\n{STAMP}: t\r\n")
def test_a_success_that_does_not_bear_one_stamp_is_none(lines):
    raw = f"HTTP/1.1 200 OK\r\n{NAME}: 0123456789abcdef\r\n{lines}\r\n"
    with running_site(endpoints=1) as site:
        cutter = Cutter(site)
        for target, method in (("/look/1", "GET"), ("/book/1", "POST")):
            status, got, _ = told(
                cutter.ask(raw.encode(), method=method, target=target)
            )
            assert status == 502
            assert not any(line.startswith(STAMP.encode()) for line in got)


# Callers were promised "not run" by statuses of endpoints that promised nothing.
@params(408, 429, 503)
def test_a_promise_is_passed_on_only_if_the_endpoint_made_it(status):
    raw = f"HTTP/1.1 {status} No\r\n{NAME}: 0123456789abcdef\r\n{STAMP}: s\r\n"
    raw = f"{raw}Content-Length: 0\r\n\r\n".encode()
    with running_site(endpoints=1) as site:
        cutter = Cutter(site)
        got, lines, _ = told(cutter.ask(raw, method="POST", target="/book/1"))
        assert got == 502
        assert not any(line.startswith(STAMP.encode()) for line in lines)


def test_an_answer_to_an_idempotent_request_keeps_its_status():
    raw = f"HTTP/1.1 429 No\r\n{NAME}: 0123456789abcdef\r\n{STAMP}: s\r\n"
    with running_site(endpoints=1) as site:
        got = Cutter(site).ask(f"{raw}Content-Length: 0\r\n\r\n".encode())
        assert told(got)[0] == 429


# Where a head stopped and another began, "not run" was said of what was answered.
def test_a_head_that_names_two_requests_refuses_neither():
    old = f"HTTP/1.1 503 No\r\nX-Quetzalwall-Request-Not-Run: 1\r\n{NAME}: a\r\nX-T: u"
    new = f"HTTP/1.1 200 OK\r\n{NAME}: 0123456789abcdef\r\n{STAMP}: s\r\n"
    raw = f"{old}{new}Content-Length: 0\r\n\r\n".encode()
    with running_site(endpoints=1) as site:
        got = Cutter(site).ask(raw, method="POST", target="/book/1")
        assert told(got)[0] == 502
