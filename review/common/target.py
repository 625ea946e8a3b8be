"""Stand-in of a target: one HTTP server with slots, which registers in the store."""

import asyncio
import random
import socket
import struct
import time

PREFIX = "X-Quetzalwall-"
WORK_S = 0.05
SLOTS = 6
QUEUE = 18


class Call:
    """A request as a target received it."""

    def __init__(self, method, path, headers):
        self.method = method
        self.path = path
        self.headers = headers
        self.id = headers.get(f"{PREFIX}request-id".lower(), "")
        self.body = b""


class Target:
    """A sound target; a case overrides `before_answer` or `after_answer`."""

    def __init__(self, name, host, service, stage, work_s=WORK_S):
        self.name = name
        self.host = host
        self.port = 0
        self.service = service
        self.work_s = work_s
        self.stage = stage
        self.running = 0
        self.answers = 0
        self._slots = asyncio.Semaphore(SLOTS)
        self._server = None
        self.born = int(time.time() * 1000)

    async def start(self, port=0):
        """Listen, and register in the store."""
        self._server = await asyncio.start_server(
            self._serve, self.host, port, limit=1 << 20
        )
        self.port = self._server.sockets[0].getsockname()[1]
        self.register()

    def register(self, state="ready", **fields):
        """Write the entry in the store."""
        body = {
            "service": self.service,
            "address": f"{self.host}:{self.port}",
            "zone": self.stage.zones[0],
            "version": "v1",
            "slots": SLOTS,
            "state": state,
            "coldLeft": "0ms",
            "seq": 1,
            "born": self.born,
        }
        self.stage.store.put("servers", self.name, body | fields)

    async def _serve(self, reader, writer):
        former = None
        try:
            while (call := await self._read_head(reader)) is not None:
                if not await self._serve_call(call, former, reader, writer):
                    return
                former = call
        except (OSError, ValueError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _read_head(self, reader):
        line = await reader.readline()
        if not line:
            return None
        method, path, _ = line.decode("latin-1").split()
        headers = {}
        while (header := (await reader.readline()).strip()) != b"":
            name, _, value = header.decode("latin-1").partition(":")
            headers[name.lower()] = value.strip()
        return Call(method, path, headers)

    async def _serve_call(self, call, former, reader, writer):
        length = int(call.headers.get("content-length", 0))
        call.body = await reader.readexactly(length)
        expected = call.headers.get(f"{PREFIX}expect-instance".lower(), self.name)
        if expected != self.name:
            return await self.reject(writer, call, 421)
        if not await self.before_answer(call, former, reader, writer):
            return False
        if self.running >= SLOTS + QUEUE:
            return await self.reject(writer, call, 503)
        self.running += 1
        try:
            async with self._slots:
                self.stage.record_run(self, call)
                await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
        self.answers += 1
        return await self.answer(call, writer)

    async def before_answer(self, call, former, reader, writer):
        """Return whether to serve a request; ``former`` is the one before it, or None.

        If not, the connection is closed.
        """
        return True

    async def answer(self, call, writer):
        """Send the answer to a request that has run; return whether to go on."""
        body = f"{self.name} {call.id}\n".encode()
        writer.write(self.head(call, 200, len(body), stamped=True) + body)
        await writer.drain()
        return True

    async def reject(self, writer, call, status):
        """Send an answer that says that the request has not run."""
        writer.write(self.head(call, status, 0, [f"{PREFIX}Request-Not-Run: 1"]))
        await writer.drain()
        return True

    def head(self, call, status, length, lines=(), stamped=False):
        """Return the head of an answer; without a length if it is None."""
        found = [f"HTTP/1.1 {status} Status", f"{PREFIX}Request-Id: {call.id}", *lines]
        found.append(f"{PREFIX}Server-Load: {min(self.running, SLOTS)},0,{SLOTS},100")
        if stamped:
            found.append(
                f"{PREFIX}Server-Stamp: {self.name}.{random.getrandbits(32):08x}"
            )
        if length is not None:
            found.append(f"Content-Length: {length}")
        return "\r\n".join([*found, "", ""]).encode("latin-1")

    def reset(self, writer):
        """Close a connection with a reset."""
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        writer.transport.abort()
