"""Events, effects and outcomes of a replica."""

from enum import Enum

import msgspec

from chicorypost.base import Effect, Event, InstanceId, LogIndex, Term
from chicorypost.consensus._records import INITIAL_HARD_STATE, NO_INDEX, Entry, HardState, Snapshot


class ReplicaRole(Enum):
    """What a replica currently is."""

    UNFORMED = "unformed"
    """No cluster is known yet."""
    LEARNER = "learner"
    """Receives the log, has no vote."""
    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    """Asks whether an election could be won, without disturbing the term."""
    CANDIDATE = "candidate"
    LEADER = "leader"


class ProposalRefusalReason(Enum):
    """Why a proposal, a membership change or a read was not carried out."""

    NOT_LEADER = "not-leader"
    """Not accepted here; `leader` names whom to ask, if known."""
    OUT_OF_TOUCH = "out-of-touch"
    """Not accepted: this member hears no leader; see `Replica.out_of_touch_since`."""
    OVERLOADED = "overloaded"
    """Not accepted: too many proposals or reads are in flight."""
    TOO_LARGE = "too-large"
    """Not accepted: the command exceeds the allowed size."""
    CHANGE_PENDING = "change-pending"
    """Not accepted: an earlier membership change is not committed yet."""
    NOT_CAUGHT_UP = "not-caught-up"
    """Not accepted: the learner lacks committed entries on its disk."""
    INVALID_CHANGE = "invalid-change"
    """Not accepted: the change doesn't fit the membership."""
    LEADERSHIP_LOST = "lost"
    """Leadership was lost meanwhile: the proposal may or may not be accepted later."""


class AddLearner(msgspec.Struct, frozen=True):
    """Let a member receive the log without a vote."""

    instance: InstanceId
    generation: str


class PromoteLearner(msgspec.Struct, frozen=True):
    """Give a caught-up learner its vote; without a generation, the instance's only learner."""

    instance: InstanceId
    generation: str | None = None


class RemoveMember(msgspec.Struct, frozen=True):
    """Remove a voter or learner; without a generation, the instance's only member."""

    instance: InstanceId
    generation: str | None = None


MembershipChange = AddLearner | PromoteLearner | RemoveMember


class Propose(Event, msgspec.Struct, frozen=True):
    """Append a command to the log; answered by `ProposalAccepted` or `ProposalRefused`."""

    proposal_id: str
    command: bytes


class Read(Event, msgspec.Struct, frozen=True):
    """Ask for a linearizable read; answered by `ReadReady` or `ReadRefused`."""

    read_id: str


class ChangeMembership(Event, msgspec.Struct, frozen=True):
    """Change the membership by one member; answered like a proposal."""

    proposal_id: str
    change: MembershipChange


class ContactsChanged(Event, msgspec.Struct, frozen=True):
    """Whom a replica that isn't a member asks for its cluster."""

    contacts: tuple[InstanceId, ...]


class Persisted(Event, msgspec.Struct, frozen=True):
    """All `Persist` effects up to and including this write number are synced, file and folder."""

    write_number: int


class SnapshotTaken(Event, msgspec.Struct, frozen=True):
    """Answer to `TakeSnapshot`: the application's state after the entry at `index`."""

    index: LogIndex
    data: bytes


class Persist(Effect, msgspec.Struct, frozen=True):
    """Write to disk and sync, in the order of the write numbers, then report `Persisted`.

    Parameters
    ----------
    write : int
        Number of this write, one more than the one before.
    hard_state : HardState or None
        New term, vote and cluster; None leaves them.
    snapshot : Snapshot or None
        Replaces the snapshot on disk; log entries up to its index may be dropped.
    discard_log : bool
        Whether all entries on disk are dropped, since they may conflict with `snapshot`.
    entries : tuple of Entry
        Appended to the log; entries on disk with an equal or greater index are replaced.
    commit_index : LogIndex
        Entries known to be committed; a hint for the next start.
    """

    write_number: int
    hard_state: HardState | None = None
    snapshot: Snapshot | None = None
    discard_log: bool = False
    entries: tuple[Entry, ...] = ()
    commit_index: LogIndex = NO_INDEX


class Apply(Effect, msgspec.Struct, frozen=True):
    """Apply a committed command; each replica applies the same commands in the same order."""

    index: LogIndex
    term: Term
    command: bytes


class RestoreSnapshot(Effect, msgspec.Struct, frozen=True):
    """Replace the application's state by that of a snapshot; `Apply` goes on after `index`."""

    index: LogIndex
    data: bytes


class TakeSnapshot(Effect, msgspec.Struct, frozen=True):
    """Serialize the application's state, which is that after `index`; answer `SnapshotTaken`.

    The state must be serialized before the next `Apply` is carried out.
    """

    index: LogIndex


class ProposalAccepted(Effect, msgspec.Struct, frozen=True):
    """The proposal is committed at `index`; it has been applied by an earlier effect."""

    proposal_id: str
    index: LogIndex


class ProposalRefused(Effect, msgspec.Struct, frozen=True):
    """The proposal was not accepted, or its fate is not known (`RefusalReason.LEADERSHIP_LOST`)."""

    proposal_id: str
    reason: ProposalRefusalReason
    leader: InstanceId | None
    detail: str = ""


class ReadReady(Effect, msgspec.Struct, frozen=True):
    """The application's state is current as of the `Read`; it includes all up to `index`."""

    read_id: str
    index: LogIndex


class ReadRefused(Effect, msgspec.Struct, frozen=True):
    """This replica can't tell whether its state is current."""

    read_id: str
    reason: ProposalRefusalReason
    leader: InstanceId | None


class RecoveredState(msgspec.Struct, frozen=True):
    """What a replica finds on its disk when it starts.

    Parameters
    ----------
    generation : str
        Generation of the data folder; made anew when the folder was empty.
    hard_state : HardState
        Term, vote and cluster.
    snapshot : Snapshot or None
        The newest snapshot.
    entries : tuple of Entry
        The log after the snapshot.
    commit_index : LogIndex
        Entries known to be committed when the last entry was written.
    """

    generation: str
    hard_state: HardState = INITIAL_HARD_STATE
    snapshot: Snapshot | None = None
    entries: tuple[Entry, ...] = ()
    commit_index: LogIndex = NO_INDEX


class DamageKind(Enum):
    """What is wrong with a data folder."""

    UNREADABLE = "unreadable"
    """A file doesn't have its checksum or form, and not through an interrupted write."""
    GAP = "gap"
    """Entries between the snapshot and the log, or within the log, are missing."""
    MISSING_FILE = "missing-file"
    """There is a log but no identity or no hard state."""


class StorageDamage(msgspec.Struct, frozen=True):
    """The data folder can't be trusted: the process stops and an operator decides."""

    kind: DamageKind
    file: str
    detail: str
