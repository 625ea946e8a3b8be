"""The daemon of an instance on the platform: starts and stops all parts in order."""

import os
import platform
import random

import gevent
import gevent.event
from gevent import signal_handler

from quetzalwall.clock import system_clock
from quetzalwall.connection.front_server import (
    create_front_application,
    create_front_server,
)
from quetzalwall.connection.product_dialect import PRODUCT_DIALECT
from quetzalwall.exceptions import SettingsError
from quetzalwall.logs import describe_failure, get_logger, log_event
from quetzalwall.platform.headers import PLATFORM_DIALECT
from quetzalwall.platform.settings import (
    FROM_TREE,
    format_places,
    log_ignored,
    read_settings,
)
from quetzalwall.platform.store import create_store_client
from quetzalwall.process.cluster.cluster_state import (
    PLATFORM_TABLES,
    TREE_TABLES,
    create_cluster_state,
)
from quetzalwall.process.cluster.endpoint_table import create_endpoint_table
from quetzalwall.process.cluster.fleet import create_fleet
from quetzalwall.process.cluster.peer_report import PeerInfo
from quetzalwall.process.cluster.peer_tables import create_peer_tables
from quetzalwall.process.cluster.store_watch import create_table_watch
from quetzalwall.process.front_interfaces import create_interfaces
from quetzalwall.process.front_metrics import create_front_metrics
from quetzalwall.process.limits.cold_start_limiter import create_cold_start_limiter
from quetzalwall.process.limits.fleet_limits import FleetLimits
from quetzalwall.process.limits.retry_budget import create_retry_budget
from quetzalwall.process.limits.traffic_shifts import create_traffic_shifts
from quetzalwall.process.limits.weighted_split import create_weighted_split
from quetzalwall.process.listeners import open_in_background, open_listener
from quetzalwall.process.registration import register, unregister
from quetzalwall.process.resource_budget import (
    create_held_bytes,
    most_connections,
    most_to_endpoints,
)
from quetzalwall.process.self_watch import PERIOD_S, create_self_watch
from quetzalwall.process.storage.settings_admin import create_settings_admin
from quetzalwall.process.storage.store_table import create_store_table
from quetzalwall.process.storage.write_batcher import create_write_batcher
from quetzalwall.process.tasks import repeat
from quetzalwall.request.claim import create_claims
from quetzalwall.request.endpoint_chooser import create_chooser
from quetzalwall.request.grace_period import create_grace_period
from quetzalwall.request.latency_model import create_latency_model
from quetzalwall.request.request_server import create_request_server

__all__ = ["Front", "create_front", "run_front"]

TICK_S = 0.5
SETTINGS_PERIOD_S = 1.0
ROOM_PERIOD_S = 0.25  # a caller gives a new connection up after a second
LAPSE_PERIOD_S = 0.25  # late by this, a lapsed entry still goes within its bound
STORE_TIMEOUT_S = 1.2
LEAVE_PART = 0.7  # of the grace, before which a stopping instance does not end
END_PART = 0.92  # of the grace, after which it ends whatever is under way
STOP_POLL_S = 0.05
LAST_LOOK_S = 0.1  # for requests on connections that were accepted before the end
LAST_LOOKS = 4  # at connections that wait while idle ones take all the room
SIGHUP, SIGINT, SIGTERM = 1, 2, 15
PROCESS_BITS = 48
LOG = get_logger("front")


class Front:
    """An instance that serves callers.

    Parameters
    ----------
    settings : InstanceSettings
        Checked settings.
    settings_file : str
        Where they came from; read again when it changes.
    clock : Clock
        Source of time.
    rng : random.Random
        Source of randomness.
    """

    def __init__(self, settings, settings_file, clock, rng):
        self.settings = settings
        self.stopping = False
        self._settings_file = settings_file
        self._settings_seen = _modified(settings_file)
        self.clock = clock
        self.rng = rng
        self._stopped = gevent.event.Event()
        now = clock.monotonic
        info = PeerInfo(
            settings.instance,
            settings.region,
            settings.domain,
            settings.address,
            settings.link_mbps,
        )
        from_tree = settings.configuration == FROM_TREE
        dialect = PRODUCT_DIALECT if from_tree else PLATFORM_DIALECT
        self.endpoints = create_endpoint_table(
            settings.domains, dialect.parse_response, now
        )
        self.endpoints.connections.max_open = most_to_endpoints(settings.connections)
        self.fleet = create_fleet(
            info,
            settings.peer_port,
            self.endpoints,
            now,
            rng.getrandbits(PROCESS_BITS),
        )
        self.cluster_state = create_cluster_state(
            self.endpoints, self.fleet, TREE_TABLES if from_tree else PLATFORM_TABLES
        )
        self.cluster_state.on_configuration = self._take_configuration
        self._peer_tables = create_peer_tables(
            self.fleet, settings.listen.peers[1], lambda: self.settings.seeds, rng, now
        )
        self.held = create_held_bytes(settings.memory_mb)
        self.metrics = create_front_metrics()
        self.limits = FleetLimits(
            create_retry_budget(settings.bounds),
            create_cold_start_limiter(settings.instance, settings.bounds),
            create_weighted_split(rng),
            create_traffic_shifts(self.endpoints, self.fleet, rng, now),
        )
        self._grace = create_grace_period(now)
        latency = create_latency_model(settings.region)
        chooser = create_chooser(
            self.endpoints, latency, self.limits.cold_start_limiter, self.fleet, rng
        )
        self._store = create_store_client(*settings.store, STORE_TIMEOUT_S)
        self.operators = self._batcher = claims = None
        if from_tree:
            table = create_store_table(self._store)
            self.operators = create_settings_admin(self.cluster_state, table, clock)
            self._batcher = create_write_batcher(table, clock, rng)
            claims = create_claims(
                self._batcher, clock, settings.instance, spawn=gevent.spawn
            )
        self.server = create_request_server(
            dialect,
            self.cluster_state,
            chooser,
            latency,
            self.limits,
            claims,
            self.metrics,
            self._grace,
            now,
        )
        self.self_watch = create_self_watch(settings.memory_mb, self._usage, now)
        self._watches = {
            table: self._create_watch(table) for table in self.cluster_state.tables
        }
        self._servers = {}
        self._tasks = []
        self._forgotten = 0

    @property
    def in_flight(self):
        """Requests under way, until their answers have been sent."""
        return self.held.open_requests

    def start(self):
        """Begin service."""
        settings, listen = self.settings, self.settings.listen
        application = create_front_application(
            self.server.serve,
            self.server.malformed_response,
            lambda: self.stopping,
            self.held,
        )
        callers = most_connections(settings.memory_mb, settings.connections, "callers")
        self._servers = {
            "callers": create_front_server(listen.callers, application, callers),
            **create_interfaces(self),
        }
        for name, server in self._servers.items():
            if name != "metrics":
                self._open(name, getattr(listen, name), server.start)
        peers = (self.settings.address, self.settings.peer_port)
        self._open("datagrams", peers, self.fleet.start)
        for watch in self._watches.values():
            watch.start()
        if self._batcher is not None:
            self._batcher.start()
        self._tasks = [
            gevent.spawn(register, self._store, self.fleet),
            self._open_metrics(),
            repeat(self._tick, TICK_S),
            repeat(self._check_settings, SETTINGS_PERIOD_S),
            repeat(self.self_watch.look, PERIOD_S),
            repeat(self._make_room, ROOM_PERIOD_S),
            repeat(self.endpoints.drop_lapsed, LAPSE_PERIOD_S),
        ]
        log_event(
            LOG,
            "started",
            instance=self.settings.instance,
            address=self.settings.address,
            domain=self.settings.domain,
            process=os.getpid(),
            user=os.geteuid(),
            python=platform.python_version(),
            libraries=os.path.dirname(os.path.dirname(gevent.__file__)),
            listening=format_places(listen),
            memory_mb=self.settings.memory_mb,
            connections=self.settings.connections,
        )

    def _open(self, name, place, start):
        open_listener(name, place, start, self.clock.monotonic)

    def _open_metrics(self):
        place = self.settings.listen.metrics
        return open_in_background("metrics", place, self._servers["metrics"].start)

    def wait(self):
        """Wait until the instance has stopped."""
        self._stopped.wait()

    def stop(self):
        """Stop as planned: no request in flight is cut."""
        if self.stopping:
            return
        began, grace_s = self.clock.monotonic(), self.settings.bounds.grace_s
        self.stopping = self.fleet.leaving = True
        self._grace.begin(grace_s)
        log_event(LOG, "stopping", in_flight=self.in_flight)
        gevent.spawn(unregister, self._store, self.fleet)
        end = began + END_PART * grace_s
        gevent.sleep(LEAVE_PART * grace_s)
        while self.in_flight and self.clock.monotonic() < end:
            gevent.sleep(STOP_POLL_S)
        self._answer_accepted()
        log_event(
            LOG,
            "stopped",
            in_flight=self.in_flight,
            took_s=self.clock.monotonic() - began,
        )
        self.close()

    def _answer_accepted(self):
        """Answer those who wait to be accepted, then accept no connection any more."""
        server = self._servers["callers"]
        for _ in range(LAST_LOOKS):
            if server.pool.free_count() == 0:
                server.idle.evict(server.pool, spare_fraction=1.0, min_idle_s=0.0)
            gevent.sleep(STOP_POLL_S)
        server.close()
        gevent.sleep(LAST_LOOK_S)

    def close(self):
        """End at once."""
        gevent.killall(self._tasks)
        for watch in self._watches.values():
            watch.close()
        if self._batcher is not None:
            self._batcher.close()
        self.fleet.close()
        for server in self._servers.values():
            server.stop(timeout=0)
        self.endpoints.close()
        self._store.close()
        self._stopped.set()

    def reload(self):
        """Read the settings file again; what can't be read stays as it is."""
        ignored = []
        try:
            settings = read_settings(self._settings_file, ignored, self.settings)
        except SettingsError as exc:
            log_event(LOG, "settings-refused", "error", reason=exc.message)
            return
        log_ignored(ignored)
        self._settings_seen = _modified(self._settings_file)
        self.limits.retry_budget.configure(settings.bounds)
        self.limits.cold_start_limiter.configure(settings.bounds)
        self.endpoints.domains = settings.domains
        self.settings = self.settings._replace(
            bounds=settings.bounds, domains=settings.domains, seeds=settings.seeds
        )
        log_event(LOG, "reloaded", file=self._settings_file)

    def _create_watch(self, table):
        def on_rows(rows, whole, away):
            self.cluster_state.apply(table, rows, whole, away)

        return create_table_watch(
            self._store,
            table,
            on_rows,
            lambda after: self._peer_tables.ask(table, after),
            self.fleet,
            self.clock.monotonic,
        )

    def _usage(self):
        """Return what takes memory, as fields for the log."""
        return {
            "in_flight": self.in_flight,
            "callers": len(self._servers["callers"].pool),
            "idle": sum(len(state.client.idle) for state in self.endpoints),
            "held_bytes": self.held.used_bytes,
        }

    def _tick(self):
        for state in self.endpoints:
            if state.client.idle:
                state.client.close_stale()
        self.limits.shifts.adjust()
        age_s = max(watch.check_staleness() for watch in self._watches.values())
        self.metrics.set_gauge("knowledge_age_seconds", age_s)
        if self.endpoints.removal_count != self._forgotten:
            self._forgotten = self.endpoints.removal_count
            self.limits.cold_start_limiter.prune(
                lambda name: self.endpoints.get(name) is not None
            )

    def _make_room(self):
        for name, server in self._servers.items():
            if ended := server.idle.evict(server.pool):
                log_event(LOG, "made-room", "warning", listener=name, ended=ended)

    def _take_configuration(self, cfg):
        self.limits.shifts.configure(cfg.shifts)
        routes = [route for routes in cfg.hosts.values() for route in routes]
        self.limits.split.prune({(route.name, route.split) for route in routes})
        self.metrics.prune_routes({route.name for route in routes})

    def _check_settings(self):
        if _modified(self._settings_file) != self._settings_seen:
            self.reload()


def _modified(file):
    try:
        status = os.stat(file)
    except OSError:
        return None
    return status.st_mtime_ns, status.st_size, status.st_ino


def create_front(settings, settings_file, clock=None, seed=None):
    """Return an instance that is not yet started.

    Parameters
    ----------
    settings : InstanceSettings
        Checked settings.
    settings_file : str
        Where they came from.
    clock : Clock, default=None
        Source of time; that of the system if None.
    seed : int, default=None
        Seed of the source of randomness.

    Returns
    -------
    Front
    """
    clock = clock or system_clock()
    return Front(settings, settings_file, clock, random.Random(seed))


def run_front(settings, settings_file):
    """Run an instance until a signal stops it.

    Parameters
    ----------
    settings : InstanceSettings
        Checked settings.
    settings_file : str
        Where they came from.

    Returns
    -------
    int
        Exit status.
    """
    front = create_front(settings, settings_file)
    signal_handler(SIGTERM, lambda: gevent.spawn(front.stop))
    signal_handler(SIGINT, lambda: gevent.spawn(front.stop))
    signal_handler(SIGHUP, front.reload)
    try:
        front.start()
    except Exception as exc:
        log_event(LOG, "not-started", "critical", **describe_failure(exc))
        raise
    front.wait()
    return 0
