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
from quetzalwall.process.cluster.tests.test_behind_others import fleet_of
from quetzalwall.process.registration import register
from quetzalwall.tests.platform_fixtures import own_address

NAMES = ("peer.example", "localhost", "", "127.1", "10.0.0.300", "10.0.0.1\n", "::1")


def report_of(host):
    info = PeerInfo("peer", "north", "north-a", host)
    return encode_report(PeerReport(info, 1, 1, False, True, {}, [], [], []))


# Found by class with report 3: an instance that gave a name for its address had every
# other one look it up in each datagram, which holds the event loop meanwhile.
@params(*NAMES)
def test_a_report_from_no_ip_number_is_no_report(host):
    try:
        decode_report(report_of(host))
    except msgspec.DecodeError:
        return
    raise AssertionError("it was taken")


def test_a_row_that_gives_no_ip_number_introduces_nobody():
    fleet = fleet_of([], 1)
    hosts = [*NAMES, own_address(1)]
    cards = [
        PeerInfo(f"peer-{n}", "north", "north-a", host) for n, host in enumerate(hosts)
    ]
    rows = [RowChange(info.name, msgspec.json.encode(info), 1) for info in cards]

    class Store:
        def put(self, table, key, value):
            pass

        def read(self, table):
            return Rows(rows, 1)

    register(Store(), fleet)
    assert [peer.info for peer in fleet.peers()] == cards[-1:]


def test_every_ip_number_is_taken():
    rng = random.Random(1)
    for _ in range(1000):
        host = ".".join(str(rng.randrange(256)) for _ in range(4))
        assert decode_report(report_of(host)).info.host == host
