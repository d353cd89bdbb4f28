"""The product's flow routers behind the interface of the policies."""

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
    """Slot tables with two-step handoffs and a register of newer flows."""

    name = "handoff"

    def __init__(self, *arguments, settings: FlowSettings | None = None) -> None:
        super().__init__(*arguments)
        self.settings = settings or FlowSettings()
        self.routers: dict[str, FlowRouter] = {}
        self.under_way: list[tuple[float, str, str, Message]] = []
        self.news: list[tuple[float, str, Event]] = []
        self.held: dict[FlowKey, ParsedPacket] = {}
        self.epochs: dict[DataCentreId, int] = {}
        self.views: dict[DataCentreId, View] = {}
        self.incarnation = 0
        self.incarnations: dict[str, int] = {}

    def start(self, balancer: str, place: DataCentreId, now: Instant) -> None:
        """Start a balancer that has no state."""
        self.incarnation += 1
        self.incarnations[balancer] = self.incarnation
        seeded = random.Random(self.incarnation)
        self.routers[balancer] = FlowRouter(self.settings, InstanceId(balancer), place, seeded, now)
        self.handle(balancer, LeaseChanged(LEASE_END), now)
        self.configure(balancer, self.document, now)

    def stop(self, balancer: str) -> None:
        """Stop a balancer without notice."""
        del self.routers[balancer]

    def configure(self, balancer: str, document: ConfigurationDocument, now: Instant) -> None:
        """Hand a new configuration to one balancer."""
        if balancer in self.routers:
            self.handle(balancer, ConfigurationApplied(Version(1), document), now)

    def tell(
        self,
        balancer: str,
        changed: Iterable[Upstream],
        removed: Iterable[UpstreamId],
        now: Instant,
    ) -> None:
        """Hand a change of upstreams to one balancer."""
        if balancer in self.routers:
            self.handle(balancer, UpstreamsChanged(tuple(changed), tuple(removed)), now)

    def set_members(self, places: Mapping[str, DataCentreId], now: Instant) -> None:
        """Issue new views of the live balancers; each learns them after its own delay."""
        for place in set(places.values()) | set(self.views):
            members = tuple(
                self._member(name, place) for name in sorted(places) if places[name] == place
            )
            known = self.views.get(place)
            if known is not None and known.members == members:
                continue
            self.epochs[place] = self.epochs.get(place, 0) + 1
            self.views[place] = View(place, Epoch(self.epochs[place]), members)
        for balancer in places:
            at = now + self.source.uniform(0, MAX_VIEW_DELAY_SECONDS)
            for view in self.views.values():
                self.news.append((at, balancer, ViewChanged(view)))

    def packet(self, balancer: str, packet: ParsedPacket, now: Instant) -> None:
        """Hand a packet to one balancer."""
        self.packets += 1
        self._route(balancer, packet, now, 0)

    def step(self, now: Instant) -> None:
        """Let time pass and deliver messages that have been under way."""
        due = [item for item in self.news if item[0] <= now]
        self.news = [item for item in self.news if item[0] > now]
        for _, balancer, event in due:
            if balancer in self.routers:
                self.handle(balancer, event, now)
        arrived = [item for item in self.under_way if item[0] <= now]
        self.under_way = [item for item in self.under_way if item[0] > now]
        self.source.shuffle(arrived)
        for _, sender, to, message in arrived:
            if to in self.routers:
                self.handle(to, Received(InstanceId(sender), message), now)
        for balancer, router in list(self.routers.items()):
            deadline = router.next_deadline()
            if deadline is not None and deadline <= now:
                self.handle(balancer, Tick(), now)

    def handle(self, balancer: str, event: Event, now: Instant) -> None:
        """Hand an event to one router and carry out its effects."""
        self._carry_out(balancer, self.routers[balancer].handle(event, now), now)

    def _member(self, name: str, place: DataCentreId) -> Member:
        endpoint = Endpoint(name, 1)
        incarnation = Incarnation(self.incarnations[name])
        return Member(InstanceId(name), incarnation, place, endpoint, endpoint)

    def _carry_out(self, balancer: str, effects: list[Effect], now: Instant) -> None:
        for effect in effects:
            match effect:
                case Send(to, message):
                    self.sent_bytes[balancer] += len(encode(message))
                    at = now + self.source.uniform(0, MAX_MESSAGE_DELAY_SECONDS)
                    self.under_way.append((at, balancer, to, message))
                case ReleaseHeld(flow, decision, packets):
                    packet = self.held[flow]
                    for _ in packets:
                        self._decided(balancer, packet, decision, now, 0)

    def _route(self, balancer: str, packet: ParsedPacket, now: Instant, hops: int) -> None:
        decision = self.routers[balancer].route(packet, now, hops)
        if isinstance(decision, Held):
            self.asked_packets += 1
            self.held[packet.flow] = packet
            return
        self._decided(balancer, packet, decision, now, hops)

    def _decided(
        self, balancer: str, packet: ParsedPacket, decision: Decision, now: Instant, hops: int
    ) -> None:
        match decision:
            case ForwardTo(upstream):
                self.deliver(packet.flow, upstream.upstream)
            case PassTo(member) if member.instance in self.routers:
                self._route(member.instance, packet, now, hops + 1)
            case _:
                self.deliver(packet.flow, None)
