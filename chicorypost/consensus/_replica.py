"""One replica of the replicated log, as a state machine without I/O."""

import random
from typing import Any

from chicorypost.base import (
    Effect,
    Event,
    InstanceId,
    Instant,
    LogIndex,
    Message,
    Received,
    Term,
    Tick,
)
from chicorypost.consensus._application import apply_committed
from chicorypost.consensus._core import ReplicaCore
from chicorypost.consensus._dump import dump_replica
from chicorypost.consensus._election import (
    count_own_vote,
    handle_vote_reply,
    handle_vote_request,
    start_pre_vote,
)
from chicorypost.consensus._formation import (
    handle_cluster_info,
    handle_hello,
    needs_hello,
    record_removed_member,
    send_hellos,
)
from chicorypost.consensus._interface import (
    ChangeMembership,
    ContactsChanged,
    MembershipChange,
    Persisted,
    Propose,
    Read,
    RecoveredState,
    ReplicaRole,
    SnapshotTaken,
)
from chicorypost.consensus._membership_repair import MembershipRepairSettings, plan_repair
from chicorypost.consensus._messages import (
    AppendReply,
    AppendRequest,
    ClusterInfo,
    FormationHello,
    ReplicaMessage,
    SnapshotChunk,
    SnapshotReply,
    VoteReply,
    VoteRequest,
)
from chicorypost.consensus._proposals import change_membership, propose
from chicorypost.consensus._reads import advance_reads, queue_read
from chicorypost.consensus._records import ClusterMembership
from chicorypost.consensus._replication import (
    advance_commit_index,
    check_leader_contact,
    check_member_contact,
    check_quorum_contact,
    handle_append_reply,
    handle_append_request,
    record_reply,
    send_append_if_idle,
    send_heartbeats,
    send_pending_appends,
)
from chicorypost.consensus._settings import ReplicaSettings
from chicorypost.consensus._snapshots import (
    handle_snapshot_chunk,
    record_snapshot_reply,
    store_snapshot,
)


class Replica:
    """One replica of the replicated log.

    Parameters
    ----------
    settings : ReplicaSettings
        Timeouts and bounds.
    instance : InstanceId
        This instance.
    recovered : RecoveredState
        State recovered from the disk.
    random : random.Random
        Source of randomness for election timeouts and for the id of a new cluster.
    now : Instant
        Current time.

    Notes
    -----
    The first call of `handle` restores the recovered snapshot and applies the entries known to be
    committed; before it, `next_deadline` returns the current time.
    """

    def __init__(
        self,
        settings: ReplicaSettings,
        instance: InstanceId,
        recovered: RecoveredState,
        random: random.Random,
        now: Instant,
    ) -> None:
        self.core = ReplicaCore(settings, instance, recovered, random, now)
        self.has_handled_event = False

    def handle(self, event: Event, now: Instant) -> list[Effect]:
        """Process one event and return the effects in execution order."""
        core = self.core
        core.now = now
        core.effects = []
        self.has_handled_event = True
        check_quorum_contact(core)
        self._dispatch_event(event)
        apply_committed(core)
        send_pending_appends(core)
        advance_reads(core)
        core.effects.extend(core.write_queue.flush(core.log.last_index, core.commit_index))
        return core.effects

    def _dispatch_event(self, event: Event) -> None:
        core = self.core
        match event:
            case Received(sender, message):
                self._handle_message(sender, message)
            case Tick():
                self._check_deadlines()
            case Persisted(write):
                core.effects.extend(core.write_queue.confirm_write(write))
                count_own_vote(core)
                advance_commit_index(core)
            case Propose():
                propose(core, event)
            case Read():
                queue_read(core, event)
            case ChangeMembership():
                change_membership(core, event)
            case SnapshotTaken():
                store_snapshot(core, event)
            case ContactsChanged(contacts):
                core.contacts = contacts
            case _:
                raise TypeError(f"a replica can't handle events of type {type(event).__name__}")

    def _handle_message(self, sender: InstanceId, message: Message) -> None:
        core = self.core
        match message:
            case FormationHello():
                handle_hello(core, sender, message)
            case ClusterInfo():
                handle_cluster_info(core, message)
            case ReplicaMessage():
                self._handle_replica_message(sender, message)
            case _:
                raise TypeError(f"a replica can't handle messages of type {type(message).__name__}")

    def _handle_replica_message(self, sender: InstanceId, message: ReplicaMessage) -> None:
        core = self.core
        is_same_cluster = message.cluster == core.hard_state.cluster
        if not is_same_cluster or message.target_generation != core.identity.generation:
            core.foreign_messages += 1
            return
        core.last_contact[sender] = core.now
        match message:
            case VoteRequest():
                record_removed_member(core, sender, message.source_generation)
                handle_vote_request(core, sender, message)
            case AppendRequest():
                handle_append_request(core, sender, message)
            case SnapshotChunk():
                handle_snapshot_chunk(core, sender, message)
            case _:
                self._handle_reply(message)

    def _handle_reply(self, message: ReplicaMessage) -> None:
        core = self.core
        if message.term > core.term:
            core.step_down(message.term)
        if message.term < core.term and not isinstance(message, VoteReply):
            return
        match message:
            case VoteReply():
                handle_vote_reply(core, message)
            case AppendReply():
                handle_append_reply(core, message)
            case SnapshotReply():
                progress = record_reply(core, message.source_generation, message.sequence)
                if progress is not None:
                    record_snapshot_reply(core, progress, message)
                    send_append_if_idle(core, progress)
            case _:
                core.foreign_messages += 1

    def _check_deadlines(self) -> None:
        core = self.core
        check_leader_contact(core)
        if core.leadership is not None:
            if core.now >= core.leadership.heartbeat_deadline:
                send_heartbeats(core)
                check_member_contact(core)
            return
        if core.is_voter and core.now >= core.election_deadline:
            start_pre_vote(core)
        if needs_hello(core) and core.now >= core.hello_deadline:
            send_hellos(core)

    def next_deadline(self) -> Instant | None:
        """Return the time at which the replica needs its next `Tick`, or None."""
        core = self.core
        if not self.has_handled_event:
            return core.now
        if core.leadership is not None:
            return core.leadership.heartbeat_deadline
        deadlines = []
        if core.out_of_touch_since is None:
            deadlines.append(core.leader_contact_deadline)
        if core.is_voter:
            deadlines.append(core.election_deadline)
        if needs_hello(core):
            deadlines.append(core.hello_deadline)
        return min(deadlines, default=None)

    def dump(self) -> dict[str, Any]:
        """Return the whole decision state as JSON-compatible values."""
        return dump_replica(self.core)

    @property
    def role(self) -> ReplicaRole:
        """The current role of this replica."""
        return self.core.role

    @property
    def term(self) -> Term:
        """The current term."""
        return self.core.term

    @property
    def leader(self) -> InstanceId | None:
        """The leader of the current term, if known."""
        return self.core.leader

    @property
    def commit_index(self) -> LogIndex:
        """Index of the last entry known to be committed."""
        return self.core.commit_index

    @property
    def applied_index(self) -> LogIndex:
        """Index of the last entry that was applied."""
        return self.core.applied_index

    @property
    def membership(self) -> ClusterMembership:
        """The membership in effect, which may be uncommitted."""
        return self.core.log.membership

    @property
    def last_contact(self) -> dict[InstanceId, Instant]:
        """When this replica last received a message from each peer."""
        return dict(self.core.last_contact)

    @property
    def out_of_touch_since(self) -> Instant | None:
        """Last contact with a leader (as leader: with a quorum); None if it is recent."""
        return self.core.out_of_touch_since

    @property
    def silent_members(self) -> dict[InstanceId, Instant]:
        """Members without recent contact to this leader, with the times of their last messages."""
        leadership = self.core.leadership
        peers = leadership.progress.values() if leadership else ()
        return {peer.member.instance: peer.last_contact for peer in peers if peer.is_silent}

    @property
    def waiting_members(self) -> dict[InstanceId, str]:
        """Instances that wait to be added, with the generations of their data folders."""
        return dict(self.core.waiting_members)

    def plan_repair(self, settings: MembershipRepairSettings) -> MembershipChange | None:
        """Return the next membership change that repairs the membership, or None."""
        return plan_repair(self.core, settings)
