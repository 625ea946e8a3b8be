from quetzalwall.process.traffic_meter import create_traffic_meter
from quetzalwall.tests.platform_fixtures import call, running_site, wait_for


def test_bytes_are_counted_by_kind_and_distance():
    meter = create_traffic_meter("north", "north-a")
    meter.record("report", 10, "north", "north-a")
    meter.record("report", 20, "north", "north-b")
    meter.record("report", 30, "south", "south-a")
    meter.record("report", 5, "south", "south-b")
    assert meter.totals == {
        ("report", "domain"): 10,
        ("report", "region"): 20,
        ("report", "remote"): 35,
    }


def test_metrics_show_the_bytes_exchanged_with_endpoints_peers_and_the_store():
    with running_site(fronts=2) as site:
        assert site.get("/look/1")[0] == 200
        front = site.fronts[0]
        wait_for(lambda: ("report", "region") in front.traffic.totals)
        address = front.settings.address
        text = call(address, site.ports[4], "/metrics")[2].decode()
        for labels in (
            'distance="domain",kind="request"',
            'distance="domain",kind="response"',
            'distance="region",kind="report"',
            'distance="unknown",kind="store"',
        ):
            name = f"quetzalwall_exchanged_bytes_total{{{labels}}} "
            value = text.partition(name)[2].split("\n")[0]
            assert value and float(value) > 0, labels
        again = call(address, site.ports[4], "/metrics")[2].decode()
        name = 'quetzalwall_exchanged_bytes_total{distance="domain",kind="request"} '
        assert text.partition(name)[2].split()[0] == again.partition(name)[2].split()[0]
