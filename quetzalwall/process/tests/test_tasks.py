import gevent
import msgspec

from quetzalwall.process.cluster.fleet import UNRESPONSIVE_AFTER_S
from quetzalwall.process.tasks import repeat
from quetzalwall.tests.platform_fixtures import (
    config_body,
    entry_body,
    running_site,
    wait_for,
)


def test_a_failed_round_does_not_end_a_task_and_is_not_retried_at_once():
    rounds = []

    def step():
        rounds.append(1)
        raise KeyError("unforeseen")

    task = repeat(step, 0)
    gevent.sleep(0.7)
    assert not task.ready()
    task.kill()
    assert len(rounds) == 2


# An unexpected exception ended a task: the instance ran on without any further updates.
def test_an_instance_receives_reports_after_an_unexpected_exception():
    with running_site(fronts=2) as site:
        front = site.fronts[0]
        receive = front.fleet.receive

        def fail_once(report, now):
            front.fleet.receive = receive
            raise RuntimeError("unforeseen")

        front.fleet.receive = fail_once
        wait_for(lambda: front.fleet.receive is receive)
        gevent.sleep(UNRESPONSIVE_AFTER_S + 0.5)
        assert len(front.fleet.live()) == 2


def test_a_configuration_becomes_active_after_an_unexpected_exception():
    with running_site() as site:
        cluster_state = site.fronts[0].cluster_state
        apply = cluster_state.apply

        def fail_once(*args):
            cluster_state.apply = apply
            raise RuntimeError("unforeseen")

        cluster_state.apply = fail_once
        site.write_config(config_body(2))
        wait_for(lambda: cluster_state.configuration().version == 2)


# An entry with an address that no socket accepts ended the task that reads all entries.
def test_an_entry_with_an_impossible_address_is_ignored():
    with running_site(endpoints=1) as site:
        for number, address in enumerate(
            ("300.1.1.1:80", "127.0.0.1:70000", "1.1.1.1:0")
        ):
            host, port = address.split(":")
            body = entry_body((host, port))
            site.store.put("servers", f"bad-{number}", msgspec.json.encode(body))
        site.write_config(config_body(2))
        front = site.fronts[0]
        wait_for(lambda: front.cluster_state.configuration().version == 2)
        assert [state.name for state in front.endpoints] == ["ep-0"]
        for number in range(5):
            assert site.get(f"/look/{number}")[0] == 200
