"""Keys of client accounts while the configuration may be out of date."""

import signal
import time
from contextlib import ExitStack, contextmanager

import gevent
from nose2.tools import params

from quetzalwall.platform.store import RowChange, Rows
from quetzalwall.process.cluster.tests.test_cluster_state import create
from quetzalwall.process.front import TICK_PERIOD_S
from quetzalwall.tests.account_fixtures import (
    KEY,
    OTHER_KEY,
    account_config,
    account_row,
    encode,
    recorded_lines,
)
from quetzalwall.tests.daemon_fixture import START_TIMEOUT_S, running_daemon
from quetzalwall.tests.platform_fixtures import (
    call,
    config_body,
    own_address,
    route_row,
    running_site,
    settings_body,
    start_front,
    wait_for,
    write_settings,
)
from soak.proxy import create_proxy

REVOKE_S = 3.2  # shorter than in the deployment, so that the tests are
BOUNDS = {"failClosed": True, "revoke": "3200ms", "grace": "2s"}
CREDENTIAL = "X_Quetzalwall_Credential"
BOTH = [account_row(), account_row("beta", [OTHER_KEY])]
REVOKED = [account_row(keys=()), account_row("beta", [OTHER_KEY])]
CONFIG_S = 2.5
STALL_S = 6.0
EVENTS = ("stale", "current")


@contextmanager
def closed_site(count=1, endpoints=1):
    """Run instances that reject keys of a stale configuration, with two accounts."""
    with ExitStack() as stack:
        site = stack.enter_context(running_site(fronts=0, endpoints=endpoints))
        site.write_config(account_config(2, BOTH))
        site.proxies = []
        for number in range(count):
            proxy = create_proxy(site.store.server.address, own_address(number))
            proxy.start()
            stack.callback(proxy.close)
            site.proxies.append(proxy)
            store = "{}:{}".format(*proxy.address)
            fields = {"bounds": BOUNDS, "store": store}
            site.fronts.append(start_front(stack, site, number, **fields))
        for front in site.fronts:
            wait_for(front.cluster_state.ready)
        wait_for(lambda: all(len(f.fleet.live()) == count for f in site.fronts))
        yield site


def send(site, key=KEY, front=0, target="/look/1"):
    """Return the status of a request."""
    return site.get(target, front, **{CREDENTIAL: key})[0]


def statuses_for(site, seconds, front=0):
    """Return the statuses of requests with a key during some seconds."""
    end, found = time.monotonic() + seconds, set()
    while time.monotonic() < end:
        found.add(send(site, front=front))
        gevent.sleep(0.05)
    return found


# The store may be out of reach of one machine or of a region, here of the first two
# instances; the others know that nothing changed.
@params((2, 1), (3, 2))
def test_instances_that_do_not_reach_the_store_rely_on_the_others(count, cut_off):
    with closed_site(count) as site:
        for proxy in site.proxies[:cut_off]:
            proxy.fault = "silent"
        assert statuses_for(site, 2 * REVOKE_S) == {200}
        site.write_config(account_config(3, REVOKED))
        wait_for(lambda: send(site) == 401, REVOKE_S)


def test_without_the_store_requests_with_a_key_are_rejected_after_the_bound():
    with closed_site(2) as site, recorded_lines() as lines:
        assert statuses_for(site, 0.5) == {200}
        for proxy in site.proxies:
            proxy.fault = "silent"
        assert send(site) == 200
        gevent.sleep(REVOKE_S)
        for front in (0, 1):
            status, headers, _ = site.get("/look/1", front, **{CREDENTIAL: KEY})
            assert (status, float(headers["Retry-After"])) == (503, 0.5)
            assert send(site, OTHER_KEY + "x", front) == 503
            assert site.get("/look/1", front)[0] == 503  # it may need no key by now
            assert send(site, front=front, target="/open/1") == 200
        text = site.fronts[0].metrics.render().decode()
        assert 'reason="stale configuration",route="look"} 3.0' in text
        for proxy in site.proxies:
            proxy.reset()
            proxy.fault = ""
        wait_for(lambda: send(site) == 200, 2.0)
        gevent.sleep(TICK_PERIOD_S + 0.1)
    assert [sum(f"event={e}" in line for line in lines) for e in EVENTS] == [2, 2]
    line = next(line for line in lines if 'reason="stale configuration"' in line)
    assert "req=" in line and "account=alpha" in line
    assert not any(KEY in line for line in lines)


@params("silent", "from", "stall")
def test_a_key_revoked_while_the_feed_is_interrupted_is_not_accepted_after_the_bound(
    fault,
):
    with closed_site() as site:
        assert send(site) == 200
        if fault == "stall":
            site.proxies[0].stall_connections()
        else:
            site.proxies[0].fault = fault
        site.write_config(account_config(3, REVOKED))
        gevent.sleep(REVOKE_S)
        assert statuses_for(site, 1.0) <= {401, 503}
        site.proxies[0].fault = ""
        wait_for(lambda: send(site) == 401)
        assert send(site, OTHER_KEY) == 200


# An instance that has started gets the tables from a peer, which proves nothing.
def test_after_a_restart_while_the_store_is_down_no_key_is_accepted():
    with closed_site(2) as site, ExitStack() as stack:
        site.store.set_faults(down=True)
        gevent.sleep(REVOKE_S)
        site.fronts[0].close()
        seed = f"{own_address(1)}:{site.ports[2]}"
        fields = {"bounds": BOUNDS}
        site.fronts[0] = start_front(stack, site, 0, seeds=[seed], **fields)
        wait_for(site.fronts[0].cluster_state.ready)
        assert statuses_for(site, 1.0) == {503}
        assert send(site, target="/open/1") == 200
        site.store.set_faults(down=False)
        wait_for(lambda: send(site) == 200, 2.0)


# Reports that peers sent before the key was revoked wait in the socket of a stopped
# process, and requests in its connections.
def test_a_stopped_process_does_not_accept_a_revoked_key_when_it_goes_on():
    with closed_site(2) as site:
        address = own_address(5)
        store = site.store.server.address
        body = settings_body(address, store, site.ports, "front-5") | {
            "bounds": BOUNDS | {"revoke": "5000ms"}
        }
        with running_daemon(body) as run:

            def send_to_daemon(key=KEY):
                return call(address, site.ports[0], "/look/1", **{CREDENTIAL: key})[0]

            wait_for(run.has_started, START_TIMEOUT_S)
            wait_for(lambda: send_to_daemon() == 200)
            wait_for(lambda: len(site.fronts[0].fleet.live()) == 3)
            gevent.sleep(0.5)
            run.process.send_signal(signal.SIGSTOP)
            gevent.sleep(0.3)  # reports of the version before
            site.write_config(account_config(3, REVOKED))
            gevent.sleep(STALL_S - 0.5)
            waiting = [gevent.spawn(send_to_daemon) for _ in range(20)]
            gevent.sleep(0.2)
            run.process.send_signal(signal.SIGCONT)
            gevent.joinall(waiting, timeout=8.0)
            assert {task.value for task in waiting} <= {401, 503}
            wait_for(lambda: send_to_daemon() == 401)
            wait_for(lambda: send_to_daemon(OTHER_KEY) == 200)


# The first attempt waits at an endpoint while the key is revoked. It has not run if the
# endpoint says so, and may have run otherwise.
@params(({"shed_after_s": 0.8}, 401), ({"slow_s": 0.8, "lose": True}, 502))
def test_a_request_is_not_sent_again_after_its_key_was_revoked(behaviour, expected):
    with closed_site(endpoints=2) as site:
        for endpoint in site.endpoints:
            endpoint.behaviour |= behaviour
        task = gevent.spawn(send, site)
        gevent.sleep(0.2)
        site.write_config(account_config(3, REVOKED))
        assert task.get(timeout=5.0) == expected
        assert sum(len(endpoint.arrivals) for endpoint in site.endpoints) == 1


def test_a_request_that_waits_for_a_connection_is_not_sent_with_a_revoked_key():
    with closed_site() as site:
        front = site.fronts[0]
        limiter = front.endpoints.get("ep-0").client.limiter
        connect = limiter.connect

        def connect_late(*args):
            sock = connect(*args)
            site.write_config(account_config(3, REVOKED))
            wait_for(lambda: front.cluster_state.configuration().version == 3)
            return sock

        limiter.connect = connect_late
        assert send(site) == 401
        assert not site.endpoints[0].arrivals


# A key that moves to another account is no longer that of the one it was sent for.
def test_a_waiting_request_does_not_run_for_an_account_that_lost_its_key():
    with closed_site(endpoints=2) as site:
        for endpoint in site.endpoints:
            endpoint.behaviour["shed_after_s"] = 0.8
        task = gevent.spawn(send, site)
        gevent.sleep(0.2)
        site.write_config(account_config(3, [account_row("gamma")]))
        assert task.get(timeout=5.0) == 503
        assert sum(len(endpoint.arrivals) for endpoint in site.endpoints) == 1


# Two changes reach an instance in either order, from the store and from a peer.
@params((3, 4), (4, 3))
def test_of_two_changes_that_race_the_older_one_restores_no_key(first, second):
    cluster_state, _ = create()
    accounts = {3: BOTH, 4: REVOKED}
    for row, version in ((10, first), (11, second)):
        raw = encode(account_config(version, accounts[version]))
        rows = Rows([RowChange("config", raw, row)], row)
        cluster_state.apply("op", rows, False, False)
    found = cluster_state.configuration().accounts
    assert found.find(KEY) is None and found.find(OTHER_KEY).name == "beta"


def test_the_bound_follows_the_settings_without_a_restart():
    with closed_site() as site:
        front, store = site.fronts[0], site.store.server.address
        site.store.set_faults(down=True)
        wait_for(lambda: send(site) == 503)
        body = settings_body(own_address(0), store, site.ports, "front-0")
        front._settings_file = write_settings(body | {"bounds": {"failClosed": False}})
        front.reload()
        assert send(site) == 200


# DENIED: an instance answered 404 and 401 from a configuration that was not allowed to
# be active any more, for a route and a key that had been added since.
def test_what_a_later_configuration_may_allow_is_not_rejected_as_wrong():
    with closed_site() as site:
        assert site.get("/new/1")[0] == 404 and send(site, "unknown") == 401
        site.proxies[0].fault = "silent"
        gevent.sleep(CONFIG_S)
        status, headers, body = site.get("/new/1")
        assert (status, float(headers["Retry-After"])) == (503, 0.5), body
        assert send(site, "unknown") == 503
        site.proxies[0].fault = None
        wait_for(lambda: site.get("/new/1")[0] == 404)


# DENIED: a request without a key got 401 by a configuration of any age, though its
# route may need none by now.
def test_a_request_without_a_key_is_not_rejected_by_an_old_configuration():
    with closed_site() as site:
        assert site.get("/look/1")[0] == 401
        site.proxies[0].fault = "silent"
        body = account_config(3, BOTH)
        for row in body["routes"]["rows"]:
            row[-1] = True
        site.write_config(body)
        gevent.sleep(CONFIG_S)
        assert site.get("/look/1")[0] == 503
        site.proxies[0].fault = None
        wait_for(lambda: site.get("/look/1")[0] == 200)


# DENIED: a request that waited on its connection was answered by the configuration of
# the moment at which it had been read.
def test_a_route_that_is_added_while_a_request_waits_is_not_rejected_as_wrong():
    with running_site() as site:
        reader, state = site.fronts[0]._reader, site.fronts[0].cluster_state
        is_idempotent = reader.is_idempotent

        def change_after_match(environ):
            result = is_idempotent(environ)
            if environ["PATH_INFO"] == "/new/1":
                site.write_config(config_body(2, [route_row("new", "/new/")]))
                wait_for(lambda: state.configuration().version == 2)
            return result

        server = site.fronts[0]._servers["callers"]
        server.pipelining = server.pipelining._replace(is_idempotent=change_after_match)
        assert site.get("/new/1")[0] == 503
        assert site.get("/new/2")[0] == 200


# DENIED: an instance that had a change before the others answered 404 and 413 for what
# they still allowed.
def test_what_the_configuration_before_may_allow_elsewhere_is_not_rejected_as_wrong():
    def statuses():
        return site.get("/book/1")[0], site.get("/look/1", 0, "POST", b"x" * 2000)[0]

    with running_site() as site:
        body = config_body(2, [route_row("look", "/look/")])
        body["limits"] |= {"maxBodyBytes": 1000}
        assert statuses() == (200, 200)
        site.write_config(body)
        wait_for(lambda: statuses() != (200, 200))
        since, found = time.monotonic(), []
        while time.monotonic() - since < CONFIG_S - 0.2:
            found.append(statuses())
            gevent.sleep(0.05)
        assert set(found) == {(503, 503)}
        assert site.get("/none/1")[0] == 404
        wait_for(lambda: statuses() == (404, 413))


# DENIED: responses of the instance itself with a status from 400 on could not be told
# apart by their cause.
def test_own_responses_that_say_that_a_request_is_wrong_are_counted_by_reason():
    with running_site() as site:
        front = site.fronts[0]
        assert site.get("/none/1")[0] == 404
        assert site.get("/book/1", 0, "POST", b"x" * 1_000_001)[0] == 413
        text = front.metrics.render().decode()
        for labels in ('reason="no route",status="404"', 'reason="body",status="413"'):
            assert f"client_errors_total{{{labels}}} 1.0" in text, text
