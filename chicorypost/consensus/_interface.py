"""Events, effects and outcomes of a replica."""

from enum import Enum

import msgspec

from chicorypost.base import Effect, Event, InstanceId, LogIndex, Term
from chicorypost.consensus._records import INITIAL_HARD_STATE, NO_INDEX, Entry, HardState, Snapshot


class ReplicaRole(Enum):
    """Role of a replica in its cluster."""

    UNFORMED = "unformed"
    """Belongs to no cluster yet."""
    LEARNER = "learner"
    """Receives the log without a vote."""
    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    """Checks whether it could win an election, without increasing the term."""
    CANDIDATE = "candidate"
    LEADER = "leader"


class ProposalRefusalReason(Enum):
    """Reason why a proposal, a membership change or a read was refused."""

    NOT_LEADER = "not-leader"
    """Not accepted: this replica is not the leader; `leader` is, if known."""
    OUT_OF_TOUCH = "out-of-touch"
    """Not accepted: this replica has no leader contact; see `Replica.out_of_touch_since`."""
    OVERLOADED = "overloaded"
    """Not accepted: too many proposals or reads are in flight."""
    TOO_LARGE = "too-large"
    """Not accepted: the command exceeds the allowed size."""
    CHANGE_PENDING = "change-pending"
    """Not accepted: an earlier membership change is not committed yet."""
    NOT_CAUGHT_UP = "not-caught-up"
    """Not accepted: the learner has not synced all committed entries."""
    INVALID_CHANGE = "invalid-change"
    """Not accepted: the change is invalid for the current membership."""
    LEADERSHIP_LOST = "lost"
    """Leadership was lost while the request was pending; a proposal may still be committed."""


class AddLearner(msgspec.Struct, frozen=True):
    """Add a member that receives the log without a vote."""

    instance: InstanceId
    generation: str


class PromoteLearner(msgspec.Struct, frozen=True):
    """Make a caught-up learner a voter.

    `generation` may be None if the instance has only one learner.
    """

    instance: InstanceId
    generation: str | None = None


class RemoveMember(msgspec.Struct, frozen=True):
    """Remove a voter or learner.

    `generation` may be None if the instance has only one member.
    """

    instance: InstanceId
    generation: str | None = None


MembershipChange = AddLearner | PromoteLearner | RemoveMember


class Propose(Event, msgspec.Struct, frozen=True):
    """Append a command to the log; results in `ProposalAccepted` or `ProposalRefused`."""

    proposal_id: str
    command: bytes


class Read(Event, msgspec.Struct, frozen=True):
    """Request a linearizable read; results in `ReadReady` or `ReadRefused`."""

    read_id: str


class ChangeMembership(Event, msgspec.Struct, frozen=True):
    """Change the membership by one member; has the same results as `Propose`."""

    proposal_id: str
    change: MembershipChange


class ContactsChanged(Event, msgspec.Struct, frozen=True):
    """Replace the contacts, to which a replica that isn't a member sends hello messages."""

    contacts: tuple[InstanceId, ...]


class Persisted(Event, msgspec.Struct, frozen=True):
    """All `Persist` effects up to and including `write_number` are synced, files and folder."""

    write_number: int


class SnapshotTaken(Event, msgspec.Struct, frozen=True):
    """Result of `TakeSnapshot`: the application's state after the entry at `index`."""

    index: LogIndex
    data: bytes


class Persist(Effect, msgspec.Struct, frozen=True):
    """Write to disk and sync, in the order of the write numbers; results in `Persisted`.

    Parameters
    ----------
    write : int
        Number of this write, one more than that of the previous write.
    hard_state : HardState or None
        New term, vote and cluster; None leaves them unchanged.
    snapshot : Snapshot or None
        Replaces the snapshot on disk; log entries up to its index may be removed.
    discard_log : bool
        Whether all entries on disk are removed, since they may conflict with `snapshot`.
    entries : tuple of Entry
        Appended to the log; entries on disk with an equal or greater index are replaced.
    commit_index : LogIndex
        Index of the last entry known to be committed; recovery starts from it.
    """

    write_number: int
    hard_state: HardState | None = None
    snapshot: Snapshot | None = None
    discard_log: bool = False
    entries: tuple[Entry, ...] = ()
    commit_index: LogIndex = NO_INDEX


class Apply(Effect, msgspec.Struct, frozen=True):
    """Apply a committed command; all replicas apply the same commands in the same order."""

    index: LogIndex
    term: Term
    command: bytes


class RestoreSnapshot(Effect, msgspec.Struct, frozen=True):
    """Replace the application's state with a snapshot; `Apply` continues after `index`."""

    index: LogIndex
    data: bytes


class TakeSnapshot(Effect, msgspec.Struct, frozen=True):
    """Serialize the application's state after the entry at `index`; results in `SnapshotTaken`.

    The state must be serialized before the next `Apply` is carried out.
    """

    index: LogIndex


class ProposalAccepted(Effect, msgspec.Struct, frozen=True):
    """The proposal is committed at `index` and was applied by an earlier effect."""

    proposal_id: str
    index: LogIndex


class ProposalRefused(Effect, msgspec.Struct, frozen=True):
    """The proposal was refused; with `LEADERSHIP_LOST` it may still be committed."""

    proposal_id: str
    reason: ProposalRefusalReason
    leader: InstanceId | None
    detail: str = ""


class ReadReady(Effect, msgspec.Struct, frozen=True):
    """The application's state is current as of the `Read` and includes entries up to `index`."""

    read_id: str
    index: LogIndex


class ReadRefused(Effect, msgspec.Struct, frozen=True):
    """This replica can't confirm that its state is current."""

    read_id: str
    reason: ProposalRefusalReason
    leader: InstanceId | None


class RecoveredState(msgspec.Struct, frozen=True):
    """State that a replica recovers from its disk when it starts.

    Parameters
    ----------
    generation : str
        Generation of the data folder; a new one if the folder was empty.
    hard_state : HardState
        Term, vote and cluster.
    snapshot : Snapshot or None
        The newest snapshot, if any.
    entries : tuple of Entry
        The log entries after the snapshot.
    commit_index : LogIndex
        Index of the last entry known to be committed when entries were last written.
    """

    generation: str
    hard_state: HardState = INITIAL_HARD_STATE
    snapshot: Snapshot | None = None
    entries: tuple[Entry, ...] = ()
    commit_index: LogIndex = NO_INDEX


class DamageKind(Enum):
    """Kind of damage to a data folder."""

    UNREADABLE = "unreadable"
    """A file has a wrong checksum or format that an interrupted write can't explain."""
    GAP = "gap"
    """Entries between the snapshot and the log, or within the log, are missing."""
    MISSING_FILE = "missing-file"
    """The identity or the hard state is missing although other files exist."""


class StorageDamage(msgspec.Struct, frozen=True):
    """The data folder is damaged: the process must not use it, and an operator decides."""

    kind: DamageKind
    file: str
    detail: str
