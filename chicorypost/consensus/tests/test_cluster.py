"""Tests of whole clusters: formation, election, partitions, emptied disks, stale leaders."""

import pytest

from chicorypost.consensus import ProposalRefusalReason, ReplicaRole
from chicorypost.consensus.tests.fakes import Cluster


@pytest.mark.parametrize("size", [1, 3, 5, 7])
def test_cluster_forms_elects_a_leader_and_commits(size):
    cluster = Cluster(size)
    leader = cluster.wait_for_leader()
    cluster.propose(leader, "p1", b"one")
    cluster.run(1.0)
    assert "p1" in cluster.accepted
    assert all(node.state == [b"one"] for node in cluster.nodes.values())


def test_cluster_is_bootstrapped_only_after_contact_with_all_founding_members():
    cluster = Cluster(3)
    cluster.isolate("c3")
    cluster.run(20.0)
    assert {node.replica.role for node in cluster.nodes.values()} == {ReplicaRole.UNFORMED}
    cluster.repair_all()
    cluster.wait_for_leader()
    assert len({node.replica.core.hard_state.cluster for node in cluster.nodes.values()}) == 1


def test_old_leader_follows_the_new_one_after_a_partition():
    cluster = Cluster(3)
    old = cluster.wait_for_leader()
    cluster.isolate(old.instance)
    cluster.run(6.0)
    new = cluster.leader()
    assert new is not old
    cluster.propose(new, "p1", b"one")
    cluster.run(1.0)
    cluster.repair_all()
    cluster.run(1.0)
    assert old.replica.role is ReplicaRole.FOLLOWER
    assert old.replica.leader == new.instance
    assert old.state == [b"one"]


def test_member_that_was_partitioned_does_not_depose_the_leader():
    cluster = Cluster(5)
    leader = cluster.wait_for_leader()
    term = leader.replica.term
    partitioned = next(node for node in cluster.nodes.values() if node is not leader)
    cluster.isolate(partitioned.instance)
    cluster.run(60.0)
    cluster.repair_all()
    cluster.run(5.0)
    assert (cluster.leader(), leader.replica.term) == (leader, term)


def test_partitioned_member_reports_lost_contact_and_the_leader_reports_the_member():
    cluster = Cluster(3)
    leader = cluster.wait_for_leader()
    partitioned = next(node for node in cluster.nodes.values() if node is not leader)
    cluster.run(1.0)
    since = cluster.now
    cluster.isolate(partitioned.instance)
    cluster.run(30.0)
    assert abs(partitioned.replica.out_of_touch_since - since) <= 0.5
    assert abs(leader.replica.silent_members[partitioned.instance] - since) <= 0.5
    assert (
        partitioned.replica.dump()["out_of_touch_since"] == partitioned.replica.out_of_touch_since
    )
    assert leader.replica.dump()["leadership"]["silent_members"] == [partitioned.instance]
    cluster.read(partitioned, "r1")
    assert cluster.reads["r1"] is ProposalRefusalReason.OUT_OF_TOUCH
    assert (leader.instance, "member-silent") in cluster.events
    cluster.repair_all()
    cluster.run(1.0)
    assert partitioned.replica.out_of_touch_since is None
    assert leader.replica.silent_members == {}


def test_deposed_leader_that_still_leads_its_term_completes_no_read():
    cluster = Cluster(3, election_seconds=1.0)
    old = cluster.wait_for_leader()
    old.is_paused = True
    cluster.run(5.0)
    new = cluster.leader()
    while new is old:
        cluster.run(0.5)
        new = next(n for n in cluster.nodes.values() if n is not old and n.replica.leader)
        new = cluster.nodes[new.replica.leader]
    cluster.propose(new, "p1", b"one")
    cluster.run(1.0)
    assert "p1" in cluster.accepted
    old.is_paused = False
    cluster.cut_links = {frozenset((old.instance, other)) for other in cluster.names}
    old.replica.core.leadership.heartbeat_deadline = cluster.now + 10
    for peer in old.replica.core.leadership.progress.values():
        peer.last_contact = cluster.now
    cluster.read(old, "r1")
    cluster.read(old, "r2")
    assert old.replica.role is ReplicaRole.LEADER
    assert not cluster.reads


def empty_disk_after_commit():
    """Accept a proposal on two of three members; then kill one and empty the disk of the other."""
    cluster = Cluster(3)
    leader = cluster.wait_for_leader()
    other, behind = (node for node in cluster.nodes.values() if node is not leader)
    cluster.isolate(behind.instance)
    cluster.propose(leader, "p1", b"one")
    cluster.run(0.2)
    assert "p1" in cluster.accepted
    cluster.kill(leader)
    cluster.restart(other, empty=True)
    cluster.cut_links = set()
    return cluster, leader, other, behind


def test_member_with_an_emptied_disk_does_not_vote():
    cluster, leader, emptied, behind = empty_disk_after_commit()
    cluster.run(30.0)
    assert cluster.leader() is None
    assert emptied.replica.role is ReplicaRole.LEARNER
    cluster.start(leader)
    cluster.run(10.0)
    assert cluster.leader() is leader
    assert behind.state == [b"one"]
    waiting = leader.replica.waiting_members
    assert waiting == {emptied.instance: emptied.replica.core.identity.generation}


def test_emptied_founding_member_does_not_bootstrap_a_second_cluster():
    cluster = Cluster(3)
    cluster.wait_for_leader()
    first = cluster.nodes["c1"].replica.core.hard_state.cluster
    for node in cluster.nodes.values():
        if node.instance != "c1":
            cluster.kill(node)
    cluster.restart(cluster.nodes["c1"], empty=True)
    cluster.run(30.0)
    assert cluster.nodes["c1"].replica.role is ReplicaRole.UNFORMED
    cluster.repair_all()
    cluster.run(10.0)
    assert {node.replica.core.hard_state.cluster for node in cluster.nodes.values()} == {first}


@pytest.mark.parametrize("seed", range(20))
def test_new_cluster_elects_a_leader_by_the_first_election_timer(seed):
    """The first change waited for a full timeout before the bootstrap and another one after it."""
    cluster = Cluster(3, seed, election_seconds=10.0, first_election_seconds=0.3)
    cluster.run(3.0)
    assert cluster.leader() is not None
