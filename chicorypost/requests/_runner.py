"""Runner: passes each attempt to the local dispatcher at most once and keeps its result."""

from dataclasses import dataclass
from typing import Any

from chicorypost.base import (
    AttemptId,
    Effect,
    Incarnation,
    InstanceId,
    Instant,
    Message,
    Send,
    UpstreamId,
)
from chicorypost.requests._context import BalancerContext
from chicorypost.requests._deadlines import DeadlineQueue
from chicorypost.requests._events import ANSWER_DROPPED, ATTEMPT_REFUSED
from chicorypost.requests._messages import (
    AttemptClosed,
    AttemptQuery,
    AttemptResult,
    RunAccepted,
    RunAttempt,
    RunCancel,
)
from chicorypost.requests._placement import MemberKey, RecordId
from chicorypost.upstreams import (
    DispatchCancel,
    DispatchOutcome,
    DispatchReply,
    DispatchRequest,
    HttpResponse,
)

EXCLUDED_REASON = "barred"
BUSY_REASON = "busy"
LATE_REASON = "late"
RESTARTED_REASON = "runner restarted"
INCOMPLETE_REASON = "no whole answer"


@dataclass(slots=True)
class RunnerAttempt:
    """An attempt that is running or whose result its owner has not recorded."""

    record_id: RecordId
    upstream: UpstreamId
    result: AttemptResult | None = None
    resend_seconds: float = 0.0


def make_attempt_id(owner: MemberKey, number: int) -> AttemptId:
    """Return the id of the attempt to which an owner gave a number."""
    return AttemptId(f"{owner[0]}/{owner[1]}/{number}")


def split_attempt_id(attempt: AttemptId) -> tuple[MemberKey, int]:
    """Return the owner and the number in the id of an attempt."""
    name, incarnation, number = attempt.rsplit("/", 2)
    return (InstanceId(name), Incarnation(int(incarnation))), int(number)


class AttemptRunner:
    """State machine that runs the attempts of owners at the dispatcher of this instance.

    Parameters
    ----------
    context : BalancerContext
        Views, settings and clock.

    Notes
    -----
    An attempt that is queried before it is received is excluded: it never runs, so the owner that
    sent the query may run another one. An exclusion is dropped only when the owner's numbers up to
    it are closed, or an installed view has a later incarnation of the owner: late copies are still
    refused.
    """

    def __init__(self, context: BalancerContext) -> None:
        self.context = context
        self.attempts: dict[AttemptId, RunnerAttempt] = {}
        self.excluded_attempts: set[AttemptId] = set()
        self.closed_below: dict[MemberKey, int] = {}
        self.deadlines: DeadlineQueue[AttemptId] = DeadlineQueue()

    @property
    def is_idle(self) -> bool:
        """Whether the owners have recorded every result."""
        return not self.attempts

    def handle_message(self, sender: InstanceId, message: Message, now: Instant) -> list[Effect]:
        """Handle a message from an owner."""
        match message:
            case RunAttempt():
                return self._handle_run(sender, message, now)
            case RunCancel(attempt=attempt):
                runner_attempt = self.attempts.get(attempt)
                running = runner_attempt is not None and runner_attempt.result is None
                return [self._to_dispatcher(DispatchCancel(attempt))] if running else []
            case AttemptQuery():
                return self._handle_query(sender, message)
            case AttemptClosed(attempt=attempt):
                self._close_attempt(attempt)
        return []

    def _to_dispatcher(self, message: Message) -> Effect:
        return Send(self.context.member.instance, message)

    def _handle_run(self, sender: InstanceId, message: RunAttempt, now: Instant) -> list[Effect]:
        attempt = message.attempt
        owner = (sender, message.owner_incarnation)
        self._advance_closed_below(owner, message.closed_below)
        if message.runner_incarnation != self.context.member.incarnation:
            return []
        status = self._current_status(attempt)
        if status is not None:
            return [Send(sender, status)]
        if attempt in self.excluded_attempts:
            refused = _not_started(attempt, message.service, message.key, EXCLUDED_REASON)
            return [Send(sender, refused), ATTEMPT_REFUSED.emit(attempt=attempt, sender=sender)]
        is_late = message.number < self.closed_below.get(owner, 0)
        if is_late or not self.context.is_in_any_view(owner):
            return [ATTEMPT_REFUSED.emit(attempt=attempt, sender=sender)]
        return self._start_attempt(sender, message, now)

    def _start_attempt(self, sender: InstanceId, message: RunAttempt, now: Instant) -> list[Effect]:
        attempt = message.attempt
        is_full = len(self.attempts) >= self.context.settings.max_open_attempts
        is_expired = message.start_within_ms <= 0 or message.remaining_ms <= 0
        if is_full or is_expired:
            if not self._exclude_attempt(attempt):
                return []
            reason = BUSY_REASON if is_full else LATE_REASON
            refused = _not_started(attempt, message.service, message.key, reason)
            return [Send(sender, refused)]
        record_id = (message.service, message.key)
        self.attempts[attempt] = RunnerAttempt(record_id, message.upstream)
        dispatch = DispatchRequest(
            attempt,
            message.service,
            message.upstream,
            message.priority,
            message.remaining_ms,
            message.request,
        )
        return [Send(sender, RunAccepted(attempt)), self._to_dispatcher(dispatch)]

    def _current_status(self, attempt: AttemptId) -> Message | None:
        runner_attempt = self.attempts.get(attempt)
        if runner_attempt is None:
            return None
        return RunAccepted(attempt) if runner_attempt.result is None else runner_attempt.result

    def _handle_query(self, sender: InstanceId, message: AttemptQuery) -> list[Effect]:
        attempt = message.attempt
        if message.runner_incarnation != self.context.member.incarnation:
            lost = AttemptResult(
                attempt,
                message.service,
                message.key,
                DispatchOutcome.UNKNOWN,
                RESTARTED_REASON,
                None,
                0,
            )
            return [Send(sender, lost)]
        status = self._current_status(attempt)
        if status is not None:
            return [Send(sender, status)]
        if not self._exclude_attempt(attempt):
            return []
        return [Send(sender, _not_started(attempt, message.service, message.key, EXCLUDED_REASON))]

    def _exclude_attempt(self, attempt: AttemptId) -> bool:
        """Exclude an attempt from ever running; return False if the exclusion table is full."""
        owner, number = split_attempt_id(attempt)
        if number < self.closed_below.get(owner, 0) or attempt in self.excluded_attempts:
            return True
        if len(self.excluded_attempts) >= self.context.settings.max_barred_attempts:
            return False
        self.excluded_attempts.add(attempt)
        return True

    def _close_attempt(self, attempt: AttemptId) -> None:
        runner_attempt = self.attempts.get(attempt)
        if (
            runner_attempt is None
            or runner_attempt.result is None
            or not self._exclude_attempt(attempt)
        ):
            return
        del self.attempts[attempt]
        self.deadlines.clear_deadline(attempt)

    def _advance_closed_below(self, owner: MemberKey, closed_below: int) -> None:
        if closed_below <= self.closed_below.get(owner, 0):
            return
        self.closed_below[owner] = closed_below
        self.excluded_attempts = {
            attempt for attempt in self.excluded_attempts if not self._is_closed(attempt)
        }

    def _is_closed(self, attempt: AttemptId) -> bool:
        owner, number = split_attempt_id(attempt)
        return number < self.closed_below.get(owner, 0)

    def handle_dispatch_reply(self, reply: DispatchReply, now: Instant) -> list[Effect] | None:
        """Store the result of an attempt; return None if this runner does not have the attempt."""
        runner_attempt = self.attempts.get(reply.attempt)
        if runner_attempt is None:
            return None
        if runner_attempt.result is not None or reply.upstream != runner_attempt.upstream:
            return [ANSWER_DROPPED.emit(attempt=reply.attempt, sender=reply.upstream)]
        outcome, reason, response = reply.outcome, reply.reason, reply.response
        if outcome is DispatchOutcome.RESPONDED and response is None:
            outcome, reason = DispatchOutcome.UNKNOWN, INCOMPLETE_REASON
        kept_response: HttpResponse | None = (
            response if outcome is DispatchOutcome.RESPONDED else None
        )
        runner_attempt.result = AttemptResult(
            reply.attempt,
            *runner_attempt.record_id,
            outcome,
            reason,
            kept_response,
            reply.retry_after_ms,
        )
        return self._send_result(reply.attempt, runner_attempt, now)

    def _send_result(
        self, attempt: AttemptId, runner_attempt: RunnerAttempt, now: Instant
    ) -> list[Effect]:
        settings = self.context.settings
        interval = runner_attempt.resend_seconds * 2 or settings.resend_seconds
        runner_attempt.resend_seconds = min(settings.max_resend_seconds, interval)
        self.deadlines.set_deadline(attempt, Instant(now + runner_attempt.resend_seconds))
        owner = self.context.find_owner(runner_attempt.record_id)
        if owner is None or runner_attempt.result is None:
            return []
        return [Send(owner[0], runner_attempt.result)]

    def change_view(self, now: Instant) -> list[Effect]:
        """Resend results to the current owners and close the numbers of owners that have left."""
        for attempt in list(self.excluded_attempts):
            owner, number = split_attempt_id(attempt)
            if not self.context.is_in_any_view(owner):
                # An owner that rejoins after a view excluded it continues with greater numbers.
                self.closed_below[owner] = max(self.closed_below.get(owner, 0), number + 1)
        self.excluded_attempts = {
            attempt for attempt in self.excluded_attempts if not self._is_closed(attempt)
        }
        self.closed_below = {
            owner: number
            for owner, number in self.closed_below.items()
            if not self.context.is_replaced(owner)
        }
        effects: list[Effect] = []
        for attempt, runner_attempt in self.attempts.items():
            if runner_attempt.result is not None:
                runner_attempt.resend_seconds = 0.0
                effects += self._send_result(attempt, runner_attempt, now)
        return effects

    def tick(self, now: Instant) -> list[Effect]:
        """Resend results that are not closed."""
        effects: list[Effect] = []
        for attempt in self.deadlines.pop_due(now):
            runner_attempt = self.attempts.get(attempt)
            if runner_attempt is not None:
                effects += self._send_result(attempt, runner_attempt, now)
        return effects

    def next_deadline(self) -> Instant | None:
        """Return when `tick` is due next, or None."""
        return self.deadlines.earliest()

    def dump(self) -> dict[str, Any]:
        """Return the attempts as JSON-compatible values."""
        return {
            "held": {
                attempt: (
                    runner_attempt.result.outcome.value
                    if runner_attempt.result is not None
                    else "running"
                )
                for attempt, runner_attempt in self.attempts.items()
            },
            "barred": sorted(self.excluded_attempts),
            "closed_below": {
                f"{name}/{incarnation}": number
                for (name, incarnation), number in self.closed_below.items()
            },
        }


def _not_started(attempt: AttemptId, service: Any, key: Any, reason: str) -> AttemptResult:
    return AttemptResult(attempt, service, key, DispatchOutcome.NOT_STARTED, reason, None, 0)
