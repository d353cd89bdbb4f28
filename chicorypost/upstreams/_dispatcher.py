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
from chicorypost.upstreams._attempts import Attempts
from chicorypost.upstreams._events import (
    ATTEMPT_REPEATED,
    DISPATCH_HELD,
    EXCHANGE_END_DROPPED,
    EXCHANGE_OVERDUE,
)
from chicorypost.upstreams._exchanges import (
    CancelExchange,
    Drain,
    ExchangeEnded,
    RefusalCause,
    StartExchange,
    answer_attempt,
    refusal_by_lane,
    refuse_attempt,
)
from chicorypost.upstreams._handover import Handovers
from chicorypost.upstreams._inheritance import Inheritance
from chicorypost.upstreams._lane import Attempt, DurationEstimate, Lane
from chicorypost.upstreams._messages import (
    DispatchCancel,
    DispatchHandover,
    DispatchHandoverSeen,
    DispatchOutcome,
    DispatchRequest,
)
from chicorypost.upstreams._placement import Placement, placement_key
from chicorypost.upstreams._settings import DispatcherSettings
from chicorypost.upstreams._tenure import Tenure

MILLISECONDS = 1000


class Dispatcher:
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
        self.tenure = Tenure(settings, self.instance)
        self.placement = Placement()
        self.handovers = Handovers(settings)
        self.inheritance = Inheritance(self.tenure)
        self.known: dict[UpstreamId, Upstream] = {}
        self.lanes: dict[UpstreamId, Lane] = {}
        self.retired: dict[UpstreamId, Lane] = {}
        self.attempts = Attempts(settings)
        self.lease_end: Instant | None = None
        self.last_lease_end: Instant | None = None
        self.is_draining = False

    def handle(self, event: Event, now: Instant) -> list[Effect]:
        """Take one event and return the effects, in the order to carry them out."""
        match event:
            case Received(sender, message):
                effects = self._received(sender, message, now)
            case ExchangeEnded():
                effects = self._exchange_ended(event, now)
            case UpstreamsChanged(changed, removed):
                effects = self._upstreams_changed(changed, removed, now)
            case ViewChanged(view) if view.data_centre == self.data_centre:
                effects = self._view_changed(view, now)
            case LeaseChanged(end):
                self._hold_lease(end, now)
                effects = []
            case ConfigurationApplied(_, document):
                self.document = document
                for lane in self.lanes.values():
                    lane.bound(self.document)
                effects = []
            case Drain():
                effects = self._drain(now)
            case Tick():
                effects = self.handovers.repeat(now)
            case _:
                return []
        return effects + self._pump(now)

    def next_deadline(self) -> Instant | None:
        """Return when the machine next wants a `Tick`."""
        lanes = (*self.lanes.values(), *self.retired.values())
        deadlines = [lane.next_deadline() for lane in lanes]
        deadlines.append(self.handovers.retry_at)
        deadlines.append(self.attempts.next_deadline())
        return min((at for at in deadlines if at is not None), default=None)

    @property
    def may_leave(self) -> bool:
        """Whether, after `Drain`, every next dispatcher knows what runs: the lease can go."""
        return self.is_draining and self.handovers.all_seen

    @property
    def idle(self) -> bool:
        """Whether nothing runs, nothing waits and every handover is acknowledged."""
        return not self.attempts.lane_of and self.handovers.all_seen

    def dump(self) -> dict[str, Any]:
        """Return the whole decision state as values that JSON can hold."""
        return {
            "lanes": {name: lane.dump() for name, lane in self.lanes.items()},
            "retired": {name: lane.dump() for name, lane in self.retired.items()},
            "handovers": self.handovers.dump(),
            "lease_end": self.lease_end,
            "draining": self.is_draining,
        }

    def _hold_lease(self, end: Instant | None, now: Instant) -> None:
        ended = min(self.last_lease_end or now, now)
        self.last_lease_end = ended if end is None else end
        self.lease_end = end

    def _may_act(self, now: Instant) -> bool:
        return self.lease_end is not None and now < self.lease_end

    def _received(self, sender: InstanceId, message: Message, now: Instant) -> list[Effect]:
        match message:
            case DispatchRequest():
                return self._request(sender, message, now)
            case DispatchCancel(attempt):
                return self._cancel(sender, attempt, now)
            case DispatchHandover():
                return self._handed_over(sender, message, now)
            case DispatchHandoverSeen(upstream, sequence):
                self.handovers.seen(sender, upstream, sequence)
                return []
            case _:
                return []

    def _request(self, sender: InstanceId, message: DispatchRequest, now: Instant) -> list[Effect]:
        name = message.attempt
        if self.attempts.is_known(name):
            return [ATTEMPT_REPEATED.emit(attempt=name)]
        deadline = Instant(now + message.remaining_ms / MILLISECONDS)
        attempt = Attempt(name, sender, message.priority, deadline, message.request)
        lane = self.lanes.get(message.upstream)
        cause = self._refusal(message, lane, deadline, now)
        if cause is not None:
            return [self._refuse(attempt, message.upstream, lane, cause, now)]
        assert lane is not None
        lane.push(attempt)
        self.attempts.lane_of[name] = lane
        return []

    def _refusal(
        self, message: DispatchRequest, lane: Lane | None, deadline: Instant, now: Instant
    ) -> RefusalCause | None:
        if self.is_draining:
            return RefusalCause.DRAINING
        if not self._may_act(now):
            return RefusalCause.NO_LEASE
        if lane is None:
            is_known = message.upstream in self.known
            return RefusalCause.NOT_DISPATCHER if is_known else RefusalCause.UNKNOWN_UPSTREAM
        return refusal_by_lane(lane, self.document, message, deadline, now)

    def _refuse(
        self,
        attempt: Attempt,
        upstream: UpstreamId,
        lane: Lane | None,
        cause: RefusalCause,
        now: Instant,
    ) -> Effect:
        self.attempts.end(attempt.attempt, now)
        return refuse_attempt(attempt, upstream, lane, cause, now)

    def _refuse_queue(self, lane: Lane, cause: RefusalCause, now: Instant) -> list[Effect]:
        name = lane.upstream.upstream
        return [self._refuse(waiting, name, lane, cause, now) for waiting in lane.pop_all()]

    def _cancel(self, sender: InstanceId, name: AttemptId, now: Instant) -> list[Effect]:
        lane = self.attempts.lane_of.get(name)
        if lane is None:
            if not self.attempts.is_known(name):
                self.attempts.end(name, now)
            return []
        waiting = lane.remove(name)
        if waiting is not None:
            upstream = lane.upstream.upstream
            return [self._refuse(waiting, upstream, lane, RefusalCause.CANCELLED, now)]
        if name in self.attempts.cancelled:
            return []
        self.attempts.cancelled.add(name)
        return [CancelExchange(name)]

    def _exchange_ended(self, event: ExchangeEnded, now: Instant) -> list[Effect]:
        lane = self.attempts.lane_of.get(event.attempt)
        run = lane.running.pop(event.attempt, None) if lane is not None else None
        if lane is None or run is None:
            return [EXCHANGE_END_DROPPED.emit(attempt=event.attempt)]
        if event.outcome is DispatchOutcome.ANSWERED:
            lane.estimate.add(now - run.started)
        if event.attempt in self.attempts.cancelled and event.outcome is DispatchOutcome.UNKNOWN:
            event = replace(event, reason=RefusalCause.CANCELLED.value)
        self.attempts.end(event.attempt, now)
        return [answer_attempt(run.waiting, lane, event, now), *self._ran_out(lane, now)]

    def _ran_out(self, lane: Lane, now: Instant) -> list[Effect]:
        """Tell the next dispatcher that less runs, and forget a lane without exchanges."""
        name = lane.upstream.upstream
        if self.retired.get(name) is lane and not lane.running:
            del self.retired[name]
        handing = self.handovers.outgoing.get(name)
        if handing is None:
            return []
        return self._hand_over(lane, handing.to, handing.is_former, now)

    def _hand_over(self, lane: Lane, to: InstanceId, is_former: bool, now: Instant) -> list[Effect]:
        assert self.tenure.view is not None
        return self.handovers.give(lane, to, self.tenure.view.epoch, is_former, now)

    def _handed_over(
        self, sender: InstanceId, message: DispatchHandover, now: Instant
    ) -> list[Effect]:
        if not self.inheritance.take(sender, message, self.lanes.get(message.upstream), now):
            return []
        return [Send(sender, DispatchHandoverSeen(message.upstream, message.sequence))]

    def _upstreams_changed(
        self, changed: Iterable[Upstream], removed: Iterable[UpstreamId], now: Instant
    ) -> list[Effect]:
        effects: list[Effect] = []
        for name in removed:
            self.known.pop(name, None)
            effects += self._retire(name, RefusalCause.UPSTREAM_GONE, now)
        for upstream in changed:
            if upstream.data_centre != self.data_centre:
                continue
            self.known[upstream.upstream] = upstream
            effects += self._follow(upstream, now)
        return effects

    def _follow(self, upstream: Upstream, now: Instant) -> list[Effect]:
        """Bring the lane of an upstream in line with its announcement and the view."""
        name = upstream.upstream
        if self.placement.owner(name) != self.instance:
            return self._retire(name, RefusalCause.NOT_DISPATCHER, now)
        lane = self.lanes.get(name)
        if lane is None:
            return self._open(upstream, now)
        effects: list[Effect] = []
        if lane.upstream.incarnation != upstream.incarnation:
            lane.holds.clear()
        has_moved = lane.upstream.service != upstream.service
        lane.upstream = upstream
        lane.bound(self.document)
        if has_moved or upstream.state is not UpstreamState.READY:
            effects += self._refuse_queue(lane, RefusalCause.UPSTREAM_NOT_READY, now)
        return effects

    def _open(self, upstream: Upstream, now: Instant) -> list[Effect]:
        name = upstream.upstream
        lane = self.retired.pop(name, None)
        held_until = self.tenure.held_until(name)
        if lane is None:
            estimate = DurationEstimate(self.settings.initial_service_seconds)
            lane = Lane(upstream, self.settings, estimate, 1, 1, held_until)
        lane.upstream = upstream
        lane.held_until = held_until
        self.inheritance.claim(lane)
        self.handovers.outgoing.pop(name, None)
        lane.bound(self.document)
        self.lanes[name] = lane
        held = lane.held_until - now
        return [DISPATCH_HELD.emit(upstream=name, seconds=round(held, 3))] if held > 0 else []

    def _retire(self, name: UpstreamId, cause: RefusalCause, now: Instant) -> list[Effect]:
        lane = self.lanes.pop(name, None)
        if lane is None:
            return []
        if lane.running:
            self.retired[name] = lane
        return self._refuse_queue(lane, cause, now)

    def _view_changed(self, view: View, now: Instant) -> list[Effect]:
        former = dict(self.lanes)
        if self.tenure.is_stale(self.last_lease_end, now):
            held_until = Instant(now + self.settings.max_exchange_seconds)
            for lane in self.lanes.values():
                lane.held_until = held_until
        self.tenure.apply(view, self.last_lease_end, now)
        self.placement.apply(view)
        effects: list[Effect] = []
        for upstream in list(self.known.values()):
            effects += self._follow(upstream, now)
        for name, lane in {**self.retired, **former}.items():
            owner = self.placement.owner(name)
            if owner is None or owner == self.instance:
                continue
            is_former = name in former and self.tenure.former is not None
            if is_former or lane.running:
                effects += self._hand_over(lane, owner, is_former, now)
        for instance in {handing.to for handing in self.handovers.outgoing.values()}:
            if instance not in self.placement.names:
                self.handovers.drop_to(instance)
        return effects + (self._farewell(now) if self.is_draining else [])

    def _drain(self, now: Instant) -> list[Effect]:
        self.is_draining = True
        effects: list[Effect] = []
        for lane in self.lanes.values():
            effects += self._refuse_queue(lane, RefusalCause.DRAINING, now)
        return effects + self._farewell(now)

    def _farewell(self, now: Instant) -> list[Effect]:
        """Tell the dispatchers that follow when this balancer has left what still runs."""
        effects: list[Effect] = []
        if self.tenure.view is None:
            return effects
        for name, lane in self.lanes.items():
            ranked = rank_members(self.tenure.view, placement_key(name), 2)
            heirs = [member.instance for member in ranked if member.instance != self.instance]
            if heirs:
                effects += self._hand_over(lane, heirs[0], True, now)
        return effects

    def _pump(self, now: Instant) -> list[Effect]:
        """End what ran out and start what can start."""
        effects: list[Effect] = []
        for lane in (*self.lanes.values(), *self.retired.values()):
            effects += self._overdue(lane, now)
        for name, lane in self.lanes.items():
            lane.settle(now)
            for waiting in lane.pop_expired(now):
                effects.append(self._refuse(waiting, name, lane, RefusalCause.DEADLINE, now))
            if self._may_act(now) and not self.is_draining:
                effects += self._start(lane, now)
        self.attempts.forget(now)
        return effects

    def _start(self, lane: Lane, now: Instant) -> list[Effect]:
        return [
            StartExchange(run.waiting.attempt, lane.upstream, run.waiting.request, run.deadline)
            for run in lane.start(now)
        ]

    def _overdue(self, lane: Lane, now: Instant) -> list[Effect]:
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
            effects += self._exchange_ended(ended, now)
        return effects
