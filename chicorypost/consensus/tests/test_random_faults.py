"""Hypothesis state machines: clusters under every fault at once keep their promises."""

import pytest
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule
from hypothesis.stateful import run_state_machine_as_test as run_machine

from chicorypost.consensus.tests.fakes import Cluster

MAX_IN_FLIGHT = 300
SETTLE_SECONDS = 12.0

positions = st.integers(0, 1_000)


class Session(RuleBasedStateMachine):
    """Faults in any order; promises are checked as effects come and when all has healed."""

    size = 3

    @initialize(seed=st.integers(0, 2**32))
    def form(self, seed):
        self.cluster = Cluster(
            self.size, seed, snapshot_interval_records=6, trailing_records=2, snapshot_chunk_bytes=8
        )
        self.cluster.wait_for_leader()
        self.cluster.slow_disk = True
        self.proposals = 0
        self.emptied = set()

    def node(self, position):
        nodes = list(self.cluster.nodes.values())
        return nodes[position % len(nodes)]

    @rule(at=positions, keep=st.booleans())
    def deliver_out_of_order_or_twice(self, at, keep):
        if self.cluster.in_flight:
            self.cluster.deliver(at % len(self.cluster.in_flight), keep)

    @rule(count=st.integers(1, 20))
    def deliver_in_order(self, count):
        self.cluster.deliver_all(count)

    @rule(at=positions)
    def lose(self, at):
        if self.cluster.in_flight:
            self.cluster.in_flight.pop(at % len(self.cluster.in_flight))

    @rule(seconds=st.sampled_from([0.1, 0.3, 1.0, 4.0]))
    def pass_time_silently(self, seconds):
        self.cluster.now += seconds
        for node in list(self.cluster.nodes.values()):
            self.cluster.tick_if_due(node)

    @rule(seconds=st.sampled_from([0.3, 1.0, 4.0, 8.0]))
    def run(self, seconds):
        self.cluster.run(seconds)

    @rule(at=positions, count=st.integers(1, 3))
    def sync_some_writes(self, at, count):
        self.cluster.run_disk(self.node(at), count)

    @rule(at=positions, command_bytes=st.integers(0, 20))
    def propose_anywhere(self, at, command_bytes):
        self.proposals += 1
        command = b"%d:" % self.proposals + b"x" * command_bytes
        self.cluster.propose(self.node(at), f"p{self.proposals}", command)

    @rule(count=st.integers(1, 4))
    def propose_to_all_leaders(self, count):
        for node in list(self.cluster.nodes.values()):
            for _ in range(count if self.cluster.is_leading(node) else 0):
                self.proposals += 1
                self.cluster.propose(node, f"p{self.proposals}", b"%d" % self.proposals)

    @rule(at=positions)
    def read_anywhere(self, at):
        self.proposals += 1
        self.cluster.read(self.node(at), f"r{self.proposals}")

    @rule(at=positions, operations=st.integers(0, 12))
    def kill_at_an_operation_of_the_disk(self, at, operations):
        files = self.node(at).files
        files.kill_at = files.operations + operations

    @rule(at=positions)
    def kill_and_restart(self, at):
        self.cluster.restart(self.node(at))

    @rule(at=positions, operations=st.integers(0, 6))
    def kill_in_recovery(self, at, operations):
        node = self.node(at)
        self.cluster.kill(node)
        node.files.kill_at = operations
        self.cluster.start(node)

    @rule(at=positions)
    def restart_dead(self, at):
        node = self.node(at)
        if node.replica is None:
            node.files.kill_at = None
            self.cluster.start(node)

    @rule(at=positions)
    def empty_a_disk(self, at):
        node = self.node(at)
        if node.instance in self.emptied or len(self.emptied) < (self.size - 1) // 2:
            self.emptied.add(node.instance)
            self.cluster.restart(node, empty=True)

    @rule(at=positions)
    def freeze_or_thaw(self, at):
        node = self.node(at)
        if node.frozen:
            self.cluster.resume_node(node)
        else:
            node.frozen = node.replica is not None

    @rule(first=positions, second=positions)
    def cut_one_link(self, first, second):
        pair = frozenset((self.node(first).instance, self.node(second).instance))
        self.cluster.cut_links ^= {pair}

    @rule(at=positions)
    def isolate(self, at):
        self.cluster.isolate(self.node(at).instance)

    @rule()
    def heal(self):
        self.cluster.repair_all()

    @rule()
    def repair_emptied_members(self):
        """Replace lost members as an operator does; only then may another disk be lost."""
        self.cluster.repair_all()
        self.cluster.run(SETTLE_SECONDS)
        for instance in sorted(self.emptied):
            self.cluster.replace_member(self.cluster.nodes[instance])
        self.emptied = set()

    @invariant()
    def logs_match(self):
        if not hasattr(self, "cluster"):
            return
        self.cluster.check_logs()
        del self.cluster.in_flight[MAX_IN_FLIGHT:]

    def teardown(self):
        if not hasattr(self, "cluster"):
            return
        cluster = self.cluster
        cluster.repair_all()
        cluster.run(SETTLE_SECONDS)
        leader = cluster.wait_for_leader()
        cluster.propose(leader, "last", b"last")
        cluster.read(leader, "last read")
        cluster.run(SETTLE_SECONDS)
        assert "last" in cluster.accepted
        assert isinstance(cluster.reads["last read"], int)
        cluster.check_logs()
        cluster.check_accepted()


@pytest.mark.parametrize(("size", "examples"), [(3, 40), (5, 15), (7, 6)])
def test_no_mix_of_faults_breaks_a_promise(size, examples):
    machine = type(f"Session{size}", (Session,), {"size": size})
    bounds = settings(
        max_examples=examples, stateful_step_count=40, phases=[Phase.generate, Phase.target]
    )
    run_machine(machine, settings=bounds)
