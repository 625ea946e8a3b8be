"""Run the soak: ``python -m soak.run --seed 1 --seconds 20``.

The seed determines the schedule of faults. The schedule is printed, so that a failing
run can be repeated.
"""

import argparse
import random
import signal
import sys
import time
from contextlib import suppress

import gevent
from gevent.socket import create_connection

from quetzalwall.tests.platform_fixtures import HOST, call
from soak.callers import create_callers
from soak.checks import MAX_COLD_PER_S, Breach, Timeline, find_breaches
from soak.fleet import MEMORY_LIMIT_MB, SoakSite
from soak.schedule import make_schedule

__all__ = ["main", "run_soak"]

CALLERS = 20
LARGE_HEADS = 80  # requests with the following head, spread over 1 s
LARGE_HEAD = f"GET /look/x HTTP/1.1\r\nHost: {HOST}\r\n" + "a: b\r\n" * 200 + "\r\n"
IDLE_CALLERS = 1500  # exceeds an instance's connection limit and its listen backlog
ACCEPT_TIMEOUT_S = 2.0  # of a request that is sent while the limit is reached
IDLE_EVICTION_S = 3.0  # after it, some connections have been idle long enough to close
CONNECT_S = 1.0  # time-out
STOP_S = 8.0  # time-out of a planned stop, well over the grace period
COPY_AGE_S = 2.0  # of the copy from which the store is restored
RESTORE_AWAY_S = 1.0  # for which the store is unavailable then
REWRITE_AFTER_S = 2.0  # operators write again what the copy lacks
ENTRY_AFTER_S = 0.5  # endpoints do so earlier
RESPONSE_WAIT_S = 4.0  # for an endpoint's next response
PAUSE_S = 3.0  # for which an endpoint asks for no requests
LIMIT_PER_S = 3.0  # advertised by an endpoint that would get ten times as much


class Soak:
    """One run: traffic and faults.

    Parameters
    ----------
    seed : int
        Seed of schedule and traffic.
    seconds : float
        Duration of the traffic.
    instance_count : int
        Number of instances.
    """

    def __init__(self, seed, seconds, instance_count):
        self.rng = random.Random(seed)
        self.seconds = seconds
        self.site = SoakSite(instance_count, 8)
        self.attempts = []
        self.timeline = Timeline([], [])
        self.breaches = []
        self.schedule = make_schedule(seed, seconds, instance_count)
        self.began = 0.0
        self.callers = create_callers(self.site, self.rng, self.attempts)

    def run(self):
        """Run traffic and faults to their end; return the breaches."""
        try:
            self.site.start()
            self.began = time.monotonic()
            callers = self.callers.start(CALLERS)
            faults = [gevent.spawn_later(f[0], self._inject, *f) for f in self.schedule]
            gevent.sleep(self.seconds)
            self.callers.ending = True
            gevent.joinall(callers)
            gevent.joinall(faults)
            self._check_instances()
        finally:
            self.site.close()
        endpoints = [*self.site.endpoints.values(), *self.site.drained.values()]
        return self.breaches + find_breaches(self.attempts, endpoints, self.timeline)

    def _check_instances(self):
        for number, instance in enumerate(self.site.instances):
            if exits := instance.unexpected_exits():
                self.breaches.append(Breach("stays up", f"{number}: {exits} exits"))
            if (resident_mb := instance.resident_mb()) > MEMORY_LIMIT_MB:
                self.breaches.append(Breach("memory", f"{number}: {resident_mb} MB"))

    def _inject(self, at_s, kind, number, span_s):
        instance = self.site.instances[number]
        endpoint = self.rng.choice(list(self.site.endpoints.values()))
        began = time.monotonic()
        FAULT_ACTIONS[kind](self, instance, endpoint, span_s)
        if kind not in NON_DISRUPTIVE_FAULTS:
            affected = -1 if kind in FLEET_WIDE_FAULTS else number
            self.timeline.disruptions.append((began, time.monotonic(), affected))

    def _kill(self, instance, endpoint, span_s):
        process = instance.process
        instance.signal(signal.SIGKILL)
        gevent.sleep(span_s / 4)
        self._restart(instance, process)

    def _terminate(self, instance, endpoint, span_s):
        if not instance.running() or instance.stopping:
            return
        instance.stopping = True
        process = instance.process
        instance.signal(signal.SIGTERM)
        with gevent.Timeout(STOP_S, False):
            while process.poll() is None:
                gevent.sleep(0.05)
        if process.poll() is None and not instance.paused:
            self.breaches.append(Breach("planned stop", f"no exit within {STOP_S} s"))
            process.kill()
        self._restart(instance, process)

    def _restart(self, instance, process):
        """Restart an instance once its process has exited."""
        instance.signal(signal.SIGCONT)
        while process.poll() is None:
            gevent.sleep(0.02)
        if instance.process is not process:
            return  # another fault has restarted it
        instance.start()
        with gevent.Timeout(10.0, False):
            while not self.site.ready(instance):
                gevent.sleep(0.1)

    def _pause(self, instance, endpoint, span_s):
        instance.signal(signal.SIGSTOP)
        gevent.sleep(span_s)
        instance.signal(signal.SIGCONT)

    # These four put a fault in place, wait, and remove it.
    def _fault_store(self, span_s, **faults):
        self.site.store.set_faults(**faults)
        gevent.sleep(span_s)
        without_faults = dict.fromkeys(faults, False) | {
            name: type(value)() for name, value in faults.items()
        }
        self.site.store.set_faults(**without_faults)

    def _fault_proxy(self, instance, span_s, fault):
        instance.store_proxy.fault = fault
        gevent.sleep(span_s)
        instance.store_proxy.fault = ""

    def _behave(self, endpoint, span_s, **behaviour):
        endpoint.behaviour.update(behaviour)
        gevent.sleep(span_s)
        for name in behaviour:
            endpoint.behaviour.pop(name, None)

    def _behave_all(self, span_s, **behaviour):
        endpoints = list(self.site.endpoints.values())
        tasks = [gevent.spawn(self._behave, e, span_s, **behaviour) for e in endpoints]
        gevent.joinall(tasks)

    def _connect(self, instance, span_s, count, raw):
        """Open connections, spread over 1 s, send bytes on each and hold them open."""
        address = (instance.address, self.site.ports[0])

        def hold_connection():
            with suppress(OSError), create_connection(address, CONNECT_S) as sock:
                sock.sendall(raw)
                gevent.sleep(span_s)

        callers = [gevent.spawn_later(n / count, hold_connection) for n in range(count)]
        gevent.joinall(callers)

    def _exceed_connection_limit(self, instance, span_s):
        """Exceed the connection limit with idle callers, then send one request."""
        span_s = max(span_s, IDLE_EVICTION_S + 2 * ACCEPT_TIMEOUT_S)
        idle = gevent.spawn(self._connect, instance, span_s, IDLE_CALLERS, b"")
        gevent.sleep(IDLE_EVICTION_S)
        starts, was_serving = instance.starts, self.site.ready(instance)
        was_serving &= instance.serving()
        status = 0
        with suppress(OSError, gevent.Timeout), gevent.Timeout(ACCEPT_TIMEOUT_S):
            address = instance.address, self.site.ports[0]
            status = call(*address, "/look/x")[0]
        steady = was_serving and instance.serving() and instance.starts == starts
        if steady and not status:
            self.breaches.append(Breach("accept", f"{instance.address}: no response"))
        idle.join()

    def _advertise_limit(self, instance, endpoint, span_s):
        began = time.monotonic()
        self._behave(endpoint, span_s, limit=str(LIMIT_PER_S))
        endpoint.advertised_limits.append((began, time.monotonic(), LIMIT_PER_S))

    def _restore_store(self, instance, endpoint, span_s):
        """Restore an older copy; endpoints, then operators, write what is lost."""
        self.site.store.restore(COPY_AGE_S, RESTORE_AWAY_S)
        gevent.sleep(RESTORE_AWAY_S + ENTRY_AFTER_S)
        self.site.register_missing()
        gevent.sleep(REWRITE_AFTER_S)
        self.site.rewrite_configuration()

    def _leave(self, instance, endpoint, span_s):
        """Let an endpoint state in its responses alone that it drains."""
        if len(self.site.endpoints) < 4 or endpoint.name not in self.site.endpoints:
            return
        self.site.drained[endpoint.name] = self.site.endpoints.pop(endpoint.name)
        endpoint.behaviour["headers"] = ("Server-Leaving: 1",)
        responses = len(endpoint.responded_ids)
        with gevent.Timeout(RESPONSE_WAIT_S, False):
            while len(endpoint.responded_ids) == responses:
                gevent.sleep(0.02)
            endpoint.draining_since = time.monotonic()

    def _ask_for_none(self, instance, endpoint, span_s):
        began = time.monotonic()
        headers = (f"Retry-After: {PAUSE_S}",)
        self._behave(endpoint, span_s, shed=True, headers=headers)
        endpoint.pauses.append((began, time.monotonic(), PAUSE_S))

    def _stall_store_connections(self, instance, endpoint, span_s):
        instance.store_proxy.stall_connections()

    def _configure(self, *_):
        version = self.site.configure()
        self.timeline.versions.append((time.monotonic(), version))

    def _drain(self, instance, endpoint, span_s):
        if len(self.site.endpoints) < 4 or endpoint.name not in self.site.endpoints:
            return
        self.site.drain(endpoint.name)
        endpoint.draining_since = time.monotonic()

    def _add_cold_endpoint(self, *_):
        endpoint = self.site.add_endpoint("2s")
        began = time.monotonic()
        gevent.sleep(2.0)
        times = [at for at in endpoint.arrival_times if at < began + 2.0]
        peak = max((sum(a <= t < a + 1 for t in times) for a in times), default=0)
        if peak > MAX_COLD_PER_S:
            self.breaches.append(Breach("cold start", f"{endpoint.name}: {peak}/s"))


FLEET_WIDE_FAULTS = {
    "store down",
    "store slow",
    "store loses replies",
    "store drops history",
    "store restored",
}
# All promises hold during these faults; they count as no disruption of an instance.
NON_DISRUPTIVE_FAULTS = {
    "configure",
    "older configuration",
    "drain",
    "cold endpoint",
    "hup",
    "requests with many headers",
    "idle callers",
    "store loses replies",
    "endpoint loses responses",
    "endpoint sheds",
    "endpoint hangs",
    "endpoint sends extra responses",
    "endpoints send late responses",
    "endpoint truncates responses",
    "endless response headers",
    "endpoints slow",
    "endpoint advertises a limit",
    "endpoint states that it leaves",
    "endpoint asks for no requests",
}
FAULT_ACTIONS = {  # each is called with the soak, an instance, an endpoint and seconds
    "kill": Soak._kill,
    "term": Soak._terminate,
    "pause": Soak._pause,
    "store down": lambda s, i, e, t: s._fault_store(t, down=True),
    "store slow": lambda s, i, e, t: s._fault_store(t, slow_s=0.4),
    "store loses replies": lambda s, i, e, t: s._fault_store(
        t, lose_replies=2, late_s=0.5
    ),
    "store drops history": lambda s, i, e, t: s.site.store.set_faults(forget=True),
    "store connections refused": lambda s, i, e, t: s._fault_proxy(i, t, "refuse"),
    "store partition": lambda s, i, e, t: s._fault_proxy(i, t, "silent"),
    "store connections reset": lambda s, i, e, t: i.store_proxy.reset(),
    "endpoint loses responses": lambda s, i, e, t: s._behave(e, t, lose=True),
    "endpoint sheds": lambda s, i, e, t: s._behave(e, t, shed=True),
    "endpoint hangs": lambda s, i, e, t: s._behave(e, t, hang=True),
    "endpoint sends extra responses": lambda s, i, e, t: s._behave(e, t, extra=True),
    "endpoints send late responses": lambda s, i, e, t: s._behave_all(t, late=True),
    "endpoint truncates responses": lambda s, i, e, t: s._behave(e, t, cut=True),
    "endless response headers": lambda s, i, e, t: s._behave(e, t, endless=b"a: b\r\n"),
    "endpoints slow": lambda s, i, e, t: s._behave_all(t, slow_s=0.6),
    "endpoint advertises a limit": Soak._advertise_limit,
    "store connections stalled": Soak._stall_store_connections,
    "store restored": Soak._restore_store,
    "endpoint states that it leaves": Soak._leave,
    "endpoint asks for no requests": Soak._ask_for_none,
    "configure": Soak._configure,
    "older configuration": lambda s, i, e, t: s.site.configure_older(),
    "drain": Soak._drain,
    "cold endpoint": Soak._add_cold_endpoint,
    "hup": lambda s, i, e, t: i.signal(signal.SIGHUP),
    "requests with many headers": lambda s, i, e, t: s._connect(
        i, 0.1, LARGE_HEADS, LARGE_HEAD.encode()
    ),
    "idle callers": lambda s, i, e, t: s._exceed_connection_limit(i, t),
}


def run_soak(seed, seconds, instance_count=5):
    """Run one seed.

    Parameters
    ----------
    seed : int
        Seed of schedule and traffic.
    seconds : float
        Duration of the traffic.
    instance_count : int, default=5
        Number of instances.

    Returns
    -------
    (list of Breach, Soak)
    """
    soak = Soak(seed, seconds, instance_count)
    return soak.run(), soak


def main(argv=None):
    """Run seeds and print the breaches that they found.

    Parameters
    ----------
    argv : sequence of str, default=None
        Command-line arguments; None takes those of the process.

    Returns
    -------
    int
        Exit status: 1 if a promise was broken.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--count", type=int, default=1, help="number of seeds to run")
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
