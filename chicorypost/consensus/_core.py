"""State shared by all parts of a replica."""

import random
from collections.abc import Mapping

import msgspec

from chicorypost.base import Effect, InstanceId, Instant, LogIndex, Message, Send, Term
from chicorypost.consensus import _events
from chicorypost.consensus._interface import (
    ProposalRefusalReason,
    ProposalRefused,
    ReadRefused,
    RecoveredState,
    ReplicaRole,
)
from chicorypost.consensus._log import Log
from chicorypost.consensus._records import (
    NO_INDEX,
    NO_TERM,
    ClusterMembership,
    HardState,
    MemberId,
    Snapshot,
)
from chicorypost.consensus._settings import ReplicaSettings
from chicorypost.consensus._writes import WriteQueue


class ReplicationProgress(msgspec.Struct):
    """Replication state of one other member, tracked by the leader."""

    member: MemberId
    next_index: LogIndex
    last_contact: Instant
    match_index: LogIndex = NO_INDEX
    awaited_sequence: int = 0
    """Sequence number of the request in flight, or 0 if there is none."""
    acknowledged_sequence: int = 0
    """Greatest sequence number to which the member has replied."""
    sent_commit_index: LogIndex = NO_INDEX
    snapshot_offset: int = 0
    is_silent: bool = False


class PendingRead(msgspec.Struct):
    """A read that waits until a quorum has replied to the request numbered `sequence`."""

    read_id: str
    index: LogIndex = NO_INDEX
    sequence: int = 0
    """0 until the read is part of a confirmation round."""


class Leadership(msgspec.Struct):
    """State that only a leader has."""

    first_index: LogIndex
    """Index of the first entry of its term."""
    heartbeat_deadline: Instant
    progress: dict[str, ReplicationProgress] = msgspec.field(default_factory=dict)
    """Replication state of the other members, keyed by their generations."""
    pending_proposals: dict[LogIndex, str] = msgspec.field(default_factory=dict)
    pending_reads: list[PendingRead] = msgspec.field(default_factory=list)
    last_sequence: int = 0


class Candidacy(msgspec.Struct):
    """Votes received so far; the own vote counts once the write `own_vote_write` is synced."""

    votes: set[str] = msgspec.field(default_factory=set)
    own_vote_write: int = 0


class SnapshotTransfer(msgspec.Struct):
    """A snapshot that is being received in chunks."""

    index: LogIndex
    term: Term
    data: bytearray = msgspec.field(default_factory=bytearray)


class ReplicaCore:
    """State shared by election, replication, reads, snapshots and formation."""

    def __init__(
        self,
        settings: ReplicaSettings,
        instance: InstanceId,
        recovered: RecoveredState,
        random: random.Random,
        now: Instant,
    ) -> None:
        self.settings = settings
        self.identity = MemberId(instance, recovered.generation)
        self.random = random
        self.now = now
        self.hard_state = recovered.hard_state
        self.snapshot = recovered.snapshot
        self.log = Log(self.base_snapshot(), recovered.entries)
        self.commit_index = min(recovered.commit_index, self.log.last_index)
        self.commit_index = max(self.commit_index, self.log.base_index)
        self.applied_index = NO_INDEX
        self.write_queue = WriteQueue(self.log.last_index)
        self.effects: list[Effect] = []
        self.role = ReplicaRole.UNFORMED
        self.leader: InstanceId | None = None
        self.leadership: Leadership | None = None
        self.candidacy = Candidacy()
        self.snapshot_transfer: SnapshotTransfer | None = None
        self.pending_restore = recovered.snapshot
        self.is_snapshot_requested = False
        self.last_contact: dict[InstanceId, Instant] = {}
        self.waiting_members: dict[InstanceId, str] = {}
        # Time of the last message that made an instance count as waiting.
        self.waiting_contact: dict[InstanceId, Instant] = {}
        self.contacts = settings.contacts
        # Generation of each peer, and whether its last hello named this replica's generation.
        self.unformed_peers: dict[InstanceId, tuple[str, bool]] = {}
        self.reported_members: set[InstanceId] = set()
        """Members named by peers that don't count this replica as one; empty with a leader."""
        self.foreign_messages = 0
        self.has_known_leader = False
        """Whether there has been a leader since the start of this replica."""
        self.last_leader_contact = now
        self.out_of_touch_since: Instant | None = None
        self.election_deadline = now
        self.hello_deadline = now
        self.restart_election_timer()
        self.role = self.passive_role()

    @property
    def term(self) -> Term:
        """The current term."""
        return self.hard_state.term

    @property
    def is_formed(self) -> bool:
        """Whether this replica belongs to a cluster."""
        return bool(self.hard_state.cluster)

    @property
    def is_voter(self) -> bool:
        """Whether this replica is a voter according to its own log."""
        return self.identity in self.log.membership.voters

    @property
    def leader_contact_deadline(self) -> Instant:
        """Time at which this replica is out of touch without further leader contact."""
        return Instant(self.last_leader_contact + self.settings.election_seconds)

    def base_snapshot(self) -> Snapshot:
        """Return the newest snapshot, or the empty state with the initial membership."""
        if self.snapshot is not None:
            return self.snapshot
        return Snapshot(NO_INDEX, NO_TERM, self.hard_state.initial_membership, b"")

    def passive_role(self) -> ReplicaRole:
        """Return the role of this replica when it is neither leader nor candidate."""
        if not self.is_formed:
            return ReplicaRole.UNFORMED
        return ReplicaRole.FOLLOWER if self.is_voter else ReplicaRole.LEARNER

    def make_header(self, target: str) -> tuple[str, str, str, Term]:
        """Return the fields that start each message within the cluster."""
        return (self.hard_state.cluster, self.identity.generation, target, self.term)

    def send(self, to: InstanceId, message: Message) -> None:
        """Send a message at once; only for messages that don't acknowledge data on disk."""
        self.effects.append(Send(to, message))

    def send_when_synced(self, to: InstanceId, message: Message) -> None:
        """Send a message once all changes made so far are synced."""
        self.write_queue.hold_effect(Send(to, message))

    def update_hard_state(self, state: HardState) -> None:
        """Replace the hard state in memory and stage it for the next write."""
        self.hard_state = state
        self.write_queue.hard_state = state

    def restart_election_timer(self) -> None:
        """Set a random election deadline, one to two times the election timeout from now.

        The timeout is `first_election_seconds` until there has been a leader.
        """
        factor = 1.0 + self.random.random()
        settings = self.settings
        min_seconds = (
            settings.election_seconds if self.has_known_leader else settings.first_election_seconds
        )
        self.election_deadline = Instant(self.now + factor * min_seconds)

    def record_leader_contact(self, leader: InstanceId) -> None:
        """Record contact with the leader of the current term and follow it."""
        if self.out_of_touch_since is not None:
            self.out_of_touch_since = None
            self.effects.append(_events.LEADER_CONTACT_RESTORED.emit(leader=leader))
        self.last_leader_contact = self.now
        self.has_known_leader = True
        self.reported_members.clear()
        self.restart_election_timer()
        self.set_role(self.passive_role(), leader)

    def set_role(self, role: ReplicaRole, leader: InstanceId | None) -> None:
        """Set role and leader; emit an event if either has changed."""
        if (role, leader) == (self.role, self.leader):
            return
        self.role = role
        self.leader = leader
        fields = {"role": role.value, "term": self.term, "leader": leader}
        self.effects.append(_events.ROLE_CHANGED.emit(**fields))

    def step_down(self, term: Term) -> None:
        """Give up leadership or candidacy, and adopt `term` if it is greater."""
        if term > self.term:
            self.update_hard_state(replace_term_and_vote(self.hard_state, term=term, vote=""))
            self.set_role(self.passive_role(), None)
        if self.role in (ReplicaRole.LEADER, ReplicaRole.CANDIDATE, ReplicaRole.PRE_CANDIDATE):
            self.set_role(self.passive_role(), None)
        self._refuse_pending_requests()
        self.candidacy = Candidacy()

    def _refuse_pending_requests(self) -> None:
        leadership, self.leadership = self.leadership, None
        if leadership is None:
            return
        self.restart_election_timer()
        for proposal in leadership.pending_proposals.values():
            self.effects.append(
                ProposalRefused(proposal, ProposalRefusalReason.LEADERSHIP_LOST, None)
            )
        for read in leadership.pending_reads:
            self.effects.append(
                ReadRefused(read.read_id, ProposalRefusalReason.LEADERSHIP_LOST, None)
            )

    def refusal_reason(self) -> ProposalRefusalReason:
        """Return the reason with which a replica that isn't the leader refuses requests."""
        if self.out_of_touch_since is not None:
            return ProposalRefusalReason.OUT_OF_TOUCH
        return ProposalRefusalReason.NOT_LEADER


def replace_term_and_vote(state: HardState, term: Term, vote: str) -> HardState:
    """Return the hard state with another term and vote."""
    return HardState(term, vote, state.cluster, state.initial_membership)


def format_members(members: tuple[MemberId, ...]) -> str:
    """Return the members as one line of text for log events."""
    return " ".join(f"{member.instance}/{member.generation}" for member in members)


def quorum_value(membership: ClusterMembership, values: Mapping[str, float]) -> float:
    """Return the greatest value that a quorum of the voters has reached; missing values are 0."""
    descending_values = sorted(
        (values.get(voter.generation, 0) for voter in membership.voters), reverse=True
    )
    return descending_values[membership.quorum - 1] if descending_values else 0
