"""Events and effects of exchanges with upstreams, and the answers that come of them."""

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
    """Why an attempt was not started; the `reason` of its answer."""

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
    """Send a request to an upstream and report with `ExchangeEnded` by the deadline at the latest.

    The driver asks `may_act` once more before the first byte; if it may not, nothing is sent and
    the exchange ends as NOT_STARTED.
    """

    attempt: AttemptId
    upstream: Upstream
    request: HttpRequest
    deadline: Instant


@dataclass(frozen=True, slots=True)
class CancelExchange(Effect):
    """Cancel a running exchange at its upstream; it still ends with `ExchangeEnded`."""

    attempt: AttemptId


@dataclass(frozen=True, slots=True)
class ExchangeEnded(Event):
    """An exchange has ended: the upstream runs nothing of it any more."""

    attempt: AttemptId
    outcome: DispatchOutcome
    reason: str
    response: HttpResponse | None


@dataclass(frozen=True, slots=True)
class Drain(Event):
    """Take no new attempts, finish what runs and hand the upstreams over: a graceful stop."""


def find_queue_refusal(
    lane: UpstreamQueue,
    document: ConfigurationDocument,
    request: DispatchRequest,
    deadline: Instant,
    now: Instant,
) -> AttemptRefusalReason | None:
    """Return why an upstream can't take an attempt, or None."""
    if not serves(document, lane.upstream, request.service):
        return AttemptRefusalReason.WRONG_SERVICE
    if lane.upstream.state is not UpstreamState.READY:
        return AttemptRefusalReason.UPSTREAM_NOT_READY
    if not lane.can_finish(request.priority, deadline, now):
        return AttemptRefusalReason.DEADLINE
    if not lane.has_room(request.priority):
        return AttemptRefusalReason.QUEUE_FULL
    return None


def refuse_attempt(
    attempt: DispatchAttempt,
    upstream: UpstreamId,
    lane: UpstreamQueue | None,
    cause: AttemptRefusalReason,
    now: Instant,
) -> Effect:
    """Answer that nothing was and nothing will be sent to the upstream."""
    running, queued, retry_ms = 0, 0, DEFAULT_RETRY_MS
    if lane is not None:
        running, queued = len(lane.running), lane.queued_count
        retry_ms = int(lane.retry_after_seconds(now) * MILLISECONDS_PER_SECOND)
    answer = DispatchReply(
        attempt.attempt_id,
        upstream,
        DispatchOutcome.NOT_STARTED,
        cause.value,
        None,
        running,
        queued,
        retry_ms,
    )
    return Send(attempt.entry, answer)


def reply_to_attempt(
    attempt: DispatchAttempt, lane: UpstreamQueue, ended: ExchangeEnded, now: Instant
) -> Effect:
    """Pass on how an exchange ended."""
    retry_ms = 0
    if ended.outcome is not DispatchOutcome.RESPONDED:
        retry_ms = int(lane.retry_after_seconds(now) * MILLISECONDS_PER_SECOND)
    answer = DispatchReply(
        attempt.attempt_id,
        lane.upstream.upstream,
        ended.outcome,
        ended.reason,
        ended.response,
        len(lane.running),
        lane.queued_count,
        retry_ms,
    )
    return Send(attempt.entry, answer)
