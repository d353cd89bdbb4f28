"""Orders under random combinations of message faults, crashes, freezes, cut links and views."""

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
    """Four balancers; the checks compare only the callers' outcomes with the upstreams' runs."""

    def __init__(self):
        super().__init__()
        self.simulation = Simulation(NAMES, settings=RequestSettings(copy_records=2))
        self.random = Random(1)
        self.keys = []

    def live_instances(self):
        return [name for name, node in self.simulation.nodes.items() if node.is_alive]

    def is_running(self, name):
        node = self.simulation.nodes[name]
        return node.is_alive and not node.is_frozen

    def members(self):
        return {member.instance for member in self.simulation.views[DATA_CENTRE].members}

    @rule(name=names, seconds=st.sampled_from([1.0, 4.0, 9.0]))
    def send_new(self, name, seconds):
        if self.is_running(name):
            wall = WallTime(START_WALL + self.simulation.now)
            self.keys.append(make_key(DATA_CENTRE, wall, self.random))
            self.simulation.call(name, self.keys[-1], seconds)

    @precondition(lambda self: self.keys)
    @rule(name=names, data=st.data())
    def send_again(self, name, data):
        if self.is_running(name):
            self.simulation.call(name, data.draw(st.sampled_from(self.keys)), 4.0)

    @precondition(lambda self: self.simulation.calls)
    @rule(data=st.data())
    def hang_up(self, data):
        call = data.draw(st.sampled_from(self.simulation.calls))
        if call.outcome is None and not call.is_disconnected and self.is_running(call.node):
            call.is_disconnected = True
            self.simulation.disconnect_caller(call)

    @rule(data=st.data(), count=st.integers(1, 12), in_order=st.booleans())
    def let_steps_run(self, data, count, in_order):
        for _ in range(count):
            ready = self.simulation.runnable_steps()
            if ready:
                self.simulation.step(ready[0] if in_order else data.draw(st.sampled_from(ready)))

    @rule(data=st.data(), is_duplicated=st.booleans())
    def lose_or_duplicate(self, data, is_duplicated):
        items = enumerate(self.simulation.pending)
        messages = [i for i, (to, item) in items if item[0] == "receive" and item[1] != to]
        if messages:
            index = data.draw(st.sampled_from(messages))
            if is_duplicated:
                self.simulation.pending.append(self.simulation.pending[index])
            else:
                del self.simulation.pending[index]

    @rule(data=st.data())
    def miss_view_change(self, data):
        items = enumerate(self.simulation.pending)
        views = [i for i, (_, item) in items if isinstance(item[1], ViewChanged)]
        if views:
            del self.simulation.pending[data.draw(st.sampled_from(views))]

    @rule(name=names)
    def crash(self, name):
        if self.is_running(name) and len(self.live_instances()) > 2:
            self.simulation.crash_instance(name)

    @rule(name=names)
    def start_again(self, name):
        if not self.simulation.nodes[name].is_alive and name not in self.members():
            self.simulation.join_instance(name)

    @rule(name=names)
    def freeze(self, name):
        if self.is_running(name) and len([n for n in NAMES if self.is_running(n)]) > 2:
            self.simulation.freeze_instance(name)

    @rule(name=names)
    def thaw(self, name):
        node = self.simulation.nodes[name]
        if node.is_frozen:
            self.simulation.thaw_instance(name)

    @rule(name=names)
    def readmit(self, name):
        if self.is_running(name) and name not in self.members():
            self.simulation.change_view(plus=(name,))

    @rule(pair=st.tuples(names, names))
    def cut(self, pair):
        if pair[0] != pair[1]:
            self.simulation.cut_links.add(frozenset(pair))

    @rule()
    def heal(self):
        self.simulation.cut_links.clear()

    @rule()
    def lose_upstream(self):
        self.simulation.kill_upstream("u1")

    @rule(seconds=st.sampled_from([0.05, 0.3, 1.0, 3.5]))
    def pass_time(self, seconds):
        self.simulation.sleep(seconds)

    @invariant()
    def outcomes_are_correct(self):
        self.simulation.check_outcomes()

    def teardown(self):
        simulation = self.simulation
        simulation.cut_links.clear()
        for name in NAMES:
            simulation.thaw_instance(name)
        simulation.install_view(simulation.views[DATA_CENTRE])
        simulation.sleep(10.0)
        for key in self.keys:
            simulation.call(next(name for name in NAMES if self.is_running(name)), key, 4.0)
        simulation.sleep(5.0)
        simulation.replay_messages()
        simulation.sleep(1.0)
        simulation.check_outcomes()


TestOrdersUnderFaults = OrdersUnderFaults.TestCase
TestOrdersUnderFaults.settings = settings(max_examples=EXAMPLES, stateful_step_count=40)
