"""Immutable values of the replicated log: members, entries, snapshots and durable state."""

from enum import Enum

from chicorypost.base import InstanceId, LogIndex, Record, Term

NO_INDEX = LogIndex(0)
NO_TERM = Term(0)


class MemberId(Record, frozen=True, array_like=True):
    """One member with the generation of its data folder.

    An emptied data folder gets a new generation, hence counts as a different member.
    """

    instance: InstanceId
    generation: str


class ClusterMembership(Record, frozen=True, array_like=True):
    """Who votes and who only receives the log."""

    voters: tuple[MemberId, ...] = ()
    learners: tuple[MemberId, ...] = ()

    @property
    def quorum(self) -> int:
        """Number of voters that a decision needs."""
        return len(self.voters) // 2 + 1

    @property
    def members(self) -> tuple[MemberId, ...]:
        """All voters, then all learners."""
        return self.voters + self.learners


class EntryKind(Enum):
    """What an entry of the log holds."""

    COMMAND = 0
    """A proposal of the application."""
    NO_OPERATION = 1
    """Written by each new leader, so that older entries can be committed through it."""
    MEMBERSHIP = 2
    """The membership from this entry on."""


class Entry(Record, frozen=True, array_like=True):
    """One entry of the log."""

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
    """What must never be forgotten besides the log.

    `cluster` is empty until the cluster has been founded; `founding` is its first membership.
    """

    term: Term = NO_TERM
    vote: str = ""
    cluster: str = ""
    initial_membership: ClusterMembership = ClusterMembership()


INITIAL_HARD_STATE = HardState()
