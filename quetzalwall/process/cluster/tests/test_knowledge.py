import json

import msgspec

from quetzalwall.platform.headers import parse_response
from quetzalwall.platform.store import RowChange, Rows
from quetzalwall.process.cluster.cluster_state import (
    create_cluster_state,
    read_exported,
)
from quetzalwall.process.cluster.endpoint_table import (
    create_endpoint_table,
    endpoint_code,
)
from quetzalwall.process.cluster.fleet import create_fleet
from quetzalwall.process.cluster.peer_report import PeerInfo, PeerReport
from quetzalwall.process.cluster.store_readers import follows_store
from quetzalwall.tests.platform_fixtures import (
    DOMAINS,
    ManualClock,
    config_body,
    entry_body,
)

PLACE = ("127.0.0.1", 80)
CARD = PeerInfo("one", "north", "north-a", "127.0.0.1")


def create(clock=None, info=CARD):
    clock = clock or ManualClock()
    endpoints = create_endpoint_table(DOMAINS, parse_response, clock.monotonic)
    fleet = create_fleet(info, 1, endpoints, clock.monotonic, 7)
    return create_cluster_state(endpoints, fleet), clock


def configure(cluster_state, version, row, **fields):
    body = json.dumps(config_body(version) | fields).encode()
    cluster_state.apply("op", Rows([RowChange("config", body, row)], row), False, False)


def register(cluster_state, name, row=1, place=PLACE, whole=False, **fields):
    body = json.dumps(entry_body(place, **fields)).encode()
    rows = Rows([RowChange(name, body, row)], row)
    cluster_state.apply("servers", rows, whole, False)


def unregister(cluster_state, name, row, away=False):
    rows = Rows([RowChange(name, None, row)], row)
    cluster_state.apply("servers", rows, False, away)


def usable(cluster_state, service="desk"):
    return sorted(
        state.name for state in cluster_state.endpoints.routable_endpoints(service)
    )


def report(name="two", process=1, sequence=1, **fields):
    info = PeerInfo(name, "north", "north-b", "127.0.0.2")
    values = {
        "leaving": False,
        "reaches_store": True,
        "tables": {},
        "open": [],
        "slow": [],
        "held": [],
    }
    return PeerReport(info, process, sequence, **(values | fields))


def test_a_configuration_never_goes_back():
    cluster_state, _ = create()
    configure(cluster_state, 5, 1)
    configure(cluster_state, 4, 2)
    assert cluster_state.configuration().version == 5
    configure(cluster_state, 12, 3)
    assert cluster_state.configuration().version == 12


def test_a_faulty_configuration_leaves_the_last_one_in_force():
    cluster_state, _ = create()
    configure(cluster_state, 5, 1)
    configure(cluster_state, 6, 2, routes={"columns": ["name"], "rows": [["x"]]})
    cluster_state.apply("op", Rows([RowChange("config", b"{", 3)], 3), False, False)
    assert cluster_state.configuration().version == 5


def test_rows_read_anew_forget_what_is_no_longer_listed():
    cluster_state, _ = create()
    register(cluster_state, "ep-1", 1)
    register(cluster_state, "ep-2", 2, ("127.0.0.1", 81), whole=True)
    assert usable(cluster_state) == ["ep-2"]


def test_stale_rows_change_nothing():
    cluster_state, _ = create()
    register(cluster_state, "ep-1", 9)
    register(cluster_state, "ep-2", 4, ("127.0.0.1", 81), whole=True)
    assert usable(cluster_state) == ["ep-1"]


def test_a_leaving_endpoint_gets_nothing_at_once():
    cluster_state, _ = create()
    register(cluster_state, "ep-1", 1)
    register(cluster_state, "ep-1", 2, state="draining")
    assert usable(cluster_state) == []


def test_an_entry_that_lapsed_is_used_for_two_seconds_after_the_return():
    cluster_state, clock = create()
    register(cluster_state, "ep-1", 1)
    register(cluster_state, "ep-2", 1, ("127.0.0.1", 81))
    unregister(cluster_state, "ep-1", 2, away=True)
    unregister(cluster_state, "ep-2", 2, away=True)
    clock.now += 1.9
    cluster_state.endpoints.drop_lapsed()
    assert usable(cluster_state) == ["ep-1", "ep-2"]
    register(cluster_state, "ep-2", 3, ("127.0.0.1", 81))
    clock.now += 0.2
    cluster_state.endpoints.drop_lapsed()
    assert usable(cluster_state) == ["ep-2"]


def test_an_entry_removed_while_the_store_answers_is_gone_at_once():
    cluster_state, _ = create()
    register(cluster_state, "ep-1", 1)
    unregister(cluster_state, "ep-1", 2)
    assert usable(cluster_state) == []


def test_a_leaving_endpoint_does_not_come_back_by_lapsing():
    cluster_state, _ = create()
    register(cluster_state, "ep-1", 1, state="draining")
    unregister(cluster_state, "ep-1", 2, away=True)
    assert usable(cluster_state) == []


def test_the_address_of_an_older_endpoint_belongs_to_the_newer_one():
    cluster_state, _ = create()
    register(cluster_state, "ep-1", 1, born=1000)
    register(cluster_state, "ep-2", 2, born=2000, service="photos")
    assert usable(cluster_state) == []
    assert usable(cluster_state, "photos") == ["ep-2"]


def test_an_endpoint_started_again_under_its_identity_is_another():
    cluster_state, _ = create()
    register(cluster_state, "ep-1", 1, born=1000)
    first = cluster_state.endpoints.get("ep-1")
    first.record_cached(5)
    register(cluster_state, "ep-1", 2, born=2000, coldLeft="3s")
    second = cluster_state.endpoints.get("ep-1")
    assert second is not first and second.reuse_distance(5) is None
    assert second.cold(1001.0) and not first.usable()


def test_an_evacuated_domain_gets_nothing_and_is_cold_when_taken_back():
    cluster_state, clock = create()
    configure(cluster_state, 1, 1)
    register(cluster_state, "ep-1", 1)
    key = "evacuate/north-a"
    cluster_state.apply("op", Rows([RowChange(key, b"{}", 2)], 2), False, False)
    assert usable(cluster_state) == []
    cluster_state.apply("op", Rows([RowChange(key, None, 3)], 3), False, False)
    assert usable(cluster_state) == ["ep-1"]
    state = cluster_state.endpoints.get("ep-1")
    assert state.cold(clock.now + 3.0)
    assert not state.cold(clock.now + 4.0)


def test_entries_of_other_writers_are_left_out():
    cluster_state, _ = create()
    register(cluster_state, "ep-1", 1)
    register(cluster_state, "ep-2", 2, ("127.0.0.1", 81), state="asleep")
    rows = Rows([RowChange("ep-3", b"\xff", 3)], 3)
    cluster_state.apply("servers", rows, False, False)
    assert usable(cluster_state) == ["ep-1"]


def test_another_instance_takes_over_what_changed():
    cluster_state, _ = create()
    other, _ = create(info=CARD._replace(name="other"))
    register(cluster_state, "ep-1", 1)
    rows, whole = read_exported(cluster_state.export("servers"), "one")
    other.apply("servers", rows, whole, False)
    assert whole and usable(other) == ["ep-1"]
    register(cluster_state, "ep-2", 2, ("127.0.0.1", 81))
    unregister(cluster_state, "ep-1", 3, away=True)
    body = cluster_state.export("servers", other.fleet.tables["servers"])
    rows, whole = read_exported(json.loads(json.dumps(body)), "one")
    assert not whole and rows.lapsed == {"ep-1"}
    other.apply("servers", rows, whole, False)
    assert usable(other) == ["ep-1", "ep-2"]
    assert other.endpoints.get("ep-1").lapsed_until is not None


def test_open_requests_of_peers_count_until_they_fall_silent():
    cluster_state, clock = create()
    register(cluster_state, "ep-1", 1)
    state = cluster_state.endpoints.get("ep-1")
    code = endpoint_code("ep-1")
    cluster_state.fleet.receive(report(open=[(code, 3)]), clock.now)
    assert state.in_flight() == 3
    cluster_state.fleet.receive(report(sequence=2, open=[(code, 1)]), clock.now)
    assert state.in_flight() == 1
    cluster_state.fleet.expire(clock.now + 2.0)
    assert state.in_flight() == 0
    assert [info.name for info in cluster_state.fleet.live()] == ["one"]


def test_after_a_pause_of_its_own_an_instance_takes_nobody_for_silent():
    cluster_state, clock = create()
    fleet = cluster_state.fleet
    fleet.receive(report(), clock.now)
    fleet.expire(clock.now)
    clock.now += 5.0
    fleet.expire(clock.now)
    assert len(fleet.live()) == 2
    for _ in range(20):
        clock.now += 0.1
        fleet.expire(clock.now)
    assert len(fleet.live()) == 1


def test_late_reports_change_nothing_also_after_a_restart():
    cluster_state, clock = create()
    register(cluster_state, "ep-1", 1)
    state = cluster_state.endpoints.get("ep-1")
    code = endpoint_code("ep-1")
    fleet = cluster_state.fleet
    fleet.receive(report(process=9, sequence=50, open=[(code, 3)]), clock.now)
    fleet.receive(report(process=9, sequence=49, open=[(code, 8)]), clock.now)
    assert state.in_flight() == 3
    fleet.receive(report(process=4, sequence=1, open=[(code, 1)]), clock.now)
    fleet.receive(report(process=9, sequence=51, open=[(code, 3)]), clock.now)
    assert state.in_flight() == 1


def test_look_ups_leave_out_a_leaving_instance():
    cluster_state, clock = create()
    cluster_state.fleet.receive(report(), clock.now)
    assert len(cluster_state.fleet.live()) == 2
    cluster_state.fleet.receive(report(sequence=2, leaving=True), clock.now)
    assert [info.name for info in cluster_state.fleet.live()] == ["one"]


def test_some_instances_follow_the_store_and_others_replace_them():
    fleets = []
    names = [f"front-{n}" for n in range(12)]
    clock = ManualClock()
    for name in names:
        cluster_state, _ = create(clock, CARD._replace(name=name))
        fleets.append(cluster_state.fleet)
        for other in names:
            cluster_state.fleet.receive(report(other), clock.now)
    readers = [fleet.own_info.name for fleet in fleets if follows_store(fleet)]
    assert len(readers) == 2
    for fleet in fleets:
        for name in readers:
            lost = report(name, sequence=2, reaches_store=False)
            fleet.receive(lost, clock.now)
    others = {fleet.own_info.name for fleet in fleets if follows_store(fleet)}
    assert len(others - set(readers)) == 2


def test_objects_that_a_peer_was_served_are_known():
    cluster_state, clock = create()
    register(cluster_state, "ep-1", 1)
    cluster_state.fleet.receive(report(held=[(endpoint_code("ep-1"), 77)]), clock.now)
    assert cluster_state.endpoints.get("ep-1").reuse_distance(77) == 0


def test_a_report_survives_the_way():
    sent = report(open=[(1, 2)], slow=[(3, 250, 40)], held=[(5, 6)])
    raw = msgspec.msgpack.encode(sent)
    assert msgspec.msgpack.decode(raw, type=PeerReport) == sent


def test_an_endpoint_that_answers_nobody_is_silent_and_one_that_answers_a_peer_is_not():
    cluster_state, clock = create()
    for name in ("a", "b"):
        register(cluster_state, name)
    state = cluster_state.endpoints.get("a")
    state.own_in_flight = 1
    opened = [(endpoint_code("a"), 1)]
    cluster_state.fleet.receive(report(open=opened), clock.now)
    assert state.unresponsive_s(clock.now) == 0
    clock.now += 1.5
    assert state.unresponsive_s(clock.now) == 1.5
    answered = [(endpoint_code("a"), 100, 200)]
    cluster_state.fleet.receive(
        report(sequence=2, open=opened, slow=answered), clock.now
    )
    assert abs(state.unresponsive_s(clock.now) - 0.2) < 1e-6


def test_a_single_open_request_does_not_make_an_endpoint_silent():
    cluster_state, clock = create()
    register(cluster_state, "a")
    state = cluster_state.endpoints.get("a")
    state.own_in_flight = 1
    for _ in range(5):
        clock.now += 1.0
        assert state.unresponsive_s(clock.now) == 0


def test_a_silent_endpoint_is_used_again_once_it_has_answered_anybody():
    cluster_state, clock = create()
    register(cluster_state, "a")
    state = cluster_state.endpoints.get("a")
    state.record_unresponsive(clock.now)
    assert state.avoided(clock.now)
    clock.now += 0.2
    answered = [(endpoint_code("a"), 100, 100)]
    cluster_state.fleet.receive(report(slow=answered), clock.now)
    assert not state.avoided(clock.now)


def test_instances_that_the_store_lists_share_the_limits_before_they_are_heard():
    cluster_state, clock = create()
    cluster_state.fleet.add_registered(PeerInfo("two", "north", "north-b", "127.0.0.2"))
    assert sorted(cluster_state.fleet.names()) == ["one", "two"]
    assert [info.name for info in cluster_state.fleet.live()] == ["one"]
    clock.now += 31.0
    assert cluster_state.fleet.names() == ["one"]
