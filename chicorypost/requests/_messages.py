"""Messages between the entry, the owner, its backup and the runner of a keyed request."""

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
    """How far a keyed request has come."""

    RUNNING = "running"
    """An attempt was recorded; it may be waiting, running or finished."""
    DONE = "done"
    """The upstream answered."""
    NOT_RUN = "not-run"
    """Tombstone: no attempt has started and none will."""
    UNKNOWN = "unknown"
    """An attempt may have run and its answer is lost."""
    FORGOTTEN = "forgotten"
    """Nothing has started; the next request with the key is a first one."""


class KeyRecord(Record, frozen=True, array_like=True):
    """What the owner and its backup hold of one key.

    Parameters
    ----------
    service, key
        Identity of the record.
    fingerprint : int
        Hash of the request, so that a key reused for another request is noticed.
    revision : tuple of int
        Epoch and counter of the owner's last change: a greater one replaces a smaller one.
    state : RecordState
        How far the request has come.
    attempt : AttemptId
        The last attempt.
    runner : InstanceId
        The instance that runs the attempt.
    runner_incarnation : Incarnation
        Its incarnation: another one knows nothing of the attempt.
    response : HttpResponse or None
        The answer of a request that is done; None if it is too large to keep.
    expires_in_ms : int
        How long the record is still kept once it is final.
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
    """Entry to owner: decide this request. Repeated until it is accepted or answered."""

    correlation: str
    service: ServiceId
    key: RequestKey
    remaining_ms: int
    priority: Priority
    request: HttpRequest


class OwnerAccepted(Message, frozen=True, array_like=True, tag=611):
    """Owner to entry: the request has arrived and an answer will follow."""

    correlation: str


class OwnerAnswer(Message, frozen=True, array_like=True, tag=612):
    """Owner to entry: the outcome."""

    correlation: str
    outcome: Outcome
    reason: Reason
    response: HttpResponse | None
    retry_after_ms: int


class OwnerCancel(Message, frozen=True, array_like=True, tag=613):
    """Entry to owner: the caller has gone."""

    correlation: str


class RunAttempt(Message, frozen=True, array_like=True, tag=620):
    """Owner to runner: run this attempt once, however often this message arrives.

    Parameters
    ----------
    attempt : AttemptId
        The attempt.
    owner_incarnation, number, closed_below
        Place of the attempt in the owner's sequence. Every attempt with a number below
        `closed_below` is over: a late copy of it must not run.
    runner_incarnation : Incarnation
        The runner that the record names; another one refuses.
    start_within_ms : int
        Remaining time of the owner's lease: the runner takes no attempt after it.
    remaining_ms : int
        Remaining time of the request.
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
    """Runner to owner: the attempt has arrived."""

    attempt: AttemptId


class RunCancel(Message, frozen=True, array_like=True, tag=622):
    """Owner to runner: cancel the attempt; its result is still reported."""

    attempt: AttemptId


class AttemptQuery(Message, frozen=True, array_like=True, tag=623):
    """Owner to runner: report the attempt; one that has not arrived must never run."""

    attempt: AttemptId
    runner_incarnation: Incarnation
    service: ServiceId
    key: RequestKey


class AttemptResult(Message, frozen=True, array_like=True, tag=624):
    """Runner to owner: how the attempt ended. Repeated until it is closed."""

    attempt: AttemptId
    service: ServiceId
    key: RequestKey
    outcome: DispatchOutcome
    reason: str
    response: HttpResponse | None
    retry_after_ms: int


class AttemptClosed(Message, frozen=True, array_like=True, tag=625):
    """Owner to runner: the result is recorded at owner and backup."""

    attempt: AttemptId


class RecordUpdate(Message, frozen=True, array_like=True, tag=630):
    """Owner to backup: keep this record. Repeated until it is acknowledged."""

    epoch: Epoch
    partition: int
    record: KeyRecord


class RecordAck(Message, frozen=True, array_like=True, tag=631):
    """Backup to owner: the record is kept, or there is no room for it."""

    epoch: Epoch
    service: ServiceId
    key: RequestKey
    revision: tuple[int, int]
    is_stored: bool


class PartitionQuery(Message, frozen=True, array_like=True, tag=640):
    """New owner to every member of the view: what do you hold of these partitions?"""

    epoch: Epoch
    partitions: tuple[int, ...]


class CopyStatus(Record, frozen=True, array_like=True):
    """What a member holds of a partition.

    Parameters
    ----------
    partition : int
        The partition.
    complete_until : int
        Epoch of the view in which the copy ceased to be current; -1 without one.
    idle_from, idle_until : int
        Epochs of the views in which the member began and ceased to own the partition without
        deciding; -1 if none.
    """

    partition: int
    complete_until: int
    inactive_from: int
    inactive_until: int


class PartitionReply(Message, frozen=True, array_like=True, tag=641):
    """Member to new owner: its holdings; from now on it decides nothing in them."""

    epoch: Epoch
    copies: tuple[CopyStatus, ...]


class PartitionFetch(Message, frozen=True, array_like=True, tag=642):
    """New owner to holder: send this part of the partition."""

    epoch: Epoch
    partition: int
    index: int


class PartitionCopy(Message, frozen=True, array_like=True, tag=643):
    """Part of a partition: from a holder to the new owner or from the owner to its backup.

    Parameters
    ----------
    index : int
        Number of the part.
    last : bool
        Whether it is the last one.
    floor : float
        Wall time; a key made no later than it that has no record may have run.
    opaque_until : float
        Wall time until which a key without a time that has no record may have run.
    """

    epoch: Epoch
    partition: int
    index: int
    is_last: bool
    key_time_floor: float
    opaque_keys_unsafe_until: float
    records: tuple[KeyRecord, ...]


class PartitionCopyAck(Message, frozen=True, array_like=True, tag=644):
    """Backup to owner: the part is kept."""

    epoch: Epoch
    partition: int
    index: int


class CopyReleaseQuery(Message, frozen=True, array_like=True, tag=645):
    """Former holder to owner: are these copies still needed?"""

    epoch: Epoch
    partitions: tuple[int, ...]


class CopyReleased(Message, frozen=True, array_like=True, tag=646):
    """Owner to former holder: owner and backup have these partitions whole."""

    epoch: Epoch
    partitions: tuple[int, ...]


class BackupSyncRequest(Message, frozen=True, array_like=True, tag=647):
    """Backup to owner: these copies are not complete."""

    epoch: Epoch
    partitions: tuple[int, ...]
