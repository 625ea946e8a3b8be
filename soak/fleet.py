"""Instances as processes of their own, and the world around them in this process."""

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

__all__ = ["GRACE_S", "MEMORY_MB", "Instance", "World"]

DOMAINS = ("north-a", "north-b", "south-a")
START_S = 15.0
GRACE_S = 3.0
MEMORY_MB = 120.0  # few connections beside what a process takes without any
OLDER_S = 0.6


class Instance:
    """One instance: its process, and the proxy between it and the store.

    Parameters
    ----------
    number : int
        Place in the fleet.
    world : World
        What is around it.
    """

    def __init__(self, number, world):
        self.address = own_address(number)
        self.domain = DOMAINS[number % 3]
        self.store = create_proxy(world.store.server.address)
        self.store.start()
        seeds = [f"{own_address(n)}:{world.ports[2]}" for n in range(3)]
        body = settings_body(
            self.address,
            self.store.address,
            world.ports,
            f"front-{number}",
            self.domain,
            seeds,
        )
        body["bounds"]["grace"] = f"{GRACE_S}s"
        body["memory_mb"] = MEMORY_MB
        self.file = write_settings(body)
        self.process = None
        self.paused = False
        self.stopping = False
        self.starts = 0
        self.term_at = 0.0
        self.told_to_end = self.killed = False
        self._own_ends = 0
        self._unread, self._error = os.pipe()  # nobody reads their standard error
        self.log = tempfile.NamedTemporaryFile(  # noqa: SIM115
            "ab", suffix=f"-front-{number}.log", delete=False
        )

    def start(self):
        """Start the process."""
        self._own_ends = self.own_ends()
        self.told_to_end = self.killed = False
        self.starts += 1
        self.paused = self.stopping = False
        self.process = subprocess.Popen(
            [sys.executable, "-m", "quetzalwall", "front", "--settings", self.file],
            stdout=self.log,
            stderr=self._error,
        )

    def own_ends(self):
        """Return how often the process has ended without being told to.

        Returns
        -------
        int
        """
        ended = self.process is not None and self.process.poll() is not None
        return self._own_ends + (ended and not self.told_to_end)

    def resident_mb(self):
        """Return the memory that the process takes.

        Returns
        -------
        float
            Megabytes; 0 if it does not run.
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

    def undisturbed(self):
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
                self.term_at = time.monotonic()
            self.told_to_end |= number in (signal.SIGKILL, signal.SIGTERM)
            self.process.send_signal(number)
            self.paused = number == signal.SIGSTOP or (
                self.paused and number != signal.SIGCONT
            )

    def close(self):
        """Kill the process and wait for its end."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
        while self.process is not None and self.process.poll() is None:
            gevent.sleep(0.02)
        self.store.close()
        self.log.close()
        os.close(self._unread)
        os.close(self._error)
        os.unlink(self.file)


class World:
    """A store, endpoints and a fleet.

    Parameters
    ----------
    fleet : int
        Instances.
    endpoints : int
        Endpoints of the service at the start.
    """

    def __init__(self, fleet, endpoints):
        self.stack = ExitStack()
        self.ports = free_ports(6)
        self.store = create_metadata_store()
        self.version = 0
        self.endpoints = {}
        self.left = {}
        self.instances = []
        self._fleet = fleet
        self._first = endpoints
        self._added = 0

    def start(self):
        """Start everything and wait until the fleet is ready."""
        self.store.start()
        self.stack.callback(self.store.close)
        self.configure()
        for _ in range(self._first):
            self.add_endpoint()
        for number in range(self._fleet):
            instance = Instance(number, self)
            self.stack.callback(instance.close)
            self.instances.append(instance)
            instance.start()
        with gevent.Timeout(START_S):
            while not all(self.ready(instance) for instance in self.instances):
                gevent.sleep(0.1)

    def close(self):
        """End everything that was started."""
        self.stack.close()

    def ready(self, instance):
        """Return whether an instance says that it is ready.

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
        """Accept another configuration; its routes carry its version."""
        self.version += 1
        self._write_configuration(self.version)
        return self.version

    def configure_older(self):
        """Have another writer put an older configuration in place for a moment."""
        if self.version > 1:
            self._write_configuration(self.version - 1)
            gevent.sleep(OLDER_S)
            self._write_configuration(self.version)

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
            For how long it says that it is cold.
        """
        self._added += 1
        name = f"ep-{self._added}"
        endpoint = create_platform_endpoint(name, slots=6, queue=18, work_s=0.03)
        endpoint.start()
        self.stack.callback(endpoint.close)
        self.endpoints[name] = endpoint
        domain = DOMAINS[self._added % 3]
        body = entry_body(endpoint.address, domain=domain, coldLeft=cold)
        self.store.put("servers", name, msgspec.json.encode(body))
        return endpoint

    def drain(self, name):
        """Report an endpoint as leaving; it goes on serving.

        Parameters
        ----------
        name : str
            The endpoint.
        """
        endpoint = self.endpoints.pop(name)
        body = entry_body(endpoint.address, state="draining")
        self.store.put("servers", name, msgspec.json.encode(body))
        self.left[name] = endpoint
