"""Stateful tests of operators, control instances and balancers under random faults."""

from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from chicorypost.base import LeaseChanged, ViewChanged
from chicorypost.configuration import ConfigurationState, PatchAccepted
from chicorypost.configuration.tests._cluster import LEASE_SECONDS, Cluster
from chicorypost.configuration.tests.test_state import NOW_MS, make_submit_patch

ADDRESSES = ("10.0.0.1:80/tcp", "10.0.0.2:80/tcp")
SERVICES = ("archive", "ordering", "design")
DATA_CENTRES = {"gent": 3, "aalst": 2}
MAX_IN_FLIGHT = 100
BALANCERS = [
    f"{data_centre}-{number}"
    for data_centre, count in DATA_CENTRES.items()
    for number in range(count)
]


class ConfigurationStateMachine(RuleBasedStateMachine):
    """Operators race and resend while instances freeze, restart and are isolated."""

    @initialize(seed=st.integers(0, 2**32))
    def start(self, seed):
        self.cluster = Cluster(seed=seed, data_centres=DATA_CENTRES)
        self.cluster.run(1)
        self.number = 0
        self.seen_versions = [0, 0]
        self.outcomes = {}
        self.commands = []

    @rule(
        operator=st.integers(0, 1),
        owners=st.tuples(st.sampled_from(SERVICES), st.sampled_from((None, *SERVICES))),
        lost=st.booleans(),
    )
    def patch(self, operator, owners, lost):
        self.number += 1
        body = {
            "services": {
                name: {
                    "addresses": [a for a, o in zip(ADDRESSES, owners, strict=True) if o == name],
                    "selector": {"service": name},
                }
                for name in SERVICES
            }
        }
        command = make_submit_patch(
            self.seen_versions[operator], body, NOW_MS + self.number, self.number
        )
        self.commands.append(command)
        self._submit(command)
        if not lost:
            self.seen_versions[operator] = self._leader().state.version

    @precondition(lambda self: self.commands)
    @rule(choice=st.integers(0, 100))
    def resend(self, choice):
        self._submit(self.commands[choice % len(self.commands)])

    def _submit(self, command):
        before = self._leader().state.version
        outcome = self.cluster.submit_command(command)
        if outcome is None:
            return
        first = self.outcomes.setdefault(command.patch_id, outcome)
        assert isinstance(outcome, PatchAccepted) == isinstance(first, PatchAccepted)
        if isinstance(outcome, PatchAccepted):
            assert outcome == first
            assert outcome.version <= before + 1

    @rule(count=st.integers(1, 40), keep_copy=st.booleans())
    def deliver(self, count, keep_copy):
        for _ in range(count):
            self.cluster.deliver_one(keep_copy)
            self.cluster.check_routes()

    @rule(steps=st.integers(1, 12), share=st.sampled_from((0.2, 0.6, 1.0)))
    def run_steps(self, steps, share):
        """Advance time with renewed leases while a share of the messages is delivered."""
        for _ in range(steps):
            for data_centre in DATA_CENTRES:
                self.cluster.renew_leases(data_centre)
            self.deliver(int(len(self.cluster.in_flight) * share), keep_copy=False)
            del self.cluster.in_flight[:-MAX_IN_FLIGHT]
            self.cluster.advance(0.1)

    @rule(seconds=st.sampled_from((0.6, 3.5)))
    def advance(self, seconds):
        self.cluster.advance(seconds)

    @rule(name=st.sampled_from(BALANCERS))
    def freeze(self, name):
        self.cluster.balancers[name].is_frozen = True

    @rule(name=st.sampled_from(BALANCERS))
    def thaw(self, name):
        self.cluster.balancers[name].is_frozen = False
        self.cluster.handle_event(
            name, LeaseChanged(None) if self._has_expired(name) else _make_view_change(self, name)
        )

    @rule(name=st.sampled_from(BALANCERS))
    def restart(self, name):
        self.cluster.restart_balancer(name)

    @rule(data_centre=st.sampled_from(list(DATA_CENTRES)))
    def change_view(self, data_centre):
        """Install a new view of the live balancers once the leases of the others have expired."""
        live = [b for b in self._balancers(data_centre) if not b.is_frozen]
        frozen = [b for b in self._balancers(data_centre) if b.is_frozen]
        if live and all(self._has_expired(b.member.instance) for b in frozen):
            self.cluster.set_view(data_centre, [b.member for b in live])

    @rule(location=st.sampled_from([*DATA_CENTRES, "control-1", "control-2"]))
    def toggle_isolation(self, location):
        self.cluster.isolated ^= {location}

    @rule(name=st.sampled_from(["control-0", "control-1", "control-2"]))
    def elect_leader(self, name):
        if name not in self.cluster.isolated:
            self.cluster.elect_leader(name)

    @rule(name=st.sampled_from(["control-0", "control-1", "control-2"]), count=st.integers(1, 5))
    def apply_log(self, name, count):
        if name not in self.cluster.isolated:
            self.cluster.controls[name].apply_log(count)

    @rule(name=st.sampled_from(["control-0", "control-1", "control-2"]))
    def restore_from_snapshot(self, name):
        control = self.cluster.controls[name]
        data, control.state = control.state.take_snapshot(), ConfigurationState()
        control.state.restore_snapshot(data)

    @invariant()
    def routes_agree(self):
        if hasattr(self, "cluster"):
            self.cluster.check_routes()

    def teardown(self):
        if not hasattr(self, "cluster"):
            return
        self.cluster.isolated = set()
        for balancer in self.cluster.balancers.values():
            balancer.is_frozen = False
        self.cluster.advance(LEASE_SECONDS + 0.1)
        for data_centre in DATA_CENTRES:
            self.cluster.set_view(data_centre, [b.member for b in self._balancers(data_centre)])
        self.cluster.run(10, step=0.25)
        self._check_agreement()

    def _check_agreement(self):
        state = self._leader().state
        assert state.withheld == ()
        assert {b.version for b in self.cluster.balancers.values()} == {state.version}
        assert all(b.is_serving() for b in self.cluster.balancers.values())
        accepted = sorted(k for k, v in self.outcomes.items() if isinstance(v, PatchAccepted))
        in_history = [entry.patch_id for entry in state.history if entry.patch_id]
        assert sorted(in_history) == accepted
        assert [entry.version for entry in state.history] == list(range(1, state.version + 1))
        states = {control.apply_log().take_snapshot() for control in self.cluster.controls.values()}
        assert len(states) == 1

    def _leader(self):
        return self.cluster.controls[self.cluster.leader]

    def _balancers(self, data_centre):
        return [b for b in self.cluster.balancers.values() if b.member.data_centre == data_centre]

    def _has_expired(self, name):
        end = self.cluster.balancers[name].follower.gate.lease_end
        return end is None or end <= self.cluster.now


def _make_view_change(state_machine, name):
    data_centre = state_machine.cluster.balancers[name].member.data_centre
    return ViewChanged(state_machine.cluster.views[data_centre])


TestConfiguration = ConfigurationStateMachine.TestCase
TestConfiguration.settings = settings(
    max_examples=60, stateful_step_count=60, phases=(Phase.explicit, Phase.generate)
)
