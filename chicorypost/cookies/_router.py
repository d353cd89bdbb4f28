"""The cookie router of one balancer."""

from collections import Counter
from random import Random
from typing import TYPE_CHECKING, Any

from chicorypost.announcements import (
    AnnouncedStatus,
    BalancersCounted,
    EvacuationsApplied,
    RoutingApplied,
    VisibleUpstream,
    VisibleUpstreamsChanged,
)
from chicorypost.base import (
    Address,
    DataCentreId,
    Effect,
    Event,
    FlowKey,
    InstanceId,
    Instant,
    ServiceId,
    Tick,
    UpstreamId,
    Version,
    hash64,
)
from chicorypost.cookies._choice import FlowChooser
from chicorypost.cookies._cold_starts import ColdStarts
from chicorypost.cookies._events import (
    COOKIE_CONFLICT,
    UPSTREAM_SEEN,
    UPSTREAM_SLOW,
    UPSTREAM_SUSPECTED,
    UPSTREAM_TRUSTED,
)
from chicorypost.cookies._flows import FlowState, FlowTracker
from chicorypost.cookies._index import UpstreamIndex, make_cookie
from chicorypost.cookies._packet import (
    DROP_DECISIONS,
    RESET_DECISIONS,
    CookiePacket,
    Decision,
    DropReason,
    ForwardPacket,
    ResetReason,
)
from chicorypost.cookies._settings import BalancingSettings, ColdStartLimits, CookieSettings
from chicorypost.cookies._suspects import SuspectedUpstreams
from chicorypost.routing import NO_VERSION, Route, RoutingDocument

if TYPE_CHECKING:
    from chicorypost.cookies._judged_upstreams import JudgedUpstreams

EXPIRY_INTERVAL_SECONDS = 0.5
"""Interval of the removal of expired flows; short compared to the time limit for an opening."""


class CookieRouter:
    """Chooses an upstream for each new flow and finds the upstream of an open flow by its cookie.

    Parameters
    ----------
    settings : CookieSettings
        Timeouts and weights.
    data_centre : DataCentreId
        Data centre of the balancer.
    random : Random
        Source of randomness.
    now : Instant
        Current time.
    balancing : BalancingSettings, optional
        Features that the deployment enables.
    cold_start_limits : ColdStartLimits, optional
        Limits for cold upstreams; None for no limits.
    balancer : InstanceId, optional
        Name of the balancer.
    announcement_seconds : float, default 1.0
        Interval between announcements of an upstream.

    Notes
    -----
    The cookie is a hash of the upstream's endpoint, so every balancer that knows the upstream can
    forward any packet of an open flow without prior state. Packets are forwarded to known
    endpoints only, so a client can't choose their destination. Flow state only improves the
    choice: copies of an opening go to the same upstream, and the load is known.
    """

    def __init__(
        self,
        settings: CookieSettings,
        data_centre: DataCentreId,
        random: Random,
        now: Instant,
        balancing: BalancingSettings = BalancingSettings(),  # noqa: B008 (immutable)
        cold_start_limits: ColdStartLimits | None = None,
        balancer: InstanceId = InstanceId(""),  # noqa: B008 (immutable)
        announcement_seconds: float = 1.0,
    ) -> None:
        self.settings = settings
        self.balancing = balancing
        self.tracker = FlowTracker(settings)
        self.suspected_upstreams = SuspectedUpstreams(settings)
        self.document: RoutingDocument | None = None
        self.routes: dict[Address, Route] = {}
        self.index = UpstreamIndex()
        self.cold_starts: ColdStarts | None = None
        """Limits of the flows to cold upstreams; None without limits."""
        if cold_start_limits is not None:
            self.cold_starts = ColdStarts(
                cold_start_limits, self.index, balancer, announcement_seconds, now
            )
        self.chooser = FlowChooser(
            settings, data_centre, self.tracker, self.suspected_upstreams, random, self.cold_starts
        )
        self.judged_upstreams = self._track_judgements(random)
        self.decision_by_cookie = self.index.decision_by_cookie
        self.forwarded_packets = 0
        self.gone_at: dict[UpstreamId, Instant] = {}
        """When the latest run of an upstream was first seen as gone."""
        self.counters: Counter[str] = Counter()
        self.next_expiry_at = Instant(now + EXPIRY_INTERVAL_SECONDS)
        self.effects: list[Effect] = []

    def _track_judgements(self, random: Random) -> "JudgedUpstreams | None":
        if not self.balancing.shared_observations:
            return None
        # Imported here because balancers without the setting never need it.
        from chicorypost.cookies._judged_upstreams import JudgedUpstreams
        from chicorypost.observations import ObservationSettings

        judged_upstreams = JudgedUpstreams(
            ObservationSettings(),
            self.settings.max_slowness,
            self.tracker.response_times,
            random,
        )
        self.chooser.judged_upstreams = judged_upstreams
        return judged_upstreams

    def handle(self, event: Event, now: Instant) -> list[Effect]:
        """Process one event and return the effects."""
        match event:
            case RoutingApplied(document):
                self.document = document
                self.routes = {route.address: route for route in document.routes}
                if self.cold_starts is not None:
                    self.cold_starts.set_document(document, now)
            case VisibleUpstreamsChanged(changed, removed):
                self._update_upstreams(changed, removed, now)
            case EvacuationsApplied(evacuations):
                self._apply_evacuations(frozenset(evacuations.data_centres), now)
            case BalancersCounted(count):
                if self.cold_starts is not None:
                    self.cold_starts.set_balancers(count, now)
            case Tick():
                self.next_expiry_at = Instant(now + EXPIRY_INTERVAL_SECONDS)
                idle_seconds = self.settings.flow_idle_seconds
                self.tracker.remove_expired(now, self.settings.opening_seconds, idle_seconds)
                self._compare_response_times(now)
                if self.cold_starts is not None:
                    self.cold_starts.tick(now)
            case _:
                raise TypeError(
                    f"cookie router received an unsupported event: got {type(event).__name__}"
                )
        return self.pop_effects()

    def pop_effects(self) -> list[Effect]:
        """Return and clear the effects of the packets routed since the last call."""
        effects, self.effects = self.effects, []
        if self.cold_starts is not None:
            effects += self.cold_starts.pop_effects()
        return effects

    def next_deadline(self) -> Instant | None:
        """Return when the router next needs a `Tick`."""
        return self.next_expiry_at

    def dump(self) -> dict[str, Any]:
        """Return the complete decision state as JSON-compatible values."""
        return {
            "version": self.version,
            "flows": len(self.tracker.flows),
            "loads": {
                name: [load.flows, load.opening_flows, load.busy_flows]
                for name, load in self.tracker.loads.items()
            },
            "suspected": {
                name: entry.suspected_until
                for name, entry in self.suspected_upstreams.health.items()
                if entry.suspicion_count
            },
            "slowness": dict(self.tracker.response_times.slowness),
            "evacuated": sorted(self.index.evacuated),
            **(self.judged_upstreams.dump() if self.judged_upstreams is not None else {}),
            "counters": self.count_packets(),
            "cold_starts": self.cold_starts.dump() if self.cold_starts is not None else None,
        }

    def route(self, packet: CookiePacket, now: Instant) -> Decision:
        """Decide what to do with a client's packet.

        Parameters
        ----------
        packet : CookiePacket
            The packet.
        now : Instant
            Current time.

        Returns
        -------
        Decision
            Where to forward the packet, or why to drop it or reset its flow.
        """
        if packet.opens_flow:
            return self._route_opening(packet, now)
        decision = self.decision_by_cookie.get(packet.cookie)
        if decision is None:
            reason = DropReason.UNKNOWN_UPSTREAM if packet.cookie else DropReason.NO_COOKIE
            return self._drop(reason)
        name = decision.upstream
        if self.gone_at and self._is_left_behind(packet, name, now):
            return self._reset(ResetReason.UPSTREAM_GONE)
        if self.tracker.record_packet(packet, name, now) and self.suspected_upstreams.record_answer(
            name, now
        ):
            self.effects.append(UPSTREAM_TRUSTED.emit(upstream=name))
        self.forwarded_packets += 1
        return decision

    def record_local_fault(self) -> None:
        """Note that packets were lost or delayed at this machine's link or socket."""

    def count_packets(self) -> dict[str, int]:
        """Return the number of packets per decision."""
        counters = {"forwarded": self.forwarded_packets, **self.counters}
        return counters | (self.cold_starts.counters if self.cold_starts is not None else {})

    def count_candidates(self, address: Address) -> int:
        """Return the number of upstreams that accept new flows of the route at an address."""
        route = self.routes.get(address)
        services = {target.service for target in route.targets} if route is not None else set()
        return sum(len(self.index.candidates.get(service, ())) for service in services)

    def find_unreachable_service(self) -> ServiceId | None:
        """Return a service whose upstreams are all silent or unresponsive, if any.

        Evacuated upstreams get no flows, so they don't make a service reachable; a service that has
        only evacuated ones is unreachable by order and isn't reported.
        """
        for service, candidates in self.index.candidates.items():
            if all(
                self.suspected_upstreams.is_unresponsive(item.announcement.upstream)
                for item in candidates.list_reachable()
            ):
                return service
        return None

    @property
    def upstreams(self) -> dict[UpstreamId, VisibleUpstream]:
        """All known upstreams."""
        return self.index.upstreams

    @property
    def version(self) -> Version:
        """Version of the applied configuration; 0 before the first one."""
        return self.document.version if self.document is not None else NO_VERSION

    def _apply_evacuations(self, data_centres: frozenset[DataCentreId], now: Instant) -> None:
        returned = self.index.evacuated - data_centres
        self.index.set_evacuated(data_centres)
        if self.cold_starts is not None:
            for data_centre in returned:
                self.cold_starts.return_data_centre(data_centre, now)
            self.cold_starts.forget_results(now)

    def _compare_response_times(self, now: Instant) -> None:
        """Update which upstreams are slow, and log changes."""
        response_times = self.tracker.response_times
        before = response_times.slowness
        services = [candidates.list_names() for candidates in self.index.candidates.values()]
        slowness = response_times.compare_upstreams(services, now)
        for name in slowness.keys() - before.keys():
            factor = round(slowness[name], 1)
            self.effects.append(UPSTREAM_SLOW.emit(upstream=name, slowness=factor))

    def _is_left_behind(self, packet: CookiePacket, name: UpstreamId, now: Instant) -> bool:
        """Return whether a packet belongs to a flow whose upstream has left.

        A cookie names an address and not a run: a flow that was not seen before the upstream left
        may be open at the next upstream there, which another balancer knows already. If it isn't,
        that upstream resets it.
        """
        gone_at = self.gone_at.get(name)
        if gone_at is None or now - gone_at < self.settings.gone_grace_seconds:
            return False
        state = self.tracker.flows.get(packet.flow)
        is_of_run = (
            state is not None and state.upstream == name and state.opening_started_at <= gone_at
        )
        return is_of_run and not packet.aborts_flow

    def _route_opening(self, packet: CookiePacket, now: Instant) -> Decision:
        if self.document is None:
            return self._drop(DropReason.NOT_CONFIGURED)
        route = self.routes.get(packet.address)
        if route is None:
            return self._reset(ResetReason.NO_ROUTE)
        chosen = self._find_previous_choice(packet, now)
        if chosen is None:
            service = choose_service(route, packet.flow)
            candidates = self.index.candidates.get(service)
            choice = (
                self.chooser.choose(candidates, self.index.data_centres, now)
                if candidates is not None
                else None
            )
            if choice is None:
                is_evacuated = service in self.index.withheld
                return self._reset(
                    ResetReason.EVACUATED if is_evacuated else ResetReason.NO_UPSTREAM
                )
            if isinstance(choice, ResetReason):
                return self._reset(choice)
            chosen = choice
            self.tracker.record_opening(packet.flow, chosen.announcement.upstream, now)
        self.counters["opened"] += 1
        announcement = chosen.announcement
        address = (announcement.endpoint.host, announcement.endpoint.port)
        return ForwardPacket(
            announcement.upstream, address, announcement.token, make_cookie(announcement.endpoint)
        )

    def _find_previous_choice(self, packet: CookiePacket, now: Instant) -> VisibleUpstream | None:
        """Return the upstream of an earlier copy of the opening, unless it won't answer any more.

        If two upstreams answered, the client would have the cookie of one and the sequence numbers
        of the other, so a copy is moved only if its upstream is gone, silent, dead or overdue, if
        its data centre is evacuated, or if another upstream has its address.
        """
        state = self.tracker.flows.get(packet.flow)
        if state is None or not state.is_opening:
            return None
        chosen = self.upstreams.get(state.upstream)
        if chosen is None or chosen.announcement.status is AnnouncedStatus.GONE:
            return None
        if not self.index.is_cookie_owner(state.upstream) or self.index.is_evacuated(chosen):
            return None
        if packet.ack_number > state.copies:
            state.copies = packet.ack_number
            if self.suspected_upstreams.record_unanswered_opening(
                state.upstream, state.last_packet_at, now
            ):
                suspected = UPSTREAM_SUSPECTED.emit(upstream=state.upstream)
                self.effects.append(suspected)
        if chosen.is_silent or self.suspected_upstreams.is_dead(state.upstream):
            return None
        return None if self._is_overdue(state, packet, now) else chosen

    def _is_overdue(self, state: FlowState, packet: CookiePacket, now: Instant) -> bool:
        """Return whether an upstream has answered no flow for too long since an opening."""
        waiting_seconds = now - state.opening_started_at
        return (
            packet.ack_number >= self.settings.moved_copy
            # After a pause of the balancer the copies come right behind the opening.
            and waiting_seconds >= self.settings.overdue_seconds
            and not self.suspected_upstreams.has_answered(state.upstream, state.opening_started_at)
        )

    def _update_upstreams(
        self,
        changed: tuple[VisibleUpstream, ...],
        removed: tuple[UpstreamId, ...],
        now: Instant,
    ) -> None:
        for item in changed:
            self._record_change(item, now)
        for name in removed:
            self.tracker.remove_upstream(name)
            self.suspected_upstreams.remove(name)
            if self.judged_upstreams is not None:
                self.judged_upstreams.remove(name)
            self.gone_at.pop(name, None)
        for name in self.index.update(changed, removed):
            self.effects.append(COOKIE_CONFLICT.emit(upstream=name))
        if self.cold_starts is not None:
            self.cold_starts.update(changed, removed, now)

    def _record_change(self, item: VisibleUpstream, now: Instant) -> None:
        name = item.announcement.upstream
        previous = self.upstreams.get(name)
        if previous is None or _get_selection_state(previous) != _get_selection_state(item):
            self.effects.append(_make_upstream_event(item))
        if (
            previous is not None
            and previous.announcement.started_at_ms != item.announcement.started_at_ms
        ):
            self.suspected_upstreams.remove(name)
            self.tracker.response_times.remove_upstream(name)
            self.gone_at.pop(name, None)
        if self.judged_upstreams is not None:
            self.effects += self.judged_upstreams.update(previous, item, now)
        if item.announcement.status is AnnouncedStatus.GONE:
            self.gone_at.setdefault(name, now)
        else:
            self.gone_at.pop(name, None)

    def _drop(self, reason: DropReason) -> Decision:
        self.counters[f"dropped-{reason.value}"] += 1
        return DROP_DECISIONS[reason]

    def _reset(self, reason: ResetReason) -> Decision:
        self.counters[f"reset-{reason.value}"] += 1
        return RESET_DECISIONS[reason]


def _get_selection_state(item: VisibleUpstream) -> tuple[AnnouncedStatus, bool, int]:
    """Return the state that determines whether an upstream gets new flows."""
    return (item.announcement.status, item.is_silent, item.announcement.started_at_ms)


def _make_upstream_event(item: VisibleUpstream) -> Effect:
    announcement = item.announcement
    return UPSTREAM_SEEN.emit(
        upstream=announcement.upstream,
        service=announcement.service,
        standing=announcement.status.value,
        data_centre=announcement.data_centre,
        silent=item.is_silent,
        born_ms=announcement.started_at_ms,
        sequence=announcement.sequence,
    )


def choose_service(route: Route, flow: FlowKey) -> ServiceId:
    """Return the service of a new flow by weight; copies of an opening get the same service."""
    if len(route.targets) == 1:
        return route.targets[0].service
    total = sum(target.weight for target in route.targets)
    position = hash64(flow) % total
    for target in route.targets:
        position -= target.weight
        if position < 0:
            return target.service
    raise AssertionError("position exceeds the total weight of the route")
