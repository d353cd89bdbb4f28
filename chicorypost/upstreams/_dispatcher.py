"""Dispatch of requests to upstreams within their slots, by one dispatcher per upstream."""

from collections.abc import Iterable
from dataclasses import replace
from typing import Any

from chicorypost.base import (
    AttemptId,
    Effect,
    Event,
    InstanceId,
    Instant,
    LeaseChanged,
    Member,
    Message,
    Received,
    Send,
    Tick,
    Upstream,
    UpstreamId,
    UpstreamsChanged,
    UpstreamState,
    View,
    ViewChanged,
    rank_members,
)
from chicorypost.configuration import ConfigurationApplied, ConfigurationDocument
from chicorypost.upstreams._attempts import DispatchedAttempts
from chicorypost.upstreams._events import (
    ATTEMPT_REPEATED,
    DISPATCH_HELD,
    EXCHANGE_END_DROPPED,
    EXCHANGE_OVERDUE,
)
from chicorypost.upstreams._exchanges import (
    AttemptRefusalReason,
    CancelExchange,
    Drain,
    ExchangeEnded,
    StartExchange,
    find_queue_refusal,
    refuse_attempt,
    reply_to_attempt,
)
from chicorypost.upstreams._handover import OutgoingHandovers
from chicorypost.upstreams._inheritance import IncomingHandovers
from chicorypost.upstreams._messages import (
    DispatchCancel,
    DispatchHandover,
    DispatchHandoverAcknowledged,
    DispatchOutcome,
    DispatchRequest,
)
from chicorypost.upstreams._ownership import DispatchOwnership
from chicorypost.upstreams._placement import DispatcherPlacement, placement_key
from chicorypost.upstreams._settings import DispatcherSettings
from chicorypost.upstreams._upstream_queue import DispatchAttempt, DurationEstimate, UpstreamQueue

MILLISECONDS_PER_SECOND = 1000


class RequestDispatcher:
    """State machine that dispatches requests to the upstreams placed on this balancer.

    It handles `Received` (`DispatchRequest`, `DispatchCancel`, handovers), `ExchangeEnded`,
    `ViewChanged`, `LeaseChanged`, `UpstreamsChanged`, `ConfigurationApplied`, `Drain` and `Tick`,
    and returns `StartExchange`, `CancelExchange`, `Send` and `Emit`.

    Parameters
    ----------
    settings : DispatcherSettings
        Limits of queues and exchanges.
    self_member : Member
        This balancer.
    now : Instant
        Start time.

    Notes
    -----
    The number of concurrent exchanges at an upstream, summed over all balancers, never exceeds its
    slots. Only the dispatcher of the current view starts exchanges. A new dispatcher counts the
    exchanges that its predecessor hands over, or waits for the maximum duration of an exchange.
    """

    def __init__(self, settings: DispatcherSettings, self_member: Member, now: Instant) -> None:
        self.settings = settings
        self.instance = self_member.instance
        self.data_centre = self_member.data_centre
        self.document = ConfigurationDocument()
        self.ownership = DispatchOwnership(settings, self.instance)
        self.placement = DispatcherPlacement()
        self.outgoing_handovers = OutgoingHandovers(settings)
        self.incoming_handovers = IncomingHandovers(self.ownership)
        self.known_upstreams: dict[UpstreamId, Upstream] = {}
        self.queues: dict[UpstreamId, UpstreamQueue] = {}
        self.retired_queues: dict[UpstreamId, UpstreamQueue] = {}
        self.attempts = DispatchedAttempts(settings)
        self.lease_end: Instant | None = None
        self.last_lease_end: Instant | None = None
        self.is_draining = False

    def handle(self, event: Event, now: Instant) -> list[Effect]:
        """Apply one event and return the effects in the order of execution."""
        match event:
            case Received(sender, message):
                effects = self._handle_message(sender, message, now)
            case ExchangeEnded():
                effects = self._end_exchange(event, now)
            case UpstreamsChanged(changed, removed):
                effects = self._update_upstreams(changed, removed, now)
            case ViewChanged(view) if view.data_centre == self.data_centre:
                effects = self._apply_view(view, now)
            case LeaseChanged(end):
                self._update_lease(end, now)
                effects = []
            case ConfigurationApplied(_, document):
                self.document = document
                for queue in self.queues.values():
                    queue.apply_limits(self.document)
                effects = []
            case Drain():
                effects = self._start_draining(now)
            case Tick():
                effects = self.outgoing_handovers.resend_unacknowledged(now)
            case _:
                return []
        return effects + self._process_queues(now)

    def next_deadline(self) -> Instant | None:
        """Return when the next `Tick` is due, or None."""
        queues = (*self.queues.values(), *self.retired_queues.values())
        deadlines = [queue.next_deadline() for queue in queues]
        deadlines.append(self.outgoing_handovers.retry_at)
        deadlines.append(self.attempts.next_deadline())
        return min((deadline for deadline in deadlines if deadline is not None), default=None)

    @property
    def may_leave(self) -> bool:
        """Whether the lease can be released: draining, and all handovers are acknowledged."""
        return self.is_draining and self.outgoing_handovers.all_acknowledged

    @property
    def is_idle(self) -> bool:
        """Whether no attempt is queued or running and all handovers are acknowledged."""
        return not self.attempts.queue_of and self.outgoing_handovers.all_acknowledged

    def dump(self) -> dict[str, Any]:
        """Return the state that determines decisions, as JSON-compatible values."""
        return {
            "lanes": {name: queue.dump() for name, queue in self.queues.items()},
            "retired": {name: queue.dump() for name, queue in self.retired_queues.items()},
            "handovers": self.outgoing_handovers.dump(),
            "lease_end": self.lease_end,
            "draining": self.is_draining,
        }

    def _update_lease(self, end: Instant | None, now: Instant) -> None:
        ended = min(self.last_lease_end or now, now)
        self.last_lease_end = ended if end is None else end
        self.lease_end = end

    def _may_act(self, now: Instant) -> bool:
        return self.lease_end is not None and now < self.lease_end

    def _handle_message(self, sender: InstanceId, message: Message, now: Instant) -> list[Effect]:
        match message:
            case DispatchRequest():
                return self._handle_request(sender, message, now)
            case DispatchCancel(attempt):
                return self._cancel_attempt(sender, attempt, now)
            case DispatchHandover():
                return self._accept_handover(sender, message, now)
            case DispatchHandoverAcknowledged(upstream, sequence):
                self.outgoing_handovers.acknowledge(sender, upstream, sequence)
                return []
            case _:
                return []

    def _handle_request(
        self, sender: InstanceId, message: DispatchRequest, now: Instant
    ) -> list[Effect]:
        attempt_id = message.attempt
        if self.attempts.is_known(attempt_id):
            return [ATTEMPT_REPEATED.emit(attempt=attempt_id)]
        deadline = Instant(now + message.remaining_ms / MILLISECONDS_PER_SECOND)
        attempt = DispatchAttempt(attempt_id, sender, message.priority, deadline, message.request)
        queue = self.queues.get(message.upstream)
        reason = self._find_refusal(message, queue, deadline, now)
        if reason is not None:
            return [self._refuse_attempt(attempt, message.upstream, queue, reason, now)]
        assert queue is not None
        queue.push_attempt(attempt)
        self.attempts.queue_of[attempt_id] = queue
        return []

    def _find_refusal(
        self, message: DispatchRequest, queue: UpstreamQueue | None, deadline: Instant, now: Instant
    ) -> AttemptRefusalReason | None:
        if self.is_draining:
            return AttemptRefusalReason.DRAINING
        if not self._may_act(now):
            return AttemptRefusalReason.NO_LEASE
        if queue is None:
            is_known = message.upstream in self.known_upstreams
            return (
                AttemptRefusalReason.NOT_DISPATCHER
                if is_known
                else AttemptRefusalReason.UNKNOWN_UPSTREAM
            )
        return find_queue_refusal(queue, self.document, message, deadline, now)

    def _refuse_attempt(
        self,
        attempt: DispatchAttempt,
        upstream: UpstreamId,
        queue: UpstreamQueue | None,
        reason: AttemptRefusalReason,
        now: Instant,
    ) -> Effect:
        self.attempts.mark_ended(attempt.attempt_id, now)
        return refuse_attempt(attempt, upstream, queue, reason, now)

    def _refuse_queue(
        self, queue: UpstreamQueue, reason: AttemptRefusalReason, now: Instant
    ) -> list[Effect]:
        name = queue.upstream.upstream
        return [
            self._refuse_attempt(queued_attempt, name, queue, reason, now)
            for queued_attempt in queue.pop_all()
        ]

    def _cancel_attempt(
        self, sender: InstanceId, attempt_id: AttemptId, now: Instant
    ) -> list[Effect]:
        queue = self.attempts.queue_of.get(attempt_id)
        if queue is None:
            if not self.attempts.is_known(attempt_id):
                self.attempts.mark_ended(attempt_id, now)
            return []
        queued_attempt = queue.remove_attempt(attempt_id)
        if queued_attempt is not None:
            upstream = queue.upstream.upstream
            return [
                self._refuse_attempt(
                    queued_attempt, upstream, queue, AttemptRefusalReason.CANCELLED, now
                )
            ]
        if attempt_id in self.attempts.cancelled:
            return []
        self.attempts.cancelled.add(attempt_id)
        return [CancelExchange(attempt_id)]

    def _end_exchange(self, event: ExchangeEnded, now: Instant) -> list[Effect]:
        queue = self.attempts.queue_of.get(event.attempt)
        exchange = queue.running.pop(event.attempt, None) if queue is not None else None
        if queue is None or exchange is None:
            return [EXCHANGE_END_DROPPED.emit(attempt=event.attempt)]
        if event.outcome is DispatchOutcome.RESPONDED:
            queue.estimate.add_sample(now - exchange.started)
        if event.attempt in self.attempts.cancelled and event.outcome is DispatchOutcome.UNKNOWN:
            event = replace(event, reason=AttemptRefusalReason.CANCELLED.value)
        self.attempts.mark_ended(event.attempt, now)
        return [
            reply_to_attempt(exchange.attempt, queue, event, now),
            *self._update_after_end(queue, now),
        ]

    def _update_after_end(self, queue: UpstreamQueue, now: Instant) -> list[Effect]:
        """Drop a retired queue without exchanges and update a pending handover."""
        name = queue.upstream.upstream
        if self.retired_queues.get(name) is queue and not queue.running:
            del self.retired_queues[name]
        handover = self.outgoing_handovers.pending.get(name)
        if handover is None:
            return []
        return self._hand_over(queue, handover.recipient, handover.is_former_dispatcher, now)

    def _hand_over(
        self, queue: UpstreamQueue, recipient: InstanceId, is_former_dispatcher: bool, now: Instant
    ) -> list[Effect]:
        assert self.ownership.view is not None
        return self.outgoing_handovers.send_handover(
            queue, recipient, self.ownership.view.epoch, is_former_dispatcher, now
        )

    def _accept_handover(
        self, sender: InstanceId, message: DispatchHandover, now: Instant
    ) -> list[Effect]:
        if not self.incoming_handovers.accept_handover(
            sender, message, self.queues.get(message.upstream), now
        ):
            return []
        return [Send(sender, DispatchHandoverAcknowledged(message.upstream, message.sequence))]

    def _update_upstreams(
        self, changed: Iterable[Upstream], removed: Iterable[UpstreamId], now: Instant
    ) -> list[Effect]:
        effects: list[Effect] = []
        for name in removed:
            self.known_upstreams.pop(name, None)
            effects += self._retire_queue(name, AttemptRefusalReason.UPSTREAM_GONE, now)
        for upstream in changed:
            if upstream.data_centre != self.data_centre:
                continue
            self.known_upstreams[upstream.upstream] = upstream
            effects += self._update_queue(upstream, now)
        return effects

    def _update_queue(self, upstream: Upstream, now: Instant) -> list[Effect]:
        """Open, update or retire the queue of an upstream after a change of upstream or view."""
        name = upstream.upstream
        if self.placement.owner_of(name) != self.instance:
            return self._retire_queue(name, AttemptRefusalReason.NOT_DISPATCHER, now)
        queue = self.queues.get(name)
        if queue is None:
            return self._open_queue(upstream, now)
        effects: list[Effect] = []
        if queue.upstream.incarnation != upstream.incarnation:
            queue.handed_over_ends.clear()
        has_new_service = queue.upstream.service != upstream.service
        queue.upstream = upstream
        queue.apply_limits(self.document)
        if has_new_service or upstream.state is not UpstreamState.READY:
            effects += self._refuse_queue(queue, AttemptRefusalReason.UPSTREAM_NOT_READY, now)
        return effects

    def _open_queue(self, upstream: Upstream, now: Instant) -> list[Effect]:
        name = upstream.upstream
        queue = self.retired_queues.pop(name, None)
        blocked_until = self.ownership.blocked_until(name)
        if queue is None:
            estimate = DurationEstimate(self.settings.initial_service_seconds)
            queue = UpstreamQueue(upstream, self.settings, estimate, 1, 1, blocked_until)
        queue.upstream = upstream
        queue.blocked_until = blocked_until
        self.incoming_handovers.apply_buffered(queue)
        self.outgoing_handovers.pending.pop(name, None)
        queue.apply_limits(self.document)
        self.queues[name] = queue
        blocked_seconds = queue.blocked_until - now
        return (
            [DISPATCH_HELD.emit(upstream=name, seconds=round(blocked_seconds, 3))]
            if blocked_seconds > 0
            else []
        )

    def _retire_queue(
        self, name: UpstreamId, reason: AttemptRefusalReason, now: Instant
    ) -> list[Effect]:
        queue = self.queues.pop(name, None)
        if queue is None:
            return []
        if queue.running:
            self.retired_queues[name] = queue
        return self._refuse_queue(queue, reason, now)

    def _apply_view(self, view: View, now: Instant) -> list[Effect]:
        former_queues = dict(self.queues)
        if self.ownership.may_have_missed_views(self.last_lease_end, now):
            blocked_until = Instant(now + self.settings.max_exchange_seconds)
            for queue in self.queues.values():
                queue.blocked_until = blocked_until
        self.ownership.apply_view(view, self.last_lease_end, now)
        self.placement.apply_view(view)
        effects: list[Effect] = []
        for upstream in list(self.known_upstreams.values()):
            effects += self._update_queue(upstream, now)
        for name, queue in {**self.retired_queues, **former_queues}.items():
            owner = self.placement.owner_of(name)
            if owner is None or owner == self.instance:
                continue
            is_former_dispatcher = name in former_queues and self.ownership.former_view is not None
            if is_former_dispatcher or queue.running:
                effects += self._hand_over(queue, owner, is_former_dispatcher, now)
        for instance in {
            handover.recipient for handover in self.outgoing_handovers.pending.values()
        }:
            if instance not in self.placement.member_names:
                self.outgoing_handovers.drop_recipient(instance)
        return effects + (self._hand_over_to_successors(now) if self.is_draining else [])

    def _start_draining(self, now: Instant) -> list[Effect]:
        self.is_draining = True
        effects: list[Effect] = []
        for queue in self.queues.values():
            effects += self._refuse_queue(queue, AttemptRefusalReason.DRAINING, now)
        return effects + self._hand_over_to_successors(now)

    def _hand_over_to_successors(self, now: Instant) -> list[Effect]:
        """Hand over to the dispatchers that take over when this balancer leaves the view."""
        effects: list[Effect] = []
        if self.ownership.view is None:
            return effects
        for name, queue in self.queues.items():
            ranked = rank_members(self.ownership.view, placement_key(name), 2)
            successors = [member.instance for member in ranked if member.instance != self.instance]
            if successors:
                effects += self._hand_over(queue, successors[0], True, now)
        return effects

    def _process_queues(self, now: Instant) -> list[Effect]:
        """End overdue exchanges, refuse expired attempts and start exchanges in free slots."""
        effects: list[Effect] = []
        for queue in (*self.queues.values(), *self.retired_queues.values()):
            effects += self._end_overdue_exchanges(queue, now)
        for name, queue in self.queues.items():
            queue.release_expired_slots(now)
            for queued_attempt in queue.pop_expired(now):
                effects.append(
                    self._refuse_attempt(
                        queued_attempt, name, queue, AttemptRefusalReason.DEADLINE, now
                    )
                )
            if self._may_act(now) and not self.is_draining:
                effects += self._start_exchanges(queue, now)
        self.attempts.forget_expired(now)
        return effects

    def _start_exchanges(self, queue: UpstreamQueue, now: Instant) -> list[Effect]:
        return [
            StartExchange(
                exchange.attempt.attempt_id,
                queue.upstream,
                exchange.attempt.request,
                exchange.deadline,
            )
            for exchange in queue.start_attempts(now)
        ]

    def _end_overdue_exchanges(self, queue: UpstreamQueue, now: Instant) -> list[Effect]:
        """End exchanges that did not end within the grace period after their deadline.

        Upstreams stop work at its deadline, so the slot is free after that.
        """
        grace = self.settings.deadline_grace_seconds
        overdue = [
            attempt_id
            for attempt_id, exchange in queue.running.items()
            if exchange.deadline + grace <= now
        ]
        effects: list[Effect] = []
        for attempt_id in overdue:
            exchange = queue.running[attempt_id]
            ended = ExchangeEnded(attempt_id, DispatchOutcome.UNKNOWN, "deadline", None)
            upstream = exchange.upstream.upstream
            effects.append(EXCHANGE_OVERDUE.emit(attempt=attempt_id, upstream=upstream))
            effects.append(CancelExchange(attempt_id))
            effects += self._end_exchange(ended, now)
        return effects
