"""Starts and ends the processes of a deployment on loopback addresses."""

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
END_TIMEOUT_S = 5.0


class AddressTaken(Exception):
    """Another process listens on an address of the deployment."""


class Deployment:
    """Processes of one deployment.

    Parameters
    ----------
    example : str
        Folder of the settings, for example ``"whetstone"``.
    logs : pathlib.Path
        Folder for the processes' logs.
    """

    def __init__(self, example, logs):
        self.folder = ROOT / "examples" / example  # an absolute path stays as it is
        self.logs = logs
        self.tree = json.loads((self.folder / "tree.json").read_text())
        files = sorted(self.folder.glob("*.json"))
        documents = [json.loads(f.read_text()) for f in files if f.stem != "tree"]
        self.instances = {spec["instance"]: spec for spec in documents}
        self.store = documents[0]["store"]
        self._processes = {}

    def start(self):
        """Start all processes and wait until every instance is ready."""
        self.logs.mkdir(parents=True, exist_ok=True)
        tree = str(self.folder / "tree.json")
        host, port = self.store.split(":")
        self._require_free(host, int(port))
        self._run(
            "store",
            *("-m", "standins.metadata_store", "--address", host),
            *("--port", port, "--tree", tree),
        )
        self._run("endpoints", "-m", "standins.endpoints", "--tree", tree)
        self._wait(self.store, "/rows-get?table=settings", lambda body: True)
        for name in self.instances:
            self.start_instance(name)
        for name in self.instances:
            self.wait_ready(name)

    def start_instance(self, name):
        """Start one entry instance.

        Parameters
        ----------
        name : str
            The instance.
        """
        settings = str(self.folder / f"{name}.json")
        self._run(name, "-m", "quetzalwall", "front", "--settings", settings)

    def wait_ready(self, name):
        """Wait until an instance has settings and has heard all others that run.

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
        self._wait(
            self.listen_address(name),
            "/status",
            lambda body: body["version_in_force"] > 0 and running <= set(body["live"]),
        )

    def listen_address(self, name, part="lookup"):
        """Return an address of an instance.

        Parameters
        ----------
        name : str
            The instance.
        part : str, default="lookup"
            Which of its addresses.

        Returns
        -------
        str
            IP number and port.
        """
        return self.instances[name]["listen"][part]

    def send_signal(self, name, number):
        """Send a signal to a process of this deployment.

        Parameters
        ----------
        name : str
            The instance.
        number : int
            The signal.
        """
        self._processes[name].send_signal(number)

    def wait_end(self, name, timeout_s):
        """Wait until a process has ended.

        Parameters
        ----------
        name : str
            The instance.
        timeout_s : float
            Seconds to wait.

        Returns
        -------
        int
            Its exit status.
        """
        return self._processes[name].wait(timeout_s)

    def pid(self, name):
        """Return the process identifier of a process.

        Parameters
        ----------
        name : str
            The instance.

        Returns
        -------
        int
        """
        return self._processes[name].pid

    def call(self, listen_address, method, target, body=None):
        """Call a process with JSON.

        Parameters
        ----------
        listen_address : str
            Address and port.
        method, target : str
            HTTP method and path.
        body : object, default=None
            Sent as JSON.

        Returns
        -------
        JsonResponse
        """
        host, port = listen_address.split(":")
        client = create_json_client(host, int(port), listen_address, timeout_s=5.0)
        try:
            return client.call(method, target, body)
        finally:
            client.close()

    def close(self):
        """End all processes."""
        for process in self._processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self._processes.values():
            process.wait(END_TIMEOUT_S)

    def _require_free(self, host, port):
        """Raise if another deployment runs on these addresses."""
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                sock.bind((host, port))
            except OSError as exc:
                message = f"{host}:{port} is taken: does another deployment run?"
                raise AddressTaken(message) from exc

    def _run(self, name, *arguments):
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

    def _wait(self, listen_address, target, ready):
        until = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < until:
            try:
                if ready(self.call(listen_address, "GET", target).body):
                    return
            except PeerError:
                pass
            time.sleep(0.05)
        raise TimeoutError(f"{listen_address} is not ready after {START_TIMEOUT_S} s")


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
