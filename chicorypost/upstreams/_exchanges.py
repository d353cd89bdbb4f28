"""Events and effects of exchanges with upstreams, and replies to the entry balancer."""

from dataclasses import dataclass
from enum import Enum

from chicorypost.base import (
    AttemptId,
    Effect,
    Event,
    Instant,
    Send,
    Upstream,
    UpstreamId,
    UpstreamState,
)
from chicorypost.configuration import ConfigurationDocument
from chicorypost.upstreams._limits import serves
from chicorypost.upstreams._messages import (
    DispatchOutcome,
    DispatchReply,
    DispatchRequest,
    HttpRequest,
    HttpResponse,
)
from chicorypost.upstreams._upstream_queue import DispatchAttempt, UpstreamQueue

MILLISECONDS_PER_SECOND = 1000
DEFAULT_RETRY_MS = 250


class AttemptRefusalReason(Enum):
    """Why an attempt was not started; sent as the `reason` of the reply."""

    DRAINING = "dispatcher-draining"
    NO_LEASE = "dispatcher-without-lease"
    NOT_DISPATCHER = "not-the-dispatcher"
    UNKNOWN_UPSTREAM = "unknown-upstream"
    WRONG_SERVICE = "wrong-service"
    UPSTREAM_NOT_READY = "upstream-not-ready"
    UPSTREAM_GONE = "upstream-gone"
    DEADLINE = "cannot-finish-in-time"
    QUEUE_FULL = "queue-full"
    CANCELLED = "cancelled"


@dataclass(frozen=True, slots=True)
class StartExchange(Effect):
    """Send a request to an upstream and post `ExchangeEnded` no later than the deadline.

    The driver checks `may_act` again before it sends the first byte. If the check fails, nothing
    is sent and the exchange ends with NOT_STARTED.
    """

    attempt: AttemptId
    upstream: Upstream
    request: HttpRequest
    deadline: Instant


@dataclass(frozen=True, slots=True)
class CancelExchange(Effect):
    """Cancel a running exchange, which still ends with `ExchangeEnded`."""

    attempt: AttemptId


@dataclass(frozen=True, slots=True)
class ExchangeEnded(Event):
    """An exchange ended, and the upstream no longer runs any part of it."""

    attempt: AttemptId
    outcome: DispatchOutcome
    reason: str
    response: HttpResponse | None


@dataclass(frozen=True, slots=True)
class Drain(Event):
    """Start a graceful stop: refuse new attempts, finish exchanges and hand over upstreams."""


def find_queue_refusal(
    queue: UpstreamQueue,
    document: ConfigurationDocument,
    request: DispatchRequest,
    deadline: Instant,
    now: Instant,
) -> AttemptRefusalReason | None:
    """Return why the queue of an upstream refuses an attempt, or None if it accepts it."""
    if not serves(document, queue.upstream, request.service):
        return AttemptRefusalReason.WRONG_SERVICE
    if queue.upstream.state is not UpstreamState.READY:
        return AttemptRefusalReason.UPSTREAM_NOT_READY
    if not queue.can_finish(request.priority, deadline, now):
        return AttemptRefusalReason.DEADLINE
    if not queue.has_room(request.priority):
        return AttemptRefusalReason.QUEUE_FULL
    return None


def refuse_attempt(
    attempt: DispatchAttempt,
    upstream: UpstreamId,
    queue: UpstreamQueue | None,
    reason: AttemptRefusalReason,
    now: Instant,
) -> Effect:
    """Return the reply that an attempt was not started and will not be."""
    running, queued, retry_ms = 0, 0, DEFAULT_RETRY_MS
    if queue is not None:
        running, queued = len(queue.running), queue.queued_count
        retry_ms = int(queue.retry_after_seconds(now) * MILLISECONDS_PER_SECOND)
    reply = DispatchReply(
        attempt.attempt_id,
        upstream,
        DispatchOutcome.NOT_STARTED,
        reason.value,
        None,
        running,
        queued,
        retry_ms,
    )
    return Send(attempt.entry, reply)


def reply_to_attempt(
    attempt: DispatchAttempt, queue: UpstreamQueue, ended: ExchangeEnded, now: Instant
) -> Effect:
    """Return the reply that reports the end of an exchange."""
    retry_ms = 0
    if ended.outcome is not DispatchOutcome.RESPONDED:
        retry_ms = int(queue.retry_after_seconds(now) * MILLISECONDS_PER_SECOND)
    reply = DispatchReply(
        attempt.attempt_id,
        queue.upstream.upstream,
        ended.outcome,
        ended.reason,
        ended.response,
        len(queue.running),
        queue.queued_count,
        retry_ms,
    )
    return Send(attempt.entry, reply)
