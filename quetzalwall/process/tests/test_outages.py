"""Instances cut off from the store, from each other, or from both."""

from contextlib import contextmanager

import gevent

from quetzalwall.exceptions import PeerError
from quetzalwall.process.sharing.rights import LEASE_S
from quetzalwall.process.tests.test_entry import runs, send, wait_version
from quetzalwall.tests.fixtures import small_deployment


def cut_peers(entry):
    """Let every message from and to other instances of an entry be lost."""

    def lost(*args, **kwargs):
        raise PeerError("cut", "call", "peer")

    entry.peers.client = lost
    entry.node.answer_heartbeat = lost
    entry.node.lend = lost


def entitled(deployment, name, kind="short"):
    node = deployment.entries[name].node
    now = node.clock.monotonic()
    keys = node.steering.services["desk"].keys(kind, "east")
    return sum(node.ledger.entitled(key, now) for key in keys)


@contextmanager
def two_in_one_region():
    with small_deployment(instances=2, regions=("east",), slots=8) as deployment:
        nodes = [entry.node for entry in deployment.entries.values()]
        deployment.wait(lambda: all(node.holders.heir_of(node.name) for node in nodes))
        gevent.sleep(0.5)
        yield deployment


def test_vouches_keep_shares_whole_while_the_store_is_down():
    with two_in_one_region() as deployment:
        before = entitled(deployment, "east-1")
        deployment.platform.faults["table_down"] = True
        gevent.sleep(2.5 * LEASE_S)
        assert entitled(deployment, "east-1") == before
        assert send(deployment, "east-1", "GET", "/status/1").status == 200


def test_cut_off_instance_falls_back_to_its_reserve_and_recovers():
    with two_in_one_region() as deployment:
        before = entitled(deployment, "east-1")
        entry = deployment.entries["east-1"]
        client, answer = entry.peers.client, entry.node.answer_heartbeat
        deployment.platform.faults["table_down"] = True
        cut_peers(entry)
        gevent.sleep(LEASE_S + 0.5)
        assert 0 < entitled(deployment, "east-1") <= before // 2
        assert send(deployment, "east-1", "GET", "/status/1").status == 200
        entry.peers.client, entry.node.answer_heartbeat = client, answer
        deployment.platform.faults["table_down"] = False
        deployment.wait(lambda: entitled(deployment, "east-1") == before, 20)


def test_share_of_a_dead_instance_is_taken_over_and_given_back():
    with two_in_one_region() as deployment:
        deployment.entries["east-2"].close()
        record = lambda: deployment.platform.row("shares/holders")["value"]  # noqa: E731
        deployment.wait(lambda: record()["holders"] == {"east-2": "east-1"})
        entry = deployment.start_entry("east-2")
        deployment.wait(lambda: record()["holders"] == {}, timeout_s=15)
        assert entry.node.holders.unclean
        reply = send(deployment, "east-2", "GET", "/status/1")
        assert (reply.status, runs(deployment, "none")) == (200, 0)


def test_calls_of_the_store_grow_fewer_while_it_is_down():
    with two_in_one_region() as deployment:
        counts = deployment.platform.counts
        deployment.platform.faults["table_down"] = True
        found = []
        for _ in range(4):
            before = counts["refused"]
            gevent.sleep(2.0)
            found.append(counts["refused"] - before)
        assert found[-1] <= 4
        assert sum(found) <= 40
        deployment.platform.faults["table_down"] = False
        before = counts["read"]
        gevent.sleep(1.0)
        assert counts["read"] - before <= 12


def test_configuration_reaches_an_instance_that_can_not_read_the_store():
    with two_in_one_region() as deployment:
        reader = deployment.entries["east-2"]

        def down(*args, **kwargs):
            from quetzalwall.exceptions import StoreUnavailable

            raise StoreUnavailable("cut", "read", "table")

        reader._table.read = down
        head = deployment.platform.row("config/head")["value"]
        newer = {**head, "version": 2}
        deployment.platform.txn({}, {"config/head": newer})
        wait_version(deployment, 2)


def test_paused_heartbeats_do_not_revert_a_version():
    with two_in_one_region() as deployment:
        head = deployment.platform.row("config/head")["value"]
        deployment.platform.txn({}, {"config/head": {**head, "version": 5}})
        wait_version(deployment, 5)
        deployment.platform.txn({}, {"config/head": {**head, "version": 3}})
        gevent.sleep(1.5)
        nodes = [entry.node for entry in deployment.entries.values()]
        assert {node.keeper.in_force_version() for node in nodes} == {5}


def test_superseded_process_stops():
    with two_in_one_region() as deployment:
        entry = deployment.entries["east-1"]
        row = deployment.platform.row("shares/holders")["value"]
        later = row["running"]["east-1"] + 1000
        running = {**row["running"], "east-1": later}
        newer = {**row, "running": running}
        deployment.platform.txn({}, {"shares/holders": newer})
        deployment.wait(lambda: entry.stopping)
        assert entitled(deployment, "east-1") == 0
        entry._stopped.wait(10)
        kept = deployment.platform.row("shares/holders")["value"]["running"]
        assert kept["east-1"] == later
