"""Tasks that talk to the platform's table, object store and instance list."""

import gevent

from quetzalwall.exceptions import PeerError, StoreError
from quetzalwall.logs import get_logger, log_event
from quetzalwall.platform.table import Row
from quetzalwall.process.sharing.holders import HOLDERS_KEY
from quetzalwall.process.sharing.rights import LEASE_S
from quetzalwall.process.storage.snapshots import write_snapshot
from quetzalwall.process.tasks import repeat
from quetzalwall.version.settings_store import read_configuration, read_head

__all__ = ["StoreTasks", "create_store_tasks"]

POLL_S = 0.5
SLOW_POLL_S = 5.0  # of instances that are not among the readers of their domain
READERS = 2  # instances in each failure domain that poll the table
LISTING_POLL_S = 1.0
LEASE_CHECK_S = 0.5
SHORT_LEASE_S = 1.5  # left, at which the table is read to renew it
HOLDERS_POLL_S = 5.0  # also while vouches renew the lease
MOST_BACKOFF = 16  # times the regular pause
LOG = get_logger("store")


class StoreTasks:
    """Tasks of one instance.

    Parameters
    ----------
    node : Node
        State of the instance.
    table : TableClient
        The table service.
    objects : ObjectClient
        The object store.
    listing : ListingClient
        The instance list.
    ask_holder : callable
        Takes an instance; asks it to give this instance's share back.
    """

    def __init__(self, node, table, objects, listing, ask_holder):
        self._node = node
        self._table = table
        self._objects = objects
        self._listing = listing
        self._ask_holder = ask_holder
        self._tasks = []
        self._dead = set()
        self._give_back = set()
        self._snapshot_version = 0
        self._holders_read_at = float("-inf")
        node.on_death = self._dead.add

    def start(self):
        """Begin to poll."""
        self._tasks = [
            self._repeat(self._poll_configuration, self._configuration_pause),
            self._repeat(self._poll_listing, lambda: LISTING_POLL_S),
            self._repeat(self._poll_holders, lambda: LEASE_CHECK_S),
        ]

    def close(self):
        """Stop polling."""
        gevent.killall(self._tasks)

    def ask_give_back(self, owner):
        """Note that an instance wants its share back.

        Parameters
        ----------
        owner : str
            The instance.
        """
        if owner in self._node.holders.held_shares() and owner != self._node.name:
            self._give_back.add(owner)

    def write_holders(self, value):
        """Write the record of holders if it is unchanged since last read.

        Parameters
        ----------
        value : dict
            The new record.

        Returns
        -------
        bool
            Whether the write took effect for sure.
        """
        version = self._node.holders.version
        # A committed write shows the row as of a moment after it was sent, like a read.
        asked_at = self._node.clock.monotonic()
        result = self._table.txn({HOLDERS_KEY: version}, {HOLDERS_KEY: value})
        if result.committed:
            row = Row(result.versions[HOLDERS_KEY], value)
            self._node.learn_holders(row, asked_at)
        return result.committed

    def read_holders(self):
        """Read the record of holders and renew the lease."""
        asked_at = self._node.clock.monotonic()
        row = self._table.read([HOLDERS_KEY], timeout_s=LEASE_S)[HOLDERS_KEY]
        self._holders_read_at = asked_at
        self._node.record_outdated = False
        self._node.learn_holders(row, asked_at)

    def _repeat(self, step, pause):
        """Start a task that repeats a step, more slowly while the store fails."""
        failures = 0

        def guarded():
            nonlocal failures
            try:
                step()
                failures = 0
            except (StoreError, PeerError) as exc:
                failures += 1
                log_event(
                    LOG,
                    "unavailable",
                    "warning",
                    step=exc.step,
                    peer=exc.peer,
                    reason=exc.message,
                )

        def jittered_pause():
            # Keeps instances from asking together after an outage.
            backoff = min(MOST_BACKOFF, 2**failures)
            return pause() * backoff * (0.75 + 0.5 * self._node.rng.random())

        return repeat(guarded, jittered_pause)

    def _configuration_pause(self):
        return POLL_S if self._is_reader() else SLOW_POLL_S

    def _is_reader(self):
        roster = self._node.roster()
        domain = self._node.settings["domain"]
        peers = [
            name
            for name in sorted(roster)
            if roster[name]["domain"] == domain and self._node.membership.alive(name)
        ]
        return self._node.name in peers[:READERS]

    def _poll_configuration(self):
        head = read_head(self._table)
        if head["version"] > self._node.keeper.held_version():
            self._node.hold(read_configuration(self._table), "table")
        self._save_snapshot()

    def _save_snapshot(self):
        usable = self._node.membership.usable()
        version = self._node.keeper.in_force_version()
        if version <= self._snapshot_version or usable[:1] != [self._node.name]:
            return
        write_snapshot(self._objects, self._node.keeper.in_force)
        self._snapshot_version = version
        log_event(LOG, "snapshot", version=version)

    def _poll_listing(self):
        self._node.set_listed(self._listing.read())

    def _poll_holders(self):
        now = self._node.clock.monotonic()
        lease_s = self._node.holders.lease_until - now
        due = now - self._holders_read_at > HOLDERS_POLL_S
        busy = self._dead or self._give_back or not self._node.holders.holds_own()
        outdated = self._node.record_outdated or not self._node.holders.registered()
        if lease_s < SHORT_LEASE_S or due or busy or outdated:
            self.read_holders()
        if not self._node.holders.registered():
            self._register()
        self._take_over_dead()
        self._give_back_drained()
        if not self._node.holders.holds_own():
            self._ask_holder(self._node.holders.holder_of(self._node.name))

    def _register(self):
        holders = self._node.holders
        if holders.superseded():
            raise StoreError(
                "a later process has registered", "register", self._node.name
            )
        if self.write_holders(holders.register()):
            log_event(LOG, "registered", unclean=holders.unclean)

    def _take_over_dead(self):
        holders = self._node.holders
        for name in sorted(self._dead):
            if self._node.membership.alive(name) or holders.holder_of(name) != name:
                self._dead.discard(name)
                continue
            value = holders.take_over(name, self._node.clock.monotonic())
            if value is not None and self.write_holders(value):
                self._dead.discard(name)
                log_event(
                    LOG, "take-over", "warning", member=name, heir=holders.instance
                )

    def _give_back_drained(self):
        """Give shares back whose units this instance no longer uses."""
        holders = self._node.holders
        for owner in sorted(self._give_back):
            if holders.holder_of(owner) != holders.instance:
                self._give_back.discard(owner)
                self._node.shares.stop_using(owner, False)
                continue
            self._node.shares.stop_using(owner, True)
            self._node.shares.refresh(self._node.clock.monotonic())
            if not self._node.shares.drained(self._node.clock.monotonic()):
                continue
            if self.write_holders(holders.give_back(owner)):
                self._give_back.discard(owner)
                self._node.shares.stop_using(owner, False)
                log_event(LOG, "give-back", owner=owner)


def create_store_tasks(node, table, objects, listing, ask_holder):
    """Return the tasks of an instance, not yet started.

    Parameters
    ----------
    node : Node
        State of the instance.
    table : TableClient
        The table service.
    objects : ObjectClient
        The object store.
    listing : ListingClient
        The instance list.
    ask_holder : callable
        Takes an instance; asks it to give this instance's share back.

    Returns
    -------
    StoreTasks
    """
    return StoreTasks(node, table, objects, listing, ask_holder)
