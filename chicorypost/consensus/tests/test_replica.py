"""Tests of one replica with hand-made messages: what it may say, and when."""

import random
from typing import Any

import pytest

from chicorypost.base import InstanceId, Instant, LogIndex, Received, Send, Term, Tick
from chicorypost.consensus import (
    ClusterMembership,
    Entry,
    EntryKind,
    HardState,
    MemberId,
    Persist,
    Persisted,
    ProposalAccepted,
    ProposalRefusalReason,
    ProposalRefused,
    Propose,
    Read,
    ReadReady,
    ReadRefused,
    RecoveredState,
    Replica,
    ReplicaRole,
    ReplicaSettings,
)
from chicorypost.consensus._messages import AppendReply, AppendRequest, VoteReply, VoteRequest
from chicorypost.consensus._records import NO_TERM

CLUSTER = "cluster"


def make_entry(index, term):
    return Entry(index, term, EntryKind.COMMAND, b"x")


class ReplicaDriver:
    """One replica among `size`; its peers are played by the test."""

    def __init__(self, size, terms=(), auto_sync=False, **settings):
        names: list[Any] = [f"c{number}" for number in range(1, size + 1)]
        voters = tuple(MemberId(name, f"g-{name}") for name in names)
        entries = tuple(make_entry(index, term) for index, term in enumerate(terms, 1))
        state = HardState(max(terms, default=NO_TERM), "", CLUSTER, ClusterMembership(voters))
        recovered = RecoveredState("g-c1", state, None, entries)
        self.settings = ReplicaSettings(founding_members=tuple(names), **settings)
        self.replica: Any = Replica(
            self.settings, names[0], recovered, random.Random(1), Instant(0.0)
        )
        self.now = 0.0
        self.auto_sync = auto_sync
        self.unsynced = 0
        self.handle_event(Tick())

    def handle_event(self, event):
        effects = self.replica.handle(event, Instant(self.now))
        writes = [effect.write_number for effect in effects if isinstance(effect, Persist)]
        self.unsynced = max(writes, default=self.unsynced)
        if self.auto_sync and writes:
            effects = effects + self.handle_event(Persisted(writes[-1]))
        return effects

    def receive(self, kind, peer, *fields, term=None):
        term = self.replica.term if term is None else term
        message = kind(CLUSTER, f"g-{peer}", "g-c1", term, *fields)
        return self.handle_event(Received(peer, message))

    def sync(self):
        return self.handle_event(Persisted(self.unsynced))

    def advance_time(self, seconds):
        self.now += seconds
        return self.handle_event(Tick())

    def win_election(self, *voters):
        """Win an election with the votes of these peers."""
        self.auto_sync = True
        self.advance_time(10.0)
        for pre_vote in (True, False):
            requested = self.replica.term + pre_vote
            for peer in voters:
                self.receive(VoteReply, peer, pre_vote, requested, True)
        assert self.replica.role is ReplicaRole.LEADER
        return self.replica.core.leadership

    def acknowledge(self, peer, index):
        sequence = self.replica.core.leadership.progress[f"g-{peer}"].awaiting
        return self.receive(AppendReply, peer, sequence, True, index)


def sent_messages(effects, kind):
    messages = [effect.message for effect in effects if isinstance(effect, Send)]
    return [message for message in messages if isinstance(message, kind)]


def test_a_vote_is_given_only_once_it_is_synced():
    driver = ReplicaDriver(3)
    effects = driver.receive(VoteRequest, "c2", False, 0, 0, term=1)
    assert not sent_messages(effects, VoteReply)
    [persist] = [effect for effect in effects if isinstance(effect, Persist)]
    assert persist.hard_state is not None and persist.hard_state.vote == "g-c2"
    [reply] = sent_messages(driver.sync(), VoteReply)
    assert reply.granted
    effects = driver.receive(VoteRequest, "c3", False, 0, 0, term=1)
    assert [reply.granted for reply in sent_messages(effects, VoteReply)] == [False]


def test_a_candidate_asks_and_counts_itself_only_once_its_vote_is_synced():
    driver = ReplicaDriver(3)
    driver.advance_time(10.0)
    effects = driver.receive(VoteReply, "c2", True, 1, True)
    assert driver.replica.role is ReplicaRole.CANDIDATE
    assert not sent_messages(effects, VoteRequest)
    driver.receive(VoteReply, "c2", False, 1, True)
    assert driver.replica.role is ReplicaRole.CANDIDATE
    driver.sync()
    assert driver.replica.role is ReplicaRole.LEADER


def test_entries_are_acknowledged_only_once_they_are_synced():
    driver = ReplicaDriver(3)
    entry = make_entry(1, 1)
    effects = driver.receive(AppendRequest, "c2", 1, 0, 0, (entry,), 1, term=1)
    assert not sent_messages(effects, AppendReply)
    assert driver.replica.applied_index == 0
    effects = driver.receive(AppendRequest, "c2", 2, 1, 1, (), 1, term=1)
    assert not sent_messages(effects, AppendReply)
    replies = sent_messages(driver.sync(), AppendReply)
    assert [(reply.matched, reply.index) for reply in replies] == [(True, 1), (True, 1)]
    assert driver.replica.applied_index == 1


def test_a_replaced_entry_is_not_taken_for_synced():
    driver = ReplicaDriver(3)
    entries = (make_entry(1, 1), make_entry(2, 1))
    driver.receive(AppendRequest, "c2", 1, 0, 0, entries, 0, term=1)
    first_write = driver.unsynced
    driver.receive(AppendRequest, "c3", 1, 1, 1, (make_entry(2, 2),), 2, term=2)
    driver.handle_event(Persisted(first_write))
    assert driver.replica.applied_index == 1
    driver.sync()
    assert driver.replica.applied_index == 2


def test_a_leader_counts_its_own_entry_only_once_it_is_synced():
    driver = ReplicaDriver(3)
    driver.win_election("c2")
    driver.acknowledge("c2", 1)
    driver.auto_sync = False
    driver.handle_event(Propose("p", b"x"))
    effects = driver.acknowledge("c2", 2)
    assert driver.replica.commit_index == 1
    assert not [effect for effect in effects if isinstance(effect, ProposalAccepted)]
    assert ProposalAccepted("p", LogIndex(2)) in driver.sync()


def test_an_entry_of_an_older_term_is_committed_only_through_one_of_the_current_term():
    driver = ReplicaDriver(5, terms=(1, 2))
    driver.win_election("c2", "c3")
    assert driver.replica.term == 3
    driver.acknowledge("c2", 2)
    driver.acknowledge("c3", 2)
    assert driver.replica.commit_index == 0
    driver.acknowledge("c2", 3)
    driver.acknowledge("c3", 3)
    assert driver.replica.commit_index == 3


def test_a_read_waits_for_a_quorum_and_for_an_entry_of_the_current_term():
    driver = ReplicaDriver(3, terms=(1,))
    leadership = driver.win_election("c2")
    assert not [item for item in driver.handle_event(Read("r")) if isinstance(item, ReadReady)]
    before = leadership.sequence
    effects = driver.acknowledge("c2", 2)
    assert sent_messages(effects, AppendRequest)
    assert not [item for item in effects if isinstance(item, ReadReady)]
    late = driver.receive(AppendReply, "c3", before, True, 2)
    assert not [item for item in late if isinstance(item, ReadReady)]
    assert ReadReady("r", LogIndex(2)) in driver.acknowledge("c3", 2)


def test_a_frozen_leader_steps_down_before_its_next_effect():
    driver = ReplicaDriver(3)
    driver.win_election("c2")
    driver.acknowledge("c2", 1)
    driver.handle_event(Propose("p", b"x"))
    driver.now += 60.0
    effects = driver.handle_event(Read("r"))
    assert ProposalRefused("p", ProposalRefusalReason.LEADERSHIP_LOST, None) in effects
    assert ReadRefused("r", ProposalRefusalReason.OUT_OF_TOUCH, None) in effects
    assert not sent_messages(effects, AppendRequest)
    assert driver.replica.role is ReplicaRole.FOLLOWER
    assert driver.replica.out_of_touch_since is not None


def test_a_word_from_another_data_folder_or_cluster_counts_for_nothing():
    driver = ReplicaDriver(3)
    driver.advance_time(10.0)
    for cluster, source, target in (
        ("other", "g-c2", "g-c1"),
        (CLUSTER, "g-c2", "g-old"),
        (CLUSTER, "g-new", "g-c1"),
    ):
        reply = VoteReply(cluster, source, target, NO_TERM, True, Term(1), True)
        driver.handle_event(Received(InstanceId("c2"), reply))
        assert driver.replica.role is ReplicaRole.PRE_CANDIDATE


@pytest.mark.parametrize(
    ("command", "in_flight", "reason"),
    [(b"x" * 11, 0, ProposalRefusalReason.TOO_LARGE), (b"x", 2, ProposalRefusalReason.OVERLOADED)],
)
def test_proposals_beyond_a_bound_are_refused(command, in_flight, reason):
    driver = ReplicaDriver(3, max_command_bytes=10, max_proposals_in_flight=2)
    driver.win_election("c2")
    for number in range(in_flight):
        driver.handle_event(Propose(f"earlier {number}", b"x"))
    [refusal] = driver.handle_event(Propose("p", command))
    assert (refusal.proposal, refusal.reason, refusal.leader) == ("p", reason, "c1")


def test_appends_are_bounded_and_a_silent_peer_is_not_flooded():
    driver = ReplicaDriver(3, max_append_bytes=100)
    driver.win_election("c2")
    effects = []
    for number in range(20):
        effects += driver.handle_event(Propose(f"p{number}", b"x" * 30))
    assert not sent_messages(effects, AppendRequest)
    [append] = sent_messages(driver.acknowledge("c2", 1), AppendRequest)
    assert sum(len(entry.command) for entry in append.entries) <= 100
