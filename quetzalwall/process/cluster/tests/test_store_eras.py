"""Rows, reports and evacuations of a store that was restored from an older copy."""

import json

from quetzalwall.platform.store import RowChange, Rows
from quetzalwall.platform.store_era import combine_version, parse_era
from quetzalwall.process.cluster.exported_rows import read_exported
from quetzalwall.process.cluster.store_readers import peers_ahead
from quetzalwall.process.cluster.tests.test_cluster_state import (
    ADDRESS,
    configure,
    create,
    create_report,
    register,
    routable_names,
)
from quetzalwall.tests.platform_fixtures import config_body, entry_body


def restore(cluster_state, table, version, **bodies):
    """Apply all rows of a restored table; each body may be in place of its key."""
    version = combine_version(1, version)
    rows = [
        RowChange(key.replace("__", "/"), json.dumps(body).encode(), version)
        for key, body in bodies.items()
    ]
    cluster_state.apply(table, Rows(rows, version), True, False)


# The copy showed an endpoint's earlier start at its earlier address, and requests were
# sent to nobody until it registered again.
def test_an_earlier_start_in_the_copy_does_not_replace_the_known_one():
    cluster_state, clock = create()
    register(cluster_state, "ep", 50, born=9)
    earlier = entry_body(("127.0.0.1", 81), born=8)
    restore(cluster_state, "servers", 40, ep=earlier)
    assert routable_names(cluster_state) == ["ep"]
    assert cluster_state.endpoints.get("ep").entry.port == ADDRESS[1]
    clock.now += 2.1
    cluster_state.endpoints.drop_lapsed()
    assert routable_names(cluster_state) == []


# A draining endpoint that had left before the restore came back with the copy.
def test_a_removed_draining_endpoint_that_the_copy_brings_back_gets_no_requests():
    cluster_state, _ = create()
    register(cluster_state, "ep", 50)
    register(cluster_state, "ep", 51, state="draining")
    cluster_state.apply("servers", Rows([RowChange("ep", None, 52)], 52), False, False)
    restore(cluster_state, "servers", 40, ep=entry_body(ADDRESS))
    assert routable_names(cluster_state) == []


# An instance that starts gets its tables from others: they exported the older
# configuration of the copy, although they followed the newer one.
def test_the_active_configuration_is_exported_in_place_of_the_older_one():
    cluster_state, _ = create()
    configure(cluster_state, 1, 40)
    configure(cluster_state, 2, 50)
    for bodies in ({"config": config_body(1)}, {}):
        restore(cluster_state, "op", 41 + len(bodies), **bodies)
        assert cluster_state.configuration().version == 2
        value = cluster_state.export("op")["rows"]["config"]
        other, _ = create()
        version = combine_version(1, 42)
        row = RowChange("config", json.dumps(config_body(1)).encode(), version)
        other.apply("op", Rows([row], version), True, False)
        from_peer = cluster_state.export("op")
        assert from_peer["rows"]["config"] == value
        other.adopt_configuration(read_exported(from_peer, "two")[0])
        assert other.configuration().version == 2
        assert other.export("op")["rows"]["config"][0] == value[0]


# A withdrawn evacuation came back with the copy and took a domain out for good; a new
# one after the restore must take effect at once.
def test_an_evacuation_brought_back_is_ignored_for_a_while_and_a_new_one_followed():
    cluster_state, _ = create()
    configure(cluster_state, 1, 40)
    rows = [RowChange("evacuate/north-b", b"{}", 41)]
    cluster_state.apply("op", Rows(rows, 41), False, False)
    rows = [RowChange("evacuate/north-b", None, 42)]
    cluster_state.apply("op", Rows(rows, 42), False, False)
    bodies = {"evacuate__north-b": {}, "evacuate__south-a": {}}
    restore(cluster_state, "op", 41, config=config_body(1), **bodies)
    assert cluster_state.endpoints.evacuated == {"south-a"}
    row = RowChange("evacuate/north-b", b"{}", combine_version(1, 42))
    cluster_state.apply("op", Rows([row], row.version), False, False)
    assert cluster_state.endpoints.evacuated == {"north-b", "south-a"}


# Versions go back with the copy: a peer that had read it was taken to be behind.
def test_a_peer_in_a_later_era_is_ahead_whatever_its_version():
    cluster_state, clock = create()
    register(cluster_state, "ep", 500)
    version = combine_version(1, 3)
    report = create_report(table_versions={"servers": version})
    cluster_state.fleet.receive(report, clock.now)
    assert [info.name for info in peers_ahead(cluster_state.fleet, "servers")] == [
        "two"
    ]
    late = create_report(sequence=2, table_versions={"servers": 900})
    cluster_state.fleet.receive(late, clock.now)
    restore(cluster_state, "servers", 4)
    assert not peers_ahead(cluster_state.fleet, "servers")


# A malformed era must not make versions of the store incomparable.
def test_a_malformed_era_is_ignored():
    for text in ("-1", "1.5", "x", "", "9" * 30, "40000"):
        assert parse_era({"store-era": text}) is None
    assert parse_era({"x-quetzalwall-store-era": "3"}) == 3
    assert parse_era({}) is None
