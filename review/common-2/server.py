"""Stand-in for a server (target) of the platform, as PROTOCOL.md describes it.

It registers in the store, sends heartbeats, runs as many requests at once as it has
slots, and keeps a record of each request that it runs.
"""

import asyncio
import hashlib
import json
import time
from typing import NamedTuple

from messages import read_message, send_message

__all__ = ["Run", "Server"]

HEARTBEAT_S = 1.5
SLOTS = 6
QUEUE = 12
KEEP_ALIVE_S = 10
PREFIX = "x-quetzalwall-"


class Run(NamedTuple):
    """A request that a server began to work on."""

    at: float
    server: str
    request_id: str
    method: str
    target: str
    body: bytes


class Server:
    """One server of a service; `runs` is shared by all servers."""

    def __init__(self, name, service, zone, store, runs, work_s, answer_bytes):
        self.name, self.service, self.zone = name, service, zone
        self.work_s, self._answer_bytes = work_s, answer_bytes
        self.arrived = []
        self._store, self._runs = store, runs
        self._slots = asyncio.Semaphore(SLOTS)
        self._outstanding = 0
        self._seq, self._state = 0, "ready"
        self._born = int(time.time() * 1000)
        self._server = self._beat = None

    async def start(self, host):
        """Listen on a free port of an address, and register."""
        self._server = await asyncio.start_server(self._serve, host, 0)
        self._beat = asyncio.create_task(self._send_heartbeats())

    def close(self):
        """Stop listening and sending heartbeats."""
        self._server.close()
        self._beat.cancel()

    def drain(self):
        """Report `draining`, go on serving, and return the moment of the ack."""
        self._state = "draining"
        self._report()
        return time.monotonic()

    async def _send_heartbeats(self):
        while True:
            self._report()
            await asyncio.sleep(HEARTBEAT_S)

    def _report(self):
        self._seq += 1
        host, port = self._server.sockets[0].getsockname()
        entry = {
            "service": self.service,
            "address": f"{host}:{port}",
            "zone": self.zone,
            "version": "v1",
            "slots": SLOTS,
            "state": self._state,
            "coldLeft": "0ms",
            "seq": self._seq,
            "born": self._born,
        }
        self._store.write("servers", self.name, json.dumps(entry).encode())

    async def _serve(self, reader, writer):
        try:
            while (req := await read_message(reader)) is not None:
                await self._answer(req, writer)
        except (OSError, EOFError, ValueError):
            return
        finally:
            writer.close()

    async def _answer(self, req, writer):
        request_id = req.headers.get(f"{PREFIX}request-id", "")
        expected = req.headers.get(f"{PREFIX}expect-instance", self.name)
        self.arrived.append(request_id)
        if expected != self.name:
            await self._send(writer, 421, request_id, b"", not_run=True)
            return
        if not request_id:
            await self._send(writer, 400, request_id, b"", not_run=True)
            return
        if self._outstanding >= SLOTS + QUEUE:
            await self._send(writer, 503, request_id, b"", not_run=True)
            return
        self._outstanding += 1
        try:
            async with self._slots:
                self._runs.append(
                    Run(
                        time.monotonic(),
                        self.name,
                        request_id,
                        req.method,
                        req.target,
                        req.body,
                    )
                )
                await asyncio.sleep(self.work_s)
                digest = hashlib.sha256(req.body).hexdigest()
                text = f"{self.name} {request_id} {len(req.body)} {digest}\n"
                body = text.encode().ljust(self._answer_bytes, b".")
                await self._send(writer, 200, request_id, body)
        finally:
            self._outstanding -= 1

    async def _send(self, writer, status, request_id, body, not_run=False):
        head = [
            f"HTTP/1.1 {status} Status",
            f"Keep-Alive: timeout={KEEP_ALIVE_S}",
            f"X-Quetzalwall-Server-Load: {self._outstanding},0,{SLOTS},100",
        ]
        if request_id:
            head.append(f"X-Quetzalwall-Request-Id: {request_id}")
        if not_run:
            head.append("X-Quetzalwall-Request-Not-Run: 1")
        else:
            head.append(f"X-Quetzalwall-Server-Stamp: {self.name}.{request_id}")
        await send_message(writer, head, body)
