"""Messages between the balancer that handles a request and the dispatcher of an upstream."""

from enum import Enum

from chicorypost.base import AttemptId, Epoch, Incarnation, Message, Record, ServiceId, UpstreamId
from chicorypost.configuration import Priority


class HttpRequest(Record, frozen=True, array_like=True):
    """A whole request as a caller sent it."""

    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes


class HttpResponse(Record, frozen=True, array_like=True):
    """A whole response as an upstream sent it."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class DispatchOutcome(Enum):
    """How an attempt at an upstream ended."""

    RESPONDED = "answered"
    """The upstream sent a whole answer to this attempt."""
    NOT_STARTED = "not-started"
    """Nothing was sent to the upstream and nothing will be."""
    UNKNOWN = "unknown"
    """Bytes were sent and no whole answer came: the request may have run."""


class DispatchRequest(Message, frozen=True, array_like=True, tag=520):
    """Ask the dispatcher of an upstream to run one attempt."""

    attempt: AttemptId
    service: ServiceId
    upstream: UpstreamId
    priority: Priority
    remaining_ms: int
    request: HttpRequest


class DispatchCancel(Message, frozen=True, array_like=True, tag=521):
    """Ask the dispatcher to stop an attempt; it still reports how the attempt ended."""

    attempt: AttemptId


class DispatchReply(Message, frozen=True, array_like=True, tag=522):
    """Report how an attempt ended, with the load of the upstream for the next choice."""

    attempt: AttemptId
    upstream: UpstreamId
    outcome: DispatchOutcome
    reason: str
    response: HttpResponse | None
    running: int
    queued: int
    retry_after_ms: int


class DispatchHandover(Message, frozen=True, array_like=True, tag=523):
    """Tell the next dispatcher of an upstream what may still run there.

    `is_former` says that the sender was the dispatcher until `epoch` and starts nothing more;
    `hold_ms` for how long the sender itself could not rule out other exchanges.
    """

    upstream: UpstreamId
    incarnation: Incarnation
    epoch: Epoch
    is_former_dispatcher: bool
    sequence: int
    running_ms: tuple[int, ...]
    blocked_ms: int


class DispatchHandoverAcknowledged(Message, frozen=True, array_like=True, tag=524):
    """Acknowledge a handover."""

    upstream: UpstreamId
    sequence: int
