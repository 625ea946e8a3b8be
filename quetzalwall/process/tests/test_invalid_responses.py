"""What callers get from endpoints whose responses are invalid or misleading."""

from nose2.tools import params

from quetzalwall.process.tests.test_truncated_responses import (
    ScriptedEndpoint,
    parse_complete,
)
from quetzalwall.tests.platform_fixtures import running_site

REQUEST_ID, STAMP = "X-Quetzalwall-Request-Id", "X-Quetzalwall-Server-Stamp"


# An endpoint sent an earlier rejection again before its response: requests that ran
# were reported as "not run", or ran again at a second endpoint.
@params("", "0123456789abcdef")
def test_a_repeated_earlier_rejection_rejects_nothing(request_id):
    with running_site() as site:
        for endpoint in site.endpoints:
            endpoint.behaviour["again"] = request_id
        for number in range(12):
            assert site.get(f"/book/{number}", method="POST")[0] == 200
        runs = [count for ep in site.endpoints for count in ep.runs.values()]
        assert runs == [1] * 12


# The second of two requests with the same request id was reported as "not run".
def test_an_earlier_rejection_of_the_same_request_id_rejects_nothing():
    with running_site() as site:
        for endpoint in site.endpoints:
            endpoint.behaviour["again"] = "0123456789abcdef"
        headers = {"X_Quetzalwall_Request_Id": "0123456789abcdef"}
        for number in range(6):
            assert site.get(f"/book/{number}", method="POST", **headers)[0] == 200


@params("/look/1", "/book/1")
def test_a_rejected_request_is_not_retried_at_the_endpoint_that_rejected_it(target):
    with running_site(endpoints=1) as site:
        (endpoint,) = site.endpoints
        endpoint.behaviour["shed"] = True
        assert site.get(target)[0] == 503
        assert len(endpoint.arrivals) == 1


# Callers got a success without a stamp: its head had no header but the request id.
@params("", "Content-Length: 0\r\n", f"{STAMP}: s\r\n{STAMP}: t\r\n")
def test_a_success_without_exactly_one_stamp_is_an_error(lines):
    raw = f"HTTP/1.1 200 OK\r\n{REQUEST_ID}: 0123456789abcdef\r\n{lines}\r\n"
    with running_site(endpoints=1) as site:
        endpoint = ScriptedEndpoint(site)
        for target, method in (("/look/1", "GET"), ("/book/1", "POST")):
            status, headers, _ = parse_complete(
                endpoint.relay(raw.encode(), method=method, target=target)
            )
            assert status == 502
            assert not any(line.startswith(STAMP.encode()) for line in headers)


# Callers concluded "not run" from statuses of endpoints that had not reported so.
@params(408, 429, 503)
def test_not_run_is_passed_on_only_if_the_endpoint_reported_it(status):
    raw = f"HTTP/1.1 {status} No\r\n{REQUEST_ID}: 0123456789abcdef\r\n{STAMP}: s\r\n"
    raw = f"{raw}Content-Length: 0\r\n\r\n".encode()
    with running_site(endpoints=1) as site:
        endpoint = ScriptedEndpoint(site)
        got, headers, _ = parse_complete(
            endpoint.relay(raw, method="POST", target="/book/1")
        )
        assert got == 502
        assert not any(line.startswith(STAMP.encode()) for line in headers)


def test_a_response_to_an_idempotent_request_keeps_its_status():
    raw = f"HTTP/1.1 429 No\r\n{REQUEST_ID}: 0123456789abcdef\r\n{STAMP}: s\r\n"
    with running_site(endpoints=1) as site:
        received = ScriptedEndpoint(site).relay(
            f"{raw}Content-Length: 0\r\n\r\n".encode()
        )
        assert parse_complete(received)[0] == 429


# A truncated head ran into the next one: a request that had been served was reported as
# "not run".
def test_a_head_with_two_request_ids_rejects_neither_request():
    old = (
        "HTTP/1.1 503 No\r\nX-Quetzalwall-Request-Not-Run: 1\r\n"
        f"{REQUEST_ID}: a\r\nX-T: u"
    )
    new = f"HTTP/1.1 200 OK\r\n{REQUEST_ID}: 0123456789abcdef\r\n{STAMP}: s\r\n"
    raw = f"{old}{new}Content-Length: 0\r\n\r\n".encode()
    with running_site(endpoints=1) as site:
        received = ScriptedEndpoint(site).relay(raw, method="POST", target="/book/1")
        assert parse_complete(received)[0] == 502


# Callers got the status 600 or, for 000, 504 after the deadline; such bytes are not a
# response, so an idempotent request goes to another endpoint, and any other gets 502.
@params(
    ("000 No", ""), ("600 No", ""), ("200 OK", "A b: c\r\n"), ("200 OK", "A : c\r\n")
)
def test_bytes_that_are_not_a_response_are_not_passed_on(status, field):
    head = f"HTTP/1.1 {status}\r\n{REQUEST_ID}: 0123456789abcdef\r\n{STAMP}: s\r\n"
    raw = f"{head}{field}Content-Length: 2\r\n\r\nok".encode()
    with running_site(endpoints=1) as site:
        endpoint = ScriptedEndpoint(site)
        received = endpoint.relay(raw, method="POST", target="/book/1")
        assert parse_complete(received)[0] == 502
    with running_site(endpoints=2) as site:
        endpoint = ScriptedEndpoint(site)
        for number in range(20):
            received = endpoint.relay(raw, target=f"/look/{number}")
            assert parse_complete(received)[0] == 200
