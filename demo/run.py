"""Run the demonstration and print what happened as a table."""

import signal
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path

import gevent

from demo.deployment import AddressTaken, create_deployment
from quetzalwall.cli.main import main as quetzalwall
from quetzalwall.connection.single_attempt import OutgoingRequest, create_client
from quetzalwall.exceptions import EndpointError, NotRun

__all__ = ["main"]

EXAMPLE = "whetstone"
FIRST = "north-1"  # instance asked for look-ups
PHOTO_BYTES = 2_000_000
TIMEOUT_S = 15.0
TRIES = 8
SHIFT_S = 8.0
COLUMNS = ("step", "requests", "answers", "took")


class Caller:
    """A caller that asks which instances to use, tries them, and comes back if told to.

    Parameters
    ----------
    deployment : Deployment
        The deployment.
    first : str
        Instance asked for look-ups.
    """

    def __init__(self, deployment, first):
        self._deployment = deployment
        self._first = first

    def send(self, service, method, path, body=b"", key=None):
        """Send one request, and again while the answer says that it was not run.

        Parameters
        ----------
        service : str
            The service.
        method, path : str
            HTTP method and path.
        body : bytes, default=b""
            The body.
        key : str, default=None
            Idempotency key.

        Returns
        -------
        str
            Status and outcome.
        """
        target = f"/lookup?service={service}&caller=caller-{path}"
        headers = {"Idempotency-Key": key} if key else {}
        req = OutgoingRequest(method, f"/s/{service}{path}", headers, body)
        last = "no instance"
        for _ in range(TRIES):
            found = self._deployment.call(self._first, "GET", target).body["instances"]
            last, pause_s = self._try(found, req)
            if pause_s is None:
                return last
            gevent.sleep(pause_s)
        return last

    def _try(self, places, req):
        """Return an outcome, and seconds until another try if it was not run."""
        last = "no instance"
        for place in places:
            client = create_client(place["address"], place["port"], place["name"])
            try:
                res = client.send(req, TIMEOUT_S)
                res.read()
                outcome = res.get("X-Quetzalwall-Outcome")
                pause_s = float(res.get("Retry-After") or 0)
                again = pause_s if outcome == "not-run" else None
                return f"{res.status_code} {outcome}", again
            except NotRun as exc:
                last = f"{type(exc).__name__} at {place['name']}"
            except EndpointError as exc:
                return f"{type(exc).__name__} at {place['name']}", None
            finally:
                client.close()
        return last, 0.0


def main():
    """Run all steps.

    Returns
    -------
    int
        Exit status: 0 if every step went as expected.
    """
    logs = Path(tempfile.mkdtemp(prefix="quetzalwall-demo-"))
    deployment = create_deployment(EXAMPLE, logs)
    began = time.monotonic()
    try:
        deployment.start()
        rows = _run_steps(deployment, began)
    except AddressTaken as exc:
        print(exc, file=sys.stderr)
        return 2
    finally:
        deployment.close()
    _print(rows)
    print(f"\nlogs of all processes: {logs}")
    failed = [row for row in rows if row["failed"]]
    for row in failed:
        print(f"not as expected: {row['step']}", file=sys.stderr)
    return 1 if failed else 0


def _run_steps(deployment, began):
    names = list(deployment.instances)
    caller = Caller(deployment, deployment.listen_address(FIRST))
    rows = [_row("7 instances ready", 0, Counter(), began, failed=False)]

    def burst(step, count, send, expected):
        start = time.monotonic()
        tasks = [gevent.spawn(send, number) for number in range(count)]
        gevent.joinall(tasks)
        answers = Counter(task.value for task in tasks)
        failed = set(answers) != {expected}
        rows.append(_row(step, count, answers, start, failed))

    def status(n):
        return caller.send("order-desk", "GET", f"/status/{n}")

    def booking(n):
        return caller.send("order-desk", "POST", "/bookings", b"x", key=f"demo-{n}")

    def photo(n):
        path = f"/photos/{n}"
        return caller.send("workshop-records", "POST", path, b"p" * PHOTO_BYTES)

    burst("status look-ups", 200, status, "200 answered")
    burst("paid bookings", 50, booking, "200 answered")
    burst("the same bookings again", 50, booking, "200 answered")
    burst("photo uploads of 2 MB", 12, photo, "200 answered")
    rows.append(_runs_row(deployment, "most runs of one booking", expected=1))
    rows.append(_shift_row(deployment, caller))
    rows.append(_drain_row(deployment, status))
    rows.append(_kill_row(deployment, names[-1], status))
    rows.append(_stop_row(deployment, names[1], photo))
    return rows


def _shift_row(deployment, caller):
    start = time.monotonic()
    arguments = ["--from", "north", "--to", "south", "--fraction", "0.5", "--cap", "20"]
    shift = ["shift", "start", "to-south", "--service", "order-desk", *arguments]
    code = _operator(deployment, *shift, "--team", "desk", "--wait")
    most = 0
    answers = Counter()
    n = 0
    while time.monotonic() < start + SHIFT_S:
        n += 1
        tasks = [
            gevent.spawn(caller.send, "order-desk", "GET", f"/status/s{n}-{m}")
            for m in range(10)
        ]
        gevent.joinall(tasks)
        answers.update(task.value for task in tasks)
        most = max(most, _moved(deployment))
    answers[f"moved in an interval: {most} (cap 20)"] += 1
    failed = code != 0 or not 0 < most <= 20
    return _row("planned shift north to south", 10 * n, answers, start, failed)


def _moved(deployment):
    moved = 0
    for name in deployment.instances:
        shifts = deployment.call(
            deployment.listen_address(name), "GET", "/status"
        ).body["shifts"]
        moved += shifts.get("to-south", {}).get("moved", 0)
    return moved


def _drain_row(deployment, send):
    start = time.monotonic()
    code = _operator(deployment, "drain", "od-01", "--team", "desk", "--wait")
    spec = deployment.tree["desk"]["services"]["order-desk"]["endpoints"]["od-01"]
    place = f"{spec['address']}:{spec['port']}"
    before = deployment.call(place, "GET", "/load").body["counts"]["served"]
    tasks = [gevent.spawn(send, f"d{n}") for n in range(200)]
    gevent.joinall(tasks)
    after = deployment.call(place, "GET", "/load").body["counts"]["served"]
    answers = Counter(task.value for task in tasks)
    answers[f"new work at od-01: {after - before}"] += 1
    failed = code != 0 or after != before
    return _row("drain of endpoint od-01", 200, answers, start, failed)


def _kill_row(deployment, name, send):
    start = time.monotonic()
    deployment.send_signal(name, signal.SIGKILL)
    tasks = [gevent.spawn(send, f"k{n}") for n in range(100)]
    gevent.joinall(tasks)
    answers = Counter(task.value for task in tasks)
    failed = set(answers) != {"200 answered"}
    return _row(f"{name} killed", 100, answers, start, failed)


def _stop_row(deployment, name, send):
    start = time.monotonic()
    deployment.send_signal(name, signal.SIGTERM)
    tasks = [gevent.spawn(send, f"t{n}") for n in range(12)]
    gevent.joinall(tasks)
    answers = Counter(task.value for task in tasks)
    status = deployment.wait_end(name, timeout_s=25.0)
    answers[f"{name} ended with status {status}"] += 1
    failed = status != 0 or "200 answered" not in answers
    return _row(f"planned stop of {name}", 12, answers, start, failed)


def _runs_row(deployment, step, expected):
    start = time.monotonic()
    most = 0
    for spec in deployment.tree["desk"]["services"]["order-desk"]["endpoints"].values():
        place = f"{spec['address']}:{spec['port']}"
        runs = deployment.call(place, "GET", "/load").body["runs"]
        most = max([most, *runs.values()])
    return _row(step, 0, Counter({f"{most}": 1}), start, failed=most != expected)


def _operator(deployment, *arguments):
    instance = deployment.listen_address(FIRST)
    credential = deployment.logs / "desk.credential"
    credential.write_text("example-desk")
    options = ["--instance", instance, "--credential-file", str(credential)]
    print(f"$ quetzalwall {' '.join(arguments)}")
    return quetzalwall([*arguments, *options])


def _row(step, count, answers, start, failed):
    text = ", ".join(f"{n} x {a}" if n > 1 else str(a) for a, n in answers.items())
    return {
        "step": step,
        "requests": str(count or ""),
        "answers": text or "ok",
        "took": f"{time.monotonic() - start:.1f} s",
        "failed": failed,
    }


def _print(rows):
    print()
    widths = [
        max(len(row[c]) for row in rows + [{c: c for c in COLUMNS}]) for c in COLUMNS
    ]
    for row in [{c: c for c in COLUMNS}, *rows]:
        cells = [row[c].ljust(w) for c, w in zip(COLUMNS, widths, strict=True)]
        print("  ".join(cells).rstrip())


if __name__ == "__main__":
    sys.exit(main())
