"""What callers get of endpoints whose answers are spoiled."""

from nose2.tools import params

from quetzalwall.tests.platform_fixtures import running_site


# Callers were told "not run" of requests that ran, or these ran at a second endpoint.
@params("", "0123456789abcdef")
def test_an_earlier_refusal_written_once_more_refuses_nothing(named):
    with running_site() as site:
        for endpoint in site.endpoints:
            endpoint.behaviour["again"] = named
        for number in range(12):
            assert site.get(f"/book/{number}", method="POST")[0] == 200
        runs = [count for end in site.endpoints for count in end.runs.values()]
        assert runs == [1] * 12
