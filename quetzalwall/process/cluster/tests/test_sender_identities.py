"""Reports that do not name their sender."""

import random

from quetzalwall.process.cluster.endpoint_table import create_endpoint_table
from quetzalwall.process.cluster.fleet import create_fleet
from quetzalwall.process.cluster.peer_report import (
    PeerInfo,
    decode_report,
    encode_report,
)
from quetzalwall.tests.platform_fixtures import DOMAINS, ManualClock

TICK_S = 0.1
REGIONS = ("north", "north", "north", "south", "south")


class Network:
    """Fleets that exchange reports, of which some are lost."""

    def __init__(self, loss=0.0, regions=REGIONS):
        self.clock = ManualClock()
        self.loss = loss
        self.rng = random.Random(1)
        self.sizes = {True: [], False: []}  # by whether the sender is named
        infos = [
            PeerInfo(f"front-{n}", region, f"{region}-a", f"127.0.0.{n + 1}")
            for n, region in enumerate(regions)
        ]
        self.fleets = {info.host: self.create(info) for info in infos}
        for fleet in self.fleets.values():
            for info in infos:
                fleet.add_registered(info)

    def create(self, info):
        monotonic = self.clock.monotonic
        endpoints = create_endpoint_table(DOMAINS, None, monotonic)
        return create_fleet(info, 1, endpoints, monotonic, self.rng.getrandbits(48))

    def run(self, seconds):
        for _ in range(round(seconds / TICK_S)):
            self.clock.now += TICK_S
            for fleet in self.fleets.values():
                fleet.check_timeouts(self.clock.now)
                for report, recipients in fleet.due_reports(self.clock.now):
                    self.deliver(encode_report(report), recipients)

    def deliver(self, raw, recipients):
        report = decode_report(raw)
        self.sizes[report.sender is not None].append(len(raw))
        for info in recipients:
            if info.host in self.fleets and self.rng.random() >= self.loss:
                self.fleets[info.host].receive(report, self.clock.now)

    def live_counts(self):
        return [len(fleet.live()) for fleet in self.fleets.values()]


def test_most_reports_do_not_name_their_sender_and_are_less_than_half_as_long():
    network = Network()
    network.run(2.0)
    network.sizes = {True: [], False: []}
    network.run(10.0)
    named, unnamed = network.sizes[True], network.sizes[False]
    assert len(unnamed) > 5 * len(named) / 2
    assert max(unnamed) < min(named) / 2
    assert network.live_counts() == [5] * 5


def test_a_restarted_instance_knows_all_others_within_a_second():
    network = Network()
    network.run(5.0)
    info = network.fleets["127.0.0.2"].own_info
    network.fleets[info.host] = network.create(info)
    for other in network.fleets.values():
        network.fleets[info.host].add_registered(other.own_info)
    network.run(1.0)
    assert network.live_counts() == [5] * 5


def test_instances_know_each_other_soon_although_reports_are_lost():
    network = Network(loss=0.3)
    network.run(4.0)
    assert network.live_counts() == [5] * 5
    network.run(60.0)
    assert network.live_counts() == [5] * 5


def test_an_instance_that_has_ended_does_not_make_all_reports_long():
    network = Network()
    network.run(3.0)
    del network.fleets["127.0.0.2"]
    network.run(5.0)
    network.sizes = {True: [], False: []}
    network.run(10.0)
    assert len(network.sizes[False]) > 2 * len(network.sizes[True])
    assert network.live_counts() == [4] * 4


def test_a_late_report_of_a_former_process_is_dropped():
    network = Network()
    network.run(3.0)
    former = network.fleets["127.0.0.2"]
    late = [report for report, _ in former.due_reports(network.clock.now + 1.0)]
    assert late
    network.fleets["127.0.0.2"] = network.create(former.own_info)
    network.run(2.0)
    observer = network.fleets["127.0.0.1"]
    peer = next(p for p in observer.peers() if p.info.host == "127.0.0.2")
    before = peer.process_id, peer.sequence
    for report in late:
        observer.receive(report, network.clock.now)
    assert (peer.process_id, peer.sequence) == before


# Reports to other regions of a large fleet are rarer than one a second, so that each
# named its sender, and the names were a third of the bytes between regions.
def test_rare_reports_to_other_regions_do_not_all_name_their_sender():
    network = Network(regions=("north",) * 2 + ("south",) * 60)
    network.run(12.0)
    assert network.live_counts() == [62] * 62
    named, deliver = [], network.deliver

    def record(raw, recipients):
        if recipients and len(recipients) == 60:
            named.append(decode_report(raw).sender is not None)
        deliver(raw, recipients)

    network.deliver = record
    network.run(30.0)
    assert named.count(False) > 2 * named.count(True)
