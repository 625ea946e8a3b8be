"""Which endpoint is used at an address that several entries name."""

from nose2.tools import params

from quetzalwall.process.cluster.tests.test_cluster_state import (
    configure,
    create,
    register,
    routable_names,
    unregister,
)
from quetzalwall.tests.platform_fixtures import config_body


def named(*services):
    """Return the services of a configuration."""
    return config_body(services=services)["services"]


# Entries of another writer, for a service that the configuration does not name, took
# endpoints of the same address out, also after they had been removed.
@params("before the configuration", "after it", "as only entry of the address")
def test_entry_for_a_service_that_is_not_named_neither_adds_nor_removes(order):
    cluster_state, _ = create()
    if order == "after it":
        configure(cluster_state, 1, 1)
    if order != "as only entry of the address":
        register(cluster_state, "ep-1", 2, born=1)
    register(cluster_state, "other", 3, service="unnamed", born=2)
    if order != "after it":
        configure(cluster_state, 1, 4)
    register(cluster_state, "ep-1", 5, born=1, seq=2)
    assert routable_names(cluster_state) == ["ep-1"]
    assert cluster_state.endpoints.get("other") is None
    unregister(cluster_state, "other", 6)
    configure(cluster_state, 2, 7, services=named("desk", "unnamed"))
    assert cluster_state.endpoints.get("other") is None


def test_entry_is_used_once_a_configuration_names_its_service():
    cluster_state, _ = create()
    for version, name in ((1, "ep-1"), (2, "ep-2")):
        register(cluster_state, name, version, service="later", born=version)
        register(cluster_state, f"{name}-desk", version, address=("127.0.0.1", 81))
        configure(cluster_state, version, version)
    assert routable_names(cluster_state, "later") == []
    configure(cluster_state, 3, 3, services=named("desk", "later"))
    assert routable_names(cluster_state, "later") == ["ep-2"]
    # The older of the two is at the address again if the newer one moves.
    register(cluster_state, "ep-2", 4, ("127.0.0.1", 82), service="later", born=2)
    assert routable_names(cluster_state, "later") == ["ep-1", "ep-2"]


def test_endpoint_whose_entry_names_another_service_is_unused_until_its_next_entry():
    cluster_state, _ = create()
    configure(cluster_state, 1, 1)
    register(cluster_state, "ep-1", 2)
    state = cluster_state.endpoints.get("ep-1")
    register(cluster_state, "ep-1", 3, service="unnamed")
    assert routable_names(cluster_state) == []
    register(cluster_state, "ep-1", 4)
    assert routable_names(cluster_state) == ["ep-1"]
    assert cluster_state.endpoints.get("ep-1") is state


# An endpoint stayed unused for ever after another one had been at its address.
@params("removed", "moved", "malformed", "misdirected")
def test_address_that_another_endpoint_frees_is_used_again(change):
    cluster_state, _ = create()
    configure(cluster_state, 1, 1)
    register(cluster_state, "ep-1", 2, born=1)
    register(cluster_state, "ep-2", 3, born=2)
    assert routable_names(cluster_state) == ["ep-2"]
    if change == "removed":
        unregister(cluster_state, "ep-2", 4)
    elif change == "moved":
        register(cluster_state, "ep-2", 4, ("127.0.0.1", 82), born=2)
    elif change == "malformed":
        register(cluster_state, "ep-2", 4, born=2, state="asleep")
    else:
        endpoints = cluster_state.endpoints
        endpoints.addresses.record_wrong_address(endpoints.get("ep-2"))
    assert "ep-1" in routable_names(cluster_state)


# The other endpoint's removal frees the address also if a response had said that the
# first one is not there.
def test_misdirected_endpoint_is_used_again_when_the_other_one_is_removed():
    cluster_state, _ = create()
    register(cluster_state, "ep-1", 1, born=1)
    register(cluster_state, "ep-2", 2, born=0)
    endpoints = cluster_state.endpoints
    endpoints.addresses.record_wrong_address(endpoints.get("ep-1"))
    assert routable_names(cluster_state) == ["ep-2"]
    unregister(cluster_state, "ep-2", 3)
    assert routable_names(cluster_state) == ["ep-1"]
