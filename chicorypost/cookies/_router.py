"""The cookie router of one balancer."""

from collections import Counter
from random import Random
from typing import Any

from chicorypost.announcements import (
    AnnouncedStatus,
    RoutingApplied,
    VisibleUpstream,
    VisibleUpstreamsChanged,
)
from chicorypost.base import (
    Address,
    DataCentreId,
    Effect,
    Endpoint,
    Event,
    FlowKey,
    Instant,
    ServiceId,
    Tick,
    UpstreamId,
    Version,
    hash64,
)
from chicorypost.cookies._choice import FlowChooser
from chicorypost.cookies._events import UPSTREAM_SEEN, UPSTREAM_SUSPECTED, UPSTREAM_TRUSTED
from chicorypost.cookies._flows import FlowTracker
from chicorypost.cookies._packet import (
    DROP_DECISIONS,
    RESET_DECISIONS,
    CookiePacket,
    Decision,
    DropReason,
    ForwardPacket,
    ResetReason,
)
from chicorypost.cookies._settings import CookieSettings
from chicorypost.cookies._suspects import SuspectedUpstreams
from chicorypost.routing import NO_VERSION, Route, RoutingDocument

MAX_COOKIE = 2**32 - 1

EXPIRY_INTERVAL_SECONDS = 0.5
"""How often flows that are over are looked for; short against the time that a flow may open."""


class CookieRouter:
    """Chooses an upstream for each new flow and finds that of an open one by its cookie.

    Parameters
    ----------
    settings : CookieSettings
        Times and weights.
    data_centre : DataCentreId
        Where the balancer stands.
    random : Random
        Source of randomness.
    now : Instant
        Current time.

    Notes
    -----
    The cookie is a hash of the upstream's endpoint, so every balancer that knows the upstream can
    forward every packet of an open flow without having seen it before. An endpoint that isn't
    known gets nothing: a client can't choose where its packets go. What is remembered of flows
    only improves the choice: copies of an opening go to the same upstream, and load is known.
    """

    def __init__(
        self, settings: CookieSettings, data_centre: DataCentreId, random: Random, now: Instant
    ) -> None:
        self.settings = settings
        self.tracker = FlowTracker()
        self.suspected_upstreams = SuspectedUpstreams(settings)
        self.chooser = FlowChooser(
            settings, data_centre, self.tracker, self.suspected_upstreams, random
        )
        self.document: RoutingDocument | None = None
        self.routes: dict[Address, Route] = {}
        self.upstreams: dict[UpstreamId, VisibleUpstream] = {}
        self.candidates: dict[ServiceId, list[VisibleUpstream]] = {}
        self.data_centres = 1
        self.decision_by_cookie: dict[int, ForwardPacket] = {}
        """What is done with the packets of open flows, made once and not for each packet."""
        self.forwarded_packets = 0
        self.gone_at: dict[UpstreamId, Instant] = {}
        self.counters: Counter[str] = Counter()
        self.next_expiry_at = Instant(now + EXPIRY_INTERVAL_SECONDS)
        self.effects: list[Effect] = []

    def handle(self, event: Event, now: Instant) -> list[Effect]:
        """Take one event and return the effects."""
        match event:
            case RoutingApplied(document):
                self.document = document
                self.routes = {route.address: route for route in document.routes}
            case VisibleUpstreamsChanged(upstreams):
                self._update_upstreams(upstreams, now)
            case Tick():
                self.next_expiry_at = Instant(now + EXPIRY_INTERVAL_SECONDS)
                idle_seconds = self.settings.flow_idle_seconds
                self.tracker.remove_expired(now, self.settings.opening_seconds, idle_seconds)
            case _:
                raise TypeError(f"event is not for the router: got {type(event).__name__}")
        return self.pop_effects()

    def pop_effects(self) -> list[Effect]:
        """Return what routing packets has to tell since the last call."""
        effects, self.effects = self.effects, []
        return effects

    def next_deadline(self) -> Instant | None:
        """Return when the router next wants a `Tick`."""
        return self.next_expiry_at

    def dump(self) -> dict[str, Any]:
        """Return the whole decision state as values that JSON can hold."""
        return {
            "version": self.version,
            "flows": len(self.tracker.flows),
            "loads": {
                name: [load.flows, load.opening_flows, load.busy_flows]
                for name, load in self.tracker.loads.items()
            },
            "suspected": {
                name: suspicion.suspected_until
                for name, suspicion in self.suspected_upstreams.health.items()
                if suspicion.suspicion_count
            },
            "counters": self.count_packets(),
        }

    def route(self, packet: CookiePacket, now: Instant) -> Decision:
        """Choose what to do with a client's packet.

        Parameters
        ----------
        packet : CookiePacket
            The packet.
        now : Instant
            Current time.

        Returns
        -------
        Decision
            Where the packet goes, or why it goes nowhere.
        """
        if packet.opens_flow:
            return self._route_opening(packet, now)
        decision = self.decision_by_cookie.get(packet.cookie)
        if decision is None:
            reason = DropReason.UNKNOWN_UPSTREAM if packet.cookie else DropReason.NO_COOKIE
            return self._drop(reason)
        name = decision.upstream
        if self.gone_at and self._is_grace_over(name, now) and not packet.aborts_flow:
            self.tracker.remove_flow(packet.flow)
            return self._reset(ResetReason.UPSTREAM_GONE)
        if self.tracker.record_packet(packet, name, now) and self.suspected_upstreams.record_answer(
            name, now
        ):
            self.effects.append(UPSTREAM_TRUSTED.emit(upstream=name))
        self.forwarded_packets += 1
        return decision

    def count_packets(self) -> dict[str, int]:
        """Return how many packets met each decision."""
        return {"forwarded": self.forwarded_packets, **self.counters}

    def count_candidates(self, address: Address) -> int:
        """Return how many upstreams take new flows of a route."""
        route = self.routes.get(address)
        services = {target.service for target in route.targets} if route is not None else set()
        return sum(len(self.candidates.get(service, ())) for service in services)

    def find_unreachable_service(self) -> ServiceId | None:
        """Return a service none of whose upstreams answers here or is heard; None if all do."""
        for service, items in self.candidates.items():
            if all(
                item.is_silent
                or self.suspected_upstreams.is_unresponsive(item.announcement.upstream)
                for item in items
            ):
                return service
        return None

    @property
    def version(self) -> Version:
        """Version of the configuration in force; 0 before the first."""
        return self.document.version if self.document is not None else NO_VERSION

    def _is_grace_over(self, name: UpstreamId, now: Instant) -> bool:
        gone_at = self.gone_at.get(name)
        return gone_at is not None and now - gone_at >= self.settings.gone_grace_seconds

    def _route_opening(self, packet: CookiePacket, now: Instant) -> Decision:
        if self.document is None:
            return self._drop(DropReason.NOT_CONFIGURED)
        route = self.routes.get(packet.address)
        if route is None:
            return self._reset(ResetReason.NO_ROUTE)
        chosen = self._find_previous_choice(packet, now)
        if chosen is None:
            service = choose_service(route, packet.flow)
            chosen = self.chooser.choose(self.candidates.get(service, ()), self.data_centres, now)
            if chosen is None:
                return self._reset(ResetReason.NO_UPSTREAM)
            self.tracker.record_opening(packet.flow, chosen.announcement.upstream, now)
        self.counters["opened"] += 1
        announcement = chosen.announcement
        address = (announcement.endpoint.host, announcement.endpoint.port)
        return ForwardPacket(
            announcement.upstream, address, announcement.token, make_cookie(announcement.endpoint)
        )

    def _find_previous_choice(self, packet: CookiePacket, now: Instant) -> VisibleUpstream | None:
        """Return the upstream that got an earlier copy of the opening, unless it can't answer.

        Two upstreams that both answer would leave the client with the cookie of one and the
        sequence numbers of the other, so a copy moves only away from an upstream that is dead.
        """
        state = self.tracker.flows.get(packet.flow)
        if state is None or not state.is_opening:
            return None
        chosen = self.upstreams.get(state.upstream)
        if chosen is None or chosen.announcement.status is AnnouncedStatus.GONE:
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
        return chosen

    def _update_upstreams(self, upstreams: tuple[VisibleUpstream, ...], now: Instant) -> None:
        known = {item.announcement.upstream: item for item in upstreams}
        for name, item in known.items():
            former = self.upstreams.get(name)
            if former is None or _get_selection_state(former) != _get_selection_state(item):
                self.effects.append(_make_upstream_event(item))
            if (
                former is not None
                and former.announcement.started_at_ms != item.announcement.started_at_ms
            ):
                self.suspected_upstreams.remove(name)
            if item.announcement.status is AnnouncedStatus.GONE:
                self.gone_at.setdefault(name, now)
            else:
                self.gone_at.pop(name, None)
        for name in set(self.upstreams) - set(known):
            self.tracker.remove_upstream(name)
            self.suspected_upstreams.remove(name)
            self.gone_at.pop(name, None)
        self.upstreams = known
        self.data_centres = len({item.announcement.data_centre for item in upstreams})
        self.candidates = {}
        self.decision_by_cookie = {}
        # At an address that was used again the run that started last is the one that is there.
        for item in sorted(upstreams, key=lambda item: item.announcement.started_at_ms):
            announcement = item.announcement
            address = (announcement.endpoint.host, announcement.endpoint.port)
            following = ForwardPacket(announcement.upstream, address, 0)
            self.decision_by_cookie[make_cookie(announcement.endpoint)] = following
            if announcement.status is AnnouncedStatus.READY:
                self.candidates.setdefault(announcement.service, []).append(item)

    def _drop(self, reason: DropReason) -> Decision:
        self.counters[f"dropped-{reason.value}"] += 1
        return DROP_DECISIONS[reason]

    def _reset(self, reason: ResetReason) -> Decision:
        self.counters[f"reset-{reason.value}"] += 1
        return RESET_DECISIONS[reason]


def _get_selection_state(item: VisibleUpstream) -> tuple[AnnouncedStatus, bool, int]:
    """Return what decides whether an upstream gets flows."""
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
    """Return the service of a new flow, by the weights; copies of an opening get the same one."""
    if len(route.targets) == 1:
        return route.targets[0].service
    total = sum(target.weight for target in route.targets)
    place = hash64(flow) % total
    for target in route.targets:
        place -= target.weight
        if place < 0:
            return target.service
    raise AssertionError("weights don't add up")


def make_cookie(endpoint: Endpoint) -> int:
    """Return the cookie of the upstream at an endpoint: 32 bits, never 0."""
    text = f"{endpoint.host}:{endpoint.port}"
    return hash64(text.encode()) % MAX_COOKIE + 1
