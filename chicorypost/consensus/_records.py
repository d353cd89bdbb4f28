"""Immutable records of the replicated log: members, entries, snapshots and durable state."""

from enum import Enum

from chicorypost.base import InstanceId, LogIndex, Record, Term

NO_INDEX = LogIndex(0)
NO_TERM = Term(0)


class MemberId(Record, frozen=True, array_like=True):
    """A member, identified by its instance and the generation of its data folder.

    An emptied data folder gets a new generation and therefore counts as a different member.
    """

    instance: InstanceId
    generation: str


class ClusterMembership(Record, frozen=True, array_like=True):
    """The voters, and the learners, which receive the log without a vote."""

    voters: tuple[MemberId, ...] = ()
    learners: tuple[MemberId, ...] = ()

    @property
    def quorum(self) -> int:
        """Number of voters that a decision requires."""
        return len(self.voters) // 2 + 1

    @property
    def members(self) -> tuple[MemberId, ...]:
        """All voters, then all learners."""
        return self.voters + self.learners


class EntryKind(Enum):
    """Kind of a log entry."""

    COMMAND = 0
    """A command proposed by the application."""
    NO_OPERATION = 1
    """Appended by each new leader; entries of earlier terms are committed through it."""
    MEMBERSHIP = 2
    """The membership from this entry on."""


class Entry(Record, frozen=True, array_like=True):
    """An entry of the log."""

    index: LogIndex
    term: Term
    kind: EntryKind
    command: bytes


class Snapshot(Record, frozen=True, array_like=True):
    """The application's state after all entries up to and including `index`."""

    index: LogIndex
    term: Term
    membership: ClusterMembership
    data: bytes


class HardState(Record, frozen=True, array_like=True):
    """Durable state besides the log.

    `cluster` is empty until the replica belongs to a cluster; `initial_membership` is the first
    membership of that cluster.
    """

    term: Term = NO_TERM
    vote: str = ""
    cluster: str = ""
    initial_membership: ClusterMembership = ClusterMembership()


INITIAL_HARD_STATE = HardState()
