"""Messages between replicas."""

from chicorypost.base import LogIndex, Message, Term
from chicorypost.consensus._records import ClusterMembership, Entry


class FormationHello(Message, frozen=True, array_like=True, tag=100):
    """Sent by a replica that has no cluster or isn't in its membership.

    `cluster` is empty when none is known. `target` is the receiver's generation as last heard, so
    that a receiver can tell a current Hello from one that an earlier data folder has caused.
    """

    cluster: str
    source_generation: str
    target_generation: str


class ClusterInfo(Message, frozen=True, array_like=True, tag=101):
    """Answer to `Hello` from a replica that knows the cluster."""

    cluster: str
    initial_membership: ClusterMembership


class ReplicaMessage(Message, frozen=True, array_like=True, tag=102):
    """Base of messages within a cluster.

    `source` and `target` are generations of data folders: a message meant for a data folder that
    is gone is dropped by the one that replaced it, and what the new one says isn't counted as the
    old one's word.
    """

    cluster: str
    source_generation: str
    target_generation: str
    term: Term


class VoteRequest(ReplicaMessage, frozen=True, array_like=True, tag=110):
    """Ask for a vote in `term`, or with `pre_vote` whether it would be granted."""

    pre_vote: bool
    last_index: LogIndex
    last_term: Term


class VoteReply(ReplicaMessage, frozen=True, array_like=True, tag=111):
    """Grant or refuse a vote; `requested` is the term that was asked for."""

    pre_vote: bool
    requested_term: Term
    granted: bool


class AppendRequest(ReplicaMessage, frozen=True, array_like=True, tag=112):
    """Entries after `previous_index`; without entries a heartbeat."""

    sequence: int
    previous_index: LogIndex
    previous_term: Term
    entries: tuple[Entry, ...]
    commit_index: LogIndex


class AppendReply(ReplicaMessage, frozen=True, array_like=True, tag=113):
    """Answer to `AppendRequest`.

    With `matched`, all entries up to `index` are synced and equal to the leader's; without, `index`
    is where the leader should look for the last equal entry.
    """

    sequence: int
    matched: bool
    index: LogIndex


class SnapshotChunk(ReplicaMessage, frozen=True, array_like=True, tag=114):
    """A part of the leader's snapshot."""

    sequence: int
    index: LogIndex
    index_term: Term
    membership: ClusterMembership
    offset: int
    total_bytes: int
    data: bytes


class SnapshotReply(ReplicaMessage, frozen=True, array_like=True, tag=115):
    """Where the next chunk of the snapshot at `index` should start."""

    sequence: int
    index: LogIndex
    offset: int
