import socket

from quetzalwall.tests.platform_fixtures import HOST, call, running_site, wait_for

MB = 1_000_000


def set_capacity(front, capacity):
    front.memory_budget.capacity = capacity
    front.memory_budget.max_response_bytes = capacity // 4


# Bodies were limited by a constant for each request, not by the machine's memory.
def test_a_body_that_exceeds_the_memory_budget_is_rejected_and_not_run():
    with running_site(endpoints=1) as site:
        set_capacity(site.fronts[0], 300_000)
        status, headers, _ = site.get("/book/1", method="POST", body=b"x" * 400_000)
        assert status == 503 and float(headers["Retry-After"]) > 0
        assert not site.endpoints[0].arrivals
        assert site.get("/book/2", method="POST", body=b"x" * 200_000)[0] == 200
        wait_for(lambda: site.fronts[0].memory_budget.used_bytes == 0)


def test_a_response_longer_than_its_share_of_the_budget_is_not_passed_on():
    with running_site(endpoints=2) as site:
        set_capacity(site.fronts[0], 2 * MB)
        for endpoint in site.endpoints:
            endpoint.behaviour["longer"] = MB
        assert site.get("/look/1")[0] == 502
        for endpoint in site.endpoints:
            endpoint.behaviour["longer"] = 100_000
        status, _, body = site.get("/look/2")
        assert status == 200 and len(body) > 100_000
        wait_for(lambda: site.fronts[0].memory_budget.used_bytes == 0)


def test_bytes_are_counted_until_the_caller_has_them_or_disconnects():
    with running_site(endpoints=1) as site:
        front = site.fronts[0]
        site.endpoints[0].behaviour["longer"] = 8 * MB
        address = (front.settings.address, site.ports[0])
        with socket.create_connection(address) as sock:
            head = f"GET /look/1 HTTP/1.1\r\nHost: {HOST}\r\n"
            sock.sendall(f"{head}X-Quetzalwall-Request-Id: a\r\n\r\n".encode())
            wait_for(lambda: front.memory_budget.used_bytes > 8 * MB)
        wait_for(lambda: front.memory_budget.used_bytes == 0)


def test_the_metrics_show_the_used_bytes_of_the_budget():
    with running_site(endpoints=1) as site:
        address = site.fronts[0].settings.address
        text = call(address, site.ports[4], "/metrics")[2].decode()
        assert "quetzalwall_held_bytes 0.0" in text
        assert "quetzalwall_resident_bytes" in text
