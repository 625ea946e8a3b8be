"""After most machines are lost, those left send requests to servers that drain."""

import asyncio
import itertools
import random
import time
from pathlib import Path

from messages import read_message
from stage import BROKEN, HELD, HOST, main, trouble

ROUTES = [("look", "/look/", "safe", "3000ms")]
MACHINES = 216  # a sweep has 30, 100 and 300
LEFT = 1  # any number of the machines may be lost at once
REGIONS = ("lowell", "lawrence", "haverhill")
ZONES = {f"{REGIONS[n % 3]}-{n:03d}": REGIONS[n % 3] for n in range(MACHINES)}
SERVERS, DRAINING = 8, 4
DRAIN_S = 2.5  # `drain` of mvmws-cordline
BEFORE_S, AFTER_S = 12.0, 8.0  # traffic before the loss and after it
PAUSE_S = 0.02  # between two requests of a client
CLIENTS = 4  # of each machine that is left
DEADLINE_MS = 1500


async def play(stage):
    """Lose machines, and let servers drain; return the exit status."""
    left = random.sample(range(MACHINES), LEFT)
    lost = [number for number in range(MACHINES) if number not in left]
    state = {"ended": False, "answered": 0, "numbers": itertools.count()}
    clients = [
        asyncio.create_task(send_requests(stage, number, state))
        for number in left
        for _ in range(CLIENTS)
    ]
    await asyncio.sleep(BEFORE_S)
    if trouble():
        stage.signal(lost, "KILL")
    acked = {}
    for server in stage.servers[:DRAINING]:
        acked[server.name] = server.drain()
        stage.note(f"server {server.name} reports draining; the store has accepted it")
    await asyncio.sleep(AFTER_S)
    state["ended"] = True
    await asyncio.gather(*clients)
    delays_s = [run.at - acked[run.server] for run in stage.runs if run.server in acked]
    late_s = [seconds for seconds in delays_s if seconds > DRAIN_S]
    text = (
        f"{state['answered']} requests answered 200 by the machines left; the last one "
        f"reached a draining server {max(delays_s, default=0.0):.2f} s after the ack, "
        f"{len(late_s)} later than {DRAIN_S} s"
    )
    stage.note(text)
    print(text)
    return BROKEN if late_s else HELD


async def send_requests(stage, machine, state):
    """Send requests to one machine, one after the other, on kept connections."""
    while not state["ended"]:
        try:
            reader, writer = await stage.connect(machine)
            while not state["ended"]:
                number = next(state["numbers"])
                head = (
                    f"GET /look/{number} HTTP/1.1\r\n"
                    f"Host: {HOST}\r\n"
                    f"X-Quetzalwall-Request-Id: {number:016x}\r\n"
                    f"X-Quetzalwall-Deadline-Ms: {DEADLINE_MS}\r\n\r\n"
                )
                began = time.monotonic()
                writer.write(head.encode())
                answer = read_message(reader)
                response = await asyncio.wait_for(answer, DEADLINE_MS / 1000)
                line = "no answer" if response is None else response.first_line
                stage.note(
                    f"the machine at {stage.addresses[machine]} answers "
                    f"{number:016x} in {time.monotonic() - began:.3f} s: {line}"
                )
                if response is None:
                    break
                state["answered"] += response.status == 200
                await asyncio.sleep(PAUSE_S)
            writer.close()
        except (TimeoutError, OSError, EOFError) as exc:
            stage.note(f"a client gets no answer: {exc!r}")
            await asyncio.sleep(PAUSE_S)


if __name__ == "__main__":
    options = {"zones": ZONES, "server_count": SERVERS}
    main(Path(__file__).resolve().parent, ROUTES, play, **options)
