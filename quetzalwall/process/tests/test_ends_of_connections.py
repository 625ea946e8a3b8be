"""Ends of connections with requests ahead: stops, callers that leave, bad input."""

import socket

import gevent
import gevent.socket
import logbook
from nose2.tools import params

from quetzalwall.connection.pipeline import MAX_RUNNING
from quetzalwall.tests.platform_fixtures import wait_for
from quetzalwall.tests.sent_ahead_fixtures import (
    arrivals,
    book,
    collected_task_errors,
    connect,
    identities,
    look,
    read_all,
    read_responses,
    roomy_site,
    start_lookups,
)


def test_a_planned_stop_answers_all_lookups_under_way_on_a_connection():
    with roomy_site(1) as site:
        sock = start_lookups(site)
        stop = gevent.spawn(site.fronts[0].stop)
        responses = read_all(sock)
        assert [status for status, *_ in responses] == [200] * 8
        closing = ["connection" in headers for _, headers, *_ in responses]
        assert closing == [False] * 7 + [True]
        stop.join()


def test_a_planned_stop_does_not_pass_on_a_booking_behind_lookups():
    handler = logbook.TestHandler()
    with roomy_site(1) as site, handler.applicationbound():
        sock = start_lookups(site)
        sock.sendall(book("late") + look("later"))
        gevent.sleep(0.05)
        stop = gevent.spawn(site.fronts[0].stop)
        responses = read_all(sock)
        assert identities(responses) == [f"r{number}" for number in range(8)]
        assert responses[-1][1]["connection"] == "close"
        sock.close()
        stop.join()
        assert len(arrivals(site)) == 8
        lines = [record.message for record in handler.records]
        assert any("event=dropped req=late" in line for line in lines)
        assert b"quetzalwall_dropped_total 2.0" in site.fronts[0].metrics.render()


def test_nothing_behind_a_request_that_closes_the_connection_is_passed_on():
    with roomy_site(1, 0.1) as site:
        sock = connect(site)
        sock.sendall(look("a") + look("b", "Connection: close") + look("c") + book("d"))
        assert identities(read_all(sock)) == ["a", "b"]
        gevent.sleep(0.2)
        assert arrivals(site) == ["a", "b"]


# A look that finds bytes to read does not tell whether the caller has left behind them.
@params(2, 30)
def test_work_ahead_is_cancelled_and_counted_once_when_the_caller_leaves(count):
    with roomy_site(1, 1.5) as site:
        sock = connect(site)
        sock.sendall(b"".join(look(f"r{number}") for number in range(count)))
        under_way = min(count, MAX_RUNNING)
        wait_for(lambda: len(arrivals(site)) == under_way)
        sock.close()
        wait_for(lambda: site.endpoints[0].cancelled == under_way, 0.5)
        gevent.sleep(0.1)
        assert len(arrivals(site)) == under_way
        metrics = site.fronts[0].metrics.render().decode()
        line = 'outcome="caller-left",route="look",status="0"} ' + f"{under_way}.0"
        assert line in metrics
        assert site.fronts[0].in_flight == 0
        assert site.fronts[0].memory_budget.used_bytes == 0


# The instance reads requests before any of their tasks begins; the first task, or the
# end of the stream, then shows that the caller has left.
@params(8, 20)
def test_requests_whose_caller_left_before_they_began_leave_nothing_behind(count):
    with roomy_site() as site, collected_task_errors() as errors:
        assert site.get("/look/1")[0] == 200
        address = (site.fronts[0].settings.address, site.ports[0])
        # A blocking socket: the instance, in the same process, can't read meanwhile.
        with socket.create_connection(address) as sock:
            sock.sendall(b"".join(look(f"r{number}") for number in range(count)))
        gevent.sleep(0.3)
        assert not errors
        assert len(arrivals(site)) == 1
        assert site.fronts[0].memory_budget.used_bytes == 0
        assert site.fronts[0].in_flight == 0


def test_malformed_bytes_behind_good_requests_get_400_after_their_responses():
    with roomy_site(1, 0.1) as site:
        sock = connect(site)
        sock.sendall(look("a") + look("b") + b"no request\r\n\r\n" + look("c"))
        responses = read_all(sock)
        assert [status for status, *_ in responses] == [200, 200, 400]
        assert responses[-1][1]["connection"] == "close"
        assert arrivals(site) == ["a", "b"]


def test_an_idle_connection_is_evicted_only_once_all_its_responses_are_out():
    with roomy_site(1, 0.2) as site:
        idle = site.fronts[0]._servers["callers"].idle
        sock = connect(site)
        wait_for(lambda: len(idle) == 1)
        sock.sendall(look("a") + look("b"))
        wait_for(lambda: len(arrivals(site)) == 2)
        assert len(idle) == 0
        read_responses(sock, 2)
        wait_for(lambda: len(idle) == 1)
