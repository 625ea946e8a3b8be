"""Starts and stops the processes of a deployment on loopback addresses."""

import json
import os
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path

from quetzalwall.connection.json_client import create_json_client
from quetzalwall.exceptions import PeerError

__all__ = ["AddressTaken", "Deployment", "create_deployment"]

ROOT = Path(__file__).resolve().parent.parent
START_TIMEOUT_S = 60.0
EXIT_TIMEOUT_S = 5.0


class AddressTaken(Exception):
    """Another process listens on an address of this deployment."""


class Deployment:
    """The store, endpoints and instances of one deployment, as processes.

    Parameters
    ----------
    example : str
        Folder of the settings below ``examples``, for example ``"whetstone"``, or an
        absolute path.
    logs : pathlib.Path
        Folder for the processes' logs.

    Attributes
    ----------
    tree : dict
        Settings tree.
    instances : dict
        Settings of the instances, by name.
    store : str
        Address and port of the metadata store.
    """

    def __init__(self, example, logs):
        self.folder = ROOT / "examples" / example  # an absolute path replaces the root
        self.logs = logs
        self.tree = json.loads((self.folder / "tree.json").read_text())
        files = sorted(self.folder.glob("*.json"))
        settings = [json.loads(f.read_text()) for f in files if f.stem != "tree"]
        self.instances = {spec["instance"]: spec for spec in settings}
        self.store = settings[0]["store"]
        self._processes = {}

    def start(self):
        """Start all processes and wait until every instance is ready."""
        self.logs.mkdir(parents=True, exist_ok=True)
        tree = str(self.folder / "tree.json")
        host, port = self.store.split(":")
        self._require_free(host, int(port))
        self._spawn(
            "store",
            *("-m", "standins.metadata_store", "--address", host),
            *("--port", port, "--tree", tree),
        )
        self._spawn("endpoints", "-m", "standins.endpoints", "--tree", tree)
        self._wait_until(self.store, "/rows-get?table=settings", lambda body: True)
        for name in self.instances:
            self.start_instance(name)
        for name in self.instances:
            self.wait_ready(name)

    def start_instance(self, name):
        """Start one instance.

        Parameters
        ----------
        name : str
            The instance.
        """
        settings = str(self.folder / f"{name}.json")
        self._spawn(name, "-m", "quetzalwall", "front", "--settings", settings)

    def wait_ready(self, name):
        """Wait until an instance has settings and sees all running instances.

        Parameters
        ----------
        name : str
            The instance.
        """
        running = {
            other
            for other in self.instances
            if other in self._processes and self._processes[other].poll() is None
        }
        self._wait_until(
            self.listen_address(name),
            "/status",
            lambda body: body["version_in_force"] > 0 and running <= set(body["live"]),
        )

    def listen_address(self, name, listener="lookup"):
        """Return the address of one of an instance's listeners.

        Parameters
        ----------
        name : str
            The instance.
        listener : str, default="lookup"
            Name of the listener.

        Returns
        -------
        str
            IP address and port.
        """
        return self.instances[name]["listen"][listener]

    def send_signal(self, name, number):
        """Send a signal to the process of an instance.

        Parameters
        ----------
        name : str
            The instance.
        number : int
            The signal.
        """
        self._processes[name].send_signal(number)

    def wait_exit(self, name, timeout_s):
        """Wait until the process of an instance has exited.

        Parameters
        ----------
        name : str
            The instance.
        timeout_s : float
            Maximum wait, in seconds.

        Returns
        -------
        int
            Its exit status.
        """
        return self._processes[name].wait(timeout_s)

    def pid(self, name):
        """Return the process identifier of an instance.

        Parameters
        ----------
        name : str
            The instance.

        Returns
        -------
        int
        """
        return self._processes[name].pid

    def call(self, address, method, target, body=None):
        """Call one of the processes with JSON.

        Parameters
        ----------
        address : str
            Address and port.
        method, target : str
            HTTP method and path.
        body : object, default=None
            Request body, sent as JSON.

        Returns
        -------
        JsonResponse
        """
        host, port = address.split(":")
        client = create_json_client(host, int(port), address, timeout_s=5.0)
        try:
            return client.call(method, target, body)
        finally:
            client.close()

    def close(self):
        """Kill all processes, also suspended ones."""
        for process in self._processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self._processes.values():
            process.wait(EXIT_TIMEOUT_S)

    def _require_free(self, host, port):
        """Raise if another process, such as another deployment, uses the address."""
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                sock.bind((host, port))
            except OSError as exc:
                message = f"{host}:{port} is in use: is another deployment running?"
                raise AddressTaken(message) from exc

    def _spawn(self, name, *arguments):
        log = open(self.logs / f"{name}.log", "ab")  # noqa: SIM115
        environment = os.environ | {"PYTHONPATH": str(ROOT)}
        self._processes[name] = subprocess.Popen(
            [sys.executable, *arguments],
            stdout=log,
            stderr=subprocess.STDOUT,
            cwd=ROOT,
            env=environment,
        )
        log.close()

    def _wait_until(self, address, target, condition):
        deadline = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline:
            try:
                if condition(self.call(address, "GET", target).body):
                    return
            except PeerError:
                pass
            time.sleep(0.05)
        raise TimeoutError(f"{address} is not ready after {START_TIMEOUT_S} s")


def create_deployment(example, logs):
    """Return a deployment that is not yet started.

    Parameters
    ----------
    example : str
        Folder of the settings.
    logs : pathlib.Path
        Folder for the processes' logs.

    Returns
    -------
    Deployment
    """
    return Deployment(example, logs)
