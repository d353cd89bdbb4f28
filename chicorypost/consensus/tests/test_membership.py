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


def small_snapshots(size=3):
    return Cluster(size, snapshot_interval_records=5, trailing_records=1, snapshot_chunk_bytes=16)


def follower_of(cluster):
    leader = cluster.elect()
    return next(node for node in cluster.nodes.values() if node is not leader)


def test_a_member_that_lacks_trimmed_entries_gets_the_snapshot_in_chunks():
    cluster = small_snapshots()
    behind = follower_of(cluster)
    cluster.isolate(behind.instance)
    cluster.propose_many(1, 40)
    assert cluster.elect().replica.core.log.base_index > behind.replica.core.log.last_index
    cluster.heal()
    cluster.run(3.0)
    assert behind.state == cluster.leader().state
    assert len(behind.state) == 40
    assert behind.replica.core.log.base_index > 0


def test_a_restart_brings_back_snapshot_and_log_exactly_and_old_files_are_gone():
    cluster = small_snapshots()
    cluster.propose_many(1, 43)
    states = {name: list(node.state) for name, node in cluster.nodes.items()}
    for node in cluster.nodes.values():
        assert sum(name.startswith("log-") for name in node.files.names()) <= 3
        assert sum(name.startswith("snapshot-") for name in node.files.names()) == 1
        cluster.kill(node)
    cluster.heal()
    cluster.elect()
    cluster.run(1.0)
    assert {name: node.state for name, node in cluster.nodes.items()} == states


@pytest.mark.parametrize(
    ("snapshot_term", "last_index", "commit_index"), [(1, 5, 3), (2, 3, 3)], ids=["equal", "other"]
)
def test_a_snapshot_replaces_a_log_only_if_they_differ(snapshot_term, last_index, commit_index):
    driver = ReplicaDriver(3, terms=(1, 1, 1, 1, 1), auto_sync=True)
    members = driver.replica.members
    fields = (1, 3, snapshot_term, members, 0, 4, b"\x91\xc4\x01x")
    effects = driver.receive(SnapshotChunk, "c2", *fields, term=2)
    assert [reply.offset for reply in sent_messages(effects, SnapshotReply)] == [4]
    assert driver.replica.core.log.last_index == last_index
    assert driver.replica.commit_index == commit_index
    effects = driver.receive(AppendRequest, "c2", 2, 3, snapshot_term, (make_entry(4, 2),), 4)
    assert driver.replica.applied_index == 4


def test_a_snapshot_is_acknowledged_only_once_it_is_synced():
    driver = ReplicaDriver(3)
    fields = (1, 3, 1, driver.replica.members, 0, 4, b"\x91\xc4\x01x")
    assert not sent_messages(driver.receive(SnapshotChunk, "c2", *fields, term=2), SnapshotReply)
    assert driver.replica.applied_index == 0
    assert len(sent_messages(driver.sync(), SnapshotReply)) == 1
    assert driver.replica.applied_index == 3


def test_a_second_loss_right_after_the_repair_loses_nothing():
    cluster = small_snapshots()
    cluster.propose_many(1, 12)
    first = follower_of(cluster)
    cluster.restart(first, empty=True)
    cluster.replace(first)
    old_leader = cluster.elect()
    cluster.restart(old_leader, empty=True)
    cluster.run(10.0)
    cluster.propose_many(13, 14)
    assert first.state == [b"%d" % number for number in range(1, 15)]
    assert old_leader.replica.role is ReplicaRole.LEARNER
    cluster.replace(old_leader)
    cluster.run(1.0)
    assert cluster.elect().replica.silent_members == {}
    cluster.check_accepted()


def test_a_learner_is_not_promoted_before_it_has_synced_what_is_committed():
    cluster = Cluster(3)
    cluster.propose_many(1, 3)
    emptied = follower_of(cluster)
    cluster.restart(emptied, empty=True)
    generation = emptied.replica.core.identity.generation
    cluster.run(2.0)
    cluster.slow_disk = True
    emptied.frozen = True
    assert cluster.change_membership(AddLearner(emptied.instance, generation)) is None
    promote = PromoteLearner(emptied.instance, generation)
    assert cluster.change_membership(promote) is ProposalRefusalReason.NOT_CAUGHT_UP
    emptied.frozen = False
    cluster.run(1.0)
    assert cluster.change_membership(promote) is None


def test_learners_neither_vote_nor_count():
    cluster = Cluster(3)
    learner = cluster.add_node("c4")
    cluster.run(5.0)
    assert (
        cluster.change_membership(AddLearner(C4, learner.replica.core.identity.generation)) is None
    )
    leader, other = cluster.wait_for_leader(), follower_of(cluster)
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


def test_members_are_exchanged_one_by_one_without_losing_anything():
    cluster = small_snapshots()
    cluster.propose_many(1, 10)
    for name in ("c4", "c5", "c6"):
        cluster.replace(cluster.add_node(name))
    for name in (C1, C2, C3):
        assert cluster.change(RemoveMember(name)) is None
        cluster.run(5.0)
        cluster.kill(cluster.nodes.pop(name))
    cluster.propose_many(11, 12)
    assert {member.instance for member in cluster.elect().replica.members.voters} == {
        "c4",
        "c5",
        "c6",
    }
    assert all(len(node.state) == 12 for node in cluster.nodes.values())


def test_a_second_change_waits_for_the_first():
    driver = ReplicaDriver(3)
    driver.win_election("c2")
    change = AddLearner(C4, "g-c4")
    assert refusal(driver, change) is ProposalRefusalReason.CHANGE_PENDING
    driver.acknowledge("c2", 1)
    assert refusal(driver, change) is None
    assert refusal(driver, RemoveMember(C3)) is ProposalRefusalReason.CHANGE_PENDING
    driver.acknowledge("c2", 2)
    assert refusal(driver, RemoveMember(C3)) is None


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
def test_a_change_that_does_not_fit_is_refused(change):
    driver = ReplicaDriver(3)
    driver.win_election("c2")
    driver.acknowledge("c2", 1)
    assert refusal(driver, change) is ProposalRefusalReason.INVALID_CHANGE
    assert driver.replica.core.log.last_index == 1
    assert driver.replica.core.log.entry_at(1).kind is EntryKind.NO_OPERATION


def refusal(driver, change):
    effects = driver.give(ChangeMembership("change", change))
    return next((item.reason for item in effects if isinstance(item, ProposalRefused)), None)


def test_a_repeated_answer_to_a_chunk_starts_no_second_stream_of_chunks():
    cluster = small_snapshots()
    behind = follower_of(cluster)
    cluster.isolate(behind.instance)
    cluster.propose_many(1, 40)
    leader = cluster.elect()
    cluster.heal()
    cluster.now += cluster.settings.heartbeat_seconds
    cluster.tick(leader)
    while not isinstance(decode(cluster.in_flight[0][2]), SnapshotReply):
        cluster.deliver()
    cluster.in_flight = cluster.in_flight[:1]
    cluster.deliver(keep=True)
    assert [to for _, to, _ in cluster.in_flight[1:]] == [behind.instance]
    cluster.deliver(keep=True)
    assert len(cluster.in_flight) == 2
