"""Golden files of sessions: what callers see, and the logged decisions behind it.

``UPDATE_GOLDEN=1`` rewrites the files; a change to one is reviewed like code.
"""

import io
import json
import os
import re
from pathlib import Path

import gevent

from quetzalwall.logs import setup_logs
from quetzalwall.tests.product_fixtures import read_row, small_deployment

FOLDER = Path(__file__).parent / "golden"
COMPONENTS = ("request", "front", "operators")
FRONT_EVENTS = ("lookup",)
VOLATILE = (
    (re.compile(r"^time=\S+ "), ""),
    (
        re.compile(r"(req|object|expected_s|left_s|took_s)=(\"[^\"]*\"|\S+)"),
        r"\1=*",
    ),
    (re.compile(r'"port": \d+'), '"port": "*"'),
    (re.compile(r'"address": "[0-9.]+"'), '"address": "*"'),
)
HEADERS = ("X-Quetzalwall-Step", "X-Quetzalwall-Repeated", "Retry-After")


class Session:
    """Transcript of one session: ``>`` sent, ``<`` received, ``|`` logged."""

    def __init__(self, deployment, name="east-1"):
        self.deployment = deployment
        self.name = name
        self.lines = []
        self.log = io.StringIO()

    def send(self, method, path, key=None):
        self.lines.append(f"> {method} {path}" + (f" key={key}" if key else ""))
        reply = self.deployment.send(self.name, method, path, key=key)
        self.lines.append(f"< {reply.status} {reply.outcome}")
        for header in HEADERS:
            if reply.res.get(header):
                self.lines.append(f"< {header}: {reply.res.get(header)}")
        self.lines.append(f"< {reply.body.decode()}")
        self.append_log()

    def call(self, method, target):
        self.lines.append(f"> {method} {target}")
        response = self.deployment.call(self.name, method, target)
        self.append_response(response)

    def put(self, change, base):
        self.lines.append(f"> PUT /settings team=desk base={base}")
        self.append_response(self.deployment.put(self.name, change, base))

    def append_response(self, response):
        self.lines.append(f"< {response.status}")
        self.lines.append(f"< {json.dumps(response.body, sort_keys=True)}")
        self.append_log()

    def comment(self, text):
        self.lines.append(f"# {text}")

    def append_log(self):
        gevent.sleep(0.02)
        for line in self.log.getvalue().splitlines():
            if any(f" part={c} " in line for c in COMPONENTS) and _is_decision(line):
                self.lines.append(f"| {line}")
        self.log.truncate(0)
        self.log.seek(0)

    def text(self):
        stable = []
        for line in self.lines:
            mark, rest = line[:2], line[2:]
            for pattern, replacement in VOLATILE:
                rest = pattern.sub(replacement, rest)
            stable.append(mark + rest)
        return "\n".join(stable) + "\n"


def _is_decision(line):
    if " part=front " not in line:
        return True
    return any(f" event={event} " in line for event in FRONT_EVENTS)


def golden(test):
    """Run a session on one instance and compare it with its golden file."""

    def run():
        with small_deployment(names=["east-1"], endpoints=1) as deployment:
            session = Session(deployment)
            handler = setup_logs(stream=session.log)
            try:
                test(session)
            finally:
                handler.pop_application()
        file = FOLDER / f"{test.__name__.removeprefix('test_')}.txt"
        if os.environ.get("UPDATE_GOLDEN"):
            file.write_text(session.text())
        assert session.text() == file.read_text()

    run.__name__ = test.__name__
    return run


@golden
def test_lookup(session):
    session.call("GET", "/lookup?service=desk&caller=192.0.2.7")
    session.call("GET", "/lookup?service=dsek")
    session.send("GET", "/status/1")


@golden
def test_booking_with_lost_reply(session):
    session.comment("the store loses its reply to the claim")
    session.deployment.store.set_faults(lose_replies=1)
    session.send("POST", "/bookings", key="k1")
    session.deployment.wait(lambda: _claim(session, "k1")["state"] == "done")
    session.comment("a repeated request gets the recorded response")
    session.send("POST", "/bookings", key="k1")
    session.comment("the store is down")
    session.deployment.store.set_faults(down=True)
    session.send("POST", "/bookings", key="k2")
    runs = {}
    for endpoint in session.deployment.endpoints.values():
        runs.update(endpoint.runs)
    session.comment(f"runs: {runs}")


def _claim(session, key):
    row = read_row(session.deployment.store, "claims", f"claim/desk/{key}")
    return row or {"state": ""}


@golden
def test_drain(session):
    def drain(subtree):
        subtree["leaving"] = {"endpoints": ["east-ep1", "west-ep1"]}

    session.send("GET", "/status/1")
    session.put(drain, base=1)
    session.deployment.wait_for_version(2)
    session.comment("the only endpoints are drained")
    session.send("GET", "/status/2")


@golden
def test_settings_conflict(session):
    def first(subtree):
        subtree["services"]["desk"]["max_body_bytes"] = 7

    def second(subtree):
        subtree["services"]["desk"]["max_body_bytes"] = 9

    session.put(first, base=1)
    session.put(second, base=1)
    session.put(second, base=2)


@golden
def test_shift(session):
    def shift(subtree):
        subtree["shifts"] = {
            "move": {
                "service": "desk",
                "from": "east",
                "to": "west",
                "fraction": 1.0,
                "cap_requests": 2,
                "interval_s": 30,
            }
        }

    session.put(shift, base=1)
    session.deployment.wait_for_version(2)
    front = session.deployment.fronts["east-1"]
    front.limits.shifts.adjust = lambda: None
    front.limits.shifts.progress("move").fraction = 1.0
    session.comment("two requests go to west, then the cap of the interval is reached")
    for number in range(4):
        session.send("GET", f"/status/{number}")


@golden
def test_shed(session):
    for state in session.deployment.fronts["east-1"].endpoints:
        state.own_in_flight = 20
    session.comment("all endpoints are full and their queues exceed the limit")
    session.send("GET", "/promotion/1")
    session.send("GET", "/status/1")
