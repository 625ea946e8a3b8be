"""Golden files of whole sessions: what callers see, and the decisions behind it.

``UPDATE_GOLDEN=1`` writes the files anew; a change to one is reviewed like code.
"""

import io
import json
import os
import re
from pathlib import Path

import gevent

from quetzalwall.logs import setup_logs
from quetzalwall.process.tests.test_entry import (
    call,
    put,
    send,
    wait_version,
    with_credential,
)
from quetzalwall.tests.fixtures import small_deployment

FOLDER = Path(__file__).parent / "golden"
PARTS = ("route", "forward", "lookup", "operators")
VOLATILE = (
    (re.compile(r"^time=\S+ "), ""),
    (re.compile(r"(req|reason|expected_s|waited_s)=(\"[^\"]*\"|\S+)"), r"\1=*"),
    (re.compile(r'"port": \d+'), '"port": "*"'),
)
HEADERS = ("X-Quetzalwall-Step", "X-Quetzalwall-Repeated", "Retry-After")


class Session:
    """Text of one session."""

    def __init__(self, deployment, name="east-1"):
        self.deployment = deployment
        self.name = name
        self.lines = []
        self.log = io.StringIO()

    def send(self, method, path, key=None):
        self.lines.append(f"> {method} {path}" + (f" key={key}" if key else ""))
        reply = send(self.deployment, self.name, method, path, key=key)
        self.lines.append(f"< {reply.status} {reply.outcome}")
        for header in HEADERS:
            if reply.res.get(header):
                self.lines.append(f"< {header}: {reply.res.get(header)}")
        self.lines.append(f"< {reply.body.decode()}")
        self.take_log()

    def call(self, method, target):
        self.lines.append(f"> {method} {target}")
        answer = call(self.deployment, self.name, method, target)
        self.note_answer(answer)

    def put(self, change, base):
        self.lines.append(f"> PUT /settings team=desk base={base}")
        self.note_answer(put(self.deployment, self.name, change, base))

    def note_answer(self, answer):
        self.lines.append(f"< {answer.status}")
        self.lines.append(f"< {json.dumps(answer.body, sort_keys=True)}")
        self.take_log()

    def say(self, text):
        self.lines.append(f"# {text}")

    def take_log(self):
        gevent.sleep(0.02)
        for line in self.log.getvalue().splitlines():
            if any(f" part={part} " in line for part in PARTS):
                self.lines.append(f"| {line}")
        self.log.truncate(0)
        self.log.seek(0)

    def text(self):
        found = []
        for line in self.lines:
            mark, rest = line[:2], line[2:]
            for pattern, by in VOLATILE:
                rest = pattern.sub(by, rest)
            found.append(mark + rest)
        return "\n".join(found) + "\n"


def golden(test):
    """Run a session on one instance and compare it with its golden file."""

    def run():
        with small_deployment(names=["east-1"], endpoints=1) as deployment:
            # The endpoint has no history in which a request could look slow.
            node = deployment.entries["east-1"].node
            node.steering.services["desk"].hedging = False
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
    session.say("the store loses the reply to the claim")
    session.deployment.platform.faults["lose_replies"] = 1
    session.send("POST", "/bookings", key="k1")
    session.deployment.wait(lambda: _row(session, "k1")["state"] == "done")
    session.say("a repeat gets the recorded answer")
    session.send("POST", "/bookings", key="k1")
    session.say("the store is down")
    session.deployment.platform.faults["table_down"] = True
    session.send("POST", "/bookings", key="k2")
    runs = {}
    for endpoint in session.deployment.endpoints.values():
        runs.update(endpoint.runs)
    session.say(f"runs: {runs}")


def _row(session, key):
    row = session.deployment.platform.row(f"claim/desk/{key}")
    return row["value"] or {"state": ""}


@golden
def test_drain(session):
    with_credential(session.deployment)
    session.take_log()
    session.lines.clear()

    def leave(subtree):
        subtree["leaving"] = {"endpoints": ["east-ep1", "west-ep1"]}

    session.send("GET", "/status/1")
    session.put(leave, base=1)
    wait_version(session.deployment, 3)
    session.say("the only endpoints leave")
    session.send("GET", "/status/2")


@golden
def test_settings_conflict(session):
    with_credential(session.deployment)
    session.take_log()
    session.lines.clear()

    def first(subtree):
        subtree["services"]["desk"]["queue_length"] = 7

    def second(subtree):
        subtree["services"]["desk"]["queue_length"] = 9

    session.put(first, base=1)
    session.put(second, base=1)
    session.put(second, base=2)


@golden
def test_shift(session):
    with_credential(session.deployment)
    session.take_log()
    session.lines.clear()

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
    wait_version(session.deployment, 3)
    node = session.deployment.entries["east-1"].node
    # The other region's instance does not run; its slots are lent by hand.
    units = {**node.ledger.units, "west-ep1/short": 2}
    node.ledger.set_share(units, node.ledger.reserve)
    node.steering.shifts["move"].fraction = 1.0
    node.steering.shifts["move"].step = lambda *args: None
    node.shares.refresh = lambda now: None
    node.ledger.expire(node.clock.monotonic())
    session.say("two requests go to west, then the cap of the interval is reached")
    for number in range(4):
        session.send("GET", f"/status/{number}")


@golden
def test_shed(session):
    service = session.deployment.entries["east-1"].node.steering.services["desk"]
    for line in service.lines.values():
        line.length = 0
    session.say("no request may wait")
    session.send("GET", "/promotion/1")
    session.send("GET", "/status/1")
