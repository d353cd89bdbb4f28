"""Flow routers on a simulated network whose delivery order the test controls."""

import copy
import random

import dpkt

from chicorypost.base import (
    Address,
    DataCentreId,
    Endpoint,
    Epoch,
    Incarnation,
    InstanceId,
    Instant,
    LeaseChanged,
    Member,
    Received,
    Send,
    ServiceId,
    Tick,
    Upstream,
    UpstreamId,
    UpstreamsChanged,
    UpstreamState,
    Version,
    View,
    ViewChanged,
    decode,
    encode,
)
from chicorypost.configuration import (
    ConfigurationApplied,
    ConfigurationDocument,
    ServiceSpec,
    UpstreamSelector,
)
from chicorypost.flows import (
    Dropped,
    FlowRouter,
    FlowSettings,
    ForwardTo,
    Held,
    PassTo,
    ReleaseHeld,
    parse_packet,
)

HOME = DataCentreId("gent")
ORDERS = ServiceId("orders")
LEASE = Instant(1e9)


def packet(port, opens=False, vip=1):
    flags = dpkt.tcp.TH_SYN if opens else dpkt.tcp.TH_ACK
    inner = dpkt.tcp.TCP(sport=port, dport=443, flags=flags)
    outer = dpkt.ip.IP(src=b"\x0a\0\0\x09", dst=bytes([10, 1, 0, vip]), p=6, data=inner)
    outer.len = len(outer)
    return parse_packet(bytes(outer))


def member(name, data_centre=HOME, incarnation=1):
    endpoint = Endpoint(str(name), 1)
    return Member(InstanceId(name), Incarnation(incarnation), data_centre, endpoint, endpoint)


def upstream(name, service=ORDERS, state=UpstreamState.READY, data_centre=HOME, **changes):
    endpoint = Endpoint(changes.get("host", name), 80)
    return Upstream(
        UpstreamId(name),
        Incarnation(changes.get("incarnation", 1)),
        service,
        data_centre,
        endpoint,
        endpoint,
        3,
        changes.get("connections", 100),
        state,
    )


def document(services=(ORDERS,), slots=2, selects=None):
    return ConfigurationDocument(
        services={
            service: ServiceSpec(
                addresses=(Address(f"10.1.0.{number}:443/tcp"),),
                selector=UpstreamSelector(service=(selects or {}).get(service, service)),
                flow_slots=slots,
            )
            for number, service in enumerate(services, start=1)
        }
    )


class Cluster:
    """Flow routers, the messages in flight between them, and the outcome of every packet."""

    def __init__(self, names, upstreams, slots=2, data_centres=None, **settings):
        settings.setdefault("pass_to_owner", False)
        self.now = Instant(0.0)
        self.settings = FlowSettings(plan_delay_seconds=0, slow_start_seconds=0, **settings)
        self.document = document(slots=slots)
        self.upstreams = {u.upstream: u for u in upstreams}
        self.data_centres = data_centres or {}
        self.epochs = {}
        self.views = {}
        self.routers = {}
        self.in_flight = []
        self.outcomes = []
        self.sent_bytes = 0
        for name in names:
            self.start_router(name)
        self.set_views(names)
        self.settle()

    def data_centre_of(self, name):
        return self.data_centres.get(name, HOME)

    def start_router(self, name):
        router = FlowRouter(
            self.settings, InstanceId(name), self.data_centre_of(name), random.Random(1), self.now
        )
        self.routers[name] = router
        self.handle_event(name, ConfigurationApplied(Version(1), self.document))
        self.handle_event(name, UpstreamsChanged(tuple(self.upstreams.values()), ()))
        self.handle_event(name, LeaseChanged(LEASE))

    def set_views(self, names, to=None, incarnations=None):
        """Issue new views and deliver them to some routers immediately."""
        for data_centre in sorted({self.data_centre_of(name) for name in [*names, *self.routers]}):
            live = [name for name in names if self.data_centre_of(name) == data_centre]
            members = tuple(
                member(name, data_centre, (incarnations or {}).get(name, 1)) for name in live
            )
            epoch = self.epochs[data_centre] = self.epochs.get(data_centre, 0) + 1
            self.views[data_centre] = View(data_centre, Epoch(epoch), members)
        for name in names if to is None else to:
            self.deliver_views(name)

    def deliver_views(self, name):
        for view in self.views.values():
            self.handle_event(name, ViewChanged(view))

    def handle_event(self, name, event):
        self.apply_effects(name, self.routers[name].handle(event, self.now))

    def change_upstreams(self, *changed, removed=(), to=None):
        """Change the upstream directory of some routers immediately."""
        self.upstreams.update({u.upstream: u for u in changed})
        for gone in removed:
            self.upstreams.pop(UpstreamId(gone), None)
        for name in self.routers if to is None else to:
            self.handle_event(name, UpstreamsChanged(changed, tuple(map(UpstreamId, removed))))

    def apply_effects(self, name, effects):
        for effect in effects:
            match effect:
                case Send(to, message):
                    encoded = encode(message)
                    self.sent_bytes += len(encoded)
                    self.in_flight.append((name, to, decode(encoded)))
                case ReleaseHeld(_, decision, packets, hops):
                    for data in packets:
                        self.apply_decision(name, parse_packet(data), decision, hops)

    def send_packet(self, name, port, opens=False, hops=0, vip=1):
        """Route a packet at one balancer, as if received from the network fabric."""
        parsed = packet(port, opens, vip)
        self.apply_decision(name, parsed, self.routers[name].route(parsed, self.now, hops), hops)

    def apply_decision(self, name, parsed, decision, hops=0):
        port = int.from_bytes(parsed.data[20:22], "big")
        match decision:
            case ForwardTo(to):
                self.outcomes.append((name, port, parsed.opens, to.upstream))
            case PassTo(to):
                if to.instance in self.routers:
                    router = self.routers[to.instance]
                    next_decision = router.route(parsed, self.now, hops + 1)
                    self.apply_decision(to.instance, parsed, next_decision, hops + 1)
            case Dropped(reason):
                self.outcomes.append((name, port, parsed.opens, reason))
            case Held():
                pass

    def deliver_message(self, index=0):
        sender, to, message = self.in_flight.pop(index)
        if to in self.routers:
            self.handle_event(to, Received(InstanceId(sender), message))

    def advance(self, seconds):
        self.now = Instant(self.now + seconds)
        for name in list(self.routers):
            self.handle_event(name, Tick())

    def settle(self, rounds=12, seconds=0.25):
        """Advance time and deliver all messages, long enough for the routers to sync."""
        for _ in range(rounds):
            self.advance(seconds)
            while self.in_flight:
                self.deliver_message()

    def targets(self, port):
        """Return the upstreams that received packets of a flow."""
        return {to for _, flow, _, to in self.outcomes if flow == port and isinstance(to, str)}

    def kill(self, *names):
        for name in names:
            del self.routers[name]
        self.set_views(list(self.routers))

    def copy(self):
        return copy.deepcopy(self)
