"""Messages between replicas."""

from chicorypost.base import LogIndex, Message, Term
from chicorypost.consensus._records import ClusterMembership, Entry, MemberId


class FormationHello(Message, frozen=True, array_like=True, tag=100):
    """Sent by a replica that has no cluster or isn't in its membership.

    `cluster` is empty if the sender has none. `target_generation` is the generation in the last
    hello that the sender received from the target. It shows the target whether its present data
    folder or an earlier one sent that hello.
    """

    cluster: str
    source_generation: str
    target_generation: str


class ClusterInfo(Message, frozen=True, array_like=True, tag=101):
    """Sent by a replica that belongs to a cluster to one that has none or isn't a member.

    `members` are the members that the sender knows, so that the receiver can send its hello to all
    of them: only the leader adds members. It is empty in messages of earlier versions.
    """

    cluster: str
    initial_membership: ClusterMembership
    members: tuple[MemberId, ...] = ()


class ReplicaMessage(Message, frozen=True, array_like=True, tag=102):
    """Base of messages within a cluster.

    `source_generation` and `target_generation` identify data folders: a message to a data folder
    that has been replaced is dropped, and a reply from the replacement doesn't count as one from
    the replaced data folder.
    """

    cluster: str
    source_generation: str
    target_generation: str
    term: Term


class VoteRequest(ReplicaMessage, frozen=True, array_like=True, tag=110):
    """Request a vote in `term`; with `pre_vote`, ask if one in the next term would be granted."""

    pre_vote: bool
    last_index: LogIndex
    last_term: Term


class VoteReply(ReplicaMessage, frozen=True, array_like=True, tag=111):
    """Grant or refuse a vote in `requested_term`."""

    pre_vote: bool
    requested_term: Term
    granted: bool


class AppendRequest(ReplicaMessage, frozen=True, array_like=True, tag=112):
    """Entries after `previous_index`; a heartbeat if there are none."""

    sequence: int
    previous_index: LogIndex
    previous_term: Term
    entries: tuple[Entry, ...]
    commit_index: LogIndex


class AppendReply(ReplicaMessage, frozen=True, array_like=True, tag=113):
    """Reply to `AppendRequest`.

    If `matched`, all entries up to `index` are synced and equal to the leader's. Otherwise, the
    leader searches for the last equal entry from `index` downwards.
    """

    sequence: int
    matched: bool
    index: LogIndex


class SnapshotChunk(ReplicaMessage, frozen=True, array_like=True, tag=114):
    """A chunk of the leader's snapshot."""

    sequence: int
    index: LogIndex
    index_term: Term
    membership: ClusterMembership
    offset: int
    total_bytes: int
    data: bytes


class SnapshotReply(ReplicaMessage, frozen=True, array_like=True, tag=115):
    """Reply to `SnapshotChunk`: the next chunk of the snapshot should start at `offset`."""

    sequence: int
    index: LogIndex
    offset: int
