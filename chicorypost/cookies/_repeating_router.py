"""A cookie router that also resets flows with stalled requests; used where repeats are enabled."""

from random import Random
from typing import Any

from chicorypost.announcements import AnnouncedStatus, VisibleUpstream, VisibleUpstreamsChanged
from chicorypost.base import (
    DataCentreId,
    Effect,
    Event,
    FlowKey,
    InstanceId,
    Instant,
    Tick,
    UpstreamId,
)
from chicorypost.cookies._candidates import ServiceCandidates
from chicorypost.cookies._diversions import Diversions
from chicorypost.cookies._flows import FlowState
from chicorypost.cookies._packet import (
    CookiePacket,
    Decision,
    ForwardPacket,
    ResetReason,
    ResetStalledFlow,
)
from chicorypost.cookies._repeats import (
    FlowReader,
    RepeatRefusal,
    Repeats,
    ServiceSituation,
    WatchedRequest,
    is_ahead,
)
from chicorypost.cookies._router import CookieRouter
from chicorypost.cookies._settings import BalancingSettings, ColdStartLimits, CookieSettings
from chicorypost.cookies._suspects import SuspectedUpstreams
from chicorypost.routing import Retryability, Route

MS_PER_SECOND = 1000
FOREVER = Instant(float("inf"))
CHECK_INTERVAL_SECONDS = 0.25
"""Interval of the checks; also bounds the pause of this process that goes unnoticed."""
COPY_CHECK_INTERVAL_SECONDS = 0.1
"""Interval while copies of requests have arrived."""


class AnswerRecorder(SuspectedUpstreams):
    """Suspected upstreams that also report each answer to the repeats."""

    def __init__(self, settings: CookieSettings, repeats: Repeats) -> None:
        super().__init__(settings)
        self.repeats = repeats

    def record_answer(self, upstream: UpstreamId, now: Instant) -> bool:
        """Record an answer; return whether it ends a suspicion."""
        self.repeats.record_answer(upstream)
        return super().record_answer(upstream, now)


class RepeatingRouter(CookieRouter):
    """A `CookieRouter` that resets flows whose request is stalled at an unresponsive upstream.

    A class of its own, so that deployments without repeats have neither its work for each packet
    nor its memory. Resets are effects of ticks (`ResetStalledFlow`), never decisions for a packet.

    Parameters
    ----------
    settings, data_centre, random, now, balancing, cold_start_limits, balancer, announcement_seconds
        See `CookieRouter`.
    read_ends : callable
        Returns the ends of a flow.
    """

    def __init__(
        self,
        settings: CookieSettings,
        data_centre: DataCentreId,
        random: Random,
        now: Instant,
        balancing: BalancingSettings,
        cold_start_limits: ColdStartLimits | None,
        read_ends: FlowReader,
        balancer: InstanceId = InstanceId(""),  # noqa: B008 (immutable)
        announcement_seconds: float = 1.0,
    ) -> None:
        super().__init__(
            settings,
            data_centre,
            random,
            now,
            balancing,
            cold_start_limits,
            balancer,
            announcement_seconds,
        )
        self.read_ends = read_ends
        self.repeats = Repeats(balancing, read_ends, now)
        self.suspected_upstreams = AnswerRecorder(settings, self.repeats)
        self.chooser.suspected_upstreams = self.suspected_upstreams
        self.diversions: Diversions | None = None
        """Requests turned away from judged upstreams; None unless observations are shared."""
        if self.judged_upstreams is not None:
            self.diversions = Diversions(self.judged_upstreams, self.repeats)
        self.next_check_at = Instant(now + CHECK_INTERVAL_SECONDS)

    def handle(self, event: Event, now: Instant) -> list[Effect]:
        """Process one event and return the effects."""
        self.repeats.record_time(now)
        if not isinstance(event, Tick) or now >= self.next_expiry_at:
            self.effects = super().handle(event, now)
        if isinstance(event, VisibleUpstreamsChanged):
            self._update_judgements(event)
        if isinstance(event, Tick):
            self.repeats.remove_expired(now)
            if self.diversions is not None:
                self.diversions.remove_expired(now)
            self._reset_stalled_flows(now)
            interval = (
                COPY_CHECK_INTERVAL_SECONDS if self.repeats.copied_flows else CHECK_INTERVAL_SECONDS
            )
            self.next_check_at = Instant(now + interval)
        return self.pop_effects()

    def next_deadline(self) -> Instant | None:
        """Return when the router next needs a `Tick`."""
        return min(self.next_expiry_at, self.next_check_at)

    def dump(self) -> dict[str, Any]:
        """Return the complete decision state as JSON-compatible values."""
        return {**super().dump(), "repeats": self.repeats.dump()}

    def count_packets(self) -> dict[str, int]:
        """Return the number of packets per decision, and that of the repeats by reason."""
        counters = {**super().count_packets(), **self.repeats.counters}
        return counters | (self.diversions.counters if self.diversions is not None else {})

    def route(self, packet: CookiePacket, now: Instant) -> Decision:
        """Decide what to do with a client's packet; see `CookieRouter.route`."""
        self.repeats.record_time(now)
        state = self.tracker.flows.get(packet.flow)
        if self._is_diverted(packet, state, now):
            self.tracker.remove_flow(packet.flow)
            self.repeats.forget_flow(packet.flow)
            return self._reset(ResetReason.UPSTREAM_UNRESPONSIVE)
        ack_number = state.ack_number if state is not None and not state.is_opening else None
        is_overtaken = ack_number is not None and is_ahead(ack_number, packet.ack_number)
        is_closed = packet.flow in self.tracker.closed_at
        decision = super().route(packet, now)
        if packet.opens_flow or type(decision) is not ForwardPacket:
            self.repeats.forget_flow(packet.flow)
        elif is_overtaken:
            assert state is not None and ack_number is not None
            # Else the next late packet would look like a new request of the flow.
            state.ack_number = ack_number
        elif not is_closed:
            self._record_packet(packet, decision.upstream, now)
        return decision

    def _is_diverted(self, packet: CookiePacket, state: FlowState | None, now: Instant) -> bool:
        """Return whether a packet starts a request that is turned away from its upstream."""
        if self.diversions is None:
            return False
        if packet.opens_flow:
            self.diversions.forget_flow(packet.flow)
            return False
        if not packet.data_bytes or packet.ends_flow or not self.diversions.judged.unresponsive:
            return False
        decision = self.decision_by_cookie.get(packet.cookie)
        if decision is None or decision.upstream not in self.diversions.judged.unresponsive:
            return False
        if self._find_repeatable_route(packet.flow) is None:
            return False
        name = decision.upstream
        return self.diversions.decide(
            packet, name, state, lambda: self._has_alternative(name, now), now
        )

    def _has_alternative(self, name: UpstreamId, now: Instant) -> bool:
        """Return whether another upstream of the service is usable and has a free slot."""
        candidates = self.index.candidates.get(self.upstreams[name].announcement.service)
        usable = self._list_usable(candidates, name, now)
        return any(self._has_free_slot(item.announcement.upstream) for item in usable)

    def _update_judgements(self, event: VisibleUpstreamsChanged) -> None:
        for name in event.removed:
            self.repeats.latest_answers.pop(name, None)
            self.repeats.withdraw_judgement(name)
        if self.judged_upstreams is None:
            return
        for item in event.changed:
            name = item.announcement.upstream
            if name in self.judged_upstreams.unresponsive:
                self.repeats.record_judgement(name, item.announcement.started_at_ms, FOREVER)
            else:
                self.repeats.withdraw_judgement(name)

    def record_local_fault(self) -> None:
        """Note that packets were lost or delayed at this machine's link or socket."""
        self.repeats.has_local_fault = True

    def _record_packet(self, packet: CookiePacket, name: UpstreamId, now: Instant) -> None:
        announcement = self.upstreams[name].announcement
        self.repeats.record_packet(
            packet,
            name,
            announcement.started_at_ms,
            announcement.service,
            lambda: self._find_target_seconds(packet.flow),
            now,
        )

    def _find_target_seconds(self, flow: FlowKey) -> float | None:
        route = self._find_repeatable_route(flow)
        return route.target_ms / MS_PER_SECOND if route is not None else None

    def _find_repeatable_route(self, flow: FlowKey) -> Route | None:
        """Return the route of a flow if its requests may be repeated."""
        route = self.routes.get(self.read_ends(flow).address)
        is_repeatable = route is not None and route.retryability is Retryability.IDEMPOTENT
        return route if is_repeatable else None

    def _reset_stalled_flows(self, now: Instant) -> None:
        for flow, request in self.repeats.list_stalled(now):
            reason = self.repeats.decide(flow, self._describe_situation(flow, request, now), now)
            if reason is None:
                continue
            route = self._find_repeatable_route(flow)
            assert route is not None
            effect = ResetStalledFlow(
                flow,
                request.ack_number,
                reason,
                request.upstream,
                route.name,
                request.copies,
                now - request.started_at,
            )
            self.effects.append(effect)

    def _describe_situation(
        self, flow: FlowKey, request: WatchedRequest, now: Instant
    ) -> ServiceSituation | RepeatRefusal:
        """Return the upstreams that matter for a stalled request, or why it isn't repeated."""
        route = self._find_repeatable_route(flow)
        if route is None or all(target.service != request.service for target in route.targets):
            return RepeatRefusal.ROUTE_REMOVED
        item = self.upstreams.get(request.upstream)
        if (
            item is None
            or item.announcement.started_at_ms != request.run
            or item.announcement.status is not AnnouncedStatus.READY
            or now < item.warmup_ends_at
        ):
            return RepeatRefusal.UPSTREAM_CHANGED
        candidates = self.index.candidates.get(request.service)
        others = _list_others(candidates, request.upstream)
        usable = self._list_usable(candidates, request.upstream, now)
        unresponsive = self.suspected_upstreams.unresponsive
        names = frozenset(other.announcement.upstream for other in others)
        return ServiceSituation(
            names | {request.upstream},
            frozenset(
                other.announcement.upstream
                for other in others
                if other.announcement.data_centre == item.announcement.data_centre
            ),
            frozenset(unresponsive & names),
            len(usable),
            sum(self._has_free_slot(other.announcement.upstream) for other in usable),
            self.settings.suspect_share,
        )

    def _list_usable(
        self, candidates: ServiceCandidates | None, name: UpstreamId, now: Instant
    ) -> list[VisibleUpstream]:
        """Return the other upstreams of a service that are warm and responsive."""
        return [
            other
            for other in _list_others(candidates, name)
            if now >= other.warmup_ends_at
            and other.announcement.upstream not in self.suspected_upstreams.unresponsive
            and not self.repeats.is_judged(
                other.announcement.upstream, other.announcement.started_at_ms, now
            )
        ]

    def _has_free_slot(self, name: UpstreamId) -> bool:
        load = self.tracker.read_load(name)
        slots = self.upstreams[name].announcement.slots
        return load.busy_flows + load.opening_flows < slots


def _list_others(candidates: ServiceCandidates | None, name: UpstreamId) -> list[VisibleUpstream]:
    """Return the reachable upstreams of a service but one."""
    reachable = candidates.list_reachable() if candidates is not None else []
    return [item for item in reachable if item.announcement.upstream != name]
