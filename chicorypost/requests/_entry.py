"""Entry of requests: accepts them from callers and sends each caller one response."""

from dataclasses import dataclass, field
from typing import Any

from chicorypost.base import (
    AttemptId,
    Effect,
    InstanceId,
    Instant,
    RequestKey,
    Send,
    ServiceId,
    UpstreamId,
)
from chicorypost.configuration import Priority
from chicorypost.requests._budget import RetryBudget
from chicorypost.requests._classify import RequestClass, classify
from chicorypost.requests._context import BalancerContext
from chicorypost.requests._deadlines import DeadlineQueue
from chicorypost.requests._events import ANSWER_DROPPED, OUTCOME_UNKNOWN, RETRIED, RETRY_REFUSED
from chicorypost.requests._interface import Chooser, RequestArrived, Respond
from chicorypost.requests._key import normalize_key
from chicorypost.requests._messages import OwnerAccepted, OwnerAnswer, OwnerCancel, OwnerRequest
from chicorypost.requests._outcome import Outcome, Reason, RequestResult, to_response
from chicorypost.requests._placement import MemberKey, member_key
from chicorypost.upstreams import (
    DispatchCancel,
    DispatchOutcome,
    DispatchReply,
    DispatchRequest,
    HttpRequest,
    NoUpstream,
    dispatcher_of,
)

MILLISECONDS_PER_SECOND = 1000
RETRYABLE_STATUSES = frozenset({502, 503, 504})


@dataclass(slots=True)
class PendingRequest:
    """A caller's request that has no response yet.

    Parameters
    ----------
    ticket : int
        Number of the caller's connection in the driver.
    key : RequestKey or None
        Key of a request that goes to its owner; None for one that goes to a dispatcher.
    correlation : str
        Id of the current message to the owner, or of the current attempt.
    target : MemberKey or None
        The owner or dispatcher that the last message went to.
    attempt_deadline : Instant or None
        When the current attempt times out.
    may_have_run : bool
        Whether any attempt may have run.
    """

    ticket: int
    request: HttpRequest
    service: ServiceId
    key: RequestKey | None
    deadline: Instant
    priority: Priority
    correlation: str = ""
    target: MemberKey | None = None
    upstream: UpstreamId | None = None
    excluded_upstreams: set[UpstreamId] = field(default_factory=set)
    attempts: int = 0
    attempt_deadline: Instant | None = None
    resend_seconds: float = 0.0
    may_have_run: bool = False


class RequestEntry:
    """State machine of the requests whose callers are connected to this instance.

    Parameters
    ----------
    context : BalancerContext
        Views, configuration and settings.
    chooser : Chooser
        Chooses upstreams for idempotent requests without a key.

    Notes
    -----
    A request with a key always goes to the key's owner, even if it is idempotent: while a change of
    the rules is being distributed, balancers would otherwise run the same key in different ways.
    """

    def __init__(self, context: BalancerContext, chooser: Chooser) -> None:
        self.context = context
        self.chooser = chooser
        self.budget = RetryBudget(context.settings.budget_capacity)
        self.pending_requests: dict[int, PendingRequest] = {}
        self.correlations: dict[str, int] = {}
        self.deadlines: DeadlineQueue[int] = DeadlineQueue()
        self.next_correlation = 1

    @property
    def is_idle(self) -> bool:
        """Whether no caller is waiting for a response."""
        return not self.pending_requests

    def accept_request(self, event: RequestArrived, now: Instant) -> list[Effect]:
        """Validate a caller's request and send it to its owner or a dispatcher."""
        refusal, key = self._validate(event, now)
        if refusal is not None:
            return [Respond(event.ticket, to_response(refusal))]
        pending = PendingRequest(
            event.ticket, event.request, event.service, key, event.deadline, event.priority
        )
        self.pending_requests[event.ticket] = pending
        effects = (
            self._send_to_owner(pending, now)
            if key is not None
            else self._start_attempt(pending, now)
        )
        self._schedule(pending, now)
        return effects

    def _validate(
        self, event: RequestArrived, now: Instant
    ) -> tuple[RequestResult | None, RequestKey | None]:
        if self.context.is_draining:
            return RequestResult(Outcome.TRY_AGAIN, Reason.DRAINING), None
        spec = self.context.find_service_spec(event.service)
        if spec is None:
            return RequestResult(Outcome.REJECTED, Reason.UNKNOWN_SERVICE), None
        if now >= event.deadline:
            return RequestResult(Outcome.TRY_AGAIN, Reason.DEADLINE), None
        if event.key is not None:
            key = normalize_key(event.key)
            refusal = (
                None if key is not None else RequestResult(Outcome.REJECTED, Reason.KEY_INVALID)
            )
            return refusal, key
        if classify(spec, event.request.method, event.request.target) is RequestClass.IDEMPOTENT:
            return None, None
        return RequestResult(Outcome.REJECTED, Reason.KEY_MISSING), None

    def handle_caller_gone(self, ticket: int) -> list[Effect]:
        """Cancel the request of a caller that has disconnected."""
        pending = self.pending_requests.get(ticket)
        if pending is None:
            return []
        target = pending.target
        self._remove(pending)
        if target is None:
            return []
        if pending.key is not None:
            return [Send(target[0], OwnerCancel(pending.correlation))]
        return [Send(target[0], DispatchCancel(AttemptId(pending.correlation)))]

    def _new_correlation(self, pending: PendingRequest) -> str:
        self.correlations.pop(pending.correlation, None)
        name, incarnation = self.context.self_key
        pending.correlation = f"{name}/{incarnation}/e{self.next_correlation}"
        self.next_correlation += 1
        self.correlations[pending.correlation] = pending.ticket
        return pending.correlation

    def _find_by_correlation(self, correlation: str) -> PendingRequest | None:
        ticket = self.correlations.get(correlation)
        return None if ticket is None else self.pending_requests[ticket]

    def _remove(self, pending: PendingRequest) -> None:
        self.correlations.pop(pending.correlation, None)
        self.pending_requests.pop(pending.ticket, None)
        self.deadlines.clear_deadline(pending.ticket)

    def _respond(self, pending: PendingRequest, result: RequestResult) -> list[Effect]:
        self._remove(pending)
        effects: list[Effect] = [Respond(pending.ticket, to_response(result))]
        if result.outcome is Outcome.OUTCOME_UNKNOWN:
            emitted = OUTCOME_UNKNOWN.emit(service=pending.service, reason=result.reason.value)
            effects.append(emitted)
        return effects

    # Requests with a key

    def _send_to_owner(self, pending: PendingRequest, now: Instant) -> list[Effect]:
        assert pending.key is not None, "only requests with a key have an owner"
        owner = self.context.find_owner((pending.service, pending.key))
        if owner is None:
            if pending.may_have_run:
                return []
            return self._respond(
                pending, RequestResult(Outcome.TRY_AGAIN, Reason.OWNER_UNREACHABLE)
            )
        if owner != pending.target or not pending.correlation:
            self._new_correlation(pending)
            pending.resend_seconds = 0.0
        pending.target = owner
        pending.may_have_run = True
        message = OwnerRequest(
            pending.correlation,
            pending.service,
            pending.key,
            int((pending.deadline - now) * MILLISECONDS_PER_SECOND),
            pending.priority,
            pending.request,
        )
        return [Send(owner[0], message)]

    def handle_owner_accepted(self, message: OwnerAccepted) -> list[Effect]:
        """Lengthen the resend interval of a request that its owner has acknowledged."""
        pending = self._find_by_correlation(message.correlation)
        if pending is not None:
            pending.resend_seconds = self.context.settings.max_resend_seconds
        return []

    def handle_owner_reply(
        self, sender: InstanceId, reply: OwnerAnswer, now: Instant
    ) -> list[Effect]:
        """Respond with the owner's outcome of a request with a key."""
        pending = self._find_by_correlation(reply.correlation)
        if pending is None or pending.target is None or pending.target[0] != sender:
            return [ANSWER_DROPPED.emit(attempt=reply.correlation, sender=sender)]
        if reply.reason is Reason.OWNER_NOT_READY:
            # The owner has not decided; the request is resent until its deadline.
            return []
        result = RequestResult(reply.outcome, reply.reason, reply.response, reply.retry_after_ms)
        return self._respond(pending, result)

    # Idempotent requests without a key

    def _start_attempt(self, pending: PendingRequest, now: Instant) -> list[Effect]:
        spec = self.context.find_service_spec(pending.service)
        if spec is None:
            return self._respond_failure(pending, Reason.UNKNOWN_SERVICE)
        upstream = self.chooser.choose(spec.selector.service, pending.excluded_upstreams, now)
        if isinstance(upstream, NoUpstream):
            return self._respond_failure(pending, Reason.NO_UPSTREAM)
        placement = self.context.placements.get(upstream.data_centre)
        if placement is None:
            return self._respond_failure(pending, Reason.NO_UPSTREAM)
        dispatcher = dispatcher_of(placement.view, upstream.upstream)
        if dispatcher is None:
            return self._respond_failure(pending, Reason.NO_UPSTREAM)
        pending.attempts += 1
        pending.upstream = upstream.upstream
        pending.target = member_key(dispatcher)
        remaining = pending.deadline - now
        pending.attempt_deadline = Instant(now + remaining * self.context.settings.attempt_share)
        message = DispatchRequest(
            AttemptId(self._new_correlation(pending)),
            pending.service,
            upstream.upstream,
            pending.priority,
            int(remaining * MILLISECONDS_PER_SECOND),
            pending.request,
        )
        return [Send(dispatcher.instance, message)]

    def _respond_failure(
        self, pending: PendingRequest, reason: Reason, retry_after_ms: int = 0
    ) -> list[Effect]:
        if pending.may_have_run:
            lost = RequestResult(Outcome.OUTCOME_UNKNOWN, Reason.ANSWER_LOST)
            return self._respond(pending, lost)
        refusal = RequestResult(Outcome.TRY_AGAIN, reason, retry_after_ms=retry_after_ms)
        return self._respond(pending, refusal)

    def handle_dispatch_reply(
        self, sender: InstanceId, reply: DispatchReply, now: Instant
    ) -> list[Effect]:
        """Evaluate a dispatcher's reply to an attempt of this entry."""
        pending = self._find_by_correlation(reply.attempt)
        if pending is None or pending.upstream != reply.upstream:
            return [ANSWER_DROPPED.emit(attempt=reply.attempt, sender=sender)]
        effects = self._evaluate_reply(pending, reply, now)
        self._schedule(pending, now)
        return effects

    def _evaluate_reply(
        self, pending: PendingRequest, reply: DispatchReply, now: Instant
    ) -> list[Effect]:
        if reply.outcome is DispatchOutcome.NOT_STARTED:
            return self._retry_unstarted(pending, reply, now)
        response = reply.response
        if reply.outcome is not DispatchOutcome.RESPONDED or response is None:
            pending.may_have_run = True
            return self._retry(pending, now) or self._respond_failure(pending, Reason.ANSWER_LOST)
        if response.status in RETRYABLE_STATUSES:
            retried = self._retry(pending, now)
            if retried:
                return retried
        else:
            self._count_success(pending.service)
        return self._respond(pending, RequestResult(Outcome.DONE, Reason.ANSWERED, response))

    def _count_success(self, service: ServiceId) -> None:
        spec = self.context.find_service_spec(service)
        if spec is not None:
            self.budget.add_success(service, spec.retry_budget)

    def _retry_unstarted(
        self, pending: PendingRequest, reply: DispatchReply, now: Instant
    ) -> list[Effect]:
        """Try another upstream; costs no retry budget, as no upstream received the attempt."""
        if self._may_retry(pending, now):
            pending.excluded_upstreams.add(reply.upstream)
            return self._start_attempt(pending, now)
        return self._respond_failure(pending, Reason.OVERLOADED, reply.retry_after_ms)

    def _may_retry(self, pending: PendingRequest, now: Instant) -> bool:
        spec = self.context.find_service_spec(pending.service)
        if spec is None or now >= pending.deadline:
            return False
        if pending.attempts >= self.context.settings.max_attempts:
            return False
        request = pending.request
        # The rules may have changed since the request arrived.
        return classify(spec, request.method, request.target) is RequestClass.IDEMPOTENT

    def _retry(self, pending: PendingRequest, now: Instant) -> list[Effect]:
        """Try another upstream within the retry budget; return an empty list if not allowed."""
        if pending.upstream is None or not self._may_retry(pending, now):
            return []
        if not self.budget.spend_retry(pending.service):
            return []
        pending.excluded_upstreams.add(pending.upstream)
        return [RETRIED.emit(service=pending.service), *self._start_attempt(pending, now)]

    # Time and views

    def change_view(self, now: Instant) -> list[Effect]:
        """Resend requests to new owners and end attempts whose dispatcher has left every view."""
        effects: list[Effect] = []
        for pending in list(self.pending_requests.values()):
            if pending.key is not None:
                owner = self.context.find_owner((pending.service, pending.key))
                if owner != pending.target:
                    effects += self._send_to_owner(pending, now)
            elif pending.target is not None and not self.context.is_in_any_view(pending.target):
                pending.may_have_run = True
                effects += self._retry(pending, now) or self._respond_failure(
                    pending, Reason.ANSWER_LOST
                )
            self._schedule(pending, now)
        return effects

    def tick(self, now: Instant) -> list[Effect]:
        """Time out requests and attempts, and resend unanswered requests to their owners."""
        effects: list[Effect] = []
        for ticket in self.deadlines.pop_due(now):
            pending = self.pending_requests[ticket]
            if now >= pending.deadline:
                effects += self._time_out_request(pending)
            elif pending.key is not None:
                longest = self.context.settings.max_resend_seconds
                pending.resend_seconds = min(longest, pending.resend_seconds * 2)
                effects += self._send_to_owner(pending, now)
            else:
                effects += self._time_out_attempt(pending, now)
            self._schedule(pending, now)
        return effects

    def _time_out_request(self, pending: PendingRequest) -> list[Effect]:
        cancel: list[Effect] = []
        if pending.key is None and pending.target is not None:
            attempt = AttemptId(pending.correlation)
            cancel.append(Send(pending.target[0], DispatchCancel(attempt)))
        late = RequestResult(Outcome.OUTCOME_UNKNOWN, Reason.DEADLINE)
        return cancel + self._respond(pending, late)

    def _time_out_attempt(self, pending: PendingRequest, now: Instant) -> list[Effect]:
        if (
            pending.target is None
            or pending.attempt_deadline is None
            or now < pending.attempt_deadline
        ):
            return []
        pending.attempt_deadline = None
        pending.may_have_run = True
        cancel = Send(pending.target[0], DispatchCancel(AttemptId(pending.correlation)))
        retried = self._retry(pending, now)
        if retried:
            return [cancel, *retried]
        return [RETRY_REFUSED.emit(service=pending.service)]

    def _schedule(self, pending: PendingRequest, now: Instant) -> None:
        if pending.ticket not in self.pending_requests:
            return
        at = pending.deadline
        if pending.key is not None:
            pending.resend_seconds = pending.resend_seconds or self.context.settings.resend_seconds
            at = Instant(min(at, now + pending.resend_seconds))
        elif pending.attempt_deadline is not None:
            at = Instant(min(at, pending.attempt_deadline))
        self.deadlines.set_deadline(pending.ticket, at)

    def next_deadline(self) -> Instant | None:
        """Return when `tick` is due next, or None."""
        return self.deadlines.earliest()

    def dump(self) -> dict[str, Any]:
        """Return the pending requests as JSON-compatible values."""
        return {
            "tokens": dict(self.budget.tokens),
            "tickets": [
                {
                    "ticket": pending.ticket,
                    "service": pending.service,
                    "key": pending.key,
                    "deadline": pending.deadline,
                    "correlation": pending.correlation,
                    "attempts": pending.attempts,
                }
                for pending in self.pending_requests.values()
            ],
        }
