"""Random faults of all kinds in a cluster, as Hypothesis state machines."""

import pytest
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule
from hypothesis.stateful import run_state_machine_as_test as run_machine

from chicorypost.consensus.tests.fakes import Cluster

MAX_IN_FLIGHT = 300
SETTLE_SECONDS = 12.0

positions = st.integers(0, 1_000)


class FaultInjection(RuleBasedStateMachine):
    """Injects faults in any order; checks invariants at each effect and after the repair."""

    size = 3

    @initialize(seed=st.integers(0, 2**32))
    def form_cluster(self, seed):
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

    @rule(index=positions, keep=st.booleans())
    def deliver_out_of_order_or_twice(self, index, keep):
        if self.cluster.in_flight:
            self.cluster.deliver(index % len(self.cluster.in_flight), keep)

    @rule(count=st.integers(1, 20))
    def deliver_in_order(self, count):
        self.cluster.deliver_all(count)

    @rule(index=positions)
    def lose_message(self, index):
        if self.cluster.in_flight:
            self.cluster.in_flight.pop(index % len(self.cluster.in_flight))

    @rule(seconds=st.sampled_from([0.1, 0.3, 1.0, 4.0]))
    def advance_time_without_messages(self, seconds):
        self.cluster.now += seconds
        for node in list(self.cluster.nodes.values()):
            self.cluster.tick_if_due(node)

    @rule(seconds=st.sampled_from([0.3, 1.0, 4.0, 8.0]))
    def run(self, seconds):
        self.cluster.run(seconds)

    @rule(index=positions, count=st.integers(1, 3))
    def sync_some_writes(self, index, count):
        self.cluster.run_disk(self.node(index), count)

    @rule(index=positions, command_bytes=st.integers(0, 20))
    def propose_anywhere(self, index, command_bytes):
        self.proposals += 1
        command = b"%d:" % self.proposals + b"x" * command_bytes
        self.cluster.propose(self.node(index), f"p{self.proposals}", command)

    @rule(count=st.integers(1, 4))
    def propose_to_all_leaders(self, count):
        for node in list(self.cluster.nodes.values()):
            for _ in range(count if self.cluster.is_leading(node) else 0):
                self.proposals += 1
                self.cluster.propose(node, f"p{self.proposals}", b"%d" % self.proposals)

    @rule(index=positions)
    def read_anywhere(self, index):
        self.proposals += 1
        self.cluster.read(self.node(index), f"r{self.proposals}")

    @rule(index=positions, operations=st.integers(0, 12))
    def kill_at_a_disk_operation(self, index, operations):
        files = self.node(index).files
        files.kill_at = files.operations + operations

    @rule(index=positions)
    def kill_and_restart(self, index):
        self.cluster.restart(self.node(index))

    @rule(index=positions, operations=st.integers(0, 6))
    def kill_during_recovery(self, index, operations):
        node = self.node(index)
        self.cluster.kill(node)
        node.files.kill_at = operations
        self.cluster.start(node)

    @rule(index=positions)
    def restart_killed_node(self, index):
        node = self.node(index)
        if node.replica is None:
            node.files.kill_at = None
            self.cluster.start(node)

    @rule(index=positions)
    def empty_a_disk(self, index):
        node = self.node(index)
        if node.instance in self.emptied or len(self.emptied) < (self.size - 1) // 2:
            self.emptied.add(node.instance)
            self.cluster.restart(node, empty=True)

    @rule(index=positions)
    def pause_or_resume(self, index):
        node = self.node(index)
        if node.is_paused:
            self.cluster.resume_node(node)
        else:
            node.is_paused = node.replica is not None

    @rule(first=positions, second=positions)
    def toggle_one_link(self, first, second):
        pair = frozenset((self.node(first).instance, self.node(second).instance))
        self.cluster.cut_links ^= {pair}

    @rule(index=positions)
    def isolate(self, index):
        self.cluster.isolate(self.node(index).instance)

    @rule()
    def repair_faults(self):
        self.cluster.repair_all()

    @rule()
    def repair_emptied_members(self):
        """Replace lost members as an operator would; only then may further disks be emptied."""
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
def test_no_combination_of_faults_violates_an_invariant(size, examples):
    state_machine = type(f"FaultInjection{size}", (FaultInjection,), {"size": size})
    bounds = settings(
        max_examples=examples, stateful_step_count=40, phases=[Phase.generate, Phase.target]
    )
    run_machine(state_machine, settings=bounds)
