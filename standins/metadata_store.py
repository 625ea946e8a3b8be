"""Stand-in for the platform's metadata store: rows, transactions and a feed.

Faults are set with ``POST /faults``: ``down`` (every call gets 503), ``refuse`` (IP
numbers that get 503), ``slow_s`` (seconds added to each call), ``lose_replies`` (number
of coming writes that are done and not answered), ``late_s`` (such a write is done that
much later, if its condition still holds) and ``forget`` (drop the history once).
"""

import argparse
import base64
import json
from urllib.parse import parse_qs

import gevent
import gevent.event
from gevent import signal_handler

from quetzalwall.connection.http_server import (
    BadRequest,
    create_server,
    json_response,
    read_json,
)
from quetzalwall.process.storage.store_table import SETTINGS_TABLE
from quetzalwall.version.tree import HEAD_KEY, team_key

__all__ = ["MetadataStore", "create_metadata_store", "load_tree"]

NO_FAULTS = {
    "down": False,
    "refuse": [],
    "slow_s": 0.0,
    "lose_replies": 0,
    "late_s": 0.0,
    "forget": False,
}
HANG_S = 30.0  # a lost reply leaves the caller waiting
PAGE_ROWS = 500
MOST_WAIT_S = 30.0


class MetadataStore:
    """State of the store.

    Parameters
    ----------
    address : str
        IP number to listen on.
    port : int
        TCP port to listen on; 0 takes a free one.
    """

    def __init__(self, address, port):
        self.rows = {}
        self.version = 0
        self.faults = dict(NO_FAULTS)
        self.calls = 0
        self._history = []
        self._forgotten = 0
        self._changed = gevent.event.Event()
        self.server = create_server(address, port, self._application)

    def start(self):
        """Begin service."""
        self.server.start()

    def close(self):
        """End service at once."""
        self.server.stop(timeout=0)

    def put(self, table, key, value):
        """Write a row, as the operator or an endpoint would; None removes it.

        Parameters
        ----------
        table, key : str
            Place of the row.
        value : bytes or None
            Content.
        """
        self._commit([(table, "", key, value)])

    def set_faults(self, **faults):
        """Set faults; those not named stay as they are.

        Parameters
        ----------
        **faults
            As the module says.
        """
        self.faults.update(faults)
        if faults.get("forget"):
            self._forgotten = self.version
            self._history.clear()
            self.faults["forget"] = False
        self._wake()

    def _application(self, environ, start_response):
        path = environ["PATH_INFO"]
        if path == "/faults":
            self.set_faults(**read_json(environ))
            return json_response(start_response, 200, self.faults)
        if path == "/counts":
            return json_response(start_response, 200, {"calls": self.calls})
        self.calls += 1
        if self.faults["slow_s"]:
            gevent.sleep(self.faults["slow_s"])
        if self._refuses(environ):
            return json_response(start_response, 503, {})
        query = {key: v[0] for key, v in parse_qs(environ["QUERY_STRING"]).items()}
        try:
            if path == "/rows-get":
                return json_response(start_response, 200, self._get(query))
            if path == "/rows-feed":
                return self._feed(query, environ, start_response)
            if path == "/rows-tx":
                return self._transact(read_json(environ), start_response)
        except BadRequest as exc:
            return json_response(start_response, exc.status, {"error": exc.message})
        return json_response(start_response, 404, {})

    def _refuses(self, environ):
        return self.faults["down"] or environ["REMOTE_ADDR"] in self.faults["refuse"]

    def _get(self, query):
        first = query.get("from", "")
        found = sorted(
            (key, value, version)
            for (table, part, key), (value, version) in self.rows.items()
            if table == query["table"] and part == query.get("part", "")
            if key >= first and key < query.get("target", "\U0010ffff")
        )
        limit = min(PAGE_ROWS, int(query.get("limit", PAGE_ROWS)))
        rows = [_row(query["table"], key, v, ver) for key, v, ver in found[:limit]]
        return self._body(rows) | {"hasMore": len(found) > limit}

    def _feed(self, query, environ, start_response):
        after = int(query["after"])
        wait_s = min(MOST_WAIT_S, int(query.get("waitMs", 0)) / 1000)
        with gevent.Timeout(wait_s, False):
            while after >= self._forgotten and not self._since(query["table"], after):
                if self._refuses(environ):
                    return json_response(start_response, 503, {})
                self._changed.wait()
        if after < self._forgotten:
            return json_response(start_response, 410, {})
        rows = self._since(query["table"], after)
        return json_response(start_response, 200, self._body(rows))

    def _since(self, table, after):
        newest = {}
        for version, changed, key, value in self._history:
            if version > after and changed == table:
                newest.pop(key, None)
                newest[key] = _row(table, key, value, version)
        return list(newest.values())

    def _transact(self, body, start_response):
        changes = [
            (put["table"], put["part"], put["key"], base64.b64decode(put["value"]))
            for put in body.get("puts", ())
        ]
        changes += [
            (place["table"], place["part"], place["key"], None)
            for place in body.get("deletes", ())
        ]
        if self.faults["lose_replies"] > 0:
            self.faults["lose_replies"] -= 1
            gevent.sleep(self.faults["late_s"])
            if self._holds(body):
                self._commit(changes)
            gevent.sleep(HANG_S)
        if not self._holds(body):
            return json_response(start_response, 412, self._body(self._checked(body)))
        self._commit(changes)
        return json_response(start_response, 200, self._body([]))

    def _holds(self, body):
        return all(
            self.rows.get((row["table"], row["part"], row["key"]), (None, 0))[1]
            == row["ver"]
            for row in body.get("expectedRev", ())
        )

    def _checked(self, body):
        places = [(row["table"], row["key"]) for row in body.get("expectedRev", ())]
        return [
            _row(table, key, *self.rows.get((table, "", key), (None, 0)))
            for table, key in places
        ]

    def _commit(self, changes):
        self.version += 1
        for table, part, key, value in changes:
            if value is None:
                self.rows.pop((table, part, key), None)
            else:
                self.rows[table, part, key] = (value, self.version)
            self._history.append((self.version, table, key, value))
        self._wake()

    def _wake(self):
        changed, self._changed = self._changed, gevent.event.Event()
        changed.set()

    def _body(self, rows):
        return {"rows": rows, "ver": self.version, "now": "0ms"}


def _row(table, key, value, version):
    row = {"table": table, "part": "", "key": key, "ver": version}
    if value is None:
        return row | {"removed": True}
    return row | {"value": base64.b64encode(value).decode()}


def create_metadata_store(address="127.0.0.1", port=0):
    """Return a store that is not yet started.

    Parameters
    ----------
    address : str, default="127.0.0.1"
        IP number to listen on.
    port : int, default=0
        TCP port to listen on; 0 takes a free one.

    Returns
    -------
    MetadataStore
    """
    return MetadataStore(address, port)


def load_tree(store, tree):
    """Write a settings tree as version 1.

    Parameters
    ----------
    store : MetadataStore
        The store.
    tree : dict
        Team to subtree.
    """
    head = {"version": 1, "teams": dict.fromkeys(tree, 1), "token": ""}
    for team, subtree in tree.items():
        store.put(SETTINGS_TABLE, team_key(team), json.dumps(subtree).encode())
    store.put(SETTINGS_TABLE, HEAD_KEY, json.dumps(head).encode())


def main():
    """Run a store until terminated."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--address", default="127.0.0.1")
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--tree", help="settings tree to begin with")
    args = parser.parse_args()
    store = create_metadata_store(args.address, args.port)
    if args.tree:
        with open(args.tree, encoding="utf-8") as file:
            load_tree(store, json.load(file))
    store.start()
    stop = gevent.event.Event()
    signal_handler(15, stop.set)
    stop.wait()


if __name__ == "__main__":
    main()
