"""Stand-in of the platform's metadata store: rows in tables, with a change feed."""

import asyncio
import base64
import json
from urllib.parse import parse_qs, urlsplit

PAGE_ROWS = 500
PAGE_BYTES = 1_000_000
CALL_S = 0.004  # the platform's time for a transaction


class Store:
    """Keeps rows; serves ``rows-get``, ``rows-feed`` and ``rows-tx``."""

    def __init__(self, host):
        self.host = host
        self.port = 0
        self.down = False  # reject all calls with 503
        self.version = 0
        self._rows = {}
        self._history = []
        self._changed = asyncio.Event()
        self._server = None

    async def start(self):
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, self.host, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def put(self, table, key, body):
        """Write a row as the operator or a target does; None removes it."""
        value = None if body is None else json.dumps(body).encode()
        self._commit([(table, "", key, value)])

    def _commit(self, changes):
        self.version += 1
        for table, part, key, value in changes:
            if value is None:
                self._rows.pop((table, part, key), None)
            else:
                self._rows[table, part, key] = (value, self.version)
            self._history.append((self.version, table, part, key, value))
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _serve(self, reader, writer):
        try:
            while line := await reader.readline():
                method, target, _ = line.decode().split()
                length = 0
                while (header := await reader.readline()).strip():
                    name, _, value = header.decode().partition(":")
                    if name.lower() == "content-length":
                        length = int(value)
                body = await reader.readexactly(length)
                status, reply = await self._call(method, target, body)
                raw = json.dumps(reply).encode()
                head = f"HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\n"
                head += f"Content-Length: {len(raw)}\r\n\r\n"
                writer.write(head.encode() + raw)
                await writer.drain()
        except (OSError, ValueError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _call(self, method, target, body):
        await asyncio.sleep(CALL_S)
        if self.down:
            return 503, {}
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        if (method, url.path) == ("GET", "/rows-get"):
            return 200, self._get(query)
        if (method, url.path) == ("GET", "/rows-feed"):
            return await self._feed(query)
        if (method, url.path) == ("POST", "/rows-tx"):
            return self._transact(json.loads(body))
        return 404, {}

    def _get(self, query):
        first, end = query.get("from", ""), query.get("target")
        limit = min(PAGE_ROWS, int(query.get("limit", PAGE_ROWS)))
        keys = sorted(
            key
            for table, part, key in self._rows
            if (table, part) == (query["table"], query.get("part", ""))
            if key >= first and (end is None or key < end)
        )
        rows, size = [], 0
        for key in keys:
            value, version = self._rows[query["table"], query.get("part", ""), key]
            size += len(value)
            if rows and (len(rows) >= limit or size > PAGE_BYTES):
                break
            rows.append(
                _row(query["table"], query.get("part", ""), key, value, version)
            )
        return self._reply(rows) | {"hasMore": len(rows) < len(keys)}

    async def _feed(self, query):
        after, wait_s = int(query["after"]), int(query.get("waitMs", 0)) / 1000
        until = asyncio.get_running_loop().time() + min(30.0, wait_s)
        while not (rows := self._changes(query["table"], after)):
            left_s = until - asyncio.get_running_loop().time()
            if left_s <= 0 or self.down:
                break
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                break
        return (503, {}) if self.down else (200, self._reply(rows))

    def _changes(self, table, after):
        newest = {}
        for version, changed, part, key, value in self._history:
            if version > after and changed == table:
                newest.pop((part, key), None)
                newest[part, key] = _row(table, part, key, value, version)
        return list(newest.values())

    def _transact(self, body):
        expected = body.get("expectedRev", ())
        current = [
            (row, self._rows.get((row["table"], row["part"], row["key"]), (None, 0)))
            for row in expected
        ]
        if any(row["ver"] != version for row, (_, version) in current):
            rows = [
                _row(row["table"], row["part"], row["key"], *found)
                for row, found in current
            ]
            return 412, self._reply(rows)
        changes = [
            (r["table"], r["part"], r["key"], base64.b64decode(r["value"]))
            for r in body.get("puts", ())
        ]
        changes += [
            (r["table"], r["part"], r["key"], None) for r in body.get("deletes", ())
        ]
        if any(table in ("op", "servers") for table, *_ in changes):
            return 403, {}
        self._commit(changes)
        return 200, self._reply([])

    def _reply(self, rows):
        now_ms = int(asyncio.get_running_loop().time() * 1000)
        return {"rows": rows, "ver": self.version, "now": f"{now_ms}ms"}


def _row(table, part, key, value, version):
    row = {"table": table, "part": part, "key": key, "ver": version}
    if value is None:
        return row | {"removed": True}
    return row | {"value": base64.b64encode(value).decode()}
