"""Flow routers of chicorypost behind the common policy interface."""

import random
from collections.abc import Iterable, Mapping

from benchmarks.flow_policies._policy import Policy
from chicorypost.base import (
    DataCentreId,
    Effect,
    Endpoint,
    Epoch,
    Event,
    FlowKey,
    Incarnation,
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
    Version,
    View,
    ViewChanged,
    encode,
)
from chicorypost.configuration import ConfigurationApplied, ConfigurationDocument
from chicorypost.flows import (
    Decision,
    FlowRouter,
    FlowSettings,
    ForwardTo,
    Held,
    ParsedPacket,
    PassTo,
    ReleaseHeld,
)

LEASE_END = Instant(1e9)
MAX_MESSAGE_DELAY_SECONDS = 0.01
MAX_VIEW_DELAY_SECONDS = 0.2


class HandoffPolicy(Policy):
    """Slot tables with two-step handoffs and a register of recently opened flows."""

    name = "handoff"

    def __init__(self, *arguments, settings: FlowSettings | None = None) -> None:
        super().__init__(*arguments)
        self.settings = settings or FlowSettings()
        self.routers: dict[str, FlowRouter] = {}
        self.messages_in_flight: list[tuple[float, str, str, Message]] = []
        self.scheduled_events: list[tuple[float, str, Event]] = []
        self.held_packets: dict[FlowKey, ParsedPacket] = {}
        self.epochs: dict[DataCentreId, int] = {}
        self.views: dict[DataCentreId, View] = {}
        self.last_incarnation = 0
        self.incarnations: dict[str, int] = {}

    def start_balancer(self, balancer: str, data_centre: DataCentreId, now: Instant) -> None:
        """Start a balancer without state, with a new incarnation."""
        self.last_incarnation += 1
        self.incarnations[balancer] = self.last_incarnation
        router_rng = random.Random(self.last_incarnation)
        self.routers[balancer] = FlowRouter(
            self.settings, InstanceId(balancer), data_centre, router_rng, now
        )
        self.handle_event(balancer, LeaseChanged(LEASE_END), now)
        self.apply_configuration(balancer, self.document, now)

    def stop_balancer(self, balancer: str) -> None:
        """Stop a balancer without notice."""
        del self.routers[balancer]

    def apply_configuration(
        self, balancer: str, document: ConfigurationDocument, now: Instant
    ) -> None:
        """Apply a new configuration to one balancer."""
        if balancer in self.routers:
            self.handle_event(balancer, ConfigurationApplied(Version(1), document), now)

    def update_upstreams(
        self,
        balancer: str,
        changed: Iterable[Upstream],
        removed: Iterable[UpstreamId],
        now: Instant,
    ) -> None:
        """Apply a change of upstreams to one balancer."""
        if balancer in self.routers:
            self.handle_event(balancer, UpstreamsChanged(tuple(changed), tuple(removed)), now)

    def set_members(self, data_centres: Mapping[str, DataCentreId], now: Instant) -> None:
        """Publish new views; each balancer receives them after a random delay of its own."""
        for data_centre in set(data_centres.values()) | set(self.views):
            members = tuple(
                self._make_member(name, data_centre)
                for name in sorted(data_centres)
                if data_centres[name] == data_centre
            )
            current_view = self.views.get(data_centre)
            if current_view is not None and current_view.members == members:
                continue
            self.epochs[data_centre] = self.epochs.get(data_centre, 0) + 1
            self.views[data_centre] = View(data_centre, Epoch(self.epochs[data_centre]), members)
        for balancer in data_centres:
            at = now + self.rng.uniform(0, MAX_VIEW_DELAY_SECONDS)
            for view in self.views.values():
                self.scheduled_events.append((at, balancer, ViewChanged(view)))

    def route_packet(self, balancer: str, packet: ParsedPacket, now: Instant) -> None:
        """Route a packet that one balancer receives."""
        self.packet_count += 1
        self._route_with_hops(balancer, packet, now, 0)

    def advance_to(self, now: Instant) -> None:
        """Deliver due events, messages and ticks; messages that are due arrive in random order."""
        due = [item for item in self.scheduled_events if item[0] <= now]
        self.scheduled_events = [item for item in self.scheduled_events if item[0] > now]
        for _, balancer, event in due:
            if balancer in self.routers:
                self.handle_event(balancer, event, now)
        arrived = [item for item in self.messages_in_flight if item[0] <= now]
        self.messages_in_flight = [item for item in self.messages_in_flight if item[0] > now]
        self.rng.shuffle(arrived)
        for _, sender, to, message in arrived:
            if to in self.routers:
                self.handle_event(to, Received(InstanceId(sender), message), now)
        for balancer, router in list(self.routers.items()):
            deadline = router.next_deadline()
            if deadline is not None and deadline <= now:
                self.handle_event(balancer, Tick(), now)

    def handle_event(self, balancer: str, event: Event, now: Instant) -> None:
        """Process an event in one router and apply its effects."""
        self._apply_effects(balancer, self.routers[balancer].handle(event, now), now)

    def _make_member(self, name: str, data_centre: DataCentreId) -> Member:
        endpoint = Endpoint(name, 1)
        incarnation = Incarnation(self.incarnations[name])
        return Member(InstanceId(name), incarnation, data_centre, endpoint, endpoint)

    def _apply_effects(self, balancer: str, effects: list[Effect], now: Instant) -> None:
        for effect in effects:
            match effect:
                case Send(to, message):
                    self.sent_bytes[balancer] += len(encode(message))
                    at = now + self.rng.uniform(0, MAX_MESSAGE_DELAY_SECONDS)
                    self.messages_in_flight.append((at, balancer, to, message))
                case ReleaseHeld(flow, decision, packets):
                    packet = self.held_packets[flow]
                    for _ in packets:
                        self._apply_decision(balancer, packet, decision, now, 0)

    def _route_with_hops(
        self, balancer: str, packet: ParsedPacket, now: Instant, hops: int
    ) -> None:
        decision = self.routers[balancer].route(packet, now, hops)
        if isinstance(decision, Held):
            self.held_packet_count += 1
            self.held_packets[packet.flow] = packet
            return
        self._apply_decision(balancer, packet, decision, now, hops)

    def _apply_decision(
        self, balancer: str, packet: ParsedPacket, decision: Decision, now: Instant, hops: int
    ) -> None:
        match decision:
            case ForwardTo(upstream):
                self.on_delivery(packet.flow, upstream.upstream)
            case PassTo(member) if member.instance in self.routers:
                self._route_with_hops(member.instance, packet, now, hops + 1)
            case _:
                self.on_delivery(packet.flow, None)
