"""Instances as separate processes; the store and the endpoints in this process."""

import os
import signal
import subprocess
import sys
import tempfile
import time
from contextlib import ExitStack

import gevent
import msgspec

from quetzalwall.process.self_watch import resident_bytes
from quetzalwall.tests.platform_fixtures import (
    call,
    config_body,
    entry_body,
    free_ports,
    own_address,
    route_row,
    settings_body,
    write_settings,
)
from soak.proxy import create_proxy
from standins.metadata_store import create_metadata_store
from standins.platform_endpoint import create_platform_endpoint

__all__ = ["GRACE_PERIOD_S", "MEMORY_LIMIT_MB", "Instance", "SoakSite"]

DOMAINS = ("north-a", "north-b", "south-a")
START_TIMEOUT_S = 15.0
GRACE_PERIOD_S = 3.0
# Little more than an idle process takes, so that it allows only few connections.
MEMORY_LIMIT_MB = 120.0
OLDER_CONFIG_S = 0.6  # how long an older configuration stays in the store


class Instance:
    """One instance: its process, and the proxy between it and the store.

    Parameters
    ----------
    number : int
        Index in the fleet.
    site : SoakSite
        The store and the ports that the instance uses.

    Attributes
    ----------
    stopping : bool
        Whether a planned stop is under way.
    starts : int
        Number of process starts so far.
    exit_requested, killed : bool
        Whether the present process was sent SIGTERM or SIGKILL; whether SIGKILL.
    """

    def __init__(self, number, site):
        self.address = own_address(number)
        self.domain = DOMAINS[number % 3]
        self.store_proxy = create_proxy(site.store.server.address)
        self.store_proxy.start()
        seeds = [f"{own_address(n)}:{site.ports[2]}" for n in range(3)]
        body = settings_body(
            self.address,
            self.store_proxy.address,
            site.ports,
            f"front-{number}",
            self.domain,
            seeds,
        )
        body["bounds"]["grace"] = f"{GRACE_PERIOD_S}s"
        body["memory_mb"] = MEMORY_LIMIT_MB
        self.settings = write_settings(body)
        self.process = None
        self.paused = False
        self.stopping = False
        self.starts = 0
        self.sigterm_at = 0.0
        self.exit_requested = self.killed = False
        self._earlier_exits = 0
        self._unread_end, self._stderr = os.pipe()  # nobody reads the process's stderr
        self.log = tempfile.NamedTemporaryFile(  # noqa: SIM115
            "ab", suffix=f"-front-{number}.log", delete=False
        )

    def start(self):
        """Start the process."""
        self._earlier_exits = self.unexpected_exits()
        self.exit_requested = self.killed = False
        self.starts += 1
        self.paused = self.stopping = False
        self.process = subprocess.Popen(
            [sys.executable, "-m", "quetzalwall", "front", "--settings", self.settings],
            stdout=self.log,
            stderr=self._stderr,
        )

    def unexpected_exits(self):
        """Return how often the process has exited without SIGTERM or SIGKILL from here.

        Returns
        -------
        int
        """
        ended = self.process is not None and self.process.poll() is not None
        return self._earlier_exits + (ended and not self.exit_requested)

    def resident_mb(self):
        """Return the resident memory of the process.

        Returns
        -------
        float
            Megabytes; 0 if the process does not run or is paused.
        """
        return resident_bytes(self.process.pid) / 1e6 if self.running() else 0.0

    def running(self):
        """Return whether the process runs and is not paused.

        Returns
        -------
        bool
        """
        alive = self.process is not None and self.process.poll() is None
        return alive and not self.paused

    def serving(self):
        """Return whether the process runs and is not being stopped.

        Returns
        -------
        bool
        """
        return self.running() and not self.stopping

    def signal(self, number):
        """Send a signal if the process runs.

        Parameters
        ----------
        number : signal.Signals
            The signal.
        """
        if self.process.poll() is None:
            self.killed |= number == signal.SIGKILL
            if number == signal.SIGTERM:
                self.sigterm_at = time.monotonic()
            self.exit_requested |= number in (signal.SIGKILL, signal.SIGTERM)
            self.process.send_signal(number)
            self.paused = number == signal.SIGSTOP or (
                self.paused and number != signal.SIGCONT
            )

    def close(self):
        """Kill the process and wait for its exit."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
        while self.process is not None and self.process.poll() is None:
            gevent.sleep(0.02)
        self.store_proxy.close()
        self.log.close()
        os.close(self._unread_end)
        os.close(self._stderr)
        os.unlink(self.settings)


class SoakSite:
    """A store, endpoints and a fleet of instances.

    Parameters
    ----------
    instance_count : int
        Number of instances.
    endpoint_count : int
        Number of endpoints at the start.
    """

    def __init__(self, instance_count, endpoint_count):
        self.stack = ExitStack()
        self.ports = free_ports(6)
        self.store = create_metadata_store()
        self.version = 0
        self.endpoints = {}
        self.drained = {}
        self._entries = {}
        self.instances = []
        self._instance_count = instance_count
        self._initial_endpoints = endpoint_count
        self._endpoints_added = 0

    def start(self):
        """Start everything and wait until the fleet is ready."""
        self.store.start()
        self.stack.callback(self.store.close)
        self.configure()
        for _ in range(self._initial_endpoints):
            self.add_endpoint()
        for number in range(self._instance_count):
            instance = Instance(number, self)
            self.stack.callback(instance.close)
            self.instances.append(instance)
            instance.start()
        with gevent.Timeout(START_TIMEOUT_S):
            while not all(self.ready(instance) for instance in self.instances):
                gevent.sleep(0.1)

    def close(self):
        """Stop everything that was started."""
        self.stack.close()

    def ready(self, instance):
        """Return whether an instance reports that it is ready.

        Parameters
        ----------
        instance : Instance
            The instance.

        Returns
        -------
        bool
        """
        try:
            return call(instance.address, self.ports[1], "/ready")[0] == 200
        except OSError:
            return False

    def configure(self):
        """Write the next configuration, whose routes carry its version.

        Returns
        -------
        int
            The version.
        """
        self.version += 1
        self._write_configuration(self.version)
        return self.version

    def configure_older(self):
        """Put back the previous configuration for `OLDER_CONFIG_S`.

        It stands for another writer that overwrites the newest one.
        """
        if self.version > 1:
            self._write_configuration(self.version - 1)
            gevent.sleep(OLDER_CONFIG_S)
            self._write_configuration(self.version)

    def rewrite_configuration(self):
        """Write the newest configuration again, after the store was restored."""
        self._write_configuration(self.version)

    def register_missing(self):
        """Write the entries again that a restored store lacks or shows as they were."""
        for name in [*self.endpoints, *self.drained]:
            self.store.put("servers", name, self._entries[name])

    def _write_configuration(self, version):
        rows = [
            route_row("look", "/look/", timeout="1500ms"),
            route_row("book", "/book/", "unsafe", timeout="1500ms"),
            route_row(f"v{version}", f"/v{version}/"),
        ]
        body = config_body(version, rows)
        self.store.put("op", "config", msgspec.json.encode(body))

    def add_endpoint(self, cold="0ms"):
        """Start and register an endpoint.

        Parameters
        ----------
        cold : str, default="0ms"
            For how long the endpoint reports that it is cold.

        Returns
        -------
        PlatformEndpoint
        """
        self._endpoints_added += 1
        name = f"ep-{self._endpoints_added}"
        endpoint = create_platform_endpoint(name, slots=6, queue=18, work_s=0.03)
        endpoint.start()
        self.stack.callback(endpoint.close)
        self.endpoints[name] = endpoint
        domain = DOMAINS[self._endpoints_added % 3]
        body = entry_body(endpoint.address, domain=domain, coldLeft=cold)
        self._register(name, body)
        return endpoint

    def _register(self, name, body):
        self._entries[name] = msgspec.json.encode(body)
        self.store.put("servers", name, self._entries[name])

    def drain(self, name):
        """Report an endpoint as draining; it goes on serving.

        Parameters
        ----------
        name : str
            The endpoint.
        """
        endpoint = self.endpoints.pop(name)
        self._register(name, entry_body(endpoint.address, state="draining"))
        self.drained[name] = endpoint
