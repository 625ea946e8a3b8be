from quetzalwall.process.membership.membership import (
    DEAD,
    HEARTBEAT_S,
    LEAVING,
    LIVE,
    create_membership,
)

ROSTER = {f"i{n}": {"domain": f"d{n % 6}"} for n in range(7)}


class Network:
    """Instances that exchange heartbeats in rounds over a network with faults."""

    def __init__(self, rng=None, loss=0.0):
        self.now = 0.0
        self.rng = rng
        self.loss = loss
        self.down = set()
        self.cut = set()
        self.views = {n: create_membership(n, ROSTER, 1, 0.0) for n in ROSTER}

    def passes(self, sender, receiver):
        if self.down & {sender, receiver} or (sender, receiver) in self.cut:
            return False
        return self.rng is None or self.rng.random() >= self.loss

    def exchange(self, sender, receiver):
        if not self.passes(sender, receiver):
            return
        view = self.views[receiver]
        view.hear(sender, self.views[sender].changes(), self.now)
        if self.passes(receiver, sender):
            self.views[sender].hear(receiver, view.changes(), self.now)

    def ask(self, asker, other, name):
        if self.passes(asker, other) and self.passes(other, asker):
            return [self.views[other].silent_s(name, self.now)]
        return []

    def round(self):
        self.now += HEARTBEAT_S
        for name, view in self.views.items():
            if name in self.down:
                continue
            for target in view.targets():
                self.exchange(name, target)
            for suspect in view.suspects(self.now):
                silences = []
                for other in view.other_sponsors(suspect):
                    silences += self.ask(name, other, suspect)
                view.conclude(suspect, silences, self.now)

    def run(self, seconds):
        for _ in range(int(seconds / HEARTBEAT_S)):
            self.round()

    def states(self, name):
        return {
            view.members[name].state
            for other, view in self.views.items()
            if other not in self.down and other != name
        }


def test_death_is_noticed_by_all_within_three_seconds():
    for name in ROSTER:
        network = Network()
        network.run(2)
        network.down.add(name)
        network.run(3)
        assert network.states(name) == {DEAD}


def test_two_deaths_at_once_are_noticed_by_all():
    network = Network()
    network.run(2)
    network.down |= {"i2", "i3"}
    network.run(4)
    assert network.states("i2") == network.states("i3") == {DEAD}


def test_loss_of_one_message_in_twenty_removes_nobody():
    from quetzalwall.tests.fixtures import seeded

    network = Network(seeded(5), loss=0.05)
    for _ in range(480):
        network.round()
        for name in ROSTER:
            assert network.states(name) == {LIVE}


def test_one_way_cut_between_two_members_removes_nobody():
    network = Network()
    network.cut.add(("i0", "i1"))
    network.run(10)
    assert all(network.states(name) == {LIVE} for name in ROSTER)


def test_instance_that_paused_does_not_take_the_others_for_dead():
    network = Network()
    network.run(2)
    network.down.add("i0")
    network.run(20)
    network.down.discard("i0")
    network.run(1)
    paused = network.views["i0"]
    assert all(paused.members[name].state == LIVE for name in ROSTER)


def test_resumed_instance_contradicts_its_death():
    network = Network()
    network.run(2)
    network.down.add("i0")
    network.run(10)
    assert network.states("i0") == {DEAD}
    network.down.discard("i0")
    network.run(3)
    assert network.states("i0") == {LIVE}
    assert network.views["i1"].members["i0"].incarnation > 1


def test_restart_with_the_clock_set_back_is_live_again():
    network = Network()
    network.views["i4"].set_own_state(LEAVING)
    network.run(2)
    for view in network.views.values():
        view.members["i4"] = view.members["i4"]._replace(incarnation=9)
    network.views["i4"] = create_membership("i4", ROSTER, 5, network.now)
    network.run(4)
    assert network.states("i4") == {LIVE}


def test_instance_cut_off_from_all_declares_nobody_dead():
    network = Network()
    network.run(2)
    others = set(ROSTER) - {"i0"}
    network.cut |= {("i0", o) for o in others} | {(o, "i0") for o in others}
    network.run(10)
    alone = network.views["i0"]
    assert all(alone.members[name].state == LIVE for name in others)
    assert network.states("i0") == {DEAD}


def test_leaving_spreads_and_is_not_usable():
    network = Network()
    network.views["i4"].set_own_state(LEAVING)
    network.run(1)
    assert network.states("i4") == {LEAVING}
    assert all("i4" not in view.usable() for view in network.views.values())


def test_listed_as_leaving_counts_but_a_missing_entry_does_not():
    view = create_membership("i0", ROSTER, 1, 0.0)
    view.note_listed({"i1": "leaving", "i2": "live"})
    assert view.members["i1"].state == LEAVING
    assert "i3" in view.usable()
