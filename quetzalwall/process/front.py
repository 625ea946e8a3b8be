"""The daemon of an instance: creates, starts and stops all components in order."""

import random
from functools import partial

import gevent
import gevent.event
from gevent import signal_handler

from quetzalwall.clock import system_clock
from quetzalwall.connection.front_server import (
    create_front_application,
    create_front_server,
)
from quetzalwall.connection.idle_connections import shortfall_of
from quetzalwall.connection.pipelined_handler import Pipelining
from quetzalwall.connection.product_dialect import PRODUCT_DIALECT
from quetzalwall.connection.request_heads import RequestHeads
from quetzalwall.connection.slow_readers import Deliveries
from quetzalwall.logs import describe_failure, get_logger, log_event
from quetzalwall.platform.headers import PLATFORM_DIALECT
from quetzalwall.platform.settings import FROM_TREE
from quetzalwall.platform.store import create_store_client
from quetzalwall.platform.store_era import era_of
from quetzalwall.process.cluster.cluster_state import PLATFORM_TABLES, TREE_TABLES
from quetzalwall.process.cluster.configuration_sync import create_configuration_sync
from quetzalwall.process.cluster.peer_tables import create_peer_tables
from quetzalwall.process.cluster.store_watch import create_table_watch
from quetzalwall.process.front_interfaces import create_interfaces
from quetzalwall.process.front_log import RejectionLog, log_started, log_traffic
from quetzalwall.process.front_metrics import create_front_metrics
from quetzalwall.process.front_parts import (
    NO_TREE,
    create_cluster,
    create_serving,
    create_tree_parts,
)
from quetzalwall.process.listeners import open_in_background, open_listener
from quetzalwall.process.planned_stop import finish_requests
from quetzalwall.process.registration import register, unregister
from quetzalwall.process.resource_budget import (
    create_memory_budget,
    max_connections,
)
from quetzalwall.process.restored_store import recover_restored
from quetzalwall.process.self_watch import CHECK_PERIOD_S, create_self_watch
from quetzalwall.process.settings_file import file_signature, reread_settings
from quetzalwall.process.tasks import repeat

__all__ = ["Front", "create_front", "run_front"]

TICK_PERIOD_S = 0.5
SETTINGS_PERIOD_S = 1.0
EVICTION_PERIOD_S = 0.25  # callers abandon a connection that waits 1 s to be accepted
REJECTED_PERIOD_S = 10.0  # a flood of malformed input gets one log line in this time
TRAFFIC_PERIOD_S = 10.0  # between two log lines of the bytes exchanged so far
EXPIRY_PERIOD_S = 0.25  # an expired entry removed this late is still within its bound
STORE_TIMEOUT_S = 1.2
SYNC_PERIOD_S = 0.1  # between two comparisons with the configuration of peers
RELOADED_SETTINGS = ("bounds", "domains", "seeds", "hedging")
SIGHUP, SIGINT, SIGTERM = 1, 2, 15
LOG = get_logger("front")


class Front:
    """An instance that serves callers.

    Parameters
    ----------
    settings : InstanceSettings
        Checked settings.
    settings_file : str
        File of the settings; read again when it changes.
    clock : Clock
        Source of time.
    rng : random.Random
        Source of randomness.
    """

    def __init__(self, settings, settings_file, clock, rng):
        self.settings = settings
        self.stopping = False
        self._settings_file = settings_file
        self._settings_signature = file_signature(settings_file)
        self.clock = clock
        self.rng = rng
        self._stopped = gevent.event.Event()
        now = clock.monotonic
        from_tree = settings.config_source == FROM_TREE
        dialect = PRODUCT_DIALECT if from_tree else PLATFORM_DIALECT
        tables = TREE_TABLES if from_tree else PLATFORM_TABLES
        cluster = create_cluster(settings, dialect, tables, rng, now)
        self.endpoints, self.fleet, self.cluster_state, self.traffic = cluster
        self._freshness = self.fleet.table_updates.freshness
        self._configure_bounds(settings.bounds)
        self.cluster_state.on_configuration = self._apply_configuration
        self._peer_tables = create_peer_tables(
            self.fleet, settings.listen.peers[1], lambda: self.settings.seeds, rng, now
        )
        self.memory_budget = create_memory_budget(settings.memory_mb)
        self.heads = RequestHeads(self.memory_budget, now)
        self.deliveries = Deliveries(lambda: self.memory_budget.capacity, now)
        self.memory_budget.make_room = self.deliveries.make_room
        self.metrics = create_front_metrics()
        self._store = create_store_client(*settings.store, STORE_TIMEOUT_S)
        tree = NO_TREE
        if from_tree:
            tree = create_tree_parts(
                settings, self.cluster_state, self._store, clock, rng
            )
        self.settings_admin, self._batcher, claims = tree
        serving = create_serving(
            settings,
            dialect,
            cluster,
            claims,
            self.metrics,
            self.deliveries.rates,
            rng,
            now,
        )
        self.limits, self._grace, self._reader, self.server = serving
        self.self_watch = create_self_watch(settings.memory_mb, self._usage, now)
        self._watches = {
            table: self._create_watch(table) for table in self.cluster_state.tables
        }
        recover = partial(recover_restored, self, self._store, claims)
        self._store.on_new_era.append(recover)
        self._configuration_sync = create_configuration_sync(
            self.cluster_state, self._peer_tables.fetch_from, now
        )
        self._servers = {}
        self._tasks = []
        self._removals_seen = 0
        self._rejection_log = RejectionLog(self.heads, self.deliveries)

    @property
    def in_flight(self):
        """Requests whose responses have not been completely sent."""
        return self.memory_budget.open_requests

    def start(self):
        """Open all listeners and start all tasks."""
        settings, listen = self.settings, self.settings.listen
        application = create_front_application(
            self.server.serve,
            self.server.malformed_response,
            lambda: self.stopping,
            self.memory_budget,
        )
        pipelining = Pipelining(
            self._reader.is_idempotent,
            self.server.record_dropped,
            self.memory_budget,
            self.clock.monotonic,
            self.deliveries,
        )
        callers = max_connections(settings.memory_mb, settings.descriptors, "callers")
        self._servers = {
            "callers": create_front_server(
                listen.callers, application, callers, pipelining, self.heads
            ),
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
            repeat(self._tick, TICK_PERIOD_S),
            repeat(self._check_settings, SETTINGS_PERIOD_S),
            repeat(self.self_watch.look, CHECK_PERIOD_S),
            repeat(self._make_room, EVICTION_PERIOD_S),
            repeat(self._rejection_log.write, REJECTED_PERIOD_S),
            repeat(self.endpoints.drop_lapsed, EXPIRY_PERIOD_S),
            repeat(self._configuration_sync.check, SYNC_PERIOD_S),
            repeat(self._log_traffic, TRAFFIC_PERIOD_S),
        ]
        log_started(settings)

    def _open(self, name, address, start):
        open_listener(name, address, start, self.clock.monotonic)

    def _open_metrics(self):
        address = self.settings.listen.metrics
        return open_in_background("metrics", address, self._servers["metrics"].start)

    def wait(self):
        """Wait until the instance has stopped."""
        self._stopped.wait()

    def stop(self):
        """Stop gracefully: wait for requests in flight, at most the grace period."""
        if self.stopping:
            return
        grace_s = self.settings.bounds.grace_s
        self.stopping = self.fleet.leaving = True
        self._grace.begin(grace_s)
        log_event(LOG, "stopping", in_flight=self.in_flight)
        gevent.spawn(unregister, self._store, self.fleet)
        finish_requests(self, self._servers, grace_s)
        self.close()

    def close(self):
        """Stop at once."""
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
        """Read the settings file again; keep the old settings if they are invalid."""
        settings = reread_settings(self._settings_file, self.settings)
        if settings is None:
            return
        self._settings_signature = file_signature(self._settings_file)
        self.limits.retry_budget.configure(settings.bounds, settings.hedging)
        self.limits.cold_start_limiter.configure(settings.bounds)
        self._configure_bounds(settings.bounds)
        self.limits.allotments.configure(
            self.cluster_state.configuration(), settings.bounds
        )
        self.endpoints.domains = settings.domains
        fields = {name: getattr(settings, name) for name in RELOADED_SETTINGS}
        self.settings = self.settings._replace(**fields)
        log_event(LOG, "reloaded", file=self._settings_file)

    def _configure_bounds(self, bounds):
        self.fleet.bounds = bounds
        self._freshness.configure(bounds)

    def _create_watch(self, table):
        def on_rows(rows, complete, after_outage):
            # Another instance may have read the restored store before this one.
            self._store.learn_era(era_of(rows.version))
            self.cluster_state.apply(table, rows, complete, after_outage)

        return create_table_watch(
            self._store,
            table,
            on_rows,
            lambda after: self._peer_tables.fetch(table, after),
            self.fleet,
            self.clock.monotonic,
        )

    def _usage(self):
        """Return log fields that explain the use of memory."""
        return {
            "in_flight": self.in_flight,
            "callers": len(self._servers["callers"].pool),
            "idle": sum(len(state.client.idle) for state in self.endpoints),
            "held_bytes": self.memory_budget.used_bytes,
        }

    def _tick(self):
        for state in self.endpoints:
            if state.client.idle:
                state.client.close_stale()
        self.limits.shifts.adjust()
        age_s = max(watch.check_staleness() for watch in self._watches.values())
        self.metrics.set_gauge("knowledge_age_seconds", age_s)
        self.metrics.set_gauge("as_of_age_seconds", self._freshness.log_changes())
        if self.endpoints.removal_count != self._removals_seen:
            self._removals_seen = self.endpoints.removal_count
            self.limits.cold_start_limiter.prune(
                lambda name: self.endpoints.get(name) is not None
            )

    def exchanged_bytes(self):
        """Return the bytes exchanged with endpoints, peers and the store so far.

        Returns
        -------
        dict of (str, str) to int
            By kind and distance, as of `TrafficMeter`; the store's is unknown.
        """
        return self.traffic.totals | {("store", "unknown"): self._store.exchanged_bytes}

    def _log_traffic(self):
        log_traffic(self.exchanged_bytes())

    def _make_room(self):
        self.deliveries.observe()
        self.heads.close_overdue()
        for name, server in self._servers.items():
            if ended := server.idle.evict(server.pool):
                log_event(LOG, "made-room", "warning", listener=name, ended=ended)
            self.heads.evict(server, shortfall_of(server.pool) - ended)

    def _apply_configuration(self, cfg):
        limits = cfg.limits
        self.heads.configure(limits.max_header_bytes, limits.header_timeout_s)
        self.limits.shifts.configure(cfg.shifts)
        self.limits.allotments.configure(cfg, self.settings.bounds)
        accounts = cfg.accounts.by_name if cfg.accounts is not None else ()
        self.metrics.prune_accounts(accounts)
        routes = [route for routes in cfg.hosts.values() for route in routes]
        self.limits.split.prune({(route.name, route.split) for route in routes})
        self.metrics.prune_routes({route.name for route in routes})

    def _check_settings(self):
        if file_signature(self._settings_file) != self._settings_signature:
            self.reload()


def create_front(settings, settings_file, clock=None, seed=None):
    """Return an instance that is not yet started.

    Parameters
    ----------
    settings, settings_file, clock
        As of `Front`; the clock of the system if None.
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
    settings, settings_file
        As of `Front`.

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
