"""A planned stop cuts off answers that clients with slow links are reading."""

import asyncio
import socket
import time
from pathlib import Path

from stage import BROKEN, HELD, HOST, main, trouble

# As of bundle-fetch of kallergis-gslb-grown: 1,240 ms of work, answers of up to 540,000
# bytes, a time budget of 8,430 ms; the route has no time-out.
ROUTES = [("bundle", "/bundle/", "download", None)]
WORK_S, ANSWER_BYTES, DEADLINE_MS = 1.24, 540_000, 8430
READ_BYTES_PER_S = 85_000  # a whole answer takes 6.4 s
READ_BYTES = 4096
WINDOW_BYTES = 16 * 1024  # as of a slow link: little of an answer is under way
REQUESTS = 14
GAP_S = 0.25  # between two requests
STOP_S = 1.5  # after the first request


async def play(stage):
    """Fetch bundles from a machine, which gets SIGTERM; return the exit status."""
    fetches = [asyncio.create_task(fetch(stage, n)) for n in range(REQUESTS)]
    await asyncio.sleep(STOP_S)
    if trouble():
        stage.signal([0], "TERM")
    results = await asyncio.gather(*fetches)
    text = ", ".join(f"{results.count(kind)} {kind}" for kind in sorted(set(results)))
    stage.note(f"{REQUESTS} bundles asked for: {text}")
    print(f"{REQUESTS} bundles asked for: {text}")
    return BROKEN if "cut off" in results else HELD


async def fetch(stage, number):
    """Fetch one bundle at the pace of a slow link; return what became of it."""
    await asyncio.sleep(number * GAP_S)
    request_id = f"{number:016x}"
    head = (
        f"GET /bundle/{number} HTTP/1.1\r\n"
        f"Host: {HOST}\r\n"
        f"X-Quetzalwall-Request-Id: {request_id}\r\n"
        f"X-Quetzalwall-Deadline-Ms: {DEADLINE_MS}\r\n\r\n"
    ).encode()
    loop = asyncio.get_running_loop()
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
        sock.setblocking(False)
        try:
            await loop.sock_connect(sock, (stage.addresses[0], stage.ports["front"]))
        except OSError as exc:
            stage.note(f"client can't connect for {request_id}: {exc!r}")
            return "not read"
        began = time.monotonic()
        stage.note(f"client sends {request_id}: GET /bundle/{number}")
        await loop.sock_sendall(sock, head)
        data, end = b"", None
        try:
            async with asyncio.timeout(DEADLINE_MS / 1000):
                data, end = await _read_slowly(loop, sock)
        except TimeoutError:
            end = "the time budget is over"
    took_s = time.monotonic() - began
    result = _classify(data, end)
    stage.note(
        f"client gets for {request_id} {len(data)} bytes in {took_s:.2f} s, "
        f"{data[:12]!r}, {end or 'complete'}: {result}"
    )
    return result


async def _read_slowly(loop, sock):
    """Return the bytes of an answer, and how it ended if it is not complete."""
    data, began = b"", None
    while not _is_complete(data):
        try:
            block = await loop.sock_recv(sock, READ_BYTES)
        except OSError as exc:
            return data, repr(exc)
        if not block:
            return data, "the connection was closed"
        data += block
        began = began or time.monotonic()
        ahead_s = len(data) / READ_BYTES_PER_S - (time.monotonic() - began)
        await asyncio.sleep(max(0.0, ahead_s))
    return data, None


def _is_complete(data):
    head, separator, body = data.partition(b"\r\n\r\n")
    if not separator:
        return False
    lengths = [
        int(line.split(b":")[1])
        for line in head.lower().split(b"\r\n")
        if line.startswith(b"content-length:")
    ]
    return len(body) >= lengths[0]


def _classify(data, end):
    if end is None:
        return "complete" if data.startswith(b"HTTP/1.1 200") else "refused"
    if end == "the time budget is over":
        return "over time"
    return "cut off" if data else "not answered"


if __name__ == "__main__":
    options = {"work_s": WORK_S, "answer_bytes": ANSWER_BYTES}
    main(Path(__file__).resolve().parent, ROUTES, play, **options)
