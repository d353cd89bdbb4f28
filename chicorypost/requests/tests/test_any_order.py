"""Orders under any mix of faults: delivery, crashes, freezes, cuts and views chosen at random."""

import os
from random import Random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from chicorypost.base import ViewChanged, WallTime
from chicorypost.requests import RequestSettings, make_key
from chicorypost.requests.tests._simulation import DATA_CENTRE, START_WALL, Simulation

NAMES = "abcd"
EXAMPLES = int(os.environ.get("CHICORYPOST_EXAMPLES", "50"))
names = st.sampled_from(NAMES)


class OrdersUnderFaults(RuleBasedStateMachine):
    """Four balancers; the checker knows only callers and upstreams."""

    def __init__(self):
        super().__init__()
        self.world = Simulation(NAMES, settings=RequestSettings(copy_records=2))
        self.random = Random(1)
        self.keys = []

    def live(self):
        return [name for name, node in self.world.nodes.items() if node.is_alive]

    def is_well(self, name):
        node = self.world.nodes[name]
        return node.is_alive and not node.is_frozen

    def members(self):
        return {member.instance for member in self.world.views[DATA_CENTRE].members}

    @rule(name=names, seconds=st.sampled_from([1.0, 4.0, 9.0]))
    def send_new(self, name, seconds):
        if self.is_well(name):
            wall = WallTime(START_WALL + self.world.now)
            self.keys.append(make_key(DATA_CENTRE, wall, self.random))
            self.world.call(name, self.keys[-1], seconds)

    @precondition(lambda self: self.keys)
    @rule(name=names, data=st.data())
    def send_again(self, name, data):
        if self.is_well(name):
            self.world.call(name, data.draw(st.sampled_from(self.keys)), 4.0)

    @precondition(lambda self: self.world.calls)
    @rule(data=st.data())
    def hang_up(self, data):
        call = data.draw(st.sampled_from(self.world.calls))
        if call.outcome is None and not call.is_broken and self.is_well(call.node):
            call.is_broken = True
            self.world.disconnect_caller(call)

    @rule(data=st.data(), count=st.integers(1, 12), in_order=st.booleans())
    def let_happen(self, data, count, in_order):
        for _ in range(count):
            ready = self.world.runnable_steps()
            if ready:
                self.world.step(ready[0] if in_order else data.draw(st.sampled_from(ready)))

    @rule(data=st.data(), twice=st.booleans())
    def lose_or_double(self, data, twice):
        items = enumerate(self.world.pending)
        messages = [i for i, (to, item) in items if item[0] == "receive" and item[1] != to]
        if messages:
            index = data.draw(st.sampled_from(messages))
            if twice:
                self.world.pending.append(self.world.pending[index])
            else:
                del self.world.pending[index]

    @rule(data=st.data())
    def miss_a_view(self, data):
        items = enumerate(self.world.pending)
        views = [i for i, (_, item) in items if isinstance(item[1], ViewChanged)]
        if views:
            del self.world.pending[data.draw(st.sampled_from(views))]

    @rule(name=names)
    def crash(self, name):
        if self.is_well(name) and len(self.live()) > 2:
            self.world.crash_instance(name)

    @rule(name=names)
    def start_again(self, name):
        if not self.world.nodes[name].is_alive and name not in self.members():
            self.world.join_instance(name)

    @rule(name=names)
    def freeze(self, name):
        if self.is_well(name) and len([n for n in NAMES if self.is_well(n)]) > 2:
            self.world.freeze_instance(name)

    @rule(name=names)
    def thaw(self, name):
        node = self.world.nodes[name]
        if node.is_frozen:
            self.world.thaw_instance(name)

    @rule(name=names)
    def readmit(self, name):
        if self.is_well(name) and name not in self.members():
            self.world.change_view(plus=(name,))

    @rule(pair=st.tuples(names, names))
    def cut(self, pair):
        if pair[0] != pair[1]:
            self.world.cut_links.add(frozenset(pair))

    @rule()
    def heal(self):
        self.world.cut_links.clear()

    @rule()
    def lose_upstream(self):
        self.world.kill_upstream("u1")

    @rule(seconds=st.sampled_from([0.05, 0.3, 1.0, 3.5]))
    def pass_time(self, seconds):
        self.world.sleep(seconds)

    @invariant()
    def truth(self):
        self.world.check_outcomes()

    def teardown(self):
        world = self.world
        world.cut_links.clear()
        for name in NAMES:
            world.thaw_instance(name)
        world.install_view(world.views[DATA_CENTRE])
        world.sleep(10.0)
        for key in self.keys:
            world.call(next(name for name in NAMES if self.is_well(name)), key, 4.0)
        world.sleep(5.0)
        world.replay_messages()
        world.sleep(1.0)
        world.check_outcomes()


TestOrdersUnderFaults = OrdersUnderFaults.TestCase
TestOrdersUnderFaults.settings = settings(max_examples=EXAMPLES, stateful_step_count=40)
