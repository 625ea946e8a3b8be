"""For how long instances rely on their copies of tables, and who asks the store."""

import random
from types import SimpleNamespace

from nose2.tools import params

from quetzalwall.platform.bounds import Bounds
from quetzalwall.platform.rows import ENDPOINTS_TABLE, OPERATOR_TABLE
from quetzalwall.process.cluster.fleet import create_fleet
from quetzalwall.process.cluster.peer_report import PeerInfo, PeerReport
from quetzalwall.process.cluster.store_readers import follows_store
from quetzalwall.process.cluster.store_watch import create_table_watch
from quetzalwall.process.cluster.table_trust import ask_after_s
from quetzalwall.tests.platform_fixtures import ManualClock

REACTION_S = 1.0  # a call to the store between regions, and requests on their way
CALL_AND_SPREAD_S = 0.3


def create_members(count, regions, clock):
    """Return the infos of the instances of a fleet, and a function that creates it."""
    endpoints = SimpleNamespace(by_code=lambda code: None)
    infos = [
        PeerInfo(f"i-{n}", f"r-{n % regions}", f"d-{n}", f"127.0.{n // 250}.{n % 250}")
        for n in range(count)
    ]

    def create_view(own):
        fleet = create_fleet(own, 1, endpoints, clock.monotonic, 1)
        for n, info in enumerate(infos):
            if info != own:
                tables = {ENDPOINTS_TABLE: 1, OPERATOR_TABLE: 1}
                report = PeerReport(info, n + 2, 1, False, True, tables, [], [], [])
                fleet.receive(report, clock.now)
        fleet.table_versions = {ENDPOINTS_TABLE: 1, OPERATOR_TABLE: 1}
        return fleet

    return infos, create_view


# An instance that relied on others asked the store once its table was unconfirmed for
# 1.6 s and two report periods, which grow with the fleet: 3.97 s at 216 instances in
# three regions, and requests reached draining endpoints over 3 s after the
# acknowledgement (review, case 8).
@params(
    (9, 1, 2.5),
    (60, 1, 2.5),
    (100, 3, 3.0),
    (216, 3, 2.5),
    (300, 1, 2.5),
    (300, 3, 3.0),
    (1000, 16, 2.5),
)
def test_the_store_is_asked_in_time_at_every_size(count, regions, bound_s):
    clock = ManualClock()
    infos, create_view = create_members(count, regions, clock)
    relying = 0
    for own in random.Random(1).sample(infos, 8):
        fleet = create_view(own)
        fleet.bounds = Bounds(drain_s=bound_s, config_s=bound_s)
        clock_s = clock.now
        for table in (ENDPOINTS_TABLE, OPERATOR_TABLE):
            watch = create_table_watch(None, table, None, None, fleet, clock.monotonic)
            clock.now += bound_s - REACTION_S + 0.01
            relying += not follows_store(fleet)
            assert watch._needs_store()
            clock.now = clock_s
    assert relying


# All instances that had lost their readers would have asked the store at once. Where
# just the readers were lost, 25 asked before a result was passed on.
@params(
    (121, 1.0),
    (121, 1.0, 6),
    (300, 1.0, 6),
    (300, 1.0),
    (300, 0.5),
    (300, 0.1),
    (300, 0.013),
    (1000, 1.0),
    (1000, 0.5),
)
def test_few_instances_ask_before_a_result_is_passed_on(count, share_left, lost=0):
    rng = random.Random(2)
    left = sorted(rng.sample(range(count), max(1, round(share_left * count))))[lost:]
    delays = []
    for rank in left:
        # Those that were lost are not known to be lost yet.
        preceding = [
            SimpleNamespace(reaches_store=True, unresponsive=False, leaving=False)
        ] * rank
        fleet = SimpleNamespace(
            preceding_peers=lambda preceding=preceding: iter(preceding),
            peer_count=lambda: count - 1,
        )
        delays.append(ask_after_s(fleet, 2.5))
    first = min(delays)
    asking = sum(delay < first + CALL_AND_SPREAD_S for delay in delays)
    assert max(delays) <= 2.5 - REACTION_S
    assert asking <= min(len(left), 16), asking


# A datagram that waited in the socket of a stopped process, or a response that waited
# there, confirmed the table as of its arrival.
def test_a_late_response_confirms_the_table_only_as_of_its_call():
    clock = ManualClock()
    _, create_view = create_members(12, 1, clock)
    fleet = create_view(PeerInfo("i-0", "r-0", "d-0", "127.0.0.0"))

    def follow(table, after, wait_s):
        clock.now += wait_s + 6.0
        return SimpleNamespace(rows=[], version=1)

    watch = create_table_watch(
        SimpleNamespace(follow=follow),
        ENDPOINTS_TABLE,
        lambda *_: None,
        None,
        fleet,
        clock.monotonic,
    )
    watch._read_all = False
    sent = clock.now
    watch._call(1.0)
    assert fleet.table_updates.known_as_of(ENDPOINTS_TABLE, 1) == sent


# The age in a report leaves out the time for which it waited in the socket.
def test_a_report_read_after_a_stall_confirms_no_table():
    clock = ManualClock()
    _, create_view = create_members(12, 1, clock)
    fleet = create_view(PeerInfo("i-0", "r-0", "d-0", "127.0.0.0"))
    freshness, updates = fleet.table_updates.freshness, fleet.table_updates
    report = PeerReport(
        None, 3, 9, False, True, {ENDPOINTS_TABLE: 1}, [], [], [], {ENDPOINTS_TABLE: 0}
    )
    freshness.record_drained(clock.now)
    drained_at = clock.now
    clock.now += 0.3
    updates.receive(report, clock.now)
    assert updates.known_as_of(ENDPOINTS_TABLE, 1) == drained_at
    clock.now += 6.0
    updates.receive(report, clock.now)
    assert updates.known_as_of(ENDPOINTS_TABLE, 1) == drained_at
