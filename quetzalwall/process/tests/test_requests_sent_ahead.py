"""Requests that a caller sends before the earlier ones have been answered."""

import itertools
import time
from collections import Counter

import gevent
import gevent.socket
import logbook
from hypothesis import given, settings
from hypothesis import strategies as st
from nose2.tools import params

from quetzalwall.connection.pipeline import MAX_RUNNING, MAX_WAITING_BYTES
from quetzalwall.tests.platform_fixtures import (
    config_body,
    route_row,
    running_site,
    wait_for,
)
from quetzalwall.tests.sent_ahead_fixtures import (
    SLOTS,
    WORK_S,
    arrivals,
    book,
    connect,
    identities,
    look,
    read_response,
    read_responses,
    request,
    roomy_site,
)


# Four look-ups of 0.5 s in one write were answered after 0.5, 1.0, 1.5 and 2.0 s.
def test_lookups_sent_ahead_are_served_side_by_side():
    with roomy_site(1, WORK_S) as site:
        start = time.monotonic()
        sock = connect(site)
        sock.sendall(b"".join(look(f"r{number}") for number in range(4)))
        responses = read_responses(sock, 4)
        assert identities(responses) == ["r0", "r1", "r2", "r3"]
        assert responses[-1][3] - start < 0.6
        sent_ms = [
            int(headers["x-quetzalwall-deadline-ms"])
            for _, headers in site.endpoints[0].arrivals
        ]
        assert min(sent_ms) > 1800


def test_responses_follow_in_the_order_of_requests_whichever_is_ready_first():
    with roomy_site(2) as site:
        site.endpoints[0].behaviour["slow_s"] = 0.4
        sock = connect(site)
        sent = [f"r{number}" for number in range(12)]
        sock.sendall(b"".join(look(sent_id) for sent_id in sent))
        responses = read_responses(sock, len(sent))
        assert identities(responses) == sent
        names = {body.split()[0] for _, _, body, _ in responses}
        assert len(names) == 2
        assert [
            headers["x-quetzalwall-request-id"] for _, headers, *_ in responses
        ] == (sent)


def test_a_booking_waits_for_earlier_responses_and_nothing_overtakes_it():
    with roomy_site(1, 0.2) as site:
        sock = connect(site)
        sock.sendall(look("a") + look("b") + book("c", b"body") + look("d") + look("e"))
        responses = read_responses(sock, 5)
        assert identities(responses) == ["a", "b", "c", "d", "e"]
        times = dict(zip(arrivals(site), site.endpoints[0].arrival_times, strict=True))
        assert times["b"] - times["a"] < 0.1
        assert times["c"] - times["b"] >= 0.19
        assert times["d"] - times["c"] >= 0.19
        assert times["e"] - times["d"] < 0.1
        assert responses[2][2].split()[2] == b"4"


def test_only_requests_that_waited_for_others_are_logged_as_delayed():
    handler = logbook.TestHandler()
    with roomy_site(work_s=0.05) as site, handler.applicationbound():
        tasks = [gevent.spawn(site.get, "/look/1") for _ in range(20)]
        gevent.joinall(tasks)
        sock = connect(site)
        sock.sendall(look("a") + book("b"))
        read_responses(sock, 2)
    lines = [r.message for r in handler.records if "event=in-turn" in r.message]
    assert [line.partition("req=")[2].split()[0] for line in lines] == ["b"]


def test_the_deadline_of_a_booking_counts_from_its_arrival():
    with roomy_site(1, 0.4) as site:
        sock = connect(site)
        sock.sendall(look("a") + book("b"))
        read_responses(sock, 2)
        headers = dict(site.endpoints[0].arrivals)["b"]
        assert int(headers["x-quetzalwall-deadline-ms"]) <= 1650


def test_a_booking_whose_time_has_passed_behind_others_is_not_sent():
    with roomy_site(1, 0.4) as site:
        sock = connect(site)
        late = request("b", "POST", "/book/1", b"", "X-Quetzalwall-Deadline-Ms: 200")
        sock.sendall(look("a") + late)
        responses = read_responses(sock, 2)
        assert [status for status, *_ in responses] == [200, 503]
        assert responses[1][3] - responses[0][3] < 0.1
        assert arrivals(site) == ["a"]


def test_no_more_than_the_maximum_runs_at_once_on_a_connection():
    with roomy_site(1, 0.3, slots=2 * SLOTS) as site:
        sock = connect(site)
        sock.sendall(b"".join(look(f"r{number}") for number in range(2 * MAX_RUNNING)))
        gevent.sleep(0.2)
        assert len(arrivals(site)) == MAX_RUNNING
        read_responses(sock, 2 * MAX_RUNNING)


# One slow look-up before many large ones would fill the memory of the instance.
def test_large_responses_behind_a_slow_one_share_a_limit_of_memory():
    with roomy_site(2) as site:
        front, (slow, fast) = site.fronts[0], site.endpoints
        rows = [
            route_row("look", "/look/"),
            route_row("slow", "/slow/", service="slow"),
        ]
        site.write_config(config_body(2, rows, ("desk", "slow")))
        site.register(slow, service="slow", slots=SLOTS)
        states = front.endpoints
        wait_for(lambda: states.get("ep-0").entry.service == "slow")
        wait_for(lambda: front.cluster_state.configuration().version == 2)
        slow.behaviour["slow_s"] = 1.0
        fast.behaviour["longer"] = 500_000
        sock = connect(site)
        sock.sendall(request("first", target="/slow/1"))
        sock.sendall(b"".join(look(f"r{number}") for number in range(100)))
        wait_for(lambda: slow.runs)
        peak = 0
        while not slow.responded_ids:
            peak = max(peak, front.memory_budget.used_bytes)
            gevent.sleep(0.01)
        assert MAX_WAITING_BYTES < peak < 2 * MAX_WAITING_BYTES + 16 * 40_000, peak
        assert identities(read_responses(sock, 101)) == [
            "first",
            *(f"r{number}" for number in range(100)),
        ]
        wait_for(lambda: front.memory_budget.used_bytes == 0)


def test_requests_ahead_leave_half_of_the_memory_budget_to_bodies():
    with roomy_site(work_s=0.3) as site:
        budget = site.fronts[0].memory_budget
        budget.capacity = 200_000
        sock = connect(site)
        sock.sendall(b"".join(look(f"r{number}") for number in range(8)))
        gevent.sleep(0.15)
        assert 0 < budget.used_bytes <= 100_000
        assert 1 < len(arrivals(site)) < 8
        assert identities(read_responses(sock, 8)) == [f"r{n}" for n in range(8)]
        wait_for(lambda: budget.used_bytes == 0)


def test_a_request_line_in_pieces_is_served_beside_the_requests_before_it():
    with roomy_site(1, 0.3) as site:
        sock = connect(site)
        start = time.monotonic()
        for byte in look("a") + look("b") + look("c"):
            sock.sendall(bytes([byte]))
        assert identities(read_responses(sock, 3)) == ["a", "b", "c"]
        assert time.monotonic() - start < 0.8


@params("length", "chunked", "expect")
def test_a_lookup_with_a_body_runs_beside_others_and_keeps_the_order(kind):
    lines = {
        "length": ["Content-Length: 4"],
        "chunked": ["Transfer-Encoding: chunked"],
        "expect": ["Expect: 100-continue", "Content-Length: 4"],
    }[kind]
    body = b"4\r\nbody\r\n0\r\n\r\n" if kind == "chunked" else b"body"
    with roomy_site(1, 0.2) as site:
        sock = connect(site)
        middle = request("b", "GET", "/look/1", body, *lines)
        sock.sendall(look("a") + middle + look("c"))
        reader = sock.makefile("rb")
        responses = []
        while len(responses) < 3:
            response = read_response(reader)
            if response[0] == 100:
                assert len(responses) == 1  # behind the response before it
                continue
            responses.append((*response, 0.0))
        assert identities(responses) == ["a", "b", "c"]
        assert responses[1][2].split()[2] == b"4"
        times = dict(zip(arrivals(site), site.endpoints[0].arrival_times, strict=True))
        assert (times["b"] - times["a"] < 0.1) == (kind != "expect")


def test_many_requests_in_one_write_are_answered_in_order():
    with running_site(endpoints=1) as site:
        sock = connect(site)
        count = 10_000
        raw = b"".join(request(f"r{n}", "GET", f"/none/{n}") for n in range(count))
        sender = gevent.spawn(sock.sendall, raw)
        reader = sock.makefile("rb")
        for number in range(count):
            status, _, body = read_response(reader)
            assert status == 404 and body.endswith(f"/none/{number}\n".encode()), body
        sender.get()


def test_a_caller_that_reads_slowly_gets_all_responses_complete():
    with roomy_site(1) as site:
        site.endpoints[0].behaviour["longer"] = 300_000
        sock = connect(site, receive_bytes=4096)
        sock.sendall(b"".join(look(f"r{number}") for number in range(6)))
        first = b""
        for _ in range(3):  # a byte a second
            gevent.sleep(1.0)
            first += sock.recv(1)
        assert first == b"HTT"
        assert site.get("/look/1")[0] == 200
        reader = sock.makefile("rb")
        for number in range(6):
            head = reader.readline()
            assert head.endswith(b"200 OK\r\n")
            while (line := reader.readline().strip()) != b"":
                if line.lower().startswith(b"content-length"):
                    length = int(line.split(b":")[1])
            assert reader.read(length).split()[1] == f"r{number}".encode()


KINDS = {
    "look": lambda sent_id: look(sent_id),
    "book": lambda sent_id: book(sent_id, b"four"),
    "none": lambda sent_id: request(sent_id, target="/none/1"),
    "chunked": lambda sent_id: request(
        sent_id, "GET", "/look/1", b"1\r\nx\r\n0\r\n\r\n", "Transfer-Encoding: chunked"
    ),
}
STATUS_OF_KIND = {"look": 200, "book": 200, "none": 404, "chunked": 200}


def test_any_mixture_of_requests_cut_anywhere_is_answered_in_order():
    with roomy_site(2, work_s=0.001) as site:
        site.endpoints[0].behaviour["slow_s"] = 0.02
        numbers = itertools.count()

        @settings(max_examples=40, deadline=None)
        @given(
            st.lists(st.sampled_from(list(KINDS)), min_size=1, max_size=24),
            st.lists(st.integers(1, 400), max_size=12),
        )
        def check(kinds, cuts):
            sent = [(kind, f"r{next(numbers)}") for kind in kinds]
            raw = b"".join(KINDS[kind](sent_id) for kind, sent_id in sent)
            sock = connect(site)
            for size in cuts:
                sock.sendall(raw[:size])
                raw = raw[size:]
                gevent.sleep(0)
            sock.sendall(raw)
            found = read_responses(sock, len(sent))
            sock.close()
            for (kind, sent_id), (status, headers, _, _) in zip(
                sent, found, strict=True
            ):
                assert status == STATUS_OF_KIND[kind]
                if status == 200:
                    assert headers["x-quetzalwall-request-id"] == sent_id
            runs = Counter()
            for endpoint in site.endpoints:
                runs.update(endpoint.runs)
            assert all(runs[i] == 1 for kind, i in sent if kind == "book")

        check()
        wait_for(lambda: site.fronts[0].memory_budget.used_bytes == 0)
        assert site.fronts[0].in_flight == 0
