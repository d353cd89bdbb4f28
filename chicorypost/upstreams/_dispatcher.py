"""Dispatcher of upstreams: one per upstream, never more exchanges than slots."""

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
    """State machine of the balancer that dispatches to some upstreams.

    Takes `Received` (`DispatchRequest`, `DispatchCancel`, handovers), `ExchangeEnded`,
    `ViewChanged`, `LeaseChanged`, `UpstreamsChanged`, `ConfigurationApplied`, `Drain` and `Tick`;
    gives `StartExchange`, `CancelExchange`, `Send` and `Emit`.

    Parameters
    ----------
    settings : DispatcherSettings
        Bounds of queues and exchanges.
    self_member : Member
        This balancer.
    now : Instant
        Time of the start.

    Notes
    -----
    At no time do more exchanges run at an upstream than it has slots, over all balancers: only
    the dispatcher of the current view starts any, and a new dispatcher counts what the former one
    hands over, or waits for the longest exchange.
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
        """Take one event and return the effects, in the order to carry them out."""
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
                for lane in self.queues.values():
                    lane.apply_limits(self.document)
                effects = []
            case Drain():
                effects = self._start_draining(now)
            case Tick():
                effects = self.outgoing_handovers.resend_unacknowledged(now)
            case _:
                return []
        return effects + self._process_queues(now)

    def next_deadline(self) -> Instant | None:
        """Return when the machine next wants a `Tick`."""
        lanes = (*self.queues.values(), *self.retired_queues.values())
        deadlines = [lane.next_deadline() for lane in lanes]
        deadlines.append(self.outgoing_handovers.retry_at)
        deadlines.append(self.attempts.next_deadline())
        return min((at for at in deadlines if at is not None), default=None)

    @property
    def may_leave(self) -> bool:
        """Whether, after `Drain`, every next dispatcher knows what runs: the lease can go."""
        return self.is_draining and self.outgoing_handovers.all_acknowledged

    @property
    def is_idle(self) -> bool:
        """Whether nothing runs, nothing waits and every handover is acknowledged."""
        return not self.attempts.queue_of and self.outgoing_handovers.all_acknowledged

    def dump(self) -> dict[str, Any]:
        """Return the whole decision state as values that JSON can hold."""
        return {
            "lanes": {name: lane.dump() for name, lane in self.queues.items()},
            "retired": {name: lane.dump() for name, lane in self.retired_queues.items()},
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
        name = message.attempt
        if self.attempts.is_known(name):
            return [ATTEMPT_REPEATED.emit(attempt=name)]
        deadline = Instant(now + message.remaining_ms / MILLISECONDS_PER_SECOND)
        attempt = DispatchAttempt(name, sender, message.priority, deadline, message.request)
        lane = self.queues.get(message.upstream)
        cause = self._find_refusal(message, lane, deadline, now)
        if cause is not None:
            return [self._refuse_attempt(attempt, message.upstream, lane, cause, now)]
        assert lane is not None
        lane.push_attempt(attempt)
        self.attempts.queue_of[name] = lane
        return []

    def _find_refusal(
        self, message: DispatchRequest, lane: UpstreamQueue | None, deadline: Instant, now: Instant
    ) -> AttemptRefusalReason | None:
        if self.is_draining:
            return AttemptRefusalReason.DRAINING
        if not self._may_act(now):
            return AttemptRefusalReason.NO_LEASE
        if lane is None:
            is_known = message.upstream in self.known_upstreams
            return (
                AttemptRefusalReason.NOT_DISPATCHER
                if is_known
                else AttemptRefusalReason.UNKNOWN_UPSTREAM
            )
        return find_queue_refusal(lane, self.document, message, deadline, now)

    def _refuse_attempt(
        self,
        attempt: DispatchAttempt,
        upstream: UpstreamId,
        lane: UpstreamQueue | None,
        cause: AttemptRefusalReason,
        now: Instant,
    ) -> Effect:
        self.attempts.mark_ended(attempt.attempt_id, now)
        return refuse_attempt(attempt, upstream, lane, cause, now)

    def _refuse_queue(
        self, lane: UpstreamQueue, cause: AttemptRefusalReason, now: Instant
    ) -> list[Effect]:
        name = lane.upstream.upstream
        return [self._refuse_attempt(waiting, name, lane, cause, now) for waiting in lane.pop_all()]

    def _cancel_attempt(self, sender: InstanceId, name: AttemptId, now: Instant) -> list[Effect]:
        lane = self.attempts.queue_of.get(name)
        if lane is None:
            if not self.attempts.is_known(name):
                self.attempts.mark_ended(name, now)
            return []
        waiting = lane.remove_attempt(name)
        if waiting is not None:
            upstream = lane.upstream.upstream
            return [
                self._refuse_attempt(waiting, upstream, lane, AttemptRefusalReason.CANCELLED, now)
            ]
        if name in self.attempts.cancelled:
            return []
        self.attempts.cancelled.add(name)
        return [CancelExchange(name)]

    def _end_exchange(self, event: ExchangeEnded, now: Instant) -> list[Effect]:
        lane = self.attempts.queue_of.get(event.attempt)
        run = lane.running.pop(event.attempt, None) if lane is not None else None
        if lane is None or run is None:
            return [EXCHANGE_END_DROPPED.emit(attempt=event.attempt)]
        if event.outcome is DispatchOutcome.RESPONDED:
            lane.estimate.add_sample(now - run.started)
        if event.attempt in self.attempts.cancelled and event.outcome is DispatchOutcome.UNKNOWN:
            event = replace(event, reason=AttemptRefusalReason.CANCELLED.value)
        self.attempts.mark_ended(event.attempt, now)
        return [reply_to_attempt(run.attempt, lane, event, now), *self._update_after_end(lane, now)]

    def _update_after_end(self, lane: UpstreamQueue, now: Instant) -> list[Effect]:
        """Tell the next dispatcher that less runs, and forget a lane without exchanges."""
        name = lane.upstream.upstream
        if self.retired_queues.get(name) is lane and not lane.running:
            del self.retired_queues[name]
        handing = self.outgoing_handovers.pending.get(name)
        if handing is None:
            return []
        return self._hand_over(lane, handing.recipient, handing.is_former_dispatcher, now)

    def _hand_over(
        self, lane: UpstreamQueue, to: InstanceId, is_former: bool, now: Instant
    ) -> list[Effect]:
        assert self.ownership.view is not None
        return self.outgoing_handovers.send_handover(
            lane, to, self.ownership.view.epoch, is_former, now
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
        """Bring the lane of an upstream in line with its announcement and the view."""
        name = upstream.upstream
        if self.placement.owner_of(name) != self.instance:
            return self._retire_queue(name, AttemptRefusalReason.NOT_DISPATCHER, now)
        lane = self.queues.get(name)
        if lane is None:
            return self._open_queue(upstream, now)
        effects: list[Effect] = []
        if lane.upstream.incarnation != upstream.incarnation:
            lane.handed_over_ends.clear()
        has_moved = lane.upstream.service != upstream.service
        lane.upstream = upstream
        lane.apply_limits(self.document)
        if has_moved or upstream.state is not UpstreamState.READY:
            effects += self._refuse_queue(lane, AttemptRefusalReason.UPSTREAM_NOT_READY, now)
        return effects

    def _open_queue(self, upstream: Upstream, now: Instant) -> list[Effect]:
        name = upstream.upstream
        lane = self.retired_queues.pop(name, None)
        held_until = self.ownership.blocked_until(name)
        if lane is None:
            estimate = DurationEstimate(self.settings.initial_service_seconds)
            lane = UpstreamQueue(upstream, self.settings, estimate, 1, 1, held_until)
        lane.upstream = upstream
        lane.blocked_until = held_until
        self.incoming_handovers.apply_buffered(lane)
        self.outgoing_handovers.pending.pop(name, None)
        lane.apply_limits(self.document)
        self.queues[name] = lane
        held = lane.blocked_until - now
        return [DISPATCH_HELD.emit(upstream=name, seconds=round(held, 3))] if held > 0 else []

    def _retire_queue(
        self, name: UpstreamId, cause: AttemptRefusalReason, now: Instant
    ) -> list[Effect]:
        lane = self.queues.pop(name, None)
        if lane is None:
            return []
        if lane.running:
            self.retired_queues[name] = lane
        return self._refuse_queue(lane, cause, now)

    def _apply_view(self, view: View, now: Instant) -> list[Effect]:
        former = dict(self.queues)
        if self.ownership.may_have_missed_views(self.last_lease_end, now):
            held_until = Instant(now + self.settings.max_exchange_seconds)
            for lane in self.queues.values():
                lane.blocked_until = held_until
        self.ownership.apply_view(view, self.last_lease_end, now)
        self.placement.apply_view(view)
        effects: list[Effect] = []
        for upstream in list(self.known_upstreams.values()):
            effects += self._update_queue(upstream, now)
        for name, lane in {**self.retired_queues, **former}.items():
            owner = self.placement.owner_of(name)
            if owner is None or owner == self.instance:
                continue
            is_former = name in former and self.ownership.former_view is not None
            if is_former or lane.running:
                effects += self._hand_over(lane, owner, is_former, now)
        for instance in {handing.recipient for handing in self.outgoing_handovers.pending.values()}:
            if instance not in self.placement.member_names:
                self.outgoing_handovers.drop_recipient(instance)
        return effects + (self._hand_over_to_successors(now) if self.is_draining else [])

    def _start_draining(self, now: Instant) -> list[Effect]:
        self.is_draining = True
        effects: list[Effect] = []
        for lane in self.queues.values():
            effects += self._refuse_queue(lane, AttemptRefusalReason.DRAINING, now)
        return effects + self._hand_over_to_successors(now)

    def _hand_over_to_successors(self, now: Instant) -> list[Effect]:
        """Tell the dispatchers that follow when this balancer has left what still runs."""
        effects: list[Effect] = []
        if self.ownership.view is None:
            return effects
        for name, lane in self.queues.items():
            ranked = rank_members(self.ownership.view, placement_key(name), 2)
            heirs = [member.instance for member in ranked if member.instance != self.instance]
            if heirs:
                effects += self._hand_over(lane, heirs[0], True, now)
        return effects

    def _process_queues(self, now: Instant) -> list[Effect]:
        """End what ran out and start what can start."""
        effects: list[Effect] = []
        for lane in (*self.queues.values(), *self.retired_queues.values()):
            effects += self._end_overdue_exchanges(lane, now)
        for name, lane in self.queues.items():
            lane.release_expired_slots(now)
            for waiting in lane.pop_expired(now):
                effects.append(
                    self._refuse_attempt(waiting, name, lane, AttemptRefusalReason.DEADLINE, now)
                )
            if self._may_act(now) and not self.is_draining:
                effects += self._start_exchanges(lane, now)
        self.attempts.forget_expired(now)
        return effects

    def _start_exchanges(self, lane: UpstreamQueue, now: Instant) -> list[Effect]:
        return [
            StartExchange(run.attempt.attempt_id, lane.upstream, run.attempt.request, run.deadline)
            for run in lane.start_attempts(now)
        ]

    def _end_overdue_exchanges(self, lane: UpstreamQueue, now: Instant) -> list[Effect]:
        """End exchanges whose deadline, which the upstream honours, passed without an end."""
        grace = self.settings.deadline_grace_seconds
        late = [name for name, run in lane.running.items() if run.deadline + grace <= now]
        effects: list[Effect] = []
        for name in late:
            run = lane.running[name]
            ended = ExchangeEnded(name, DispatchOutcome.UNKNOWN, "deadline", None)
            upstream = run.upstream.upstream
            effects.append(EXCHANGE_OVERDUE.emit(attempt=name, upstream=upstream))
            effects.append(CancelExchange(name))
            effects += self._end_exchange(ended, now)
        return effects
