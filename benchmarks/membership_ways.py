"""Ways to notice a death, as round-based fakes of the messages between instances."""

import random

from quetzalwall.process.membership.membership import (
    DEAD,
    HEARTBEAT_S,
    create_membership,
)

__all__ = ["ListOnly", "RandomProbes", "Ring", "WAYS"]

LIST_LAG_S = 5.0
PROBE_HELPERS = 3


class _Way:
    """What all ways share.

    Parameters
    ----------
    names : sequence of str
        Instances.
    seed : int
        Seed of losses and choices.
    loss : float
        Part of the messages that is lost.
    """

    def __init__(self, names, seed, loss):
        self.names = list(names)
        self.rng = random.Random(seed)
        self.loss = loss
        self.now = 0.0
        self.down = set()
        self.cut = set()
        self.messages = 0

    def passes(self, sender, receiver):
        """Return whether a message arrives, and count it."""
        self.messages += 1
        if {sender, receiver} & self.down or (sender, receiver) in self.cut:
            return False
        return self.rng.random() >= self.loss

    def both_ways(self, one, other):
        """Return whether a question and its answer arrive."""
        return self.passes(one, other) and self.passes(other, one)

    def live(self):
        """Return the instances that run."""
        return [name for name in self.names if name not in self.down]


class Ring(_Way):
    """Sponsors in a ring, as the daemon does; with all as sponsors, all to all."""

    def __init__(self, names, seed, loss, sponsors):
        super().__init__(names, seed, loss)
        roster = {name: {"domain": f"d{n % 6}"} for n, name in enumerate(names)}
        self.views = {
            name: create_membership(name, roster, 1, 0.0, sponsors=sponsors)
            for name in names
        }

    def step(self):
        """Run one round."""
        self.now += HEARTBEAT_S
        for name in self.live():
            view = self.views[name]
            for target in view.targets():
                self._exchange(name, target)
            for suspect in view.suspects(self.now):
                silences = [
                    self.views[other].silent_s(suspect, self.now)
                    for other in view.other_sponsors(suspect)
                    if self.both_ways(name, other)
                ]
                if view.conclude(suspect, silences, self.now):
                    for other in self.names:
                        if other != name:
                            self._exchange(name, other)

    def believed_dead(self, name):
        """Return the instances that take a member for dead."""
        return [
            other
            for other in self.live()
            if other != name and self.views[other].members[name].state == DEAD
        ]

    def _exchange(self, sender, receiver):
        if not self.passes(sender, receiver):
            return
        view = self.views[receiver]
        view.hear(sender, self.views[sender].changes(), self.now)
        if self.passes(receiver, sender):
            self.views[sender].hear(receiver, view.changes(), self.now)


class RandomProbes(_Way):
    """Each round every instance asks a random other, then through helpers."""

    def __init__(self, names, seed, loss):
        super().__init__(names, seed, loss)
        self.dead = {name: set() for name in names}

    def step(self):
        """Run one round."""
        self.now += HEARTBEAT_S
        for name in self.live():
            others = [n for n in self.names if n != name]
            target = self.rng.choice(others)
            if self.both_ways(name, target) or self._helped(name, target):
                self.dead[name].discard(target)
            else:
                self.dead[name].add(target)
                for other in others:
                    if self.passes(name, other):
                        self.dead[other].add(target)

    def believed_dead(self, name):
        """Return the instances that take a member for dead."""
        return [o for o in self.live() if o != name and name in self.dead[o]]

    def _helped(self, name, target):
        helpers = [n for n in self.names if n not in (name, target)]
        for helper in self.rng.sample(helpers, PROBE_HELPERS):
            if self.both_ways(name, helper) and self.both_ways(helper, target):
                return True
        return False


class ListOnly(_Way):
    """The platform's list, which lags, and nothing else."""

    def __init__(self, names, seed, loss):
        super().__init__(names, seed, loss)
        self.died_at = {}

    def step(self):
        """Run one round."""
        self.now += HEARTBEAT_S
        self.messages += len(self.live()) / 2  # one read a half second
        for name in self.down:
            self.died_at.setdefault(name, self.now)

    def believed_dead(self, name):
        """Return the instances that take a member for dead."""
        if self.now < self.died_at.get(name, float("inf")) + LIST_LAG_S:
            return []
        return [other for other in self.live() if other != name]


WAYS = {
    "ours: 3 sponsors in a ring": lambda n, s, loss: Ring(n, s, loss, 3),
    "1 sponsor in a ring": lambda n, s, loss: Ring(n, s, loss, 1),
    "all to all": lambda n, s, loss: Ring(n, s, loss, 6),
    "random probes with helpers": RandomProbes,
    "platform's list alone": ListOnly,
}
