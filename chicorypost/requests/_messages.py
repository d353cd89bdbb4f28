"""Messages between the entry, owner, backup and runner of a request with a key."""

from enum import Enum

from chicorypost.base import (
    AttemptId,
    Epoch,
    Incarnation,
    InstanceId,
    Message,
    Record,
    RequestKey,
    ServiceId,
    UpstreamId,
)
from chicorypost.configuration import Priority
from chicorypost.requests._outcome import Outcome, Reason
from chicorypost.upstreams import DispatchOutcome, HttpRequest, HttpResponse


class RecordState(Enum):
    """Progress of a request with a key."""

    RUNNING = "running"
    """An attempt is recorded; it may be queued, running or finished."""
    DONE = "done"
    """The upstream responded."""
    NOT_RUN = "not-run"
    """Tombstone: no attempt has started and none will."""
    UNKNOWN = "unknown"
    """An attempt may have run and its response is lost."""
    FORGOTTEN = "forgotten"
    """No attempt has started; the next request with the key is treated as new."""


class KeyRecord(Record, frozen=True, array_like=True):
    """State of one key, stored at its owner and backup.

    Parameters
    ----------
    service, key
        Identity of the record.
    fingerprint : int
        Hash of the request, to detect a key that is reused for a different request.
    revision : tuple of int
        Epoch and counter of the owner's last change; a greater revision replaces a smaller one.
    state : RecordState
        Progress of the request.
    attempt : AttemptId
        Latest attempt.
    runner : InstanceId
        Instance that runs the attempt.
    runner_incarnation : Incarnation
        Incarnation of the runner; another one has no state of the attempt.
    response : HttpResponse or None
        Response to a request that is done; None if it exceeds the limits for kept responses.
    expires_in_ms : int
        Remaining retention of the record, in milliseconds; a running one is kept longer.
    """

    service: ServiceId
    key: RequestKey
    fingerprint: int
    revision: tuple[int, int]
    state: RecordState
    attempt: AttemptId
    runner: InstanceId
    runner_incarnation: Incarnation
    response: HttpResponse | None
    expires_in_ms: int


class OwnerRequest(Message, frozen=True, array_like=True, tag=610):
    """Entry to owner: process this request. Resent until acknowledged or answered."""

    correlation: str
    service: ServiceId
    key: RequestKey
    remaining_ms: int
    priority: Priority
    request: HttpRequest


class OwnerAccepted(Message, frozen=True, array_like=True, tag=611):
    """Owner to entry: the request was received; an `OwnerAnswer` follows."""

    correlation: str


class OwnerAnswer(Message, frozen=True, array_like=True, tag=612):
    """Owner to entry: the outcome of the request."""

    correlation: str
    outcome: Outcome
    reason: Reason
    response: HttpResponse | None
    retry_after_ms: int


class OwnerCancel(Message, frozen=True, array_like=True, tag=613):
    """Entry to owner: the caller has disconnected."""

    correlation: str


class RunAttempt(Message, frozen=True, array_like=True, tag=620):
    """Owner to runner: run this attempt at most once, even if the message is received repeatedly.

    Parameters
    ----------
    attempt : AttemptId
        Id of the attempt.
    owner_incarnation, number, closed_below
        Position of the attempt in the owner's sequence. Attempts with a number below
        `closed_below` are closed: a late copy must not run.
    runner_incarnation : Incarnation
        Incarnation of the runner in the record; any other one ignores the message.
    start_within_ms : int
        Remaining time of the owner's lease, in milliseconds; the runner refuses the attempt once
        it has passed.
    remaining_ms : int
        Remaining time of the request, in milliseconds.
    """

    attempt: AttemptId
    owner_incarnation: Incarnation
    number: int
    closed_below: int
    runner_incarnation: Incarnation
    service: ServiceId
    key: RequestKey
    upstream: UpstreamId
    priority: Priority
    start_within_ms: int
    remaining_ms: int
    request: HttpRequest


class RunAccepted(Message, frozen=True, array_like=True, tag=621):
    """Runner to owner: the attempt was received."""

    attempt: AttemptId


class RunCancel(Message, frozen=True, array_like=True, tag=622):
    """Owner to runner: cancel the attempt; its result is still reported."""

    attempt: AttemptId


class AttemptQuery(Message, frozen=True, array_like=True, tag=623):
    """Owner to runner: report the attempt, and exclude it if it has not been received."""

    attempt: AttemptId
    runner_incarnation: Incarnation
    service: ServiceId
    key: RequestKey


class AttemptResult(Message, frozen=True, array_like=True, tag=624):
    """Runner to owner: result of the attempt. Resent until the attempt is closed."""

    attempt: AttemptId
    service: ServiceId
    key: RequestKey
    outcome: DispatchOutcome
    reason: str
    response: HttpResponse | None
    retry_after_ms: int


class AttemptClosed(Message, frozen=True, array_like=True, tag=625):
    """Owner to runner: owner and backup have recorded the result."""

    attempt: AttemptId


class RecordUpdate(Message, frozen=True, array_like=True, tag=630):
    """Owner to backup: store this record. Resent until acknowledged."""

    epoch: Epoch
    partition: int
    record: KeyRecord


class RecordAck(Message, frozen=True, array_like=True, tag=631):
    """Backup to owner: the record is stored, or the backup is full."""

    epoch: Epoch
    service: ServiceId
    key: RequestKey
    revision: tuple[int, int]
    is_stored: bool


class PartitionQuery(Message, frozen=True, array_like=True, tag=640):
    """New owner to every member of the view: report the copies of these partitions."""

    epoch: Epoch
    partitions: tuple[int, ...]


class CopyStatus(Record, frozen=True, array_like=True):
    """Status of a member's copy of a partition.

    Parameters
    ----------
    partition : int
        The partition.
    complete_until : int
        Epoch of the view in which the copy ceased to be current; -1 without a copy.
    inactive_from, inactive_until : int
        Epochs of the views in which the member began and ceased to own the partition without
        making decisions; -1 if none.
    """

    partition: int
    complete_until: int
    inactive_from: int
    inactive_until: int


class PartitionReply(Message, frozen=True, array_like=True, tag=641):
    """Member to new owner: its copies; from now on the member makes no decisions in them."""

    epoch: Epoch
    copies: tuple[CopyStatus, ...]


class PartitionFetch(Message, frozen=True, array_like=True, tag=642):
    """New owner to a member with a copy: send this part of the partition."""

    epoch: Epoch
    partition: int
    index: int


class PartitionCopy(Message, frozen=True, array_like=True, tag=643):
    """Part of a partition, from a member to the new owner or from the owner to its backup.

    Parameters
    ----------
    index : int
        Index of the part.
    is_last : bool
        Whether this is the last part.
    key_time_floor : float
        Wall-clock time, in seconds; a key created at or before it may have run even if it has no
        record.
    opaque_keys_unsafe_until : float
        Wall-clock time, in seconds, until which a key without a timestamp may have run even if it
        has no record.
    """

    epoch: Epoch
    partition: int
    index: int
    is_last: bool
    key_time_floor: float
    opaque_keys_unsafe_until: float
    records: tuple[KeyRecord, ...]


class PartitionCopyAck(Message, frozen=True, array_like=True, tag=644):
    """Backup to owner: the part is stored."""

    epoch: Epoch
    partition: int
    index: int


class CopyReleaseQuery(Message, frozen=True, array_like=True, tag=645):
    """Member with retired copies to owner: query whether they can be dropped."""

    epoch: Epoch
    partitions: tuple[int, ...]


class CopyReleased(Message, frozen=True, array_like=True, tag=646):
    """Owner to member with retired copies: the copies of these partitions can be dropped.

    Owner and backup have complete ones.
    """

    epoch: Epoch
    partitions: tuple[int, ...]


class BackupSyncRequest(Message, frozen=True, array_like=True, tag=647):
    """Backup to owner: the copies of these partitions are incomplete; resend them."""

    epoch: Epoch
    partitions: tuple[int, ...]
