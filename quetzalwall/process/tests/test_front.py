"""Instances on the platform, with a store and endpoints, end to end."""

import time
from contextlib import ExitStack

import gevent
import gevent.socket
import msgspec
from nose2.tools import params

from quetzalwall.clock import Clock
from quetzalwall.connection.http_server import create_server
from quetzalwall.tests.platform_fixtures import (
    HOST,
    call,
    config_body,
    entry_body,
    route_row,
    running_site,
    start_front,
    wait_for,
)

DEADLINE = "X_Quetzalwall_Deadline_Ms"


def look_up(front, ports, region="north"):
    address = front.settings.address
    status, _, body = call(address, ports[3], f"/resolve?name={HOST}&region={region}")
    return status, msgspec.json.decode(body)


def test_a_request_is_forwarded_and_its_response_passed_back_unchanged():
    with running_site() as site:
        status, headers, body = site.get("/look/1?a=%20b")
        assert status == 200
        arrivals = site.endpoints[0].arrivals + site.endpoints[1].arrivals
        request_id, forwarded = arrivals[0]
        assert headers["X-Quetzalwall-Server-Stamp"] == f"stamp-of-{request_id}"
        assert headers["X-Quetzalwall-Request-Id"] == request_id
        assert body.split()[1].decode() == request_id
        assert 0 < int(forwarded["x-quetzalwall-deadline-ms"]) <= 2000
        assert forwarded["host"] == HOST


def test_the_remaining_time_until_the_deadline_is_forwarded():
    with running_site(endpoints=1) as site:
        site.get("/look/1", **{DEADLINE: "700"})
        remaining_ms = int(
            site.endpoints[0].arrivals[0][1]["x-quetzalwall-deadline-ms"]
        )
        assert 500 < remaining_ms <= 700


# The instance's clock also advances while the machine is suspended. Arrivals that were
# taken from another clock lay in the past then, and all requests were "too late".
@params(3600.0, -3600.0)
def test_deadlines_are_measured_with_the_clock_of_the_instance(ahead_s):
    clock = Clock(lambda: time.monotonic() + ahead_s, time.time)
    with running_site(endpoints=1) as site, ExitStack() as stack:
        front = start_front(stack, site, 1, clock=clock)
        wait_for(front.cluster_state.ready)
        address = front.settings.address
        status, _, _ = call(address, site.ports[0], "/look/1", **{DEADLINE: "700"})
        assert status == 200
        headers = site.endpoints[0].arrivals[-1][1]
        assert 500 < int(headers["x-quetzalwall-deadline-ms"]) <= 700


def test_a_missing_route_and_a_missing_configuration_differ_in_status():
    with running_site() as site:
        assert site.get("/none/1")[0] == 404
        site.fronts[0].cluster_state._cfg = None
        status, headers, _ = site.get("/look/1")
        assert status == 503 and 0 < float(headers["Retry-After"]) <= 1


def test_a_new_configuration_is_active_soon_and_an_old_one_never_again():
    with running_site(fronts=2) as site:
        rows = [route_row("new", "/new/")]
        site.write_config(config_body(2, rows))
        start = time.monotonic()
        wait_for(lambda: all(site.get("/new/1", n)[0] == 200 for n in (0, 1)))
        assert time.monotonic() - start < 2.5
        site.write_config(config_body(1))
        gevent.sleep(0.6)
        assert site.get("/new/1")[0] == 200
        wait_for(lambda: site.get("/look/1")[0] == 404)


def test_a_draining_endpoint_gets_no_new_requests():
    with running_site() as site:
        site.register(site.endpoints[0], state="draining")
        front = site.fronts[0]
        wait_for(lambda: len(front.endpoints.routable_endpoints("desk")) == 1)
        before = len(site.endpoints[0].arrivals)
        for _ in range(20):
            assert site.get("/look/1")[0] == 200
        assert len(site.endpoints[0].arrivals) == before


@params("lose", "cut", "hang")
def test_a_request_that_is_not_idempotent_runs_once_despite_faults(fault):
    with running_site() as site:
        for endpoint in site.endpoints:
            endpoint.behaviour[fault] = True
        for _ in range(6):
            status, _, _ = site.get("/book/1", method="POST", **{DEADLINE: "300"})
            assert status in (502, 504)
        for endpoint in site.endpoints:
            assert all(count == 1 for count in endpoint.runs.values())
        assert sum(len(endpoint.runs) for endpoint in site.endpoints) == 6


def test_an_idempotent_request_is_retried_at_another_endpoint_after_a_lost_response():
    with running_site() as site:
        site.endpoints[0].behaviour["lose"] = True
        for _ in range(6):
            assert site.get("/look/1")[0] == 200


def test_not_run_is_never_reported_for_a_request_that_may_have_run():
    with running_site() as site:
        site.endpoints[0].behaviour["lose"] = True
        site.endpoints[1].behaviour["shed"] = True
        for _ in range(8):
            status, _, _ = site.get("/look/1")
            runs = sum(len(endpoint.runs) for endpoint in site.endpoints)
            assert status == 502 or not runs, (status, runs)
            site.endpoints[0].runs.clear()


def test_a_failure_of_an_endpoint_is_passed_on_or_retried_elsewhere():
    with running_site() as site:
        for endpoint in site.endpoints:
            endpoint.behaviour["error"] = True
            for _ in range(6):
                assert site.get("/look/1")[0] == 200
            endpoint.behaviour.clear()
            gevent.sleep(0.6)  # until it is no longer avoided
        for endpoint in site.endpoints:
            endpoint.behaviour["error"] = True
        status, headers, _ = site.get("/book/1", method="POST")
        assert status == 500 and "X-Quetzalwall-Server-Stamp" in headers
        assert site.get("/look/1")[0] == 500


def test_not_run_is_reported_only_if_no_endpoint_ran_the_request():
    with running_site() as site:
        for endpoint in site.endpoints:
            endpoint.behaviour["shed"] = True
        status, headers, _ = site.get("/book/1", method="POST")
        assert status == 503
        assert float(headers["Retry-After"]) > 0
        assert "X-Quetzalwall-Server-Stamp" not in headers
        assert not any(endpoint.runs for endpoint in site.endpoints)


def test_a_request_for_another_endpoint_at_a_reused_address_goes_elsewhere():
    with running_site() as site:
        site.endpoints[0].behaviour["other"] = "ep-9"
        for _ in range(8):
            assert site.get("/book/1", method="POST")[0] == 200
        assert not site.endpoints[0].runs
        assert len(site.endpoints[0].arrivals) <= 1


def test_the_time_out_of_the_route_applies_before_a_later_deadline():
    with running_site() as site:
        for endpoint in site.endpoints:
            endpoint.behaviour["hang"] = True
        rows = [route_row("look", "/look/", timeout="400ms")]
        site.write_config(config_body(2, rows))
        front = site.fronts[0]
        wait_for(lambda: front.cluster_state.configuration().version == 2)
        start = time.monotonic()
        status, _, _ = site.get("/look/1", **{DEADLINE: "5000"})
        assert status == 504
        assert time.monotonic() - start < 0.9


def test_a_planned_stop_completes_requests_in_flight_and_rejects_late_ones():
    with running_site(fronts=2) as site:
        first, second = site.fronts
        for endpoint in site.endpoints:
            endpoint.behaviour["slow_s"] = 0.6
        running = [gevent.spawn(site.get, "/book/1", 0, "POST") for _ in range(4)]
        gevent.sleep(0.1)
        stop = gevent.spawn(first.stop)
        gevent.sleep(0.1)
        address = first.settings.address
        assert call(address, site.ports[1], "/ready")[0] == 503
        wait_for(lambda: len(second.fleet.live()) == 1)
        _, body = look_up(second, site.ports)
        assert body["addresses"] == [f"{second.settings.address}:{site.ports[0]}"]
        gevent.joinall(running)
        assert [task.value[0] for task in running] == [200] * 4
        assert first._grace.end - time.monotonic() < 1.5  # of the route's 2 s
        status, headers, _ = site.get("/book/1", method="POST")
        assert status == 503 and headers["Connection"] == "close"
        stop.join()


def test_a_planned_stop_waits_for_a_long_request():
    with running_site() as site:
        for endpoint in site.endpoints:
            endpoint.behaviour["slow_s"] = 1.5  # longer than the shortest stop, 1.4 s
        running = gevent.spawn(site.get, "/book/1", 0, "POST")
        gevent.sleep(0.05)
        site.fronts[0].stop()
        running.join()
        assert running.value[0] == 200


def test_an_unresponsive_instance_is_left_out_of_look_ups():
    with running_site(fronts=2) as site:
        assert len(look_up(site.fronts[0], site.ports)[1]["addresses"]) == 2
        site.fronts[1].fleet.close()
        wait_for(lambda: len(look_up(site.fronts[0], site.ports)[1]["addresses"]) == 1)


def test_look_ups_prefer_the_callers_region():
    with running_site(fronts=3) as site:
        south = f"{site.fronts[2].settings.address}:{site.ports[0]}"
        status, body = look_up(site.fronts[0], site.ports, "south")
        assert (status, body["addresses"]) == (200, [south])
        assert len(look_up(site.fronts[0], site.ports, "east")[1]["addresses"]) == 3


def test_an_instance_starts_from_a_peer_while_the_store_is_down():
    with ExitStack() as stack, running_site() as site:
        site.store.set_faults(down=True)
        seed = f"{site.fronts[0].settings.address}:{site.ports[2]}"
        front = start_front(stack, site, 1, seeds=[seed])
        wait_for(front.cluster_state.ready)
        address = front.settings.address
        assert call(address, site.ports[0], "/look/1")[0] == 200


def test_requests_are_served_while_the_store_is_down_and_after_it_lost_its_history():
    with running_site() as site:
        site.store.set_faults(down=True)
        for _ in range(5):
            assert site.get("/look/1")[0] == 200
        site.store.set_faults(down=False, forget=True)
        site.write_config(config_body(3, [route_row("new", "/new/")]))
        wait_for(lambda: site.get("/new/1")[0] == 200)


def test_registration_is_retried_after_a_lost_reply():
    with ExitStack() as stack, running_site() as site:
        site.store.set_faults(lose_replies=1, late_s=0.1)
        start_front(stack, site, 1)
        wait_for(lambda: ("instances", "", "front-1") in site.store.rows)


def test_a_changed_settings_file_is_read_without_a_signal():
    with running_site() as site:
        front = site.fronts[0]
        file = front._settings_file
        with open(file, encoding="utf-8") as stream:
            body = msgspec.json.decode(stream.read())
        body["bounds"]["grace"] = "9s"
        with open(file, "w", encoding="utf-8") as stream:
            stream.write(msgspec.json.encode(body).decode())
        wait_for(lambda: front.settings.bounds.grace_s == 9.0)
        with open(file, "w", encoding="utf-8") as stream:
            stream.write("{")
        front.reload()
        assert front.settings.bounds.grace_s == 9.0


def test_metrics_count_requests():
    with running_site() as site:
        site.get("/look/1")
        address = site.fronts[0].settings.address
        _, _, body = call(address, site.ports[4], "/metrics")
        assert b'outcome="answered",route="look",status="200"' in body
        assert b"quetzalwall_request_seconds_bucket" in body


def test_a_store_connection_that_becomes_unresponsive_is_noticed():
    unresponsive = create_server("127.0.0.1", 0, lambda *_: gevent.sleep(60))
    unresponsive.start()
    with running_site() as site:
        watch = site.fronts[0]._watches["op"]
        pool = watch._store._client._http._connection_pool
        pool._connection_host, pool._connection_port = unresponsive.address
        pool.close()
        pool._closed = False
        wait_for(lambda: watch.last_call_failed, 6.0)
        assert site.get("/look/1")[0] == 200
    unresponsive.stop(timeout=0)


def test_a_traffic_split_sends_requests_to_each_service_by_weight():
    with running_site() as site:
        entry = entry_body(site.endpoints[1].address, service="spare")
        site.store.put("servers", "ep-1", msgspec.json.encode(entry))
        split = [{"service": "desk", "weight": 3}, {"service": "spare", "weight": 1}]
        rows = [route_row("look", "/look/", split=split)]
        site.write_config(config_body(2, rows, ("desk", "spare")))
        front = site.fronts[0]
        wait_for(lambda: front.cluster_state.configuration().version == 2)
        wait_for(lambda: front.endpoints.routable_endpoints("spare"))
        before = [len(endpoint.arrivals) for endpoint in site.endpoints]
        for _ in range(40):
            assert site.get("/look/1")[0] == 200
        counts = [
            len(endpoint.arrivals) - count
            for endpoint, count in zip(site.endpoints, before, strict=True)
        ]
        assert counts == [30, 10]


def test_instances_that_start_at_the_same_time_find_each_other():
    with running_site(fronts=0) as site, ExitStack() as stack:
        site.store.set_faults(slow_s=0.2)
        fronts = [start_front(stack, site, number) for number in range(2)]
        wait_for(lambda: all(len(front.fleet.live()) == 2 for front in fronts), 3.0)


def test_idempotent_requests_at_an_unresponsive_endpoint_are_served_by_another():
    with running_site() as site:
        rows = [route_row("look", "/look/", timeout="5s")]
        site.write_config(config_body(2, rows))
        cluster_state = site.fronts[0].cluster_state
        wait_for(lambda: cluster_state.configuration().version == 2)
        site.endpoints[0].behaviour["hang"] = True
        tasks = [
            gevent.spawn(site.get, f"/look/{n}", **{DEADLINE: "5000"}) for n in range(8)
        ]
        gevent.joinall(tasks, raise_error=True)
        assert [task.value[0] for task in tasks] == [200] * 8
        hanging = len(site.endpoints[0].arrivals)
        assert hanging >= 2
        start = time.monotonic()
        assert site.get("/look/9", **{DEADLINE: "5000"})[0] == 200
        assert time.monotonic() - start < 0.5
        assert len(site.endpoints[0].arrivals) == hanging


def test_a_request_at_an_endpoint_that_is_removed_or_sheds_others_is_not_abandoned():
    with running_site(endpoints=2, work_s=1.0, slots=1, queue=0) as site:
        tasks = [
            gevent.spawn(site.get, f"/look/{n}", **{DEADLINE: "5000"}) for n in range(2)
        ]
        wait_for(lambda: all(len(e.arrivals) == 1 for e in site.endpoints))
        assert site.get("/look/5", **{DEADLINE: "400"})[0] == 503
        site.store.put("servers", "ep-0", None)
        gevent.joinall(tasks, raise_error=True)
        assert [task.value[0] for task in tasks] == [200, 200]
        runs = [list(endpoint.runs.values()) for endpoint in site.endpoints]
        assert runs == [[1], [1]]


@params("no other endpoint", "no retry budget", "stopping")
def test_a_request_stays_at_an_unresponsive_endpoint_if_no_retry_is_possible(why):
    with running_site(endpoints=2, work_s=1.8) as site:
        front = site.fronts[0]
        rows = [route_row("look", "/look/", timeout="5s")]
        site.write_config(config_body(2, rows))
        wait_for(lambda: front.cluster_state.configuration().version == 2)
        if why == "no other endpoint":
            site.endpoints[1].behaviour["shed"] = True
            site.register(site.endpoints[1], state="draining")
            wait_for(lambda: not front.endpoints.get("ep-1").usable())
        if why == "no retry budget":
            front.limits.retry_budget.allows_retry = lambda *args: False
        front.server._chooser.is_unresponsive = lambda state, now: True
        tasks = [
            gevent.spawn(site.get, f"/look/{n}", **{DEADLINE: "5000"}) for n in range(3)
        ]
        if why == "stopping":
            wait_for(lambda: front.in_flight == 3)
            gevent.spawn(front.stop)
        gevent.joinall(tasks, raise_error=True)
        assert [task.value[0] for task in tasks] == [200] * 3
        assert sum(len(endpoint.arrivals) for endpoint in site.endpoints) == 3


def test_a_planned_stop_responds_to_late_requests_on_accepted_connections():
    with running_site(fronts=2) as site:
        front = site.fronts[0]
        address = (front.settings.address, site.ports[0])
        socks = [gevent.socket.create_connection(address) for _ in range(5)]
        gevent.sleep(0.1)
        stop = gevent.spawn(front.stop)
        # The final accept rounds: the connections are not closed yet.
        min_stop_s = 0.7 * front.settings.bounds.grace_s
        gevent.sleep(min_stop_s + 0.04)
        for sock in socks:
            sock.sendall(b"GET /look/1 HTTP/1.1\r\nHost: shop.example\r\n\r\n")
        statuses = [sock.recv(4096).split(b" ")[1] for sock in socks]
        assert statuses == [b"503"] * 5
        stop.join(3.0)
        assert stop.ready()
