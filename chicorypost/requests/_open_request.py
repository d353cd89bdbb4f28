"""What the owner does about one key: attempts, copies at the backup, callers that wait."""

from dataclasses import dataclass, field

from chicorypost.base import (
    AttemptId,
    InstanceId,
    Instant,
    RequestKey,
    ServiceId,
    UpstreamId,
    hash64,
)
from chicorypost.configuration import Priority
from chicorypost.requests._messages import KeyRecord, OwnerRequest, RecordState
from chicorypost.requests._outcome import Outcome, Reason, RequestResult
from chicorypost.requests._placement import RecordId, partition_of
from chicorypost.upstreams import HttpRequest


@dataclass(slots=True)
class RequestWaiter:
    """An entry that waits for the outcome on behalf of a caller."""

    entry: InstanceId
    deadline: Instant


@dataclass(slots=True)
class OpenRequest:
    """Unfinished business with one key.

    Parameters
    ----------
    record_id : RecordId
        Service and key.
    deadline : Instant
        When the outcome must be on its way to the last caller.
    request : HttpRequest or None
        The request; None after a takeover until an entry sends it again.
    waiters : dict of str to Waiter
        Entries that wait, by correlation.
    excluded : set of UpstreamId
        Upstreams that did not start an attempt.
    attempts : int
        Attempts made here.
    is_kept : bool
        Whether the backup has the current revision of the record.
    is_dispatched : bool
        Whether the runner may have been told of the current attempt.
    is_inherited : bool
        Whether the attempt is that of a former owner: it is asked for, never sent.
    cancel_at : Instant or None
        When to cancel, as no caller waits any more.
    is_cancelled : bool
        Whether the attempt was cancelled.
    to_close : set of (AttemptId, InstanceId)
        Attempts to close at their runners once the backup has the record.
    resend_seconds : float
        Current interval of repeats.
    """

    record_id: RecordId
    deadline: Instant
    priority: Priority = Priority.CONFIRMATION
    request: HttpRequest | None = None
    waiters: dict[str, RequestWaiter] = field(default_factory=dict)
    excluded_upstreams: set[UpstreamId] = field(default_factory=set)
    upstream: UpstreamId | None = None
    attempts: int = 0
    is_replicated: bool = False
    is_dispatched: bool = False
    is_inherited: bool = False
    cancel_at: Instant | None = None
    is_cancelled: bool = False
    attempts_to_close: set[tuple[AttemptId, InstanceId]] = field(default_factory=set)
    resend_seconds: float = 0.0

    @property
    def partition(self) -> int:
        """The partition of the key."""
        return partition_of(self.record_id)

    @property
    def service(self) -> ServiceId:
        """The service."""
        return self.record_id[0]

    @property
    def key(self) -> RequestKey:
        """The key."""
        return self.record_id[1]


def result_of_record(record: KeyRecord) -> RequestResult:
    """Return what a final record promises to callers."""
    match record.state:
        case RecordState.DONE if record.response is not None:
            return RequestResult(Outcome.DONE, Reason.ANSWERED, record.response)
        case RecordState.DONE:
            return RequestResult(Outcome.DONE, Reason.ANSWER_NOT_KEPT)
        case RecordState.NOT_RUN:
            return RequestResult(Outcome.NOT_RUN, Reason.DEADLINE)
        case RecordState.UNKNOWN:
            return RequestResult(Outcome.OUTCOME_UNKNOWN, Reason.ANSWER_LOST)
    raise AssertionError(f"record is not final: got {record.state}")


def fingerprint_of(message: OwnerRequest) -> int:
    """Return a hash of what a request asks for; headers may differ between resends."""
    request = message.request
    head = f"{request.method}\0{request.target}\0".encode()
    # Bounded to a signed integer of 64 bits, which every msgpack reader has.
    return hash64(head + request.body) >> 1
