"""Fake of the platform's metadata store: rows, transactions and a change feed.

``POST /faults`` sets faults:

- ``down``: every call gets 503
- ``refuse``: IP addresses whose calls get 503
- ``slow_s``: seconds added to each call
- ``lose_replies``: number of coming writes that are applied but get no reply
- ``late_s``: seconds by which such a write is delayed; it is applied only if its
  preconditions still hold then
- ``forget``: drop the history of changes once
- ``restore_s``: restore, once, the state of so many seconds ago, one era higher;
  versions since then are assigned again, and reads after later ones get 410
- ``restore_away_s``: seconds for which such a restore rejects all calls
"""

import argparse
import base64
import json
import time
from collections import deque
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
    "restore_s": 0.0,
    "restore_away_s": 0.0,
}
COPY_PERIOD_S = 0.1  # between the states that can be restored
MAX_COPIES = 200
LOST_REPLY_HANG_S = 30.0  # how long a client waits whose reply is lost
MAX_PAGE_ROWS = 500
MAX_LONG_POLL_S = 30.0


class MetadataStore:
    """A store that keeps its rows in memory.

    Parameters
    ----------
    address : str
        IP address to listen on.
    port : int
        TCP port to listen on; 0 chooses a free one.
    """

    def __init__(self, address, port):
        self.rows = {}
        self.version = 0
        self.era = 0
        self.faults = dict(NO_FAULTS)
        self.calls = 0
        self._history = []
        self._dropped_up_to = 0
        self._committed = gevent.event.Event()
        self._copies = deque(maxlen=MAX_COPIES)  # (moment, version, rows)
        self._away = False
        self.server = create_server(address, port, self._application)

    def start(self):
        """Start serving."""
        self.server.start()

    def close(self):
        """Stop serving, without waiting for calls in progress."""
        self.server.stop(timeout=0)

    def put(self, table, key, value):
        """Write or remove a row, as the operator or an endpoint would.

        Parameters
        ----------
        table, key : str
            Table and key of the row.
        value : bytes or None
            Content; None removes the row.
        """
        self._commit([(table, "", key, value)])

    def set_faults(self, **faults):
        """Set faults; those not given stay as they are.

        Parameters
        ----------
        **faults
            Faults by name; see the module's docstring.
        """
        self.faults.update(faults)
        if faults.get("forget"):
            self._dropped_up_to = self.version
            self._history.clear()
            self.faults["forget"] = False
        if faults.get("restore_s"):
            self.faults["restore_s"] = 0.0
            self.restore(faults["restore_s"], self.faults["restore_away_s"])
        self._wake_feeds()

    def restore(self, age_s, away_s=0.0):
        """Restore an older copy of all rows, and begin the next era.

        Parameters
        ----------
        age_s : float
            Age of the copy in seconds, up to `COPY_PERIOD_S` less.
        away_s : float, default=0.0
            Seconds for which all calls are rejected before the copy is served.
        """
        cutoff = time.monotonic() - age_s
        later = [copy for copy in self._copies if copy[0] > cutoff]
        if later:
            # The state before the first change since then.
            self.version, self.rows = later[0][1], dict(later[0][2])
        self._history = [entry for entry in self._history if entry[0] <= self.version]
        self._copies.clear()
        self.era += 1
        if away_s:
            self._away = True
            gevent.spawn_later(away_s, self._return)
        self._wake_feeds()

    def _return(self):
        self._away = False

    def _application(self, environ, start_response):
        path, send = environ["PATH_INFO"], start_response

        def start_response(status, headers, *args):
            # Of the moment of the response: the store may be restored during a call.
            return send(status, [*headers, *self._era_headers()], *args)

        if path == "/faults":
            self.set_faults(**read_json(environ))
            return json_response(start_response, 200, self.faults)
        if path == "/counts":
            return json_response(start_response, 200, {"calls": self.calls})
        self.calls += 1
        if self.faults["slow_s"]:
            gevent.sleep(self.faults["slow_s"])
        if self._rejects(environ):
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

    def _rejects(self, environ):
        if self._away:
            return True
        return self.faults["down"] or environ["REMOTE_ADDR"] in self.faults["refuse"]

    def _era_headers(self):
        return [("Store-Era", str(self.era))] if self.era else []

    def _get(self, query):
        first = query.get("from", "")
        found = sorted(
            (key, value, version)
            for (table, part, key), (value, version) in self.rows.items()
            if table == query["table"] and part == query.get("part", "")
            if key >= first and key < query.get("target", "\U0010ffff")
        )
        limit = min(MAX_PAGE_ROWS, int(query.get("limit", MAX_PAGE_ROWS)))
        rows = [_row(query["table"], key, v, ver) for key, v, ver in found[:limit]]
        return self._reply_body(rows) | {"hasMore": len(found) > limit}

    def _feed(self, query, environ, start_response):
        after = int(query["after"])
        wait_s = min(MAX_LONG_POLL_S, int(query.get("waitMs", 0)) / 1000)
        era = self.era
        with gevent.Timeout(wait_s, False):
            while (
                era == self.era
                and self._has(after)
                and not self._changes_since(query["table"], after)
            ):
                if self._rejects(environ):
                    return json_response(start_response, 503, {})
                self._committed.wait()
        if not self._has(after):
            return json_response(start_response, 410, {})
        rows = self._changes_since(query["table"], after)
        return json_response(start_response, 200, self._reply_body(rows))

    def _has(self, after):
        return self._dropped_up_to <= after <= self.version

    def _changes_since(self, table, after):
        newest = {}
        for version, changed_table, key, value in self._history:
            if version > after and changed_table == table:
                newest.pop(key, None)
                newest[key] = _row(table, key, value, version)
        return list(newest.values())

    def _transact(self, body, start_response):
        changes = [
            (put["table"], put["part"], put["key"], base64.b64decode(put["value"]))
            for put in body.get("puts", ())
        ]
        changes += [
            (row["table"], row["part"], row["key"], None)
            for row in body.get("deletes", ())
        ]
        if self.faults["lose_replies"] > 0:
            self.faults["lose_replies"] -= 1
            gevent.sleep(self.faults["late_s"])
            if self._preconditions_hold(body):
                self._commit(changes)
            gevent.sleep(LOST_REPLY_HANG_S)
        if not self._preconditions_hold(body):
            return json_response(
                start_response, 412, self._reply_body(self._expected_rows(body))
            )
        self._commit(changes)
        return json_response(start_response, 200, self._reply_body([]))

    def _preconditions_hold(self, body):
        return all(
            self.rows.get((row["table"], row["part"], row["key"]), (None, 0))[1]
            == row["ver"]
            for row in body.get("expectedRev", ())
        )

    def _expected_rows(self, body):
        row_keys = [(row["table"], row["key"]) for row in body.get("expectedRev", ())]
        return [
            _row(table, key, *self.rows.get((table, "", key), (None, 0)))
            for table, key in row_keys
        ]

    def _commit(self, changes):
        self._copy()
        self.version += 1
        for table, part, key, value in changes:
            if value is None:
                self.rows.pop((table, part, key), None)
            else:
                self.rows[table, part, key] = (value, self.version)
            self._history.append((self.version, table, key, value))
        self._wake_feeds()

    def _copy(self):
        """Keep the state before a change, unless one was kept a moment ago."""
        now = time.monotonic()
        if not self._copies or now - self._copies[-1][0] >= COPY_PERIOD_S:
            self._copies.append((now, self.version, dict(self.rows)))

    def _wake_feeds(self):
        committed, self._committed = self._committed, gevent.event.Event()
        committed.set()

    def _reply_body(self, rows):
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
        IP address to listen on.
    port : int, default=0
        TCP port to listen on; 0 chooses a free one.

    Returns
    -------
    MetadataStore
    """
    return MetadataStore(address, port)


def load_tree(store, tree):
    """Write a settings tree into a store as version 1.

    Parameters
    ----------
    store : MetadataStore
        The store.
    tree : dict
        Subtrees by team.
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
    parser.add_argument("--tree", help="file with the initial settings tree")
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
