"""Tests of snapshots, learners and the replacement of lost members."""

import pytest

from chicorypost.base import InstanceId, decode
from chicorypost.consensus import (
    AddLearner,
    ChangeMembership,
    EntryKind,
    PromoteLearner,
    ProposalRefusalReason,
    ProposalRefused,
    RemoveMember,
    ReplicaRole,
)
from chicorypost.consensus._messages import AppendRequest, SnapshotChunk, SnapshotReply
from chicorypost.consensus.tests.fakes import Cluster
from chicorypost.consensus.tests.test_replica import ReplicaDriver, make_entry, sent_messages

C1, C2, C3, C4, C9 = (InstanceId(f"c{number}") for number in (1, 2, 3, 4, 9))


def make_cluster_with_small_snapshots(size=3):
    return Cluster(size, snapshot_interval_records=5, trailing_records=1, snapshot_chunk_bytes=16)


def find_follower(cluster):
    leader = cluster.wait_for_leader()
    return next(node for node in cluster.nodes.values() if node is not leader)


def test_member_that_lacks_compacted_entries_receives_the_snapshot_in_chunks():
    cluster = make_cluster_with_small_snapshots()
    behind = find_follower(cluster)
    cluster.isolate(behind.instance)
    cluster.propose_many(1, 40)
    assert (
        cluster.wait_for_leader().replica.core.log.base_index > behind.replica.core.log.last_index
    )
    cluster.repair_all()
    cluster.run(3.0)
    assert behind.state == cluster.leader().state
    assert len(behind.state) == 40
    assert behind.replica.core.log.base_index > 0


def test_restart_recovers_snapshot_and_log_and_old_files_are_removed():
    cluster = make_cluster_with_small_snapshots()
    cluster.propose_many(1, 43)
    states = {name: list(node.state) for name, node in cluster.nodes.items()}
    for node in cluster.nodes.values():
        assert sum(name.startswith("log-") for name in node.files.list_files()) <= 3
        assert sum(name.startswith("snapshot-") for name in node.files.list_files()) == 1
        cluster.kill(node)
    cluster.repair_all()
    cluster.wait_for_leader()
    cluster.run(1.0)
    assert {name: node.state for name, node in cluster.nodes.items()} == states


@pytest.mark.parametrize(
    ("snapshot_term", "last_index", "commit_index"), [(1, 5, 3), (2, 3, 3)], ids=["equal", "other"]
)
def test_snapshot_replaces_the_log_only_if_they_conflict(snapshot_term, last_index, commit_index):
    driver = ReplicaDriver(3, terms=(1, 1, 1, 1, 1), auto_sync=True)
    members = driver.replica.membership
    fields = (1, 3, snapshot_term, members, 0, 4, b"\x91\xc4\x01x")
    effects = driver.receive(SnapshotChunk, "c2", *fields, term=2)
    assert [reply.offset for reply in sent_messages(effects, SnapshotReply)] == [4]
    assert driver.replica.core.log.last_index == last_index
    assert driver.replica.commit_index == commit_index
    effects = driver.receive(AppendRequest, "c2", 2, 3, snapshot_term, (make_entry(4, 2),), 4)
    assert driver.replica.applied_index == 4


def test_snapshot_is_acknowledged_only_once_it_is_synced():
    driver = ReplicaDriver(3)
    fields = (1, 3, 1, driver.replica.membership, 0, 4, b"\x91\xc4\x01x")
    assert not sent_messages(driver.receive(SnapshotChunk, "c2", *fields, term=2), SnapshotReply)
    assert driver.replica.applied_index == 0
    assert len(sent_messages(driver.sync(), SnapshotReply)) == 1
    assert driver.replica.applied_index == 3


def test_second_disk_loss_right_after_a_repair_loses_no_command():
    cluster = make_cluster_with_small_snapshots()
    cluster.propose_many(1, 12)
    first = find_follower(cluster)
    cluster.restart(first, empty=True)
    cluster.replace_member(first)
    old_leader = cluster.wait_for_leader()
    cluster.restart(old_leader, empty=True)
    cluster.run(10.0)
    cluster.propose_many(13, 14)
    assert first.state == [b"%d" % number for number in range(1, 15)]
    assert old_leader.replica.role is ReplicaRole.LEARNER
    cluster.replace_member(old_leader)
    cluster.run(1.0)
    assert cluster.wait_for_leader().replica.silent_members == {}
    cluster.check_accepted()


def test_learner_is_not_promoted_before_it_has_synced_committed_entries():
    cluster = Cluster(3)
    cluster.propose_many(1, 3)
    emptied = find_follower(cluster)
    cluster.restart(emptied, empty=True)
    generation = emptied.replica.core.identity.generation
    cluster.run(2.0)
    cluster.slow_disk = True
    emptied.is_paused = True
    assert cluster.change_membership(AddLearner(emptied.instance, generation)) is None
    promote = PromoteLearner(emptied.instance, generation)
    assert cluster.change_membership(promote) is ProposalRefusalReason.NOT_CAUGHT_UP
    emptied.is_paused = False
    cluster.run(1.0)
    assert cluster.change_membership(promote) is None


def test_learners_neither_vote_nor_count_towards_a_quorum():
    cluster = Cluster(3)
    learner = cluster.add_node("c4")
    cluster.run(5.0)
    assert (
        cluster.change_membership(AddLearner(C4, learner.replica.core.identity.generation)) is None
    )
    leader, other = cluster.wait_for_leader(), find_follower(cluster)
    for node in cluster.nodes.values():
        if node not in (leader, learner):
            cluster.kill(node)
    cluster.propose(leader, "p1", b"one")
    cluster.run(10.0)
    assert "p1" not in cluster.accepted
    assert cluster.leader() is None
    cluster.start(other)
    cluster.run(10.0)
    assert cluster.leader() is not None


def test_all_members_are_replaced_one_by_one_without_data_loss():
    cluster = make_cluster_with_small_snapshots()
    cluster.propose_many(1, 10)
    for name in ("c4", "c5", "c6"):
        cluster.replace_member(cluster.add_node(name))
    for name in (C1, C2, C3):
        assert cluster.change_membership(RemoveMember(name)) is None
        cluster.run(5.0)
        cluster.kill(cluster.nodes.pop(name))
    cluster.propose_many(11, 12)
    assert {member.instance for member in cluster.wait_for_leader().replica.membership.voters} == {
        "c4",
        "c5",
        "c6",
    }
    assert all(len(node.state) == 12 for node in cluster.nodes.values())


def test_second_change_is_refused_until_the_first_is_committed():
    driver = ReplicaDriver(3)
    driver.win_election("c2")
    change = AddLearner(C4, "g-c4")
    assert propose_change(driver, change) is ProposalRefusalReason.CHANGE_PENDING
    driver.acknowledge("c2", 1)
    assert propose_change(driver, change) is None
    assert propose_change(driver, RemoveMember(C3)) is ProposalRefusalReason.CHANGE_PENDING
    driver.acknowledge("c2", 2)
    assert propose_change(driver, RemoveMember(C3)) is None


@pytest.mark.parametrize(
    "change",
    [
        AddLearner(C1, "g-c1"),
        AddLearner(C4, ""),
        PromoteLearner(C2),
        RemoveMember(C9),
        RemoveMember(C2, "g-other"),
    ],
)
def test_invalid_change_is_refused(change):
    driver = ReplicaDriver(3)
    driver.win_election("c2")
    driver.acknowledge("c2", 1)
    assert propose_change(driver, change) is ProposalRefusalReason.INVALID_CHANGE
    assert driver.replica.core.log.last_index == 1
    assert driver.replica.core.log.entry_at(1).kind is EntryKind.NO_OPERATION


def propose_change(driver, change):
    effects = driver.handle_event(ChangeMembership("change", change))
    return next((item.reason for item in effects if isinstance(item, ProposalRefused)), None)


def test_duplicate_reply_to_a_chunk_starts_no_second_stream_of_chunks():
    cluster = make_cluster_with_small_snapshots()
    behind = find_follower(cluster)
    cluster.isolate(behind.instance)
    cluster.propose_many(1, 40)
    leader = cluster.wait_for_leader()
    cluster.repair_all()
    cluster.now += cluster.settings.heartbeat_seconds
    cluster.tick_if_due(leader)
    while not isinstance(decode(cluster.in_flight[0][2]), SnapshotReply):
        cluster.deliver()
    cluster.in_flight = cluster.in_flight[:1]
    cluster.deliver(keep_copy=True)
    assert [to for _, to, _ in cluster.in_flight[1:]] == [behind.instance]
    cluster.deliver(keep_copy=True)
    assert len(cluster.in_flight) == 2
