"""Entry of requests: where callers are connected, and where each gets its one response."""

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
    """One caller that waits.

    Parameters
    ----------
    number : int
        Number by which the driver knows the caller.
    key : RequestKey or None
        Key of a request that goes to its owner; None for one that goes to a dispatcher.
    correlation : str
        Id of the current message to the owner, or of the current attempt.
    target : MemberKey or None
        The owner or dispatcher that was asked last.
    give_up_at : Instant or None
        When the current attempt is given up.
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
    """State machine of the callers that are connected to this instance.

    Parameters
    ----------
    context : BalancerContext
        Views, configuration and settings.
    chooser : Chooser
        Choice of upstreams for idempotent requests.

    Notes
    -----
    A request with a key always goes to the key's owner, even if it is idempotent: balancers that
    know a change of the rules at different times must not run one key in two ways.
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
        """Whether no caller waits."""
        return not self.pending_requests

    def accept_request(self, event: RequestArrived, now: Instant) -> list[Effect]:
        """Take a request of a caller."""
        refusal, key = self._validate(event, now)
        if refusal is not None:
            return [Respond(event.ticket, to_response(refusal))]
        ticket = PendingRequest(
            event.ticket, event.request, event.service, key, event.deadline, event.priority
        )
        self.pending_requests[event.ticket] = ticket
        effects = (
            self._send_to_owner(ticket, now)
            if key is not None
            else self._start_attempt(ticket, now)
        )
        self._schedule(ticket, now)
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

    def handle_caller_gone(self, number: int) -> list[Effect]:
        """Pass on that a caller has gone."""
        ticket = self.pending_requests.get(number)
        if ticket is None:
            return []
        target = ticket.target
        self._remove(ticket)
        if target is None:
            return []
        if ticket.key is not None:
            return [Send(target[0], OwnerCancel(ticket.correlation))]
        return [Send(target[0], DispatchCancel(AttemptId(ticket.correlation)))]

    def _new_correlation(self, ticket: PendingRequest) -> str:
        self.correlations.pop(ticket.correlation, None)
        name, incarnation = self.context.self_key
        ticket.correlation = f"{name}/{incarnation}/e{self.next_correlation}"
        self.next_correlation += 1
        self.correlations[ticket.correlation] = ticket.ticket
        return ticket.correlation

    def _find_by_correlation(self, correlation: str) -> PendingRequest | None:
        number = self.correlations.get(correlation)
        return None if number is None else self.pending_requests[number]

    def _remove(self, ticket: PendingRequest) -> None:
        self.correlations.pop(ticket.correlation, None)
        self.pending_requests.pop(ticket.ticket, None)
        self.deadlines.clear_deadline(ticket.ticket)

    def _respond(self, ticket: PendingRequest, verdict: RequestResult) -> list[Effect]:
        self._remove(ticket)
        effects: list[Effect] = [Respond(ticket.ticket, to_response(verdict))]
        if verdict.outcome is Outcome.OUTCOME_UNKNOWN:
            emitted = OUTCOME_UNKNOWN.emit(service=ticket.service, reason=verdict.reason.value)
            effects.append(emitted)
        return effects

    # Requests with a key

    def _send_to_owner(self, ticket: PendingRequest, now: Instant) -> list[Effect]:
        assert ticket.key is not None, "only requests with a key have an owner"
        owner = self.context.find_owner((ticket.service, ticket.key))
        if owner is None:
            if ticket.may_have_run:
                return []
            return self._respond(ticket, RequestResult(Outcome.TRY_AGAIN, Reason.OWNER_UNREACHABLE))
        if owner != ticket.target or not ticket.correlation:
            self._new_correlation(ticket)
            ticket.resend_seconds = 0.0
        ticket.target = owner
        ticket.may_have_run = True
        message = OwnerRequest(
            ticket.correlation,
            ticket.service,
            ticket.key,
            int((ticket.deadline - now) * MILLISECONDS_PER_SECOND),
            ticket.priority,
            ticket.request,
        )
        return [Send(owner[0], message)]

    def handle_owner_accepted(self, message: OwnerAccepted) -> list[Effect]:
        """Note that the owner has a request: it needs no repeats for a while."""
        ticket = self._find_by_correlation(message.correlation)
        if ticket is not None:
            ticket.resend_seconds = self.context.settings.max_resend_seconds
        return []

    def handle_owner_reply(
        self, sender: InstanceId, answer: OwnerAnswer, now: Instant
    ) -> list[Effect]:
        """Take the outcome of a request with a key."""
        ticket = self._find_by_correlation(answer.correlation)
        if ticket is None or ticket.target is None or ticket.target[0] != sender:
            return [ANSWER_DROPPED.emit(attempt=answer.correlation, sender=sender)]
        if answer.reason is Reason.OWNER_NOT_READY:
            # Nothing is decided yet; the request is repeated until its deadline.
            return []
        verdict = RequestResult(
            answer.outcome, answer.reason, answer.response, answer.retry_after_ms
        )
        return self._respond(ticket, verdict)

    # Idempotent requests without a key

    def _start_attempt(self, ticket: PendingRequest, now: Instant) -> list[Effect]:
        spec = self.context.find_service_spec(ticket.service)
        if spec is None:
            return self._respond_failure(ticket, Reason.UNKNOWN_SERVICE)
        upstream = self.chooser.choose(spec.selector.service, ticket.excluded_upstreams, now)
        if isinstance(upstream, NoUpstream):
            return self._respond_failure(ticket, Reason.NO_UPSTREAM)
        placement = self.context.placements.get(upstream.data_centre)
        if placement is None:
            return self._respond_failure(ticket, Reason.NO_UPSTREAM)
        dispatcher = dispatcher_of(placement.view, upstream.upstream)
        if dispatcher is None:
            return self._respond_failure(ticket, Reason.NO_UPSTREAM)
        ticket.attempts += 1
        ticket.upstream = upstream.upstream
        ticket.target = member_key(dispatcher)
        remaining = ticket.deadline - now
        ticket.attempt_deadline = Instant(now + remaining * self.context.settings.attempt_share)
        message = DispatchRequest(
            AttemptId(self._new_correlation(ticket)),
            ticket.service,
            upstream.upstream,
            ticket.priority,
            int(remaining * MILLISECONDS_PER_SECOND),
            ticket.request,
        )
        return [Send(dispatcher.instance, message)]

    def _respond_failure(
        self, ticket: PendingRequest, reason: Reason, retry_after_ms: int = 0
    ) -> list[Effect]:
        if ticket.may_have_run:
            lost = RequestResult(Outcome.OUTCOME_UNKNOWN, Reason.ANSWER_LOST)
            return self._respond(ticket, lost)
        refusal = RequestResult(Outcome.TRY_AGAIN, reason, retry_after_ms=retry_after_ms)
        return self._respond(ticket, refusal)

    def handle_dispatch_reply(
        self, sender: InstanceId, answer: DispatchReply, now: Instant
    ) -> list[Effect]:
        """Take an answer of a dispatcher to an attempt of this entry."""
        ticket = self._find_by_correlation(answer.attempt)
        if ticket is None or ticket.upstream != answer.upstream:
            return [ANSWER_DROPPED.emit(attempt=answer.attempt, sender=sender)]
        effects = self._evaluate_reply(ticket, answer, now)
        self._schedule(ticket, now)
        return effects

    def _evaluate_reply(
        self, ticket: PendingRequest, answer: DispatchReply, now: Instant
    ) -> list[Effect]:
        if answer.outcome is DispatchOutcome.NOT_STARTED:
            return self._retry_unstarted(ticket, answer, now)
        response = answer.response
        if answer.outcome is not DispatchOutcome.RESPONDED or response is None:
            ticket.may_have_run = True
            return self._retry(ticket, now) or self._respond_failure(ticket, Reason.ANSWER_LOST)
        if response.status in RETRYABLE_STATUSES:
            retried = self._retry(ticket, now)
            if retried:
                return retried
        else:
            self._count_success(ticket.service)
        return self._respond(ticket, RequestResult(Outcome.DONE, Reason.ANSWERED, response))

    def _count_success(self, service: ServiceId) -> None:
        spec = self.context.find_service_spec(service)
        if spec is not None:
            self.budget.add_success(service, spec.retry_budget)

    def _retry_unstarted(
        self, ticket: PendingRequest, answer: DispatchReply, now: Instant
    ) -> list[Effect]:
        """Try another upstream: no upstream has seen the attempt, so no budget is spent."""
        if self._may_retry(ticket, now):
            ticket.excluded_upstreams.add(answer.upstream)
            return self._start_attempt(ticket, now)
        return self._respond_failure(ticket, Reason.OVERLOADED, answer.retry_after_ms)

    def _may_retry(self, ticket: PendingRequest, now: Instant) -> bool:
        spec = self.context.find_service_spec(ticket.service)
        if spec is None or now >= ticket.deadline:
            return False
        if ticket.attempts >= self.context.settings.max_attempts:
            return False
        request = ticket.request
        # The rules may have changed since the request arrived.
        return classify(spec, request.method, request.target) is RequestClass.IDEMPOTENT

    def _retry(self, ticket: PendingRequest, now: Instant) -> list[Effect]:
        """Try another upstream within the retry budget; return nothing if there is no retry."""
        if ticket.upstream is None or not self._may_retry(ticket, now):
            return []
        if not self.budget.spend_retry(ticket.service):
            return []
        ticket.excluded_upstreams.add(ticket.upstream)
        return [RETRIED.emit(service=ticket.service), *self._start_attempt(ticket, now)]

    # Time and views

    def change_view(self, now: Instant) -> list[Effect]:
        """Ask new owners, and give up attempts whose dispatcher has left."""
        effects: list[Effect] = []
        for ticket in list(self.pending_requests.values()):
            if ticket.key is not None:
                owner = self.context.find_owner((ticket.service, ticket.key))
                if owner != ticket.target:
                    effects += self._send_to_owner(ticket, now)
            elif ticket.target is not None and not self.context.is_in_any_view(ticket.target):
                ticket.may_have_run = True
                effects += self._retry(ticket, now) or self._respond_failure(
                    ticket, Reason.ANSWER_LOST
                )
            self._schedule(ticket, now)
        return effects

    def tick(self, now: Instant) -> list[Effect]:
        """Act on deadlines and repeat unanswered requests."""
        effects: list[Effect] = []
        for number in self.deadlines.pop_due(now):
            ticket = self.pending_requests[number]
            if now >= ticket.deadline:
                effects += self._time_out_request(ticket)
            elif ticket.key is not None:
                longest = self.context.settings.max_resend_seconds
                ticket.resend_seconds = min(longest, ticket.resend_seconds * 2)
                effects += self._send_to_owner(ticket, now)
            else:
                effects += self._time_out_attempt(ticket, now)
            self._schedule(ticket, now)
        return effects

    def _time_out_request(self, ticket: PendingRequest) -> list[Effect]:
        cancel: list[Effect] = []
        if ticket.key is None and ticket.target is not None:
            attempt = AttemptId(ticket.correlation)
            cancel.append(Send(ticket.target[0], DispatchCancel(attempt)))
        late = RequestResult(Outcome.OUTCOME_UNKNOWN, Reason.DEADLINE)
        return cancel + self._respond(ticket, late)

    def _time_out_attempt(self, ticket: PendingRequest, now: Instant) -> list[Effect]:
        if (
            ticket.target is None
            or ticket.attempt_deadline is None
            or now < ticket.attempt_deadline
        ):
            return []
        ticket.attempt_deadline = None
        ticket.may_have_run = True
        cancel = Send(ticket.target[0], DispatchCancel(AttemptId(ticket.correlation)))
        retried = self._retry(ticket, now)
        if retried:
            return [cancel, *retried]
        return [RETRY_REFUSED.emit(service=ticket.service)]

    def _schedule(self, ticket: PendingRequest, now: Instant) -> None:
        if ticket.ticket not in self.pending_requests:
            return
        at = ticket.deadline
        if ticket.key is not None:
            ticket.resend_seconds = ticket.resend_seconds or self.context.settings.resend_seconds
            at = Instant(min(at, now + ticket.resend_seconds))
        elif ticket.attempt_deadline is not None:
            at = Instant(min(at, ticket.attempt_deadline))
        self.deadlines.set_deadline(ticket.ticket, at)

    def next_deadline(self) -> Instant | None:
        """Return when `tick` is wanted next."""
        return self.deadlines.earliest()

    def dump(self) -> dict[str, Any]:
        """Return the waiting callers as values that JSON can hold."""
        return {
            "tokens": dict(self.budget.tokens),
            "tickets": [
                {
                    "ticket": ticket.ticket,
                    "service": ticket.service,
                    "key": ticket.key,
                    "deadline": ticket.deadline,
                    "correlation": ticket.correlation,
                    "attempts": ticket.attempts,
                }
                for ticket in self.pending_requests.values()
            ],
        }
