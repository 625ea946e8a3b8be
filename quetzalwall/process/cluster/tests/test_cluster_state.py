"""Cluster state: configuration, endpoints and reports of other instances."""

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

ADDRESS = ("127.0.0.1", 80)
OWN_INFO = PeerInfo("one", "north", "north-a", "127.0.0.1")


def create(clock=None, info=OWN_INFO):
    clock = clock or ManualClock()
    endpoints = create_endpoint_table(DOMAINS, parse_response, clock.monotonic)
    fleet = create_fleet(info, 1, endpoints, clock.monotonic, 7)
    return create_cluster_state(endpoints, fleet), clock


def configure(cluster_state, version, row, **fields):
    body = json.dumps(config_body(version) | fields).encode()
    cluster_state.apply("op", Rows([RowChange("config", body, row)], row), False, False)


def register(cluster_state, name, row=1, address=ADDRESS, complete=False, **fields):
    body = json.dumps(entry_body(address, **fields)).encode()
    rows = Rows([RowChange(name, body, row)], row)
    cluster_state.apply("servers", rows, complete, False)


def unregister(cluster_state, name, row, after_outage=False):
    rows = Rows([RowChange(name, None, row)], row)
    cluster_state.apply("servers", rows, False, after_outage)


def routable_names(cluster_state, service="desk"):
    return sorted(
        state.name for state in cluster_state.endpoints.routable_endpoints(service)
    )


def create_report(name="two", process_id=1, sequence=1, **fields):
    info = PeerInfo(name, "north", "north-b", "127.0.0.2")
    values = {
        "leaving": False,
        "reaches_store": True,
        "table_versions": {},
        "in_flight": [],
        "slowness": [],
        "cached": [],
    }
    return PeerReport(info, process_id, sequence, **(values | fields))


def test_older_configuration_is_not_applied():
    cluster_state, _ = create()
    configure(cluster_state, 5, 1)
    configure(cluster_state, 4, 2)
    assert cluster_state.configuration().version == 5
    configure(cluster_state, 12, 3)
    assert cluster_state.configuration().version == 12


def test_invalid_configuration_leaves_the_last_one_active():
    cluster_state, _ = create()
    configure(cluster_state, 5, 1)
    configure(cluster_state, 6, 2, routes={"columns": ["name"], "rows": [["x"]]})
    cluster_state.apply("op", Rows([RowChange("config", b"{", 3)], 3), False, False)
    assert cluster_state.configuration().version == 5


def test_complete_rows_remove_endpoints_that_are_not_listed():
    cluster_state, _ = create()
    register(cluster_state, "ep-1", 1)
    register(cluster_state, "ep-2", 2, ("127.0.0.1", 81), complete=True)
    assert routable_names(cluster_state) == ["ep-2"]


def test_stale_complete_rows_change_nothing():
    cluster_state, _ = create()
    register(cluster_state, "ep-1", 9)
    register(cluster_state, "ep-2", 4, ("127.0.0.1", 81), complete=True)
    assert routable_names(cluster_state) == ["ep-1"]


def test_draining_endpoint_gets_no_more_requests_at_once():
    cluster_state, _ = create()
    register(cluster_state, "ep-1", 1)
    register(cluster_state, "ep-1", 2, state="draining")
    assert routable_names(cluster_state) == []


def test_expired_entry_is_used_for_two_seconds_after_an_outage():
    cluster_state, clock = create()
    register(cluster_state, "ep-1", 1)
    register(cluster_state, "ep-2", 1, ("127.0.0.1", 81))
    unregister(cluster_state, "ep-1", 2, after_outage=True)
    unregister(cluster_state, "ep-2", 2, after_outage=True)
    clock.now += 1.9
    cluster_state.endpoints.drop_lapsed()
    assert routable_names(cluster_state) == ["ep-1", "ep-2"]
    register(cluster_state, "ep-2", 3, ("127.0.0.1", 81))
    clock.now += 0.2
    cluster_state.endpoints.drop_lapsed()
    assert routable_names(cluster_state) == ["ep-2"]


def test_entry_removed_without_an_outage_is_not_used_any_more():
    cluster_state, _ = create()
    register(cluster_state, "ep-1", 1)
    unregister(cluster_state, "ep-1", 2)
    assert routable_names(cluster_state) == []


def test_expiry_does_not_make_a_draining_endpoint_usable():
    cluster_state, _ = create()
    register(cluster_state, "ep-1", 1, state="draining")
    unregister(cluster_state, "ep-1", 2, after_outage=True)
    assert routable_names(cluster_state) == []


def test_newer_endpoint_takes_over_the_address_of_an_older_one():
    cluster_state, _ = create()
    register(cluster_state, "ep-1", 1, born=1000)
    register(cluster_state, "ep-2", 2, born=2000, service="photos")
    assert routable_names(cluster_state) == []
    assert routable_names(cluster_state, "photos") == ["ep-2"]


def test_restarted_endpoint_of_the_same_identity_has_a_new_state():
    cluster_state, _ = create()
    register(cluster_state, "ep-1", 1, born=1000)
    first = cluster_state.endpoints.get("ep-1")
    first.record_cached(5)
    register(cluster_state, "ep-1", 2, born=2000, coldLeft="3s")
    second = cluster_state.endpoints.get("ep-1")
    assert second is not first and second.reuse_distance(5) is None
    assert second.cold(1001.0) and not first.usable()


def test_evacuated_domain_gets_no_requests_and_is_cold_when_taken_back():
    cluster_state, clock = create()
    configure(cluster_state, 1, 1)
    register(cluster_state, "ep-1", 1)
    key = "evacuate/north-a"
    cluster_state.apply("op", Rows([RowChange(key, b"{}", 2)], 2), False, False)
    assert routable_names(cluster_state) == []
    cluster_state.apply("op", Rows([RowChange(key, None, 3)], 3), False, False)
    assert routable_names(cluster_state) == ["ep-1"]
    state = cluster_state.endpoints.get("ep-1")
    assert state.cold(clock.now + 3.0)
    assert not state.cold(clock.now + 4.0)


def test_malformed_entries_are_left_out():
    cluster_state, _ = create()
    register(cluster_state, "ep-1", 1)
    register(cluster_state, "ep-2", 2, ("127.0.0.1", 81), state="asleep")
    rows = Rows([RowChange("ep-3", b"\xff", 3)], 3)
    cluster_state.apply("servers", rows, False, False)
    assert routable_names(cluster_state) == ["ep-1"]


def test_another_instance_applies_exported_changes():
    cluster_state, _ = create()
    other, _ = create(info=OWN_INFO._replace(name="other"))
    register(cluster_state, "ep-1", 1)
    rows, complete = read_exported(cluster_state.export("servers"), "one")
    other.apply("servers", rows, complete, False)
    assert complete and routable_names(other) == ["ep-1"]
    register(cluster_state, "ep-2", 2, ("127.0.0.1", 81))
    unregister(cluster_state, "ep-1", 3, after_outage=True)
    body = cluster_state.export("servers", other.fleet.table_versions["servers"])
    rows, complete = read_exported(json.loads(json.dumps(body)), "one")
    assert not complete and rows.expired == {"ep-1"}
    other.apply("servers", rows, complete, False)
    assert routable_names(other) == ["ep-1", "ep-2"]
    assert other.endpoints.get("ep-1").grace_until is not None


def test_requests_of_peers_count_until_they_are_unresponsive():
    cluster_state, clock = create()
    register(cluster_state, "ep-1", 1)
    state = cluster_state.endpoints.get("ep-1")
    code = endpoint_code("ep-1")
    cluster_state.fleet.receive(create_report(in_flight=[(code, 3)]), clock.now)
    assert state.in_flight() == 3
    cluster_state.fleet.receive(
        create_report(sequence=2, in_flight=[(code, 1)]), clock.now
    )
    assert state.in_flight() == 1
    cluster_state.fleet.check_timeouts(clock.now + 2.0)
    assert state.in_flight() == 0
    assert [info.name for info in cluster_state.fleet.live()] == ["one"]


def test_after_a_stall_of_its_own_an_instance_marks_no_peer_unresponsive():
    cluster_state, clock = create()
    fleet = cluster_state.fleet
    fleet.receive(create_report(), clock.now)
    fleet.check_timeouts(clock.now)
    clock.now += 5.0
    fleet.check_timeouts(clock.now)
    assert len(fleet.live()) == 2
    for _ in range(20):
        clock.now += 0.1
        fleet.check_timeouts(clock.now)
    assert len(fleet.live()) == 1


def test_late_reports_change_nothing_even_after_a_restart():
    cluster_state, clock = create()
    register(cluster_state, "ep-1", 1)
    state = cluster_state.endpoints.get("ep-1")
    code = endpoint_code("ep-1")
    fleet = cluster_state.fleet
    fleet.receive(
        create_report(process_id=9, sequence=50, in_flight=[(code, 3)]), clock.now
    )
    fleet.receive(
        create_report(process_id=9, sequence=49, in_flight=[(code, 8)]), clock.now
    )
    assert state.in_flight() == 3
    fleet.receive(
        create_report(process_id=4, sequence=1, in_flight=[(code, 1)]), clock.now
    )
    fleet.receive(
        create_report(process_id=9, sequence=51, in_flight=[(code, 3)]), clock.now
    )
    assert state.in_flight() == 1


def test_live_instances_exclude_a_leaving_one():
    cluster_state, clock = create()
    cluster_state.fleet.receive(create_report(), clock.now)
    assert len(cluster_state.fleet.live()) == 2
    cluster_state.fleet.receive(create_report(sequence=2, leaving=True), clock.now)
    assert [info.name for info in cluster_state.fleet.live()] == ["one"]


def test_some_instances_follow_the_store_and_others_replace_them_on_failure():
    fleets = []
    names = [f"front-{n}" for n in range(12)]
    clock = ManualClock()
    for name in names:
        cluster_state, _ = create(clock, OWN_INFO._replace(name=name))
        fleets.append(cluster_state.fleet)
        for other in names:
            cluster_state.fleet.receive(create_report(other), clock.now)
    readers = [fleet.own_info.name for fleet in fleets if follows_store(fleet)]
    assert len(readers) == 2
    for fleet in fleets:
        for name in readers:
            unreachable = create_report(name, sequence=2, reaches_store=False)
            fleet.receive(unreachable, clock.now)
    others = {fleet.own_info.name for fleet in fleets if follows_store(fleet)}
    assert len(others - set(readers)) == 2


def test_objects_served_to_a_peer_are_recorded():
    cluster_state, clock = create()
    register(cluster_state, "ep-1", 1)
    cluster_state.fleet.receive(
        create_report(cached=[(endpoint_code("ep-1"), 77)]), clock.now
    )
    assert cluster_state.endpoints.get("ep-1").reuse_distance(77) == 0


def test_report_is_unchanged_by_encoding_and_decoding():
    sent = create_report(in_flight=[(1, 2)], slowness=[(3, 250, 40)], cached=[(5, 6)])
    raw = msgspec.msgpack.encode(sent)
    assert msgspec.msgpack.decode(raw, type=PeerReport) == sent


def test_endpoint_is_unresponsive_if_it_responds_neither_here_nor_to_a_peer():
    cluster_state, clock = create()
    for name in ("a", "b"):
        register(cluster_state, name)
    state = cluster_state.endpoints.get("a")
    state.own_in_flight = 1
    in_flight = [(endpoint_code("a"), 1)]
    cluster_state.fleet.receive(create_report(in_flight=in_flight), clock.now)
    assert state.unresponsive_s(clock.now) == 0
    clock.now += 1.5
    assert state.unresponsive_s(clock.now) == 1.5
    responded = [(endpoint_code("a"), 100, 200)]
    cluster_state.fleet.receive(
        create_report(sequence=2, in_flight=in_flight, slowness=responded), clock.now
    )
    assert abs(state.unresponsive_s(clock.now) - 0.2) < 1e-6


def test_single_request_in_flight_does_not_make_an_endpoint_unresponsive():
    cluster_state, clock = create()
    register(cluster_state, "a")
    state = cluster_state.endpoints.get("a")
    state.own_in_flight = 1
    for _ in range(5):
        clock.now += 1.0
        assert state.unresponsive_s(clock.now) == 0


def test_unresponsive_endpoint_is_used_again_once_it_responds_to_any_instance():
    cluster_state, clock = create()
    register(cluster_state, "a")
    state = cluster_state.endpoints.get("a")
    state.record_unresponsive(clock.now)
    assert state.avoided(clock.now)
    clock.now += 0.2
    responded = [(endpoint_code("a"), 100, 100)]
    cluster_state.fleet.receive(create_report(slowness=responded), clock.now)
    assert not state.avoided(clock.now)


def test_instances_listed_in_the_store_share_limits_before_their_first_report():
    cluster_state, clock = create()
    cluster_state.fleet.add_registered(PeerInfo("two", "north", "north-b", "127.0.0.2"))
    assert sorted(cluster_state.fleet.names()) == ["one", "two"]
    assert [info.name for info in cluster_state.fleet.live()] == ["one"]
    clock.now += 31.0
    assert cluster_state.fleet.names() == ["one"]
