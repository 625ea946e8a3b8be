"""Instances with the product's interface, under faults of endpoints and the store."""

import json

import gevent
import gevent.socket

from quetzalwall.connection.single_attempt import OutgoingRequest, create_client
from quetzalwall.tests.product_fixtures import read_row, small_deployment


def drain(*names):
    def change(subtree):
        subtree["leaving"] = {"endpoints": list(names)}

    return change


def limit_body(size):
    def change(subtree):
        subtree["services"]["desk"]["max_body_bytes"] = size

    return change


def test_lookup_returns_instances_of_the_region_first_and_may_be_cached():
    with small_deployment(instances=2) as deployment:
        response = deployment.call("east-1", "GET", "/lookup?service=desk&caller=c")
        names = [item["name"] for item in response.body["instances"]]
        assert {name.split("-")[0] for name in names[:2]} == {"east"}
        assert len(names) == 3
        assert response.body["ttl_s"] == 0.2
        assert deployment.call("east-1", "GET", "/lookup?service=no").status == 404


def test_each_caller_gets_the_complete_response_to_its_own_request():
    with small_deployment(names=["east-1"], slots=40) as deployment:
        tasks = [
            gevent.spawn(deployment.send, "east-1", "GET", f"/status/{n}")
            for n in range(60)
        ]
        gevent.joinall(tasks, raise_error=True)
        for number, task in enumerate(tasks):
            assert json.loads(task.value.body)["path"] == f"/status/{number}"
        for path in ("/large/30", "/large-chunked/30"):
            reply = deployment.send("east-1", "GET", path)
            assert len(reply.body) == 30 * 65536


def test_uploads_of_both_framings_arrive_completely():
    block = b"u" * 65536
    with small_deployment(names=["east-1"]) as deployment:
        for length in (40 * len(block), None):
            body = (block for _ in range(40))
            reply = deployment.send("east-1", "POST", "/photos", body, length)
            assert (reply.status, reply.outcome) == (200, "answered")
            assert json.loads(reply.body)["bytes"] == 40 * len(block)


def test_truncated_response_is_reported_to_the_caller():
    with small_deployment(names=["east-1"]) as deployment:
        for endpoint in deployment.endpoints.values():
            endpoint.behaviour["fault"] = "cut"
        for path in ("/status/1", "/large/30", "/large-chunked/30"):
            reply = deployment.send("east-1", "GET", path)
            assert (reply.status, reply.outcome) == (502, "unknown")


def test_upload_that_the_caller_aborts_does_not_run():
    with small_deployment(names=["east-1"]) as deployment:
        sock = gevent.socket.create_connection(deployment.listen_address("east-1"))
        head = (
            b"POST /s/desk/photos HTTP/1.1\r\nHost: x\r\nContent-Length: 300000\r\n\r\n"
        )
        sock.sendall(head + b"x" * 100_000)
        gevent.sleep(0.1)
        sock.close()
        deployment.wait(lambda: deployment.fronts["east-1"].in_flight == 0)
        served = sum(e.counts["served"] for e in deployment.endpoints.values())
        assert served == 0


def test_no_request_counts_as_in_flight_after_any_kind_of_end():
    with small_deployment(names=["east-1"]) as deployment:
        for fault in ("", "cut", "wrong-id"):
            for endpoint in deployment.endpoints.values():
                endpoint.behaviour["fault"] = fault
            for path in ("/status/1", "/large/20"):
                deployment.send("east-1", "GET", path)
        endpoints = deployment.fronts["east-1"].endpoints
        assert [state.own_in_flight for state in endpoints] == [0] * len(endpoints)


def test_rejection_by_endpoints_is_retried_and_then_reported_as_not_run():
    with small_deployment(names=["east-1"]) as deployment:
        deployment.endpoints["east-ep1"].behaviour["shed"] = True
        for _ in range(3):
            assert deployment.send("east-1", "GET", "/status/1").status == 200
        for endpoint in deployment.endpoints.values():
            endpoint.behaviour["shed"] = True
        reply = deployment.send("east-1", "POST", "/bookings", key="shed-1")
        assert (reply.status, reply.outcome) == (503, "not-run")
        assert deployment.run_count("shed-1") == 0


def test_booking_runs_once_however_often_it_is_sent():
    with small_deployment(instances=2, regions=("east",)) as deployment:

        def book(number):
            name = f"east-{number % 2 + 1}"
            return deployment.send(name, "POST", "/bookings", key="b1")

        tasks = [gevent.spawn(book, number) for number in range(10)]
        gevent.joinall(tasks, raise_error=True)
        assert deployment.run_count("b1") == 1
        assert {task.value.status for task in tasks} <= {200, 409}
        deployment.wait(lambda: book(1).res.get("X-Quetzalwall-Repeated"))
        assert deployment.run_count("b1") == 1


def test_idempotency_key_of_another_request_is_rejected():
    with small_deployment(names=["east-1"]) as deployment:
        deployment.send("east-1", "POST", "/bookings/1", key="b5")
        reply = deployment.send("east-1", "POST", "/bookings/2", key="b5")
        assert (reply.status, reply.outcome) == (422, "not-run")
        assert deployment.run_count("b5") == 1


def test_booking_with_a_lost_reply_of_the_store_runs_once():
    with small_deployment(names=["east-1"]) as deployment:
        deployment.store.set_faults(lose_replies=2)
        reply = deployment.send("east-1", "POST", "/bookings", key="b2")
        assert reply.outcome in ("answered", "not-run")
        assert deployment.run_count("b2") == (reply.outcome == "answered")


def test_booking_is_rejected_as_not_run_while_the_store_is_down():
    with small_deployment(names=["east-1"]) as deployment:
        deployment.store.set_faults(down=True)
        reply = deployment.send("east-1", "POST", "/bookings", key="b3")
        assert (reply.status, reply.outcome) == (503, "not-run")
        assert reply.res.get("X-Quetzalwall-Step") == "claim"
        assert deployment.send("east-1", "GET", "/status/1").status == 200
        assert deployment.run_count("b3") == 0
        deployment.store.set_faults(down=False)
        deployment.wait(
            lambda: (
                deployment.send("east-1", "POST", "/bookings", key="b3").status == 200
            )
        )
        assert deployment.run_count("b3") == 1


def test_booking_with_a_lost_response_is_reported_as_unknown():
    with small_deployment(names=["east-1"]) as deployment:
        for endpoint in deployment.endpoints.values():
            endpoint.behaviour["fault"] = "wrong-id"
        reply = deployment.send("east-1", "POST", "/bookings", key="b4")
        assert (reply.status, reply.outcome) == (504, "unknown")
        assert deployment.run_count("b4") == 1
        repeat = deployment.send("east-1", "POST", "/bookings", key="b4")
        assert (repeat.status, repeat.outcome) == (409, "unknown")
        assert deployment.run_count("b4") == 1


def test_malformed_requests_are_rejected_with_a_matching_status():
    with small_deployment(names=["east-1"]) as deployment:
        assert deployment.send("east-1", "GET", "/nowhere").status == 404
        assert deployment.send("east-1", "POST", "/bookings").status == 400
        for length in (60_000_000, None):
            blocks = (b"x" * 65536 for _ in range(800))
            reply = deployment.send("east-1", "POST", "/photos", blocks, length)
            assert (reply.status, reply.outcome) == (413, "not-run")
        for body in (b"{", b"[1]", b'{"team": 1}'):
            client = create_client(*deployment.listen_address("east-1", "lookup"), "x")
            req = OutgoingRequest("PUT", "/settings", {}, body)
            assert client.send(req, 2.0).status_code == 400
        sock = gevent.socket.create_connection(deployment.listen_address("east-1"))
        sock.sendall(b"GET / HTTP/1.1\r\nX: " + b"y" * 200_000 + b"\r\n\r\n")
        assert sock.recv(100).startswith(b"HTTP/1.1 4")
        assert deployment.send("east-1", "GET", "/status/1").status == 200


def test_draining_endpoint_gets_no_new_requests():
    with small_deployment(names=["east-1"]) as deployment:
        assert deployment.put("east-1", drain("east-ep1"), base=1).status == 200
        deployment.wait_for_version(2)
        before = deployment.endpoints["east-ep1"].counts["served"]
        for _ in range(30):
            assert deployment.send("east-1", "GET", "/status/1").status == 200
        assert deployment.endpoints["east-ep1"].counts["served"] == before


def test_planned_stop_completes_requests_in_flight_and_ends_registration():
    with small_deployment(instances=2, regions=("east",)) as deployment:
        front, other = (deployment.fronts[name] for name in ("east-1", "east-2"))
        for endpoint in deployment.endpoints.values():
            endpoint.service_s = 0.8
        photo = gevent.spawn(deployment.send, "east-1", "POST", "/photos", b"p", 1)
        gevent.sleep(0.1)
        stop = gevent.spawn(front.stop)
        deployment.wait(lambda: [i.name for i in other.fleet.live()] == ["east-2"], 2.0)
        assert deployment.send("east-1", "GET", "/status/1").status == 200
        assert photo.get().status == 200
        stop.join(10)
        assert read_row(deployment.store, "instances", "east-1") is None


def test_accepted_settings_become_active_at_all_instances_with_the_store_slow():
    with small_deployment(instances=2) as deployment:
        deployment.store.set_faults(slow_s=0.2)
        response = deployment.put("west-1", drain("east-ep1"), base=1)
        assert (response.status, response.body["version"]) == (200, 2)
        deployment.wait_for_version(2)
        for front in deployment.fronts.values():
            assert not front.endpoints.get("east-ep1").usable()


def test_conflicting_change_is_rejected_with_both_versions():
    with small_deployment(names=["east-1"]) as deployment:
        assert deployment.put("east-1", limit_body(7), base=1).status == 200
        response = deployment.put("east-1", limit_body(9), base=1)
        assert response.status == 409
        assert (response.body["base"], response.body["current"]) == (1, 2)
        assert response.body["subtree"]["services"]["desk"]["max_body_bytes"] == 7


def test_lost_reply_of_the_store_to_a_change_is_resolved():
    with small_deployment(names=["east-1"]) as deployment:
        deployment.store.set_faults(lose_replies=1)
        response = deployment.put("east-1", limit_body(8), base=1)
        assert (response.status, response.body["version"]) == (200, 2)


def test_invalid_settings_and_wrong_credentials_change_nothing():
    with small_deployment(names=["east-1"]) as deployment:

        def invalidate(subtree):
            subtree["services"]["desk"]["endpoints"]["east-ep1"]["slots"] = 0
            subtree["shifst"] = {}

        response = deployment.put("east-1", invalidate, base=1)
        assert response.status == 422
        assert len(response.body["faults"]) == 2
        rejected = deployment.put("east-1", lambda s: None, 1, "wrong")
        assert rejected.status == 403
        assert deployment.fronts["east-1"].cluster_state.configuration().version == 1


def test_invalid_settings_written_by_others_are_rejected_and_the_old_ones_stay_active():
    with small_deployment(names=["east-1"]) as deployment:
        deployment.store.put("settings", "config/team/desk", b'{"services": 7}')
        head = {"version": 2, "teams": {"network": 1, "desk": 2}, "token": ""}
        deployment.store.put("settings", "config/head", json.dumps(head).encode())
        gevent.sleep(0.6)
        assert deployment.fronts["east-1"].cluster_state.configuration().version == 1
        assert deployment.send("east-1", "GET", "/status/1").status == 200


def test_restart_with_the_store_down_gets_settings_from_peers_and_no_older_ones():
    with small_deployment(instances=2) as deployment:
        deployment.put("east-1", limit_body(9000), base=1)
        deployment.wait_for_version(2)
        deployment.store.set_faults(down=True)
        deployment.fronts["east-1"].close()
        deployment.start_front("east-1")
        deployment.wait_for_version(2)
        assert deployment.send("east-1", "GET", "/status/1").status == 200


def test_requests_in_a_region_stay_within_its_limit_over_all_instances():
    with small_deployment(instances=2, regions=("east",), slots=40) as deployment:
        for endpoint in deployment.endpoints.values():
            endpoint.service_s = 0.1

        def limit(subtree):
            subtree["services"]["desk"]["region_limits"] = {"east": 5}

        deployment.put("east-1", limit, base=1)
        deployment.wait_for_version(2)
        peak = 0
        tasks = [
            gevent.spawn(deployment.send, f"east-{n % 2 + 1}", "GET", f"/status/{n}")
            for n in range(40)
        ]
        while not all(task.ready() for task in tasks):
            peak = max(peak, sum(e.busy for e in deployment.endpoints.values()))
            gevent.sleep(0.005)
        outcomes = {task.value.outcome for task in tasks}
        assert outcomes == {"answered", "not-run"}
        assert 1 < peak <= 5
