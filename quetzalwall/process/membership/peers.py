"""Messages to other instances: heartbeats, questions, loans and configurations."""

from functools import partial
from uuid import uuid4

import gevent
import gevent.event

from quetzalwall.connection.json_call import create_json_client
from quetzalwall.exceptions import PeerError, SettingsError
from quetzalwall.logs import get_logger, log_event
from quetzalwall.process.membership.membership import HEARTBEAT_S
from quetzalwall.process.membership.peer_messages import parse_heartbeat
from quetzalwall.process.sharing.ledger import Loan
from quetzalwall.process.sharing.lending import loans_to_return, wishes
from quetzalwall.process.storage.config_keeper import import_configuration
from quetzalwall.process.tasks import repeat

__all__ = ["Peers", "create_peers"]

HEARTBEAT_TIMEOUT_S = 0.6
LOAN_TIMEOUT_S = 0.5
LOAN_TICK_S = 0.05
LEAST_PAUSE_S = 0.01  # between rounds when requests begin to wait
REFUSED_PAUSE_S = 0.01  # within a region, and four times that beyond
REMOTE_PAUSE_FACTOR = 4
EXTEND_BEFORE_S = 2.0  # beyond the longest work, at which a loan is extended
CONFIG_TIMEOUT_S = 5.0
LOG = get_logger("peers")


class Peers:
    """Tasks that talk to the other instances.

    Parameters
    ----------
    node : Node
        State of this instance.
    """

    def __init__(self, node):
        self._node = node
        self._clients = {}
        self._heartbeat_tasks = {}
        self._tasks = []
        self._refused = {}
        self._extending = set()
        self._fetching = False
        self._shortage = gevent.event.Event()
        node.admission.on_shortage = self._shortage.set

    def start(self):
        """Begin to talk."""
        self._tasks = [
            repeat(self._keep_heartbeats, HEARTBEAT_S),
            repeat(self._watch, HEARTBEAT_S),
            repeat(self._borrow, LEAST_PAUSE_S),
        ]

    def close(self):
        """Stop talking."""
        gevent.killall([*self._tasks, *self._heartbeat_tasks.values()])
        for client in self._clients.values():
            client.close()

    def client(self, name):
        """Return the client of an instance.

        Parameters
        ----------
        name : str
            The instance.

        Returns
        -------
        JsonClient

        Raises
        ------
        PeerError
            The configuration in force has no such instance.
        """
        spec = self._node.roster().get(name)
        if spec is None:
            raise PeerError("not in the configuration", "find instance", name)
        place = (spec["address"], spec["port"])
        key = (name, place)
        if key not in self._clients:
            self._clients[key] = create_json_client(
                *place, name, timeout_s=HEARTBEAT_TIMEOUT_S, size=4
            )
        return self._clients[key]

    def return_loan(self, loan):
        """Tell a lender that a loan is no longer used.

        Parameters
        ----------
        loan : Loan
            Already out of use here.
        """
        body = {"sender": self._node.name, "loan_id": loan.loan_id}
        try:
            self.client(loan.peer).call("POST", "/peer/return", body)
        except PeerError:
            # The lender waits until the loan ends by its own clock.
            return

    def _keep_heartbeats(self):
        """Keep one task for each instance that gets heartbeats from this one."""
        targets = self._node.heartbeat_targets()
        for name in targets - set(self._heartbeat_tasks):
            step = partial(self._send_heartbeat, name)
            self._heartbeat_tasks[name] = repeat(step, HEARTBEAT_S)
        for name in set(self._heartbeat_tasks) - targets:
            self._heartbeat_tasks.pop(name).kill(block=False)
        beyond = self._node.gossip_target()
        if beyond is not None:
            gevent.spawn(self._send_heartbeat, beyond)

    def _send_heartbeat(self, name):
        asked_at = self._node.clock.monotonic()
        body = self._node.heartbeat()._asdict()
        try:
            answer = self.client(name).call(
                "POST", "/peer/heartbeat", body, timeout_s=HEARTBEAT_TIMEOUT_S
            )
            reply = parse_heartbeat(answer.body, name)
        except PeerError as exc:
            log_event(LOG, "no-heartbeat", "debug", peer=name, reason=exc.message)
            return
        self._node.hear(reply, asked_at)
        if reply.held > self._node.keeper.held_version():
            self.fetch_configuration(name)

    def fetch_configuration(self, name):
        """Get a newer version from a peer.

        Parameters
        ----------
        name : str
            The peer.

        Returns
        -------
        bool
            Whether the peer answered with a configuration.
        """
        if self._fetching:
            return False
        self._fetching = True
        try:
            self._node.hold(self._ask_configuration(name), name)
            return True
        except (PeerError, SettingsError) as exc:
            log_event(LOG, "no-config", "warning", peer=name, reason=exc.message)
            return False
        finally:
            self._fetching = False

    def _ask_configuration(self, name):
        """Return a peer's configuration, from what changed if that fits."""
        held = self._node.keeper.held
        known = self._node.keeper.team_versions()
        client = self.client(name)
        answer = client.call("POST", "/peer/config", known, timeout_s=CONFIG_TIMEOUT_S)
        try:
            return import_configuration(answer.body or {}, name, base=held)
        except SettingsError:
            # Versions of equal number but other content; the whole tree settles it.
            answer = client.call("GET", "/peer/config", timeout_s=CONFIG_TIMEOUT_S)
            return import_configuration(answer.body or {}, name)

    def _watch(self):
        """Ask about silent members and conclude which are dead."""
        membership = self._node.membership
        for name in membership.suspects(self._node.clock.monotonic()):
            silences = self._ask_sponsors(name)
            now = self._node.clock.monotonic()
            if membership.conclude(name, silences, now):
                log_event(
                    LOG,
                    "dead",
                    "warning",
                    member=name,
                    silent_s=membership.silent_s(name, now),
                    asked=len(silences),
                )
                self._node.member_died(name)
                self._announce()

    def _ask_sponsors(self, name):
        sponsors = self._node.membership.other_sponsors(name)
        tasks = [gevent.spawn(self._ask, other, name) for other in sponsors]
        gevent.joinall(tasks)
        return [task.value for task in tasks if task.value is not None]

    def _ask(self, other, name):
        try:
            answer = self.client(other).call("GET", f"/peer/silence?member={name}")
            return float(answer.body["silent_s"])
        except (PeerError, KeyError, TypeError, ValueError):
            return None

    def _announce(self):
        """Send the newest changes to every live instance at once."""
        membership = self._node.membership
        for name in membership.members:
            if name != self._node.name and membership.alive(name):
                gevent.spawn(self._send_heartbeat, name)

    def _borrow(self):
        self._shortage.wait(LOAN_TICK_S)
        self._shortage.clear()
        now = self._node.clock.monotonic()
        if not self._needs_round():
            return
        self._extend_loans(now)
        for wish in wishes(self._node.steering, now):
            self._borrow_for(wish)
        self._return_spare()

    def _needs_round(self):
        ledger, steering = self._node.ledger, self._node.steering
        return (
            ledger.used or ledger.borrowed or steering.shifts or steering.any_waiting()
        )

    def _borrow_for(self, wish):
        missing = wish.count
        for name in self._lenders(wish):
            if missing <= 0:
                return
            missing -= self._ask_loan(name, wish._replace(count=missing))

    def _lenders(self, wish):
        now = self._node.clock.monotonic()
        roster = self._node.roster()
        names = [
            name
            for name, spec in roster.items()
            if name != self._node.name
            and spec["region"] == wish.region
            and self._node.membership.alive(name)
            and self._refused.get((name, wish[:3]), 0.0) <= now
        ]
        self._node.rng.shuffle(names)
        return names

    def _ask_loan(self, name, wish):
        """Borrow from one peer; return the number of units."""
        asked_at = self._node.clock.monotonic()
        loan_id = uuid4().hex
        units, ttl_s = self._request_loan(name, loan_id, wish)
        if not units:
            near = wish.region == self._node.steering.region
            factor = 1 if near else REMOTE_PAUSE_FACTOR
            self._refused[name, wish[:3]] = asked_at + factor * REFUSED_PAUSE_S
            return 0
        now = self._node.clock.monotonic()
        self._node.ledger.borrow(Loan(loan_id, name, units, asked_at + ttl_s), now)
        self._node.wishes_by_loan[loan_id] = wish
        log_event(
            LOG,
            "borrowed",
            peer=name,
            service=wish.service,
            kind=wish.kind,
            region=wish.region,
            units=sum(units.values()),
            wanted=wish.count,
        )
        self._node.admission.deliver(self._node.steering.pump(wish.service, now))
        return sum(units.values())

    def _request_loan(self, name, loan_id, wish):
        body = {"sender": self._node.name, "loan_id": loan_id, **wish._asdict()}
        try:
            answer = self.client(name).call(
                "POST", "/peer/loan", body, timeout_s=LOAN_TIMEOUT_S
            )
            units = {str(k): int(v) for k, v in answer.body["units"].items()}
            return units, float(answer.body["ttl_s"])
        except (PeerError, KeyError, TypeError, ValueError, AttributeError):
            return {}, 0.0

    def _extend_loans(self, now):
        borrowed = self._node.ledger.borrowed
        for loan_id in set(self._node.wishes_by_loan) - set(borrowed):
            del self._node.wishes_by_loan[loan_id]
        for loan in list(borrowed.values()):
            hold_s = max(self._node.hold_s.get(key, 1.0) for key in loan.units)
            due = loan.until - now <= hold_s + EXTEND_BEFORE_S
            if due and loan.loan_id not in self._extending:
                self._extending.add(loan.loan_id)
                gevent.spawn(self._extend, loan)

    def _extend(self, loan):
        asked_at = self._node.clock.monotonic()
        wish = self._node.wishes_by_loan[loan.loan_id]
        try:
            units, ttl_s = self._request_loan(loan.peer, loan.loan_id, wish)
        finally:
            self._extending.discard(loan.loan_id)
        if units and loan.loan_id in self._node.ledger.borrowed:
            extended = Loan(loan.loan_id, loan.peer, units, asked_at + ttl_s)
            self._node.ledger.borrow(extended, self._node.clock.monotonic())

    def _return_spare(self):
        now = self._node.clock.monotonic()
        for loan_id in loans_to_return(self._node.steering, now):
            if loan_id in self._extending:
                continue
            loan = self._node.ledger.borrowed[loan_id]
            if self._node.ledger.end_borrowed(loan_id, now):
                gevent.spawn(self.return_loan, loan)


def create_peers(node):
    """Return the tasks of an instance, not yet started.

    Parameters
    ----------
    node : Node
        State of the instance.

    Returns
    -------
    Peers
    """
    return Peers(node)
