"""The daemon of an entry instance: starts and stops all parts in order."""

import gevent
import gevent.event
from gevent import signal_handler

from quetzalwall.clock import system_clock
from quetzalwall.connection.http_server import create_server
from quetzalwall.exceptions import PeerError, StoreError
from quetzalwall.logs import get_logger, log_event
from quetzalwall.platform.listing import create_listing_client
from quetzalwall.platform.objects import create_object_client
from quetzalwall.platform.table import create_table_client
from quetzalwall.process.app import create_application
from quetzalwall.process.membership.membership import LEAVING
from quetzalwall.process.membership.peers import create_peers
from quetzalwall.process.node import create_node
from quetzalwall.process.status import instance_status, set_gauges
from quetzalwall.process.storage.operators import create_operators
from quetzalwall.process.storage.startup import find_configuration
from quetzalwall.process.storage.store_tasks import create_store_tasks
from quetzalwall.process.storage.write_batcher import create_write_batcher
from quetzalwall.process.tasks import repeat
from quetzalwall.request.claim import create_claims
from quetzalwall.request.forward import create_forwarder

__all__ = ["Entry", "create_entry", "run_entry"]

TICK_S = 0.5
STOP_POLL_S = 0.05
SPREAD_S = 2.0  # until every look-up answer leaves a stopping instance out
DEFAULT_STOP_GRACE_S = 120.0
DEFAULT_STORE_TIMEOUT_S = 1.0
SIGTERM = 15
SIGINT = 2
LOG = get_logger("entry")


class Entry:
    """An entry instance.

    Parameters
    ----------
    settings : dict
        The instance's own settings, checked.
    clock : Clock
        Source of time.
    seed : int, default=None
        Seed of the source of randomness.

    Attributes
    ----------
    node : Node
        State; None before the start.
    stopping : bool
        Whether a planned stop has begun.
    """

    def __init__(self, settings, clock, seed=None):
        self.settings = settings
        self.node = None
        self.stopping = False
        self._clock = clock
        self._seed = seed
        self._requests = 0
        self._stopped = gevent.event.Event()
        timeout_s = settings.get("store_timeout_s", DEFAULT_STORE_TIMEOUT_S)
        places = settings["platform"]
        self._table = create_table_client(*_place(places["table"]), timeout_s)
        self._objects = create_object_client(*_place(places["objects"]), timeout_s)
        self._listing = create_listing_client(*_place(places["listing"]), timeout_s)

    def start(self):
        """Find a configuration, then begin service."""
        configuration = find_configuration(
            self.settings, self._table, self._objects, self._clock
        )
        self.node = create_node(self.settings, configuration, self._clock, self._seed)
        self.batcher = create_write_batcher(self._table, self._clock, self.node.rng)
        claims = create_claims(
            self.batcher, self._clock, self.node.name, spawn=gevent.spawn
        )
        self.forwarder = create_forwarder(
            self.node.admission,
            self.node.endpoints,
            claims,
            self._clock,
            self.node.metrics,
        )
        self.operators = create_operators(self.node, self._table)
        self.peers = create_peers(self.node)
        self.store_tasks = create_store_tasks(
            self.node, self._table, self._objects, self._listing, self._ask_holder
        )
        self._server = create_server(
            self.settings["address"], self.settings["port"], create_application(self)
        )
        self._server.start()
        self.batcher.start()
        self.node.admission.start()
        self.peers.start()
        self.store_tasks.start()
        self._ticker = repeat(self._tick, TICK_S)
        log_event(
            LOG,
            "started",
            instance=self.node.name,
            address=self.settings["address"],
            port=self._server.server_port,
            version=configuration.version,
        )

    def wait(self):
        """Wait until the instance has stopped."""
        self._stopped.wait()

    def stop(self):
        """Stop as planned: no request in flight is cut.

        The instance leaves look-up answers at once, serves callers whose cached
        answers still name it, lets every request end, and settles its loans.
        """
        if self.stopping:
            return
        self.stopping = True
        began = self._clock.monotonic()
        self.node.membership.set_own_state(LEAVING)
        log_event(LOG, "stopping", in_flight=self._requests)
        gevent.sleep(self.node.cfg()["lookup"]["ttl_s"] + SPREAD_S)
        grace_s = self.settings.get("stop_grace_s", DEFAULT_STOP_GRACE_S)
        self._wait_idle(began + grace_s)
        self.node.stopping = True
        self._server.stop_accepting()
        clean = self._settle(began + grace_s)
        log_event(LOG, "stopped", in_flight=self._requests, clean=clean)
        self.close()

    def close(self):
        """End at once."""
        gevent.killall([self._ticker])
        self.store_tasks.close()
        self.peers.close()
        self.node.admission.close()
        self.batcher.close()
        self._server.stop(timeout=0)
        self.node.endpoints.close()
        for client in (self._table, self._objects, self._listing):
            client.close()
        self._stopped.set()

    def in_flight(self):
        """Return a context in which a request counts as in flight.

        Returns
        -------
        context manager
        """
        return _InFlight(self)

    def track(self, blocks):
        """Return an answer's body that counts as in flight until it is closed.

        Parameters
        ----------
        blocks : iterable of bytes
            The body.

        Returns
        -------
        iterable of bytes
        """
        return _TrackedBlocks(self, blocks)

    def fetch_later(self, name):
        """Get a newer configuration from a peer in a task of its own.

        Parameters
        ----------
        name : str
            The peer.
        """
        gevent.spawn(self.peers.fetch_configuration, name)

    def status(self):
        """Return what operators see of this instance.

        Returns
        -------
        dict
        """
        return instance_status(self.node, self.stopping, self._requests)

    def refresh_gauges(self):
        """Bring the gauges up to date."""
        set_gauges(self.node)

    def count_request(self, change):
        """Change the number of requests in flight.

        Parameters
        ----------
        change : int
            1 or -1.
        """
        self._requests += change

    def _tick(self):
        self.node.tick()
        if self.node.holders.superseded() and not self.stopping:
            log_event(LOG, "superseded", "error", instance=self.node.name)
            gevent.spawn(self.stop)

    def _ask_holder(self, name):
        body = {"owner": self.node.name}
        self.peers.client(name).call("POST", "/peer/give-back", body)

    def _wait_idle(self, until):
        while self._requests and self._clock.monotonic() < until:
            gevent.sleep(STOP_POLL_S)

    def _settle(self, until):
        """Return loans and leave the record; return whether nothing is left."""
        ledger = self.node.ledger
        for loan in list(ledger.borrowed.values()):
            if ledger.end_borrowed(loan.loan_id, self._clock.monotonic()):
                self.peers.return_loan(loan)
        while self._clock.monotonic() < until:
            ledger.expire(self._clock.monotonic())
            slots_used = any(not _is_window(key) for key in ledger.used)
            if not ledger.lent and not slots_used:
                return self._unregister()
            gevent.sleep(STOP_POLL_S)
        return False

    def _unregister(self):
        holders = self.node.holders
        for _ in range(5):
            try:
                self.store_tasks.read_holders()
                if not holders.registered():
                    return True
                if not holders.leaves_nothing(self._clock.monotonic()):
                    return False
                if self.store_tasks.write_holders(holders.unregister()):
                    return True
            except StoreError as exc:
                log_event(LOG, "unregister", "warning", reason=exc.message)
                gevent.sleep(1.0)
        return False


class _InFlight:
    """Counts a request from its arrival until its answer begins."""

    def __init__(self, entry):
        self._entry = entry

    def __enter__(self):
        self._entry.count_request(+1)

    def __exit__(self, *exc_info):
        self._entry.count_request(-1)


class _TrackedBlocks:
    """Body of an answer that counts as a request in flight until it is closed."""

    def __init__(self, entry, blocks):
        self._entry = entry
        self._blocks = blocks
        self._iterator = iter(blocks)
        self._open = True
        entry.count_request(+1)

    def __iter__(self):
        return self

    def __next__(self):
        return next(self._iterator)

    def close(self):
        if not self._open:
            return
        self._open = False
        self._entry.count_request(-1)
        close = getattr(self._blocks, "close", None)
        if close is not None:
            close()


def _is_window(key):
    return key.startswith(("shift/", "link/"))


def _place(text):
    host, port = text.split(":")
    return host, int(port)


def create_entry(settings, clock=None, seed=None):
    """Return an entry instance that is not yet started.

    Parameters
    ----------
    settings : dict
        The instance's own settings, checked.
    clock : Clock, default=None
        Source of time; the system's if None.
    seed : int, default=None
        Seed of the source of randomness.

    Returns
    -------
    Entry
    """
    return Entry(settings, clock or system_clock(), seed=seed)


def run_entry(settings):
    """Run an entry instance until it is told to stop.

    Parameters
    ----------
    settings : dict
        The instance's own settings, checked.

    Returns
    -------
    int
        Exit status: 0 after a planned stop, 1 if the instance could not start.
    """
    entry = create_entry(settings)
    try:
        entry.start()
    except (PeerError, OSError) as exc:
        log_event(LOG, "not-started", "error", reason=str(exc))
        return 1
    for number in (SIGTERM, SIGINT):
        signal_handler(number, entry.stop)
    entry.wait()
    return 0
