"""Stand-in for the platform's metadata store, as PROTOCOL.md describes it.

It keeps rows in memory and serves ``rows-get``, ``rows-feed`` and ``rows-tx``. The
operator and servers write through `PlatformStore.write`, the system through calls.
"""

import asyncio
import base64
import json
import time
from urllib.parse import parse_qs

from messages import read_message, send_message

__all__ = ["PlatformStore"]

ANSWER_S = 0.004
MAX_ROWS = 500
MAX_WAIT_S = 30.0
PLATFORM_TABLES = ("op", "servers")


class PlatformStore:
    """Rows with one counter of versions, and a feed of changes."""

    def __init__(self):
        self.rows = {}
        self.version = 0
        self.address = None
        self._changes = []
        self._changed = asyncio.Event()
        self._server = None

    async def start(self, host):
        """Listen on a free port of an address."""
        self._server = await asyncio.start_server(self._serve, host, 0)
        self.address = self._server.sockets[0].getsockname()

    def close(self):
        """Stop listening."""
        self._server.close()

    def write(self, table, key, value):
        """Write one row, or remove it if the value is None; return its version."""
        self._commit([(table, "", key, value)])
        return self.version

    def _commit(self, changes):
        self.version += 1
        for table, part, key, value in changes:
            if value is None:
                self.rows.pop((table, part, key), None)
            else:
                self.rows[table, part, key] = value, self.version
            self._changes.append((self.version, table, part, key, value))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader, writer):
        try:
            while (call := await read_message(reader)) is not None:
                await asyncio.sleep(ANSWER_S)
                status, body = await self._answer(call)
                raw = json.dumps(body).encode()
                head = [f"HTTP/1.1 {status} Status", "Content-Type: application/json"]
                await send_message(writer, head, raw)
        except (OSError, EOFError):
            return
        finally:
            writer.close()

    async def _answer(self, call):
        path, _, query = call.target.partition("?")
        fields = {name: values[0] for name, values in parse_qs(query).items()}
        if path == "/rows-get":
            return 200, self._get(fields)
        if path == "/rows-feed":
            return 200, await self._feed(fields)
        if path == "/rows-tx":
            return self._transact(json.loads(call.body))
        return 404, {}

    def _get(self, fields):
        table, part = fields["table"], fields.get("part", "")
        first, end = fields.get("from", ""), fields.get("target")
        found = sorted(
            (key, *row)
            for (own_table, own_part, key), row in self.rows.items()
            if (own_table, own_part) == (table, part)
            and key >= first
            and (end is None or key < end)
        )
        limit = min(MAX_ROWS, int(fields.get("limit", MAX_ROWS)))
        rows = [_row(table, part, *row) for row in found[:limit]]
        return self._reply(rows) | {"hasMore": len(found) > limit}

    async def _feed(self, fields):
        after, table = int(fields["after"]), fields["table"]
        wait_s = min(MAX_WAIT_S, int(fields.get("waitMs", 0)) / 1000)
        end = time.monotonic() + wait_s
        while not (rows := self._changes_since(table, after)):
            left_s = end - time.monotonic()
            if left_s <= 0:
                break
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                break
        return self._reply(rows)

    def _changes_since(self, table, after):
        newest = {}
        for version, own_table, part, key, value in self._changes:
            if version > after and own_table == table:
                newest.pop((part, key), None)
                newest[part, key] = _row(table, part, key, value, version)
        return list(newest.values())

    def _transact(self, body):
        written = [*body.get("puts", ()), *body.get("deletes", ())]
        if any(row["table"] in PLATFORM_TABLES for row in written):
            return 403, {}
        expected = body.get("expectedRev", ())
        current = {
            (row["table"], row["part"], row["key"]): self.rows.get(
                (row["table"], row["part"], row["key"]), (None, 0)
            )
            for row in expected
        }
        for row in expected:
            if current[row["table"], row["part"], row["key"]][1] != row["ver"]:
                return 412, self._reply([_row(*k, *v) for k, v in current.items()])
        changes = [
            (row["table"], row["part"], row["key"], base64.b64decode(row["value"]))
            for row in body.get("puts", ())
        ]
        changes += [
            (row["table"], row["part"], row["key"], None)
            for row in body.get("deletes", ())
        ]
        self._commit(changes)
        return 200, self._reply([])

    def _reply(self, rows):
        now = f"{int(time.monotonic() * 1000)}ms"
        return {"rows": rows, "ver": self.version, "now": now}


def _row(table, part, key, value, version):
    row = {"table": table, "part": part, "key": key, "ver": version}
    if value is None:
        return row | {"removed": True}
    return row | {"value": base64.b64encode(value).decode()}
