"""Addresses of instances in reports and in rows of the store."""

import random

import msgspec
from nose2.tools import params

from quetzalwall.platform.store import RowChange, Rows
from quetzalwall.process.cluster.peer_report import (
    PeerInfo,
    PeerReport,
    decode_report,
    encode_report,
)
from quetzalwall.process.cluster.tests.test_store_watch import create_fleet_with_peers
from quetzalwall.process.registration import register
from quetzalwall.tests.platform_fixtures import own_address

INVALID_HOSTS = (
    "peer.example",
    "localhost",
    "",
    "127.1",
    "10.0.0.300",
    "10.0.0.1\n",
    "::1",
)


def encode_report_from(host):
    info = PeerInfo("peer", "north", "north-a", host)
    return encode_report(PeerReport(info, 1, 1, False, True, {}, [], [], []))


# An instance that gave a host name as its address made every other one resolve it for
# each datagram, which blocks the event loop (found with incident report 3).
@params(*INVALID_HOSTS)
def test_report_with_an_address_that_is_no_ipv4_address_is_rejected(host):
    try:
        decode_report(encode_report_from(host))
    except msgspec.DecodeError:
        return
    raise AssertionError("the report was accepted")


def test_row_with_an_address_that_is_no_ipv4_address_adds_no_peer():
    fleet = create_fleet_with_peers([], 1)
    hosts = [*INVALID_HOSTS, own_address(1)]
    infos = [
        PeerInfo(f"peer-{n}", "north", "north-a", host) for n, host in enumerate(hosts)
    ]
    rows = [RowChange(info.name, msgspec.json.encode(info), 1) for info in infos]

    class Store:
        def put(self, table, key, value):
            pass

        def read(self, table):
            return Rows(rows, 1)

    register(Store(), fleet)
    assert [peer.info for peer in fleet.peers()] == infos[-1:]


def test_every_ipv4_address_is_accepted():
    rng = random.Random(1)
    for _ in range(1000):
        host = ".".join(str(rng.randrange(256)) for _ in range(4))
        assert decode_report(encode_report_from(host)).sender.host == host
