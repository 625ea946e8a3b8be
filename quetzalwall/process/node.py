"""State of one entry instance and the rules that connect its parts."""

import hashlib
import random

from quetzalwall.exceptions import PeerError
from quetzalwall.logs import get_logger, log_event
from quetzalwall.process.membership.membership import DEAD, create_membership
from quetzalwall.process.membership.peer_messages import Heartbeat
from quetzalwall.process.metrics import create_metrics
from quetzalwall.process.placing.admission import create_admission
from quetzalwall.process.placing.endpoint_directory import create_endpoint_directory
from quetzalwall.process.placing.steering import hold_limits
from quetzalwall.process.sharing.holders import create_holders
from quetzalwall.process.sharing.ledger import Ledger
from quetzalwall.process.sharing.lending import Wish, may_extend, units_to_lend
from quetzalwall.process.sharing.rights import RESERVE_S, loan_ttl_s
from quetzalwall.process.sharing.share_keeper import create_share_keeper
from quetzalwall.process.storage.config_keeper import create_config_keeper
from quetzalwall.request.lookup import Member

__all__ = ["Node", "create_node"]

LOG = get_logger("node")


class Node:
    """State of one instance.

    Parameters
    ----------
    settings : dict
        The instance's own settings.
    configuration : Configuration
        First configuration.
    clock : Clock
        Source of time.
    rng : random.Random
        Source of randomness.
    """

    def __init__(self, settings, configuration, clock, rng):
        now = clock.monotonic()
        self.name = settings["instance"]
        self.settings = settings
        self.clock = clock
        self.rng = rng
        self.metrics = create_metrics()
        self.ledger = Ledger()
        self.wishes_by_loan = {}
        self.hold_s = {}
        self.listed_leaving = frozenset()
        self.stopping = False
        self._versions = {}
        self._settled = {}
        cfg = configuration.merged
        incarnation = int(clock.wall() * 1000)
        self.membership = create_membership(
            self.name, cfg["instances"], incarnation, now
        )
        self.holders = create_holders(self.name, incarnation, cfg["instances"])
        self.shares = create_share_keeper(self.ledger, self.holders)
        region = settings["region"]
        self.admission = create_admission(
            cfg, region, clock, rng, self.ledger, self.metrics
        )
        self.steering = self.admission.steering
        self.endpoints = create_endpoint_directory(cfg, region, clock, self.ledger)
        self.keeper = create_config_keeper(self._put_in_force)
        self.on_death = None
        self.record_outdated = False
        self.keeper.hold(configuration, "start")

    def roster(self):
        """Return the instances of the configuration in force.

        Returns
        -------
        dict of str to dict
        """
        return self.steering.cfg["instances"]

    def cfg(self):
        """Return the merged configuration in force.

        Returns
        -------
        dict
        """
        return self.steering.cfg

    def members_for_callers(self):
        """Return the instances that callers may be sent to.

        Returns
        -------
        list of Member
        """
        roster = self.roster()
        leaving = self.cfg()["leaving"]["instances"]
        return [
            Member(name, spec["address"], spec["port"], spec["region"], spec["domain"])
            for name in self.membership.usable()
            if name not in leaving and (spec := roster.get(name))
        ]

    def hold(self, configuration, source):
        """Take in a version of the configuration.

        Parameters
        ----------
        configuration : Configuration
            From the store or a peer.
        source : str
            Where it came from.
        """
        if self.keeper.hold(configuration, source):
            self.advance()

    def advance(self):
        """Put the newest version in force if enough peers hold it."""
        versions = [
            version
            for name, version in self._versions.items()
            if self.membership.alive(name)
        ]
        live = sum(
            1
            for name, member in self.membership.members.items()
            if name != self.name and member.state != DEAD
        )
        self.keeper.advance(versions, live)

    def heartbeat(self, vouch=False, known=False):
        """Return the message that tells a peer about this instance.

        Parameters
        ----------
        vouch : bool, default=False
            Whether this instance vouches for the receiver's lease.
        known : bool, default=False
            Whether this instance has the receiver's process on its record.

        Returns
        -------
        Heartbeat
        """
        return Heartbeat(
            sender=self.name,
            process=self.holders.incarnation,
            changes=self.membership.changes(),
            held=self.keeper.held_version(),
            in_force=self.keeper.in_force_version(),
            roster=self.roster_digest(),
            vouch=vouch,
            known=known,
        )

    def answer_heartbeat(self, message):
        """Take in a heartbeat and return the answer.

        Parameters
        ----------
        message : Heartbeat
            From a peer.

        Returns
        -------
        Heartbeat
        """
        now = self.clock.monotonic()
        self.hear(message._replace(vouch=False, known=False), now)
        same = message.roster == self.roster_digest()
        vouch = self.holders.may_vouch(message.sender, message.process, now)
        known = self.holders.knows(message.sender, message.process)
        return self.heartbeat(same and vouch, known)

    def hear(self, message, asked_at):
        """Take in a heartbeat or the answer to one.

        Parameters
        ----------
        message : Heartbeat
            From a peer.
        asked_at : float
            Monotonic seconds at which the question to it was sent.
        """
        now = self.clock.monotonic()
        for name in self.membership.hear(message.sender, message.changes, now):
            member = self.membership.members[name]
            log_event(LOG, "member", member=name, state=member.state)
            if member.state == DEAD:
                self.member_died(name)
        self._versions[message.sender] = message.held
        known = self.holders.running.get(message.sender)
        self.record_outdated |= known != message.process
        for name in message.changes:
            if name in self.membership.members:
                settled = self.membership.members[name].settled
                self.shares.note_settled(name, settled)
        if message.known:
            self.holders.known_to(message.sender, now)
        if message.vouch and message.roster == self.roster_digest():
            self.holders.vouched(message.sender, asked_at)
            self.ledger.lease_until = self.holders.lease_until
            self.ledger.reserve_until = self.holders.lease_until + RESERVE_S
        self.advance()

    def member_died(self, name):
        """Act on the death of a member.

        Parameters
        ----------
        name : str
            The member.
        """
        self._versions.pop(name, None)
        if self.on_death is not None:
            self.on_death(name)

    def learn_holders(self, row, asked_at):
        """Take in the record of holders.

        Parameters
        ----------
        row : Row
            From the table.
        asked_at : float
            Monotonic seconds at which the read was sent.
        """
        now = self.clock.monotonic()
        if self.holders.learn(row.version, row.value, asked_at, now):
            log_event(LOG, "holders", version=row.version, record=self.holders.record)
        self.shares.refresh(now)

    def lend(self, req):
        """Lend units to a peer, or extend a loan.

        Parameters
        ----------
        req : LoanRequest
            From the peer.

        Returns
        -------
        dict
            With ``units`` and ``ttl_s``.
        """
        now = self.clock.monotonic()
        wish = Wish(req.service, req.kind, req.region, req.count, req.waiting)
        held = self.ledger.lent.get(req.loan_id)
        wanted = held.units if held else units_to_lend(self.steering, wish, now)
        if held is not None and not may_extend(self.steering, wish, self._near(held)):
            wanted = {}
        if not wanted or self.stopping:
            return {"units": {}, "ttl_s": 0.0}
        ttl_s = loan_ttl_s(max(self.hold_s.get(key, 1.0) for key in wanted))
        loan = self.ledger.lend(req.loan_id, req.sender, wanted, now, ttl_s)
        if held is None:
            log_event(
                LOG,
                "lent",
                peer=req.sender,
                service=req.service,
                kind=req.kind,
                units=sum(loan.units.values()),
                wanted=req.count,
            )
        return {"units": loan.units, "ttl_s": ttl_s}

    def _near(self, loan):
        peer = self.roster().get(loan.peer)
        return peer is not None and peer["region"] == self.settings["region"]

    def set_listed(self, listing):
        """Take in the platform's list.

        Parameters
        ----------
        listing : Listing
            From the platform.
        """
        self.membership.note_listed(listing.instances)
        self.listed_leaving = frozenset(
            name for name, state in listing.endpoints.items() if state == "leaving"
        )
        self._update_leaving()

    def tick(self):
        """Refresh what depends on time."""
        now = self.clock.monotonic()
        self.shares.refresh(now)
        self.membership.set_settled(self.shares.settled_version(now))
        self.endpoints.refresh(now)
        self.advance()

    def heartbeat_targets(self):
        """Return the instances that this one sends heartbeats to.

        Returns
        -------
        set of str
            Its sponsors, its heir, whose vouch renews the lease, and at the start
            those that must learn of its registration.
        """
        targets = set(self.membership.targets())
        heir = self.holders.heir_of(self.name)
        if heir is not None:
            targets.add(heir)
        return targets | set(self.holders.unconfirmed())

    def gossip_target(self):
        """Return an instance beyond the regular targets, for changes to reach all soon.

        Returns
        -------
        str or None
            None if there is none beyond.
        """
        known = self.heartbeat_targets() | {self.name}
        others = [
            n for n in self.roster() if n not in known and self.membership.alive(n)
        ]
        return self.rng.choice(others) if others else None

    def roster_digest(self):
        """Return a digest of the list of instances.

        Returns
        -------
        str
        """
        names = " ".join(sorted(self.roster()))
        return hashlib.sha256(names.encode()).hexdigest()[:16]

    def _put_in_force(self, configuration):
        now = self.clock.monotonic()
        cfg = configuration.merged
        self.hold_s = hold_limits(cfg)
        self.membership.set_roster(cfg["instances"], now)
        self.holders.set_roster(cfg["instances"])
        self.steering.configure(cfg, now)
        self.endpoints.configure(cfg)
        self.shares.configure(configuration, self.hold_s, now)
        self._update_leaving()
        self.metrics.version.set(configuration.version)

    def _update_leaving(self):
        cfg = self.cfg()
        leaving = {*self.listed_leaving, *cfg["leaving"]["endpoints"]}
        self.steering.set_leaving(leaving)


def create_node(settings, configuration, clock, seed=None):
    """Return the state of an instance that starts.

    Parameters
    ----------
    settings : dict
        The instance's own settings.
    configuration : Configuration
        First configuration.
    clock : Clock
        Source of time.
    seed : int, default=None
        Seed of the source of randomness.

    Returns
    -------
    Node

    Raises
    ------
    PeerError
        The configuration does not name this instance.
    """
    name = settings["instance"]
    if name not in configuration.merged["instances"]:
        raise PeerError("not in the accepted configuration", "start", name)
    return Node(settings, configuration, clock, random.Random(seed))
