"""Tests of the automatic repair of the membership."""

import random

import pytest

from chicorypost.base import InstanceId, Received
from chicorypost.consensus import ChangeMembership, MembershipRepairSettings
from chicorypost.consensus._messages import ClusterInfo
from chicorypost.consensus._records import MemberId
from chicorypost.consensus.tests.fakes import Cluster

C1, C2, C3, C4, C5 = (InstanceId(f"c{number}") for number in (1, 2, 3, 4, 5))


class RepairedCluster(Cluster):
    """A cluster whose leader repairs the membership."""

    def __init__(self, size, seed=0, voters=3):
        self.repair_settings = MembershipRepairSettings(voters=voters)
        self.changes = 0
        super().__init__(size, seed)
        self.settings = self.settings.__class__(founding_members=(C1, C2, C3))

    def run(self, seconds, step=0.05):
        rounds = max(1, round(seconds / 0.25))
        for _ in range(rounds):
            super().run(seconds / rounds, step)
            leader = self.leader()
            change = leader.replica.plan_repair(self.repair_settings) if leader else None
            if change is not None:
                self.changes += 1
                self.handle(leader, ChangeMembership(f"repair {self.changes}", change))

    def voters(self):
        return sorted(voter.instance for voter in self.wait_for_leader().replica.membership.voters)


@pytest.fixture
def cluster():
    cluster = RepairedCluster(3)
    cluster.propose_many(1, 3)
    return cluster


def check_proposal_accepted(cluster, number):
    cluster.propose_many(number, number)
    assert f"p{number}" in cluster.accepted
    cluster.check_accepted()


def test_member_that_returns_is_not_replaced_without_a_learner(cluster):
    follower = cluster.nodes[C1] if cluster.wait_for_leader().instance != C1 else cluster.nodes[C2]
    before = cluster.wait_for_leader().replica.membership
    cluster.kill(follower)
    cluster.run(30.0)
    assert cluster.wait_for_leader().replica.membership == before
    cluster.repair_all()
    cluster.run(3.0)
    assert cluster.wait_for_leader().replica.membership == before


@pytest.mark.parametrize("name", [C1, C2, C3])
def test_member_with_an_emptied_disk_is_replaced_by_its_new_generation(cluster, name):
    cluster.restart(cluster.nodes[name], empty=True)
    cluster.run(8.0)
    voters = {
        voter.instance: voter.generation
        for voter in cluster.wait_for_leader().replica.membership.voters
    }
    assert set(voters) == {C1, C2, C3}
    assert voters[name] == cluster.nodes[name].replica.core.identity.generation
    check_proposal_accepted(cluster, 9)


def test_instance_at_another_address_replaces_a_lost_voter(cluster):
    lost = next(name for name in (C1, C2, C3) if name != cluster.wait_for_leader().instance)
    cluster.kill(cluster.nodes[lost])
    del cluster.nodes[lost]
    cluster.add_node(C4)
    cluster.run(10.0)
    assert cluster.voters() == sorted({C1, C2, C3, C4} - {lost})
    check_proposal_accepted(cluster, 9)


def test_additional_member_stays_a_learner_while_all_voters_respond(cluster):
    cluster.add_node(C4)
    cluster.run(10.0)
    members = cluster.wait_for_leader().replica.membership
    assert [learner.instance for learner in members.learners] == [C4]
    assert len(members.voters) == 3


def test_replaced_voter_that_returns_becomes_a_learner(cluster):
    cluster.add_node(C4)
    cluster.run(5.0)
    lost = next(name for name in (C1, C2, C3) if name != cluster.wait_for_leader().instance)
    cluster.kill(cluster.nodes[lost])
    cluster.run(8.0)
    assert C4 in cluster.voters() and lost not in cluster.voters()
    cluster.repair_all()
    cluster.run(8.0)
    members = cluster.wait_for_leader().replica.membership
    assert [learner.instance for learner in members.learners] == [lost]
    check_proposal_accepted(cluster, 9)


def test_voters_are_added_up_to_the_target_number():
    cluster = RepairedCluster(5, voters=5)
    cluster.run(10.0)
    assert cluster.voters() == [C1, C2, C3, C4, C5]


def test_two_emptied_disks_of_five_lose_no_command():
    cluster = RepairedCluster(5, voters=5)
    cluster.run(10.0)
    cluster.propose_many(1, 5)
    for name in (C2, C4):
        cluster.restart(cluster.nodes[name], empty=True)
    cluster.run(15.0)
    assert len(cluster.voters()) == 5
    check_proposal_accepted(cluster, 9)


def test_emptied_member_and_lagging_member_never_form_a_quorum(cluster):
    behind = next(name for name in (C1, C2, C3) if name != cluster.wait_for_leader().instance)
    cluster.isolate(behind)
    cluster.propose_many(4, 6)
    cluster.cut_links.clear()
    others = [name for name in (C1, C2, C3) if name != behind]
    cluster.kill(cluster.nodes[others[0]])
    cluster.restart(cluster.nodes[others[1]], empty=True)
    cluster.run(20.0)
    assert cluster.leader() is None
    cluster.repair_all()
    cluster.run(10.0)
    cluster.check_accepted()


@pytest.mark.parametrize("seed", range(12))
def test_successive_disk_losses_lose_no_command(seed):
    rng = random.Random(seed)
    cluster = RepairedCluster(4, seed)
    cluster.propose_many(1, 2)
    number = 3
    for _ in range(8):
        node = cluster.nodes[rng.choice([C1, C2, C3, C4])]
        cluster.restart(node, empty=rng.random() < 0.6)
        cluster.run(rng.choice([6.0, 9.0]))
        cluster.propose_many(number, number)
        number += 1
    cluster.run(6.0)
    cluster.check_accepted()
    assert len(cluster.voters()) == 3


def lead_by_one_of(cluster, names):
    """Cut off leaders for a moment until one of the given members leads."""
    for _ in range(50):
        leader = cluster.wait_for_leader()
        if leader.instance in names:
            return leader
        cluster.isolate(leader.instance)
        cluster.run(2.5)
        cluster.repair_all()
        cluster.run(1.0)
    raise AssertionError(f"none of {names} became the leader")


@pytest.mark.parametrize("name", [C1, C2, C3])
def test_emptied_member_that_does_not_know_the_leader_is_added_again(name):
    """Its contacts are the founding members, none of which leads."""
    cluster = RepairedCluster(3, voters=5)
    cluster.add_node(C4)
    cluster.add_node(C5)
    cluster.run(10.0)
    lead_by_one_of(cluster, (C4, C5))
    cluster.restart(cluster.nodes[name], empty=True)
    cluster.run(8.0)
    voters = {voter.generation for voter in cluster.wait_for_leader().replica.membership.voters}
    assert cluster.nodes[name].replica.core.identity.generation in voters
    assert len(voters) == 5
    check_proposal_accepted(cluster, 9)


@pytest.mark.parametrize("seed", range(4))
def test_removed_voter_that_does_not_know_the_leader_becomes_a_member_again(seed):
    """While it was silent it was replaced, and the instance that replaced it became the leader."""
    cluster = RepairedCluster(3, seed)
    cluster.run(5.0)
    lost = next(name for name in (C1, C2, C3) if name != cluster.wait_for_leader().instance)
    cluster.kill(cluster.nodes[lost])
    cluster.add_node(C4)
    cluster.run(8.0)
    lead_by_one_of(cluster, (C4,))
    cluster.start(cluster.nodes[lost])
    cluster.run(8.0)
    members = cluster.wait_for_leader().replica.membership
    assert [learner.instance for learner in members.learners] == [lost]
    assert cluster.nodes[lost].replica.role.value == "learner"


def test_peers_that_report_different_members_cause_no_storm_of_hellos():
    """A replica that waits greets at most once per election timeout, besides the first report."""
    cluster = RepairedCluster(3)
    cluster.run(5.0)
    waiting = cluster.add_node(C4)
    sent = 0
    for round_number in range(200):
        others = (MemberId(InstanceId(f"d{round_number}"), f"h{round_number}"),)
        initial = waiting.replica.core.hard_state.initial_membership
        cluster_id = cluster.nodes[C1].replica.core.hard_state.cluster
        info = ClusterInfo(cluster_id, initial, others)
        cluster.in_flight.clear()
        cluster.handle(waiting, Received(C2, info))
        cluster.tick_if_due(waiting)
        sent += sum(sender == C4 and to == C1 for sender, to, _ in cluster.in_flight)
    assert sent <= 2
