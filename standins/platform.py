"""Stand-in for the platform: table service, object store and instance list.

Faults are set with ``POST /faults``: ``table_down``, ``objects_down``,
``listing_down`` (bool), ``slow_s`` (seconds added to a table call), ``lose_replies``
(number of coming writes whose reply is lost after they took effect) and
``delay_writes_s`` (a write takes effect that long after its reply was lost).
"""

import argparse
import json

import gevent
from gevent import signal_handler

from quetzalwall.connection.http_server import (
    BadRequest,
    create_server,
    json_answer,
    read_json,
)

__all__ = ["Platform", "create_platform"]

NO_FAULTS = {
    "table_down": False,
    "objects_down": False,
    "listing_down": False,
    "slow_s": 0.0,
    "lose_replies": 0,
    "delay_writes_s": 0.0,
}
HANG_S = 30.0  # a lost reply leaves the caller waiting


class Platform:
    """State of the stand-in.

    Parameters
    ----------
    address : str
        IP number to listen on.
    port : int
        TCP port to listen on.
    """

    def __init__(self, address, port):
        self.rows = {}
        self.objects = {}
        self.listing = {"instances": {}, "endpoints": {}}
        self.faults = dict(NO_FAULTS)
        self.counts = {"txn": 0, "read": 0, "scan": 0, "objects": 0, "refused": 0}
        self.server = create_server(address, port, self._application)

    def start(self):
        """Begin service."""
        self.server.start()

    def close(self):
        """End service at once."""
        self.server.stop(timeout=0)

    def txn(self, checks, writes):
        """Apply one transaction.

        Parameters
        ----------
        checks : dict of str to int
            Key to expected version.
        writes : dict of str to object
            Key to new value; None removes the row.

        Returns
        -------
        dict of str to dict
            The rows that differ from the checks; empty when the writes took effect.
        """
        differing = {
            key: self.row(key)
            for key, version in checks.items()
            if self.row(key)["version"] != version
        }
        if not differing:
            for key, value in writes.items():
                version = self.row(key)["version"] + 1
                self.rows[key] = {"version": version, "value": value}
        return differing

    def row(self, key):
        """Return one row, with version 0 if absent.

        Parameters
        ----------
        key : str
            The key.

        Returns
        -------
        dict
        """
        return self.rows.get(key, {"version": 0, "value": None})

    def _application(self, environ, start_response):
        path = environ["PATH_INFO"]
        try:
            status, body = self._dispatch(environ, path)
        except BadRequest as exc:
            status, body = exc.status, {"message": exc.message}
        return json_answer(start_response, status, body)

    def _dispatch(self, environ, path):
        if path == "/faults":
            self.faults.update(read_json(environ))
            return 200, self.faults
        if path == "/counts":
            return 200, self.counts
        if path.startswith("/table/"):
            return self._table(path, read_json(environ))
        if path.startswith("/objects/"):
            return self._objects(environ, path.removeprefix("/objects/"))
        if path == "/listing":
            return self._listing(environ)
        return 404, {"message": f"no such path: {path}"}

    def _table(self, path, body):
        if self.faults["slow_s"]:
            gevent.sleep(self.faults["slow_s"])
        if self.faults["table_down"]:
            self.counts["refused"] += 1
            return 503, {"message": "table is down"}
        if path == "/table/txn":
            return self._txn(body)
        if path == "/table/read":
            self.counts["read"] += 1
            return 200, {"rows": {key: self.row(key) for key in body["keys"]}}
        self.counts["scan"] += 1
        keys = sorted(key for key in self.rows if key.startswith(body["prefix"]))
        return 200, {"rows": {key: self.rows[key] for key in keys[: body["limit"]]}}

    def _txn(self, body):
        self.counts["txn"] += 1
        losing = self.faults["lose_replies"] > 0
        if losing:
            self.faults["lose_replies"] -= 1
            gevent.sleep(self.faults["delay_writes_s"])
        differing = self.txn(body["checks"], body["writes"])
        if losing:
            gevent.sleep(HANG_S)
        if differing:
            return 409, {"rows": differing}
        return 200, {"versions": {k: self.row(k)["version"] for k in body["writes"]}}

    def _objects(self, environ, name):
        self.counts["objects"] += 1
        if self.faults["objects_down"]:
            return 503, {"message": "object store is down"}
        if environ["REQUEST_METHOD"] == "PUT":
            self.objects[name] = read_json(environ)
            return 200, {}
        if name in self.objects:
            return 200, self.objects[name]
        return 404, {}

    def _listing(self, environ):
        if self.faults["listing_down"]:
            return 503, {"message": "list is down"}
        if environ["REQUEST_METHOD"] == "POST":
            for kind, states in read_json(environ).items():
                self.listing[kind].update(states)
        return 200, self.listing


def create_platform(address="127.0.0.1", port=0):
    """Return a stand-in that is not yet started.

    Parameters
    ----------
    address : str, default="127.0.0.1"
        IP number to listen on.
    port : int, default=0
        TCP port to listen on; 0 takes a free one.

    Returns
    -------
    Platform
    """
    return Platform(address, port)


def load_tree(platform, tree):
    """Store a settings tree as the accepted configuration.

    Parameters
    ----------
    platform : Platform
        The stand-in.
    tree : dict
        Team to subtree.
    """
    from quetzalwall.version.tree import HEAD_KEY, team_key

    versions = dict.fromkeys(tree, 1)
    platform.txn({}, {team_key(team): subtree for team, subtree in tree.items()})
    platform.txn({}, {HEAD_KEY: {"version": 1, "teams": versions}})


def main():
    """Run the stand-in until it is terminated."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--address", default="127.0.0.1")
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--tree", help="settings tree accepted at the start")
    args = parser.parse_args()
    platform = create_platform(args.address, args.port)
    if args.tree:
        with open(args.tree, encoding="utf-8") as file:
            load_tree(platform, json.load(file))
    platform.start()
    signal_handler(15, platform.close)
    platform.server.serve_forever()


if __name__ == "__main__":
    main()
