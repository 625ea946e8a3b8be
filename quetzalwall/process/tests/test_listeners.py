import socket
from contextlib import ExitStack

import gevent

from quetzalwall.exceptions import ListenError
from quetzalwall.process import listeners
from quetzalwall.process.front_interfaces import FILE_DESCRIPTORS
from quetzalwall.tests.platform_fixtures import (
    call,
    own_address,
    running_site,
    start_front,
    wait_for,
)

CALLERS, HEALTH, METRICS = 0, 1, 4


# A port that another process has ended the instance, and each one started after it.
def test_an_instance_serves_while_the_port_of_its_metrics_is_taken():
    with running_site() as site, ExitStack() as stack:
        address = own_address(1)
        with socket.create_server((address, site.ports[METRICS])):
            front = start_front(stack, site, 1)
            wait_for(front.knowledge.ready)
            assert call(address, site.ports[CALLERS], "/look/1")[0] == 200
            status, _, text = call(address, site.ports[HEALTH], "/metrics")
            assert status == 200 and b"quetzalwall_in_flight" in text
        wait_for(lambda: _metrics_served(address, site.ports[METRICS]), 10.0)


def _metrics_served(address, port):
    try:
        return call(address, port, "/metrics")[0] == 200
    except OSError:
        return False


def test_a_listener_is_opened_once_its_port_is_free():
    with running_site() as site, ExitStack() as stack:
        address = own_address(1)
        taken = socket.create_server((address, site.ports[CALLERS]))
        gevent.spawn_later(0.7, taken.close)
        front = start_front(stack, site, 1)
        wait_for(front.knowledge.ready)
        assert call(address, site.ports[CALLERS], "/look/1")[0] == 200


def test_a_listener_that_stays_closed_is_named():
    limit_s, listeners.LIMIT_S = listeners.LIMIT_S, 0.6
    try:
        with running_site() as site, ExitStack() as stack:
            place = (own_address(1), site.ports[CALLERS])
            with socket.create_server(place):
                start_front(stack, site, 1)
        raise AssertionError("it started")
    except ListenError as exc:
        assert "callers" in exc.message and f"{place[0]}:{place[1]}" in exc.message
    finally:
        listeners.LIMIT_S = limit_s


# The descriptors of the settings were checked and not used: any machine took 4,000.
def test_callers_beyond_the_machines_descriptors_wait_to_be_accepted():
    with running_site() as site, ExitStack() as stack:
        front = start_front(stack, site, 1, connections=FILE_DESCRIPTORS + 4)
        wait_for(front.knowledge.ready)
        place = (front.settings.address, site.ports[CALLERS])
        kept = [stack.enter_context(socket.create_connection(place)) for _ in range(2)]
        gevent.sleep(0.1)
        waiting = gevent.spawn(call, *place, "/look/1")
        gevent.sleep(0.5)
        assert not waiting.ready()
        kept[0].close()
        assert waiting.get(timeout=5.0)[0] == 200
