"""Simulation of the membership of data centres that checks the views after each event."""

import random

from benchmarks.machine_loop import MachineLoop
from chicorypost.base import DataCentreId, Endpoint, Incarnation, InstanceId, Member
from chicorypost.membership import LeaseMembership, MembershipSettings


def make_member(name, incarnation=1):
    data_centre = DataCentreId(name.split("-")[0])
    endpoint = Endpoint("127.0.0.1", 1)
    return Member(InstanceId(name), Incarnation(incarnation), data_centre, endpoint, endpoint)


class MembershipSimulation(MachineLoop):
    """The instances of some data centres, in simulated time.

    Raises
    ------
    AssertionError
        When two instances of a data centre may act at the same time in different views, or an
        instance may act in a view without its own incarnation.
    """

    def __init__(self, sizes, seed=0, settings=None):
        super().__init__(self.choose_delays, self.record_effect)
        self.settings = settings or MembershipSettings()
        self.random = random.Random(seed)
        names = [f"{dc}-{number}" for dc, count in sizes.items() for number in range(count)]
        self.peers = tuple(make_member(name) for name in names)
        self.incarnations = dict.fromkeys(names, 0)
        self.loss_rate, self.delay, self.duplicate_rate = 0.0, 0.002, 0.0
        self.is_cut = lambda sender, to: False
        self.effects = []
        self.idle_since = {}
        self.longest_idle = 0.0

    def choose_delays(self, sender, to, message):
        if self.is_cut(sender, to) or self.random.random() < self.loss_rate:
            return []
        count = 2 if self.random.random() < self.duplicate_rate else 1
        return [self.delay * (0.1 + self.random.random()) for _ in range(count)]

    def record_effect(self, instance, effect, now):
        self.effects.append((now, instance, effect))

    def start_instances(self, *names):
        for name in names or self.incarnations:
            self.incarnations[name] += 1
            member = make_member(name, self.incarnations[name])
            generator = random.Random(f"{name}/{self.incarnations[name]}")
            membership = LeaseMembership(self.settings, member, self.peers, generator, self.now)
            self.start_instance(member.instance, membership)

    def membership_of(self, name):
        return self.machines[name][0]

    def acting_views(self, data_centre="gent"):
        return {
            name: machines[0].view
            for name, machines in self.machines.items()
            if machines[0].data_centre == data_centre and machines[0].may_act(self.now)
        }

    def deliver_event(self, instance, event):
        super().deliver_event(instance, event)
        for data_centre in {name.split("-")[0] for name in self.machines}:
            self.check_views(self.acting_views(data_centre))

    def check_views(self, acting):
        assert len(set(acting.values())) <= 1, (self.now, acting)
        for name, view in acting.items():
            assert self.membership_of(name).self_member in view.members

    def all_acting(self, *names):
        acting = self.acting_views()
        return set(acting) == set(names) and {
            member.instance for view in acting.values() for member in view.members
        } == set(names)


def gent_names(*numbers):
    return [f"gent-{number}" for number in numbers]
