"""Whole entry instances in this process, against stand-ins, under failure."""

import hashlib
import json

import gevent
import gevent.socket

from quetzalwall.connection.json_call import create_json_client
from quetzalwall.connection.single_attempt import SentRequest, create_client
from quetzalwall.exceptions import EndpointError
from quetzalwall.tests.fixtures import small_deployment

OUTCOME = "X-Quetzalwall-Outcome"


class Reply:
    def __init__(self, res, body):
        self.status = res.status_code
        self.outcome = res.get(OUTCOME)
        self.res = res
        self.body = body


def send(deployment, name, method, path, body=b"", length=0, key=None, timeout_s=8.0):
    headers = {"X-Caller": "tester"}
    if key:
        headers["Idempotency-Key"] = key
    client = create_client(*deployment.place(name), name)
    try:
        req = SentRequest(method, f"/s/desk{path}", headers, body, length)
        res = client.send(req, timeout_s)
        return Reply(res, res.read())
    finally:
        client.close()


def call(deployment, name, method, target, body=None, headers=None):
    client = create_json_client(*deployment.place(name), name, timeout_s=5.0)
    try:
        return client.call(method, target, body, headers=headers)
    finally:
        client.close()


def runs(deployment, key):
    return sum(e.runs.get(key, 0) for e in deployment.endpoints.values())


def test_lookup_names_near_instances_and_may_be_cached():
    with small_deployment(instances=2) as deployment:
        answer = call(deployment, "east-1", "GET", "/lookup?service=desk&caller=c")
        names = [item["name"] for item in answer.body["instances"]]
        assert {name.split("-")[0] for name in names[:2]} == {"east"}
        assert len(names) == 3
        assert answer.body["ttl_s"] == 0.2
        assert call(deployment, "east-1", "GET", "/lookup?service=no").status == 404


def test_answers_reach_their_own_callers_whole():
    with small_deployment(names=["east-1"]) as deployment:
        tasks = [
            gevent.spawn(send, deployment, "east-1", "GET", f"/status/{n}")
            for n in range(60)
        ]
        gevent.joinall(tasks, raise_error=True)
        for number, task in enumerate(tasks):
            assert json.loads(task.value.body)["path"] == f"/status/{number}"
        for path in ("/large/30", "/large-chunked/30"):
            reply = send(deployment, "east-1", "GET", path)
            assert len(reply.body) == 30 * 65536


def test_uploads_of_both_framings_arrive_whole():
    block = b"u" * 65536
    with small_deployment(names=["east-1"]) as deployment:
        for length in (40 * len(block), None):
            body = (block for _ in range(40))
            reply = send(deployment, "east-1", "POST", "/photos", body, length)
            assert (reply.status, reply.outcome) == (200, "answered")
            assert json.loads(reply.body)["bytes"] == 40 * len(block)


def test_cut_answer_is_signalled_to_the_caller():
    with small_deployment(names=["east-1"]) as deployment:
        for endpoint in deployment.endpoints.values():
            endpoint.behaviour["fault"] = "cut"
        reply = send(deployment, "east-1", "GET", "/status/1")
        assert (reply.status, reply.outcome) == (502, "unknown")
        for path in ("/large/30", "/large-chunked/30"):
            try:
                send(deployment, "east-1", "GET", path)
                raise AssertionError("a cut answer looked whole")
            except Exception as exc:
                assert not isinstance(exc, AssertionError)


def test_upload_that_the_caller_cuts_is_not_completed():
    with small_deployment(names=["east-1"]) as deployment:
        sock = gevent.socket.create_connection(deployment.place("east-1"))
        head = (
            b"POST /s/desk/photos HTTP/1.1\r\nHost: x\r\nContent-Length: 300000\r\n\r\n"
        )
        sock.sendall(head + b"x" * 100_000)
        gevent.sleep(0.1)
        sock.close()
        node = deployment.entries["east-1"].node
        deployment.wait(
            lambda: not any("/" in k for k in node.ledger.used if "ep" in k)
        )
        served = sum(e.counts["served"] for e in deployment.endpoints.values())
        assert served == 0


def test_slots_are_free_again_after_every_kind_of_end():
    with small_deployment(names=["east-1"]) as deployment:
        node = deployment.entries["east-1"].node
        for fault in ("", "cut", "wrong-id"):
            for endpoint in deployment.endpoints.values():
                endpoint.behaviour["fault"] = fault
            for path in ("/status/1", "/large/20"):
                try:
                    send(deployment, "east-1", "GET", path)
                except (EndpointError, Exception):  # noqa: B014
                    pass
        deployment.wait(lambda: not [k for k in node.ledger.used if "ep" in k])


def test_refusal_by_endpoints_is_retried_and_then_told_as_not_run():
    with small_deployment(names=["east-1"]) as deployment:
        for _ in range(60):
            send(deployment, "east-1", "GET", "/status/1")
        deployment.endpoints["east-ep1"].behaviour["shed"] = True
        for _ in range(3):
            assert send(deployment, "east-1", "GET", "/status/1").status == 200
        for endpoint in deployment.endpoints.values():
            endpoint.behaviour["shed"] = True
        reply = send(deployment, "east-1", "POST", "/bookings", key="shed-1")
        assert (reply.status, reply.outcome) == (503, "not-run")
        assert runs(deployment, "shed-1") == 0


def test_booking_runs_once_however_often_it_is_sent():
    with small_deployment(instances=2, regions=("east",)) as deployment:
        tasks = [
            gevent.spawn(
                send, deployment, f"east-{n % 2 + 1}", "POST", "/bookings", key="b1"
            )
            for n in range(10)
        ]
        gevent.joinall(tasks, raise_error=True)
        assert runs(deployment, "b1") == 1
        assert {task.value.status for task in tasks} <= {200, 409}
        deployment.wait(
            lambda: send(deployment, "east-2", "POST", "/bookings", key="b1").res.get(
                "X-Quetzalwall-Repeated"
            )
        )
        assert runs(deployment, "b1") == 1


def test_booking_with_a_lost_reply_of_the_store_runs_once():
    with small_deployment(names=["east-1"]) as deployment:
        deployment.platform.faults["lose_replies"] = 2
        reply = send(deployment, "east-1", "POST", "/bookings", key="b2")
        assert reply.outcome in ("answered", "not-run")
        assert runs(deployment, "b2") == (reply.outcome == "answered")


def test_booking_is_refused_truthfully_while_the_store_is_down():
    with small_deployment(names=["east-1"]) as deployment:
        deployment.platform.faults["table_down"] = True
        reply = send(deployment, "east-1", "POST", "/bookings", key="b3")
        assert (reply.status, reply.outcome) == (503, "not-run")
        assert reply.res.get("X-Quetzalwall-Step") == "claim"
        assert send(deployment, "east-1", "GET", "/status/1").status == 200
        assert runs(deployment, "b3") == 0
        deployment.platform.faults["table_down"] = False
        deployment.wait(
            lambda: (
                send(deployment, "east-1", "POST", "/bookings", key="b3").status == 200
            )
        )
        assert runs(deployment, "b3") == 1


def test_lost_answer_of_a_booking_is_told_as_unknown():
    with small_deployment(names=["east-1"]) as deployment:
        for endpoint in deployment.endpoints.values():
            endpoint.behaviour["fault"] = "wrong-id"
        reply = send(deployment, "east-1", "POST", "/bookings", key="b4")
        assert (reply.status, reply.outcome) == (504, "unknown")
        assert runs(deployment, "b4") == 1
        repeat = send(deployment, "east-1", "POST", "/bookings", key="b4")
        assert (repeat.status, repeat.outcome) == (409, "unknown")
        assert runs(deployment, "b4") == 1


def test_malformed_requests_get_clear_refusals():
    with small_deployment(names=["east-1"]) as deployment:
        assert send(deployment, "east-1", "GET", "/nowhere").status == 404
        assert send(deployment, "east-1", "POST", "/bookings").status == 400
        too_long = send(
            deployment, "east-1", "POST", "/photos", iter([b"x"]), 60_000_000
        )
        assert (too_long.status, too_long.outcome) == (413, "not-run")
        blocks = (b"x" * 65536 for _ in range(800))
        sent = send(deployment, "east-1", "POST", "/photos", blocks, None)
        assert (sent.status, sent.outcome) == (413, "unknown")
        for body, expected in ((b"{", 400), (b"[1]", 400), (b'{"sender": 1}', 400)):
            client = create_client(*deployment.place("east-1"), "x")
            req = SentRequest("POST", "/peer/heartbeat", {}, body)
            assert client.send(req, 2.0).status_code == expected
        sock = gevent.socket.create_connection(deployment.place("east-1"))
        sock.sendall(b"GET / HTTP/1.1\r\nX: " + b"y" * 200_000 + b"\r\n\r\n")
        assert sock.recv(100).startswith(b"HTTP/1.1 4")
        assert send(deployment, "east-1", "GET", "/status/1").status == 200


def test_listed_endpoint_gets_no_new_work():
    with small_deployment(names=["east-1"]) as deployment:
        deployment.platform.listing["endpoints"]["east-ep1"] = "leaving"
        node = deployment.entries["east-1"].node
        deployment.wait(lambda: "east-ep1" in node.steering.leaving, timeout_s=2.0)
        before = deployment.endpoints["east-ep1"].counts["served"]
        for _ in range(30):
            assert send(deployment, "east-1", "GET", "/status/1").status == 200
        assert deployment.endpoints["east-ep1"].counts["served"] == before


def test_planned_stop_cuts_nothing_and_ends_clean():
    with small_deployment(instances=2, regions=("east",)) as deployment:
        entry = deployment.entries["east-1"]

        def slow_blocks():
            for _ in range(30):
                yield b"x" * 20_000
                gevent.sleep(0.1)

        upload = gevent.spawn(
            send, deployment, "east-1", "POST", "/photos", slow_blocks(), 600_000
        )
        gevent.sleep(0.2)
        stop = gevent.spawn(entry.stop)
        other = deployment.entries["east-2"].node
        names = lambda: {m.name for m in other.members_for_callers()}  # noqa: E731
        deployment.wait(lambda: names() == {"east-2"}, timeout_s=2.0)
        cached = send(deployment, "east-1", "GET", "/status/1")
        assert cached.status == 200
        assert upload.get().status == 200
        stop.join(10)
        assert (
            "east-1"
            not in deployment.platform.row("shares/holders")["value"]["running"]
        )


def put(deployment, name, change, base, credential="c"):
    subtree = json.loads(json.dumps(deployment.tree["desk"]))
    change(subtree)
    body = {"team": "desk", "subtree": subtree, "base": base, "author": "tester"}
    headers = {"Authorization": f"Bearer {credential}"}
    return call(deployment, name, "PUT", "/settings", body, headers)


def with_credential(deployment):
    network = deployment.platform.row("config/team/network")["value"]
    digest = hashlib.sha256(b"c").hexdigest()
    network["credentials"] = {"desk": digest}
    head = deployment.platform.row("config/head")["value"]
    teams = {**head["teams"], "network": 2}
    newer = {"version": 2, "teams": teams, "token": "t"}
    deployment.platform.txn({}, {"config/team/network": network})
    deployment.platform.txn({}, {"config/head": newer})
    wait_version(deployment, 2)


def wait_version(deployment, version):
    def everywhere():
        nodes = [entry.node for entry in deployment.entries.values()]
        return all(node.keeper.in_force_version() >= version for node in nodes)

    deployment.wait(everywhere, timeout_s=3.0)


def test_accepted_settings_are_in_force_everywhere_with_the_store_slow():
    with small_deployment(instances=2) as deployment:
        with_credential(deployment)
        deployment.platform.faults["slow_s"] = 0.2

        def drain(subtree):
            subtree["leaving"] = {"endpoints": ["east-ep1"]}

        answer = put(deployment, "west-1", drain, base=1)
        assert (answer.status, answer.body["version"]) == (200, 3)
        wait_version(deployment, 3)
        for entry in deployment.entries.values():
            assert "east-ep1" in entry.node.steering.leaving


def test_second_operator_is_refused_with_both_versions():
    with small_deployment(names=["east-1"]) as deployment:
        with_credential(deployment)

        def change(subtree):
            subtree["services"]["desk"]["queue_length"] = 7

        assert put(deployment, "east-1", change, base=1).status == 200
        answer = put(deployment, "east-1", change, base=1)
        assert answer.status == 409
        assert (answer.body["base"], answer.body["current"]) == (1, 2)
        assert answer.body["subtree"]["services"]["desk"]["queue_length"] == 7


def test_lost_reply_to_a_change_is_resolved():
    with small_deployment(names=["east-1"]) as deployment:
        with_credential(deployment)
        deployment.platform.faults["lose_replies"] = 1

        def change(subtree):
            subtree["services"]["desk"]["queue_length"] = 8

        answer = put(deployment, "east-1", change, base=1)
        assert (answer.status, answer.body["version"]) == (200, 3)


def test_wrong_settings_and_credentials_change_nothing():
    with small_deployment(names=["east-1"]) as deployment:
        with_credential(deployment)

        def spoil(subtree):
            subtree["services"]["desk"]["endpoints"]["east-ep1"]["slots"] = 0
            subtree["shifst"] = {}

        answer = put(deployment, "east-1", spoil, base=1)
        assert answer.status == 422
        assert len(answer.body["faults"]) == 2
        assert put(deployment, "east-1", lambda s: None, 1, "wrong").status == 403
        assert deployment.entries["east-1"].node.keeper.in_force_version() == 2


def test_restart_with_the_store_down_learns_from_peers_and_never_goes_back():
    with small_deployment(instances=2) as deployment:
        with_credential(deployment)

        def change(subtree):
            subtree["services"]["desk"]["queue_length"] = 9

        put(deployment, "east-1", change, base=1)
        wait_version(deployment, 3)
        deployment.platform.faults.update(table_down=True, objects_down=True)
        deployment.entries["east-1"].close()
        entry = deployment.start_entry("east-1")
        assert entry.node.keeper.held_version() == 3
        wait_version(deployment, 3)


def test_snapshot_serves_a_start_without_table_and_peers():
    with small_deployment(names=["east-1"]) as deployment:
        stored = deployment.platform.objects
        deployment.wait(lambda: "snapshot-config-1" in stored)
        deployment.entries["east-1"].close()
        deployment.platform.faults["table_down"] = True
        stored["snapshot-config-0"] = {
            "version": 9,
            "teams": {},
            "tree": {},
            "digest": "",
        }
        entry = deployment.start_entry("east-1")
        assert entry.node.keeper.held_version() == 1


def test_loans_follow_demand_and_no_endpoint_is_overrun():
    with small_deployment(instances=3, regions=("east",), slots=6) as deployment:
        for endpoint in deployment.endpoints.values():
            endpoint.service_s = 0.05
        tasks = [
            gevent.spawn(send, deployment, "east-1", "GET", f"/status/{n}")
            for n in range(90)
        ]
        gevent.joinall(tasks, raise_error=True)
        assert {task.value.status for task in tasks} == {200}
        counts = [e.counts for e in deployment.endpoints.values()]
        assert sum(c["over_limit"] for c in counts) == 0
        assert max(c["most_busy"] for c in counts) >= 5
