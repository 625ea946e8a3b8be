"""The store is restored from a copy that is some seconds old, in the next era."""

import json
import time
from contextlib import ExitStack

import gevent

from quetzalwall.platform.store import HistoryGone, create_store_client
from quetzalwall.platform.store_era import combine_version, era_of
from quetzalwall.tests.platform_fixtures import (
    config_body,
    own_address,
    running_site,
    start_front,
    wait_for,
)
from quetzalwall.tests.product_fixtures import small_deployment


class Copy:
    """The state of a store at a moment, to be restored later."""

    def __init__(self, store):
        self.store = store
        gevent.sleep(0.15)  # the stand-in keeps a copy each 0.1 s
        self.at = time.monotonic()
        gevent.sleep(0.15)

    def restore(self, away_s=0.0):
        self.store.restore(time.monotonic() - self.at, away_s)


def versions(site):
    return [front.cluster_state.configuration().version for front in site.fronts]


def routable(front):
    return sorted(state.name for state in front.endpoints.routable_endpoints("desk"))


def in_era(front, era=1):
    known = front.fleet.read_versions
    return all(era_of(known.get(table, 0)) == era for table in ("op", "servers"))


def wait_for_era(site, timeout_s=5.0):
    wait_for(lambda: all(in_era(front) for front in site.fronts), timeout_s)


# A copy gave back a key that had been revoked: an instance that restarted took the
# older configuration and had no reason to ask the others: its tables were current.
def test_a_configuration_that_the_copy_lost_stays_active_also_at_a_new_instance():
    with running_site(fronts=3) as site, ExitStack() as stack:
        copy = Copy(site.store)
        site.write_config(config_body(2))
        wait_for(lambda: versions(site) == [2, 2, 2])
        copy.restore(away_s=0.5)
        wait_for_era(site)
        site.fronts[2].close()
        site.fronts[2] = start_front(stack, site, 2)
        wait_for(lambda: site.fronts[2].cluster_state.configuration())
        wait_for(lambda: versions(site) == [2, 2, 2], 3.0)
        gevent.sleep(0.5)
        assert versions(site) == [2, 2, 2]
        site.write_config(config_body(3))
        wait_for(lambda: versions(site) == [3, 3, 3])


# A copy that is older than a revocation contains the key again.
def test_a_revoked_key_that_the_copy_gives_back_grants_no_access():
    with running_site(fronts=2) as site, ExitStack() as stack:

        def write(version, *keys):
            tenants = {"columns": ["name", "apiKeys"], "rows": [["acme", [*keys]]]}
            site.write_config(config_body(version) | {"tenants": tenants})

        def statuses():
            fields = {"X_Quetzalwall_Credential": "key-1"}
            return [site.get("/look/1", n, **fields)[0] for n in (0, 1)]

        write(2, "key-1", "key-2")
        wait_for(lambda: statuses() == [200, 200])
        copy = Copy(site.store)
        write(3, "key-2")
        wait_for(lambda: statuses() == [401, 401])
        copy.restore()
        wait_for_era(site)
        assert statuses() == [401, 401]
        site.fronts[1].close()
        site.fronts[1] = start_front(stack, site, 1)
        wait_for(lambda: versions_or_none(site) == [3, 3], 3.0)
        assert statuses() == [401, 401]


def versions_or_none(site):
    found = [front.cluster_state.configuration() for front in site.fronts]
    return [cfg and cfg.version for cfg in found]


# What this system wrote is lost in the copy: other instances could not be found.
def test_an_instance_registers_again():
    with running_site(fronts=2) as site:
        key = ("instances", "", "front-1")
        row = site.store.rows[key][0]
        site.store.put("instances", "front-1", None)
        copy = Copy(site.store)
        site.store.put("instances", "front-1", row)
        copy.restore()
        assert key not in site.store.rows
        wait_for(lambda: key in site.store.rows)


# Entries that are missing in the copy were removed at once, and one that was draining
# came back as ready.
def test_endpoints_that_the_copy_lost_expire_and_draining_ones_stay_so():
    with running_site(fronts=2, endpoints=3) as site:
        site.store.put("servers", "ep-2", None)
        wait_for(lambda: all(len(front.endpoints) == 2 for front in site.fronts))
        copy = Copy(site.store)
        site.register(site.endpoints[2])
        site.register(site.endpoints[0], state="draining")
        ready = ["ep-1", "ep-2"]
        wait_for(lambda: all(routable(front) == ready for front in site.fronts))
        copy.restore()
        wait_for_era(site)
        restored = time.monotonic()
        while time.monotonic() < restored + 1.0:
            assert all(routable(front) == ready for front in site.fronts)
            gevent.sleep(0.05)
        wait_for(lambda: all(routable(front) == ["ep-1"] for front in site.fronts), 3.0)
        site.register(site.endpoints[2])
        wait_for(lambda: all(routable(front) == ready for front in site.fronts))


# An instance that was cut off during the restore asked for changes after a version that
# the store had assigned again meanwhile, and never saw the rows before it.
def test_an_instance_cut_off_meanwhile_sees_changes_under_versions_assigned_again():
    with running_site(fronts=1) as site:
        front = site.fronts[0]
        copy = Copy(site.store)
        for _ in range(5):
            site.register(site.endpoints[0])
        reached = site.store.version
        wait_for(lambda: front.fleet.read_versions["servers"] >= reached)
        site.store.set_faults(refuse=["127.0.0.1", own_address(0)])
        copy.restore()
        site.store.put("op", "evacuate/north-b", b"{}")
        site.register(site.endpoints[1], domain="north-b")
        while site.store.version < reached + 2:
            site.register(site.endpoints[0])
        site.store.set_faults(refuse=[])
        wait_for(lambda: routable(front) == ["ep-0"])
        assert front.endpoints.evacuated == {"north-b"}


# An evacuation that the copy lost ended at once, and requests went to a domain that the
# operators had taken out.
def test_an_evacuation_that_the_copy_lost_is_kept_until_its_row_is_written():
    with running_site(fronts=2) as site:
        site.register(site.endpoints[1], domain="north-b")
        copy = Copy(site.store)
        site.store.put("op", "evacuate/north-b", b"{}")
        wait_for(lambda: all(routable(front) == ["ep-0"] for front in site.fronts))
        copy.restore()
        wait_for_era(site)
        assert all(routable(front) == ["ep-0"] for front in site.fronts)
        site.store.put("op", "evacuate/north-b", b"{}")
        gevent.sleep(0.5)
        site.store.put("op", "evacuate/north-b", None)
        wait_for(lambda: all(len(routable(front)) == 2 for front in site.fronts))


# A version of an earlier era must not be sent: the store may have assigned it again.
def test_a_version_of_an_earlier_era_is_never_asked_for():
    with running_site(fronts=0) as site:
        client = create_store_client(*site.store.server.address)
        before = client.read("servers").version
        site.store.restore(0.0)
        calls = site.store.calls
        client.read("op")
        for _ in range(2):
            try:
                client.follow("servers", before, 0)
                raise AssertionError("changes after a version of an earlier era")
            except HistoryGone:
                pass
        assert site.store.calls == calls + 1
        assert client.read("servers").version > combine_version(0, 2**47)
        client.close()


# The settings tree is this system's own: no operator writes it again.
def test_the_settings_tree_that_the_copy_lost_is_written_again():
    with small_deployment() as deployment:
        name, store = next(iter(deployment.fronts)), deployment.store
        copy = Copy(store)

        def change(subtree):
            subtree["services"]["desk"]["max_body_bytes"] = 40_000_000

        assert deployment.put(name, change, 1).status == 200
        deployment.wait_for_version(2)
        copy.restore()

        def head_version():
            return max(
                json.loads(value)["version"]
                for (table, _, _), (value, _) in store.rows.items()
                if table == "settings" and b'"teams"' in value
            )

        wait_for(lambda: head_version() == 2)
        assert deployment.put(name, change, 2).status == 200
        deployment.wait_for_version(3)


# The claim of a request that ran was lost in the copy, and its repetition at another
# instance ran a second time.
def test_a_request_whose_claim_the_copy_lost_does_not_run_again():
    with small_deployment() as deployment:
        first, second = deployment.fronts
        copy = Copy(deployment.store)
        sent = deployment.send(first, "POST", "/bookings", b"x", key="k")
        assert sent.status == 200
        gevent.sleep(0.6)  # a report period between regions
        copy.restore()
        # Even if the instance that holds the claim has gone.
        deployment.fronts.pop(first).close()
        statuses = set()
        for _ in range(12):
            reply = deployment.send(second, "POST", "/bookings", b"x", key="k")
            statuses.add(reply.status)
            gevent.sleep(0.4)
        assert deployment.run_count("k") == 1
        assert statuses <= {409, 503}
        reply = deployment.send(second, "POST", "/bookings", b"x", key="other")
        assert reply.status == 200


# The instance that holds the claim is alive: it has to write it again, since the others
# forget the codes of claims after a while and new instances never had them.
def test_a_claim_that_the_copy_lost_is_written_again():
    with small_deployment() as deployment:
        first, second = deployment.fronts
        copy = Copy(deployment.store)
        assert deployment.send(first, "POST", "/bookings", b"x", key="k").status == 200
        key = ("claims", "", "claim/desk/k")
        wait_for(lambda: b'"done"' in deployment.store.rows[key][0])
        copy.restore()
        assert key not in deployment.store.rows
        assert deployment.send(second, "POST", "/bookings", b"x", key="k").status == 503
        wait_for(lambda: b'"done"' in deployment.store.rows.get(key, (b"",))[0])
        gevent.sleep(3.2)
        assert deployment.send(second, "POST", "/bookings", b"x", key="k").status == 409
        assert deployment.run_count("k") == 1
