"""Run the demonstration and print its results as a table."""

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
LOOKUP_INSTANCE = "north-1"  # serves look-ups and operators' commands
PHOTO_BYTES = 2_000_000
REQUEST_TIMEOUT_S = 15.0
MAX_LOOKUPS = 8  # for one request
SHIFT_LOAD_S = 8.0  # duration of the traffic during the shift
COLUMNS = ("step", "requests", "answers", "took")


class Caller:
    """A caller that looks up instances, tries them in order, and retries if allowed.

    Parameters
    ----------
    deployment : Deployment
        The deployment.
    lookup_address : str
        Address and port of the instance that serves look-ups.
    """

    def __init__(self, deployment, lookup_address):
        self._deployment = deployment
        self._lookup_address = lookup_address

    def send(self, service, method, path, body=b"", key=None):
        """Send one request; retry while the response says that it was not run.

        Parameters
        ----------
        service : str
            The service.
        method, path : str
            HTTP method and path.
        body : bytes, default=b""
            Request body.
        key : str, default=None
            Idempotency key.

        Returns
        -------
        str
            Status and outcome, or the error and the instance that it occurred at.
        """
        target = f"/lookup?service={service}&caller=caller-{path}"
        headers = {"Idempotency-Key": key} if key else {}
        req = OutgoingRequest(method, f"/s/{service}{path}", headers, body)
        result = "no instance"
        for _ in range(MAX_LOOKUPS):
            instances = self._deployment.call(self._lookup_address, "GET", target).body[
                "instances"
            ]
            result, retry_s = self._try_instances(instances, req)
            if retry_s is None:
                return result
            gevent.sleep(retry_s)
        return result

    def _try_instances(self, instances, req):
        """Return the result, and the seconds until a retry, or None for no retry."""
        result = "no instance"
        for spec in instances:
            client = create_client(spec["address"], spec["port"], spec["name"])
            try:
                res = client.send(req, REQUEST_TIMEOUT_S)
                res.read()
                outcome = res.get("X-Quetzalwall-Outcome")
                pause_s = float(res.get("Retry-After") or 0)
                retry_s = pause_s if outcome == "not-run" else None
                return f"{res.status_code} {outcome}", retry_s
            except NotRun as exc:
                result = f"{type(exc).__name__} at {spec['name']}"
            except EndpointError as exc:
                return f"{type(exc).__name__} at {spec['name']}", None
            finally:
                client.close()
        return result, 0.0


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
    _print_table(rows)
    print(f"\nlogs of all processes: {logs}")
    failed = [row for row in rows if row["failed"]]
    for row in failed:
        print(f"not as expected: {row['step']}", file=sys.stderr)
    return 1 if failed else 0


def _run_steps(deployment, began):
    names = list(deployment.instances)
    caller = Caller(deployment, deployment.listen_address(LOOKUP_INSTANCE))
    rows = [_row("7 instances ready", 0, Counter(), began, failed=False)]

    def run_burst(step, count, send, expected):
        start = time.monotonic()
        tasks = [gevent.spawn(send, number) for number in range(count)]
        gevent.joinall(tasks)
        results = Counter(task.value for task in tasks)
        failed = set(results) != {expected}
        rows.append(_row(step, count, results, start, failed))

    def send_status(n):
        return caller.send("order-desk", "GET", f"/status/{n}")

    def send_booking(n):
        return caller.send("order-desk", "POST", "/bookings", b"x", key=f"demo-{n}")

    def send_photo(n):
        path = f"/photos/{n}"
        return caller.send("workshop-records", "POST", path, b"p" * PHOTO_BYTES)

    run_burst("status requests", 200, send_status, "200 answered")
    run_burst("paid bookings", 50, send_booking, "200 answered")
    run_burst("the same bookings again", 50, send_booking, "200 answered")
    run_burst("photo uploads of 2 MB", 12, send_photo, "200 answered")
    rows.append(_runs_row(deployment, "maximum runs of one booking", expected=1))
    rows.append(_shift_row(deployment, caller))
    rows.append(_drain_row(deployment, send_status))
    rows.append(_kill_row(deployment, names[-1], send_status))
    rows.append(_stop_row(deployment, names[1], send_photo))
    return rows


def _shift_row(deployment, caller):
    start = time.monotonic()
    options = ["--from", "north", "--to", "south", "--fraction", "0.5", "--cap", "20"]
    command = ["shift", "start", "to-south", "--service", "order-desk", *options]
    exit_status = _run_command(deployment, *command, "--team", "desk", "--wait")
    peak = 0
    results = Counter()
    n = 0
    while time.monotonic() < start + SHIFT_LOAD_S:
        n += 1
        tasks = [
            gevent.spawn(caller.send, "order-desk", "GET", f"/status/s{n}-{m}")
            for m in range(10)
        ]
        gevent.joinall(tasks)
        results.update(task.value for task in tasks)
        peak = max(peak, _moved_requests(deployment))
    results[f"maximum moved in an interval: {peak} (cap 20)"] += 1
    failed = exit_status != 0 or not 0 < peak <= 20
    return _row("planned shift north to south", 10 * n, results, start, failed)


def _moved_requests(deployment):
    """Return the requests that the shift moved in the present interval."""
    moved = 0
    for name in deployment.instances:
        shifts = deployment.call(
            deployment.listen_address(name), "GET", "/status"
        ).body["shifts"]
        moved += shifts.get("to-south", {}).get("moved", 0)
    return moved


def _drain_row(deployment, send):
    start = time.monotonic()
    exit_status = _run_command(deployment, "drain", "od-01", "--team", "desk", "--wait")
    spec = deployment.tree["desk"]["services"]["order-desk"]["endpoints"]["od-01"]
    address = f"{spec['address']}:{spec['port']}"
    before = deployment.call(address, "GET", "/load").body["counts"]["served"]
    tasks = [gevent.spawn(send, f"d{n}") for n in range(200)]
    gevent.joinall(tasks)
    after = deployment.call(address, "GET", "/load").body["counts"]["served"]
    results = Counter(task.value for task in tasks)
    results[f"new requests at od-01: {after - before}"] += 1
    failed = exit_status != 0 or after != before
    return _row("drain of endpoint od-01", 200, results, start, failed)


def _kill_row(deployment, name, send):
    start = time.monotonic()
    deployment.send_signal(name, signal.SIGKILL)
    tasks = [gevent.spawn(send, f"k{n}") for n in range(100)]
    gevent.joinall(tasks)
    results = Counter(task.value for task in tasks)
    failed = set(results) != {"200 answered"}
    return _row(f"{name} killed", 100, results, start, failed)


def _stop_row(deployment, name, send):
    start = time.monotonic()
    deployment.send_signal(name, signal.SIGTERM)
    tasks = [gevent.spawn(send, f"t{n}") for n in range(12)]
    gevent.joinall(tasks)
    results = Counter(task.value for task in tasks)
    exit_status = deployment.wait_exit(name, timeout_s=25.0)
    results[f"{name} exited with status {exit_status}"] += 1
    failed = exit_status != 0 or "200 answered" not in results
    return _row(f"planned stop of {name}", 12, results, start, failed)


def _runs_row(deployment, step, expected):
    start = time.monotonic()
    max_runs = 0
    for spec in deployment.tree["desk"]["services"]["order-desk"]["endpoints"].values():
        address = f"{spec['address']}:{spec['port']}"
        runs = deployment.call(address, "GET", "/load").body["runs"]
        max_runs = max([max_runs, *runs.values()])
    return _row(
        step, 0, Counter({f"{max_runs}": 1}), start, failed=max_runs != expected
    )


def _run_command(deployment, *arguments):
    """Run a command of the operators; return its exit status."""
    instance = deployment.listen_address(LOOKUP_INSTANCE)
    credential = deployment.logs / "desk.credential"
    credential.write_text("example-desk")
    options = ["--instance", instance, "--credential-file", str(credential)]
    print(f"$ quetzalwall {' '.join(arguments)}")
    return quetzalwall([*arguments, *options])


def _row(step, count, results, start, failed):
    """Return a row of the table; ``results`` counts results and remarks by text."""
    text = ", ".join(f"{n} x {a}" if n > 1 else str(a) for a, n in results.items())
    return {
        "step": step,
        "requests": str(count or ""),
        "answers": text or "ok",
        "took": f"{time.monotonic() - start:.1f} s",
        "failed": failed,
    }


def _print_table(rows):
    print()
    widths = [
        max(len(row[c]) for row in rows + [{c: c for c in COLUMNS}]) for c in COLUMNS
    ]
    for row in [{c: c for c in COLUMNS}, *rows]:
        cells = [row[c].ljust(w) for c, w in zip(COLUMNS, widths, strict=True)]
        print("  ".join(cells).rstrip())


if __name__ == "__main__":
    sys.exit(main())
