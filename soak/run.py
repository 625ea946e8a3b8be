"""Run the soak: ``python -m soak.run --seed 1 --seconds 20``.

The seed decides the schedule of faults, which is printed, so that a failing run can be
played again.
"""

import argparse
import random
import signal
import sys
import time
from contextlib import suppress

import gevent
from gevent.socket import create_connection

from quetzalwall.connection.single_attempt import OutgoingRequest, create_client
from quetzalwall.tests.platform_fixtures import HOST, call
from soak.checks import COLD_PER_S, DEADLINE_S, Attempt, Breach, Calm, find_breaches
from soak.fleet import GRACE_S, MEMORY_MB, World
from soak.schedule import make_schedule

__all__ = ["main", "run_soak"]

CALLERS = 20
HEADS = 80
HEAD = f"GET /look/x HTTP/1.1\r\nHost: {HOST}\r\n" + "a: b\r\n" * 200 + "\r\n"
IDLE_CALLERS = 1500  # more than an instance has room for, with those not accepted
TAKEN_S = 2.0  # for a caller that comes then
ROOM_S = 3.0  # after which some of them have been idle for long enough to end
CONNECT_S = 1.0
ANSWER_S = 4.0
STOP_S = 8.0  # well over the grace
LIMIT_PER_S = 3.0  # named by an endpoint that would get ten times as much
PAUSE_S = 0.04  # at most, between two requests on a connection


class Soak:
    """One run.

    Parameters
    ----------
    seed : int
        Decides schedule and traffic.
    seconds : float
        Length of the traffic.
    fleet : int
        Instances.
    """

    def __init__(self, seed, seconds, fleet):
        self.rng = random.Random(seed)
        self.seconds = seconds
        self.world = World(fleet, 8)
        self.attempts = []
        self.calm = Calm([], [])
        self.breaches = []
        self.schedule = make_schedule(seed, seconds, fleet)
        self.began = 0.0
        self.ending = False
        self._count = 0

    def run(self):
        """Play everything; return the breaches."""
        try:
            self.world.start()
            self.began = time.monotonic()
            callers = [gevent.spawn(self._call, n) for n in range(CALLERS)]
            faults = [gevent.spawn_later(f[0], self._fault, *f) for f in self.schedule]
            gevent.sleep(self.seconds)
            self.ending = True
            gevent.joinall(callers)
            gevent.joinall(faults)
            self._note_instances()
        finally:
            self.world.close()
        endpoints = [*self.world.endpoints.values(), *self.world.left.values()]
        return self.breaches + find_breaches(self.attempts, endpoints, self.calm)

    def _note_instances(self):
        for number, instance in enumerate(self.world.instances):
            if ends := instance.own_ends():
                self.breaches.append(Breach("runs on", f"{number} ended {ends} times"))
            if (resident_mb := instance.resident_mb()) > MEMORY_MB:
                self.breaches.append(Breach("memory", f"{number}: {resident_mb} MB"))

    def _call(self, number):
        rng = random.Random(f"{number} {self.rng.random()}")
        while not self.ending:
            index = rng.randrange(len(self.world.instances))
            instance = self.world.instances[index]
            if not instance.running():
                gevent.sleep(0.05)
                continue
            self._keep_connection(rng, index, instance)

    def _keep_connection(self, rng, index, instance):
        """Send requests on one connection until it ends."""
        starts = instance.starts
        # The library's own client would send a request again after a reset.
        client = create_client(
            instance.address, self.world.ports[0], "instance", CONNECT_S, size=1
        )
        try:
            for _ in range(40):
                if self.ending or instance.starts != starts:
                    return
                attempt = self._request(rng, client, index, instance)
                self.attempts.append(attempt)
                if attempt.status == 0:
                    return
                gevent.sleep(rng.random() * PAUSE_S)
        finally:
            client.close()

    def _request(self, rng, client, index, instance):
        self._count += 1
        request_id = f"r{self._count:08x}"
        version = max(1, self.world.version - rng.randrange(3))
        kind = rng.choices(("look", "book", f"v{version}"), (5, 4, 1))[0]
        headers = {
            "Host": HOST,
            "X-Quetzalwall-Request-Id": request_id,
            "X-Quetzalwall-Deadline-Ms": str(int(DEADLINE_S * 1000)),
            "Cookie": f"X-Quetzalwall-Affinity-Key={rng.randrange(40)}",
        }
        method = "POST" if kind == "book" else "GET"
        starts, sent = instance.starts, time.monotonic()
        status, echo, body = 0, "", ""
        with suppress(Exception):
            res = client.send(OutgoingRequest(method, f"/{kind}/x", headers), ANSWER_S)
            raw = bytes(res.read())
            status, echo = res.status_code, res.get("X-Quetzalwall-Request-Id") or ""
            body = raw.decode(errors="replace")
        same = instance.starts == starts
        ended = time.monotonic()
        planned = instance.stopping and same and not instance.killed
        planned &= not self._at_work_to_the_end(instance, request_id, ended)
        return Attempt(
            request_id, kind, index, starts, sent, ended, status, echo, body, planned
        )

    def _at_work_to_the_end(self, instance, request_id, ended):
        """Return whether no endpoint had answered in the last sixth of the grace."""
        if ended - instance.term_at < GRACE_S * 5 / 6:
            return False
        endpoints = [*self.world.endpoints.values(), *self.world.left.values()]
        return not any(request_id in endpoint.answered for endpoint in endpoints)

    def _fault(self, at, kind, number, span_s):
        instance = self.world.instances[number]
        endpoint = self.rng.choice(list(self.world.endpoints.values()))
        began = time.monotonic()
        STEPS[kind](self, instance, endpoint, span_s)
        if kind not in CALM_FAULTS:
            whom = -1 if kind in STORE_FAULTS else number
            self.calm.troubled.append((began, time.monotonic(), whom))

    def _kill(self, instance, endpoint, span_s):
        process = instance.process
        instance.signal(signal.SIGKILL)
        gevent.sleep(span_s / 4)
        self._restart(instance, process)

    def _term(self, instance, endpoint, span_s):
        if not instance.running() or instance.stopping:
            return
        instance.stopping = True
        process = instance.process
        instance.signal(signal.SIGTERM)
        with gevent.Timeout(STOP_S, False):
            while process.poll() is None:
                gevent.sleep(0.05)
        if process.poll() is None and not instance.paused:
            self.breaches.append(Breach("planned stop", f"not ended in {STOP_S} s"))
            process.kill()
        self._restart(instance, process)

    def _restart(self, instance, process):
        """Start an instance again once its process has ended."""
        instance.signal(signal.SIGCONT)
        while process.poll() is None:
            gevent.sleep(0.02)
        if instance.process is not process:
            return  # another fault has started it again
        instance.start()
        with gevent.Timeout(10.0, False):
            while not self.world.ready(instance):
                gevent.sleep(0.1)

    def _pause(self, instance, endpoint, span_s):
        instance.signal(signal.SIGSTOP)
        gevent.sleep(span_s)
        instance.signal(signal.SIGCONT)

    def _store(self, span_s, **faults):
        self.world.store.set_faults(**faults)
        gevent.sleep(span_s)
        calm = dict.fromkeys(faults, False) | {
            name: type(value)() for name, value in faults.items()
        }
        self.world.store.set_faults(**calm)

    def _proxy(self, instance, span_s, fault):
        instance.store.fault = fault
        gevent.sleep(span_s)
        instance.store.fault = ""

    def _behave(self, endpoint, span_s, **behaviour):
        endpoint.behaviour.update(behaviour)
        gevent.sleep(span_s)
        for name in behaviour:
            endpoint.behaviour.pop(name, None)

    def _behave_all(self, span_s, **behaviour):
        endpoints = list(self.world.endpoints.values())
        tasks = [gevent.spawn(self._behave, e, span_s, **behaviour) for e in endpoints]
        gevent.joinall(tasks)

    def _connect(self, instance, span_s, count, raw):
        """Have callers connect, send bytes and wait; they begin over a second."""
        place = (instance.address, self.world.ports[0])

        def stay():
            with suppress(OSError), create_connection(place, CONNECT_S) as sock:
                sock.sendall(raw)
                gevent.sleep(span_s)

        callers = [gevent.spawn_later(n / count, stay) for n in range(count)]
        gevent.joinall(callers)

    def _crowd(self, instance, span_s):
        """Have more callers connect than there is room for, then one with a request."""
        span_s = max(span_s, ROOM_S + 2 * TAKEN_S)
        crowd = gevent.spawn(self._connect, instance, span_s, IDLE_CALLERS, b"")
        gevent.sleep(ROOM_S)
        starts, before = instance.starts, self.world.ready(instance)
        before &= instance.undisturbed()
        status = 0
        with suppress(OSError, gevent.Timeout), gevent.Timeout(TAKEN_S):
            place = instance.address, self.world.ports[0]
            status = call(*place, "/look/x")[0]
        calm = before and instance.undisturbed() and instance.starts == starts
        if calm and not status:
            self.breaches.append(Breach("room", f"{instance.address} took no caller"))
        crowd.join()

    def _name_limit(self, instance, endpoint, span_s):
        began = time.monotonic()
        self._behave(endpoint, span_s, limit=str(LIMIT_PER_S))
        endpoint.limits.append((began, time.monotonic(), LIMIT_PER_S))

    def _silence(self, instance, endpoint, span_s):
        instance.store.stall_connections()

    def _configure(self, *_):
        version = self.world.configure()
        self.calm.versions.append((time.monotonic(), version))

    def _drain(self, instance, endpoint, span_s):
        if len(self.world.endpoints) < 4 or endpoint.name not in self.world.endpoints:
            return
        self.world.drain(endpoint.name)
        endpoint.left_at = time.monotonic()

    def _add_cold(self, *_):
        endpoint = self.world.add_endpoint("2s")
        began = time.monotonic()
        gevent.sleep(2.0)
        times = [at for at in endpoint.arrival_times if at < began + 2.0]
        most = max((sum(a <= t < a + 1 for t in times) for a in times), default=0)
        if most > COLD_PER_S:
            self.breaches.append(Breach("cold", f"{endpoint.name}: {most} in a second"))


STORE_FAULTS = {
    "store down",
    "store slow",
    "store loses replies",
    "store forgets",
}
CALM_FAULTS = {
    "configure",
    "older configuration",
    "drain",
    "add cold",
    "hup",
    "heads of many lines",
    "callers without requests",
    "store loses replies",
    "endpoint loses answers",
    "endpoint sheds",
    "endpoint hangs",
    "endpoint answers twice",
    "endpoints answer late",
    "endpoint cut short",
    "endpoint without end",
    "endpoints slow",
    "endpoint names a limit",
}
STEPS = {
    "kill": Soak._kill,
    "term": Soak._term,
    "pause": Soak._pause,
    "store down": lambda s, i, e, t: s._store(t, down=True),
    "store slow": lambda s, i, e, t: s._store(t, slow_s=0.4),
    "store loses replies": lambda s, i, e, t: s._store(t, lose_replies=2, late_s=0.5),
    "store forgets": lambda s, i, e, t: s.world.store.set_faults(forget=True),
    "store refuses one": lambda s, i, e, t: s._proxy(i, t, "refuse"),
    "cut from store": lambda s, i, e, t: s._proxy(i, t, "silent"),
    "reset store": lambda s, i, e, t: i.store.reset(),
    "endpoint loses answers": lambda s, i, e, t: s._behave(e, t, lose=True),
    "endpoint sheds": lambda s, i, e, t: s._behave(e, t, shed=True),
    "endpoint hangs": lambda s, i, e, t: s._behave(e, t, hang=True),
    "endpoint answers twice": lambda s, i, e, t: s._behave(e, t, extra=True),
    "endpoints answer late": lambda s, i, e, t: s._behave_all(t, late=True),
    "endpoint cut short": lambda s, i, e, t: s._behave(e, t, cut=True),
    "endpoint without end": lambda s, i, e, t: s._behave(e, t, endless=b"a: b\r\n"),
    "endpoints slow": lambda s, i, e, t: s._behave_all(t, slow_s=0.6),
    "endpoint names a limit": Soak._name_limit,
    "store connections silent": Soak._silence,
    "configure": Soak._configure,
    "older configuration": lambda s, i, e, t: s.world.configure_older(),
    "drain": Soak._drain,
    "add cold": Soak._add_cold,
    "hup": lambda s, i, e, t: i.signal(signal.SIGHUP),
    "heads of many lines": lambda s, i, e, t: s._connect(i, 0.1, HEADS, HEAD.encode()),
    "callers without requests": lambda s, i, e, t: s._crowd(i, t),
}


def run_soak(seed, seconds, fleet=5):
    """Run one seed.

    Parameters
    ----------
    seed : int
        Decides schedule and traffic.
    seconds : float
        Length of the traffic.
    fleet : int, default=5
        Instances.

    Returns
    -------
    (list of Breach, Soak)
    """
    soak = Soak(seed, seconds, fleet)
    return soak.run(), soak


def main(argv=None):
    """Run seeds and print what they found.

    Parameters
    ----------
    argv : sequence of str, default=None
        Arguments; those of the process if None.

    Returns
    -------
    int
        1 if a promise was broken.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--count", type=int, default=1, help="seeds, one after another")
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--instances", type=int, default=5)
    args = parser.parse_args(argv)
    broken = 0
    for seed in range(args.seed, args.seed + args.count):
        breaches, soak = run_soak(seed, args.seconds, args.instances)
        print(f"seed {seed}: {soak.schedule}")
        statuses = {}
        for attempt in soak.attempts:
            statuses[attempt.status] = statuses.get(attempt.status, 0) + 1
        print(f"seed {seed}: statuses {statuses}, {len(breaches)} breaches", flush=True)
        for breach in breaches[:10]:
            print(f"  {breach.promise}: {breach.detail}")
        broken += bool(breaches)
    print(f"{args.count - broken} passed, {broken} failed")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
