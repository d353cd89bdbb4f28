"""Messages between entry balancers and dispatchers, and between dispatchers."""

from enum import Enum

from chicorypost.base import AttemptId, Epoch, Incarnation, Message, Record, ServiceId, UpstreamId
from chicorypost.configuration import Priority


class HttpRequest(Record, frozen=True, array_like=True):
    """Complete request of a caller."""

    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes


class HttpResponse(Record, frozen=True, array_like=True):
    """Complete response of an upstream."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class DispatchOutcome(Enum):
    """How an attempt at an upstream ended."""

    RESPONDED = "answered"
    """The upstream sent a complete response to this attempt."""
    NOT_STARTED = "not-started"
    """Nothing was sent to the upstream, and nothing will be."""
    UNKNOWN = "unknown"
    """Bytes were sent but no complete response arrived, so the request may have run."""


class DispatchRequest(Message, frozen=True, array_like=True, tag=520):
    """Request to the dispatcher of an upstream to run one attempt."""

    attempt: AttemptId
    service: ServiceId
    upstream: UpstreamId
    priority: Priority
    remaining_ms: int
    request: HttpRequest


class DispatchCancel(Message, frozen=True, array_like=True, tag=521):
    """Request to the dispatcher to cancel an attempt; the dispatcher still reports its outcome."""

    attempt: AttemptId


class DispatchReply(Message, frozen=True, array_like=True, tag=522):
    """Outcome of an attempt, with the current load of the upstream for upstream selection."""

    attempt: AttemptId
    upstream: UpstreamId
    outcome: DispatchOutcome
    reason: str
    response: HttpResponse | None
    running: int
    queued: int
    retry_after_ms: int


class DispatchHandover(Message, frozen=True, array_like=True, tag=523):
    """Exchanges that may still run at an upstream, sent to its next dispatcher.

    `is_former_dispatcher` is true if the sender was the dispatcher until `epoch` and starts no
    further exchanges. `blocked_ms` is the time in milliseconds for which the sender could not
    rule out exchanges of dispatchers before it.
    """

    upstream: UpstreamId
    incarnation: Incarnation
    epoch: Epoch
    is_former_dispatcher: bool
    sequence: int
    running_ms: tuple[int, ...]
    blocked_ms: int


class DispatchHandoverAcknowledged(Message, frozen=True, array_like=True, tag=524):
    """Acknowledgement of a handover."""

    upstream: UpstreamId
    sequence: int
