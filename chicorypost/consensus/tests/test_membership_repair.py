"""Repair of the membership without an operator."""

import random

import pytest

from chicorypost.base import InstanceId
from chicorypost.consensus import ChangeMembership, MembershipRepairSettings
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
        return sorted(voter.instance for voter in self.wait_for_leader().replica.members.voters)


@pytest.fixture
def cluster():
    cluster = RepairedCluster(3)
    cluster.propose_many(1, 3)
    return cluster


def check_serves(cluster, number):
    cluster.propose_many(number, number)
    assert f"p{number}" in cluster.accepted
    cluster.check_accepted()


def test_a_member_that_comes_back_in_time_stays(cluster):
    follower = cluster.nodes[C1] if cluster.elect().instance != C1 else cluster.nodes[C2]
    before = cluster.elect().replica.members
    cluster.kill(follower)
    cluster.run(30.0)
    assert cluster.elect().replica.members == before
    cluster.heal()
    cluster.run(3.0)
    assert cluster.elect().replica.members == before


@pytest.mark.parametrize("name", [C1, C2, C3])
def test_an_emptied_disk_is_replaced_by_its_successor(cluster, name):
    cluster.restart(cluster.nodes[name], empty=True)
    cluster.run(8.0)
    voters = {voter.instance: voter.generation for voter in cluster.elect().replica.members.voters}
    assert set(voters) == {C1, C2, C3}
    assert voters[name] == cluster.nodes[name].replica.core.identity.generation
    check_serves(cluster, 9)


def test_a_machine_at_another_address_takes_the_place_of_a_lost_one(cluster):
    lost = next(name for name in (C1, C2, C3) if name != cluster.elect().instance)
    cluster.kill(cluster.nodes[lost])
    del cluster.nodes[lost]
    cluster.add_node(C4)
    cluster.run(10.0)
    assert cluster.voters() == sorted({C1, C2, C3, C4} - {lost})
    check_serves(cluster, 9)


def test_a_spare_member_has_no_vote_while_all_voters_live(cluster):
    cluster.add_node(C4)
    cluster.run(10.0)
    members = cluster.elect().replica.members
    assert [learner.instance for learner in members.learners] == [C4]
    assert len(members.voters) == 3


def test_a_replaced_voter_that_comes_back_becomes_a_learner(cluster):
    cluster.add_node(C4)
    cluster.run(5.0)
    lost = next(name for name in (C1, C2, C3) if name != cluster.elect().instance)
    cluster.kill(cluster.nodes[lost])
    cluster.run(8.0)
    assert C4 in cluster.voters() and lost not in cluster.voters()
    cluster.heal()
    cluster.run(8.0)
    members = cluster.elect().replica.members
    assert [learner.instance for learner in members.learners] == [lost]
    check_serves(cluster, 9)


def test_voters_grow_to_their_number():
    cluster = RepairedCluster(5, voters=5)
    cluster.run(10.0)
    assert cluster.voters() == [C1, C2, C3, C4, C5]


def test_two_emptied_disks_of_five_lose_nothing():
    cluster = RepairedCluster(5, voters=5)
    cluster.run(10.0)
    cluster.propose_many(1, 5)
    for name in (C2, C4):
        cluster.restart(cluster.nodes[name], empty=True)
    cluster.run(15.0)
    assert len(cluster.voters()) == 5
    check_serves(cluster, 9)


def test_an_emptied_disk_and_a_member_that_is_behind_never_make_a_quorum(cluster):
    behind = next(name for name in (C1, C2, C3) if name != cluster.elect().instance)
    cluster.isolate(behind)
    cluster.propose_many(4, 6)
    cluster.cut.clear()
    others = [name for name in (C1, C2, C3) if name != behind]
    cluster.kill(cluster.nodes[others[0]])
    cluster.restart(cluster.nodes[others[1]], empty=True)
    cluster.run(20.0)
    assert cluster.leader() is None
    cluster.heal()
    cluster.run(10.0)
    cluster.check_accepted()


@pytest.mark.parametrize("seed", range(12))
def test_losses_in_series_lose_nothing(seed):
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
