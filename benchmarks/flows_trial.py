"""One trial of a policy: flows come and go while balancers and upstreams change.

A plain loop over the policy's balancers in one process, in steps of fake time. Packets of a flow
go to balancers chosen at random; news reaches each balancer after its own delay.
"""

import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from benchmarks.flow_policies import Policy
from chicorypost.base import (
    Address,
    DataCentreId,
    Endpoint,
    FlowKey,
    Incarnation,
    Instant,
    ServiceId,
    Upstream,
    UpstreamId,
    UpstreamState,
)
from chicorypost.configuration import (
    ConfigurationDocument,
    ServiceSpec,
    UpstreamLimits,
    UpstreamSelector,
)
from chicorypost.flows import ParsedPacket

STEP_SECONDS = 0.01
NEWS_DELAY_SECONDS = 1.0
LOSS_DETECTION_SECONDS = 3.0
LEAVE_SECONDS = 1.0
LOAD_REPORT_SECONDS = 1.0
SHORT_FLOW_SECONDS = 10.0
START = Instant(0.0)


@dataclass(frozen=True)
class Deployment:
    """Sizes of one deployment."""

    name: str
    balancers: int
    data_centres: tuple[str, ...]
    services: dict[str, int]
    connections: int
    fill: float = 0.8
    new_flows_per_second: int = 3000
    packets_per_second: int = 20_000

    def scaled(self, share: float) -> "Deployment":
        """Return a deployment with fewer connections, flows and packets."""
        return Deployment(
            self.name,
            self.balancers,
            self.data_centres,
            self.services,
            int(self.connections * share),
            self.fill,
            int(self.new_flows_per_second * share),
            int(self.packets_per_second * share),
        )


VANDERMEULEN = Deployment(
    "vandermeulen", 20, ("gent-1", "gent-2", "aalst"), {"ordering": 7, "intake": 3}, 4700
)
STENCILBAY = Deployment(
    "stencilbay", 21, ("dc-1", "dc-2", "dc-3", "dc-4"), {"orders": 7, "artwork": 4}, 4200
)


@dataclass
class Flow:
    """One flow of a caller."""

    key: FlowKey
    address: Address
    closes_at: float
    upstream: UpstreamId | None = None
    broken: bool = False


@dataclass
class Sample:
    """State of a trial at one time."""

    at: float
    broken: int
    imbalance: float


@dataclass
class Trial:
    """Flows, balancers and upstreams under one policy."""

    deployment: Deployment
    policy_type: Callable[..., Policy]
    seed: int = 1
    now: Instant = START
    flows: dict[FlowKey, Flow] = field(default_factory=dict)
    order: list[FlowKey] = field(default_factory=list)
    upstreams: dict[UpstreamId, Upstream] = field(default_factory=dict)
    places: dict[str, DataCentreId] = field(default_factory=dict)
    load: Counter[UpstreamId] = field(default_factory=Counter)
    last_open: dict[UpstreamId, float] = field(default_factory=dict)
    samples: list[Sample] = field(default_factory=list)
    broken: int = 0
    lost_with_upstream: int = 0
    dropped: int = 0
    opened: int = 0

    def __post_init__(self) -> None:
        self.source = random.Random(self.seed)
        self.todo: list[tuple[float, int, Callable[[], None]]] = []
        self.document = self._document()
        self.policy = self.policy_type(self.document, self.delivered, random.Random(self.seed + 1))
        for service, count in self.deployment.services.items():
            for number in range(count):
                self._create(service, number)
        for number in range(self.deployment.balancers):
            places = self.deployment.data_centres
            place = DataCentreId(places[number % len(places)])
            self.add_balancer(f"b{number:02}", place, views=False)
        self.policy.set_members(self.places, self.now)
        self.run(3.0, traffic=False)
        self._fill()

    def run(self, seconds: float, traffic: bool = True) -> None:
        """Let time pass."""
        per_step = self.deployment.new_flows_per_second * STEP_SECONDS
        packets = int(self.deployment.packets_per_second * STEP_SECONDS)
        end = self.now + seconds
        while self.now < end:
            self.now = Instant(self.now + STEP_SECONDS)
            self._do_due()
            self.policy.step(self.now)
            if not traffic:
                continue
            for _ in range(int(per_step)):
                self.open(self.now + self.source.expovariate(1 / SHORT_FLOW_SECONDS))
            for _ in range(packets):
                self._send_middle()
            if int(self.now / STEP_SECONDS) % 100 == 0:
                self._sample()

    def later(self, delay: float, action: Callable[[], None]) -> None:
        """Do something after a delay in seconds."""
        self.todo.append((self.now + delay, len(self.todo), action))

    def open(self, closes_at: float) -> None:
        """Open a flow at a balancer chosen at random."""
        self.opened += 1
        source = (0x0A000000 + self.opened).to_bytes(4, "big")
        number = self.source.randrange(sum(self.deployment.services.values()))
        service = 0 if number < next(iter(self.deployment.services.values())) else 1
        key = FlowKey(b"\x06" + source + bytes((10, 1, 0, service)) + b"\x30\x39\x01\xbb")
        flow = Flow(key, Address(f"10.1.0.{service}:443/tcp"), closes_at)
        self.flows[key] = flow
        self.order.append(key)
        self._send(flow, opens=True)

    def change(self, changed: tuple[Upstream, ...], removed: tuple[UpstreamId, ...] = ()) -> None:
        """Change upstreams; each balancer learns it after its own delay."""
        for upstream in changed:
            self.upstreams[upstream.upstream] = upstream
        for name in removed:
            del self.upstreams[name]
            self._end_flows_of(name)
        for balancer in self.places:
            delay = self.source.uniform(0, NEWS_DELAY_SECONDS)
            self.later(delay, partial(self._tell, balancer, changed, removed))

    def _tell(
        self, balancer: str, changed: tuple[Upstream, ...], removed: tuple[UpstreamId, ...]
    ) -> None:
        self.policy.tell(balancer, changed, removed, self.now)

    def add_balancer(self, name: str, place: DataCentreId, views: bool = True) -> None:
        """Start a balancer."""
        self.places[name] = place
        self.policy.start(name, place, self.now)
        self.policy.tell(name, tuple(self.upstreams.values()), (), self.now)
        if views:
            self.policy.set_members(self.places, self.now)

    def leave_balancer(self, name: str) -> None:
        """Take a balancer out of the fabric and the views, then stop it."""
        del self.places[name]
        self.policy.set_members(self.places, self.now)
        self.later(LEAVE_SECONDS, lambda: self.policy.stop(name))

    def lose_balancer(self, name: str, detection: float) -> None:
        """Stop a balancer; the views say so after the detection time in seconds."""
        del self.places[name]
        self.policy.stop(name)
        self.later(detection, lambda: self.policy.set_members(self.places, self.now))

    def delivered(self, key: FlowKey, upstream: UpstreamId | None) -> None:
        """Note where a packet went."""
        flow = self.flows.get(key)
        if flow is None:
            return
        if upstream is None or upstream not in self.upstreams:
            self.dropped += 1
        elif flow.upstream is None:
            flow.upstream = upstream
            self.load[upstream] += 1
            self.last_open[upstream] = self.now
        elif upstream != flow.upstream and not flow.broken:
            flow.broken = True
            self.broken += 1

    def imbalance(self) -> float:
        """Return the greatest ratio of maximum to mean connections over ready upstreams."""
        ratios = []
        for service in self.deployment.services:
            loads = [
                self.load[name]
                for name, upstream in self.upstreams.items()
                if upstream.service == service and upstream.state is UpstreamState.READY
            ]
            ratios.append(max(loads) * len(loads) / max(1, sum(loads)))
        return max(ratios)

    def upstream(
        self, service: str, number: int, state: UpstreamState = UpstreamState.READY
    ) -> Upstream:
        """Return an announcement."""
        places = self.deployment.data_centres
        name = f"{service}-{number}"
        endpoint = Endpoint(name, 80)
        place = DataCentreId(places[number % len(places)])
        return Upstream(
            UpstreamId(name),
            Incarnation(1),
            ServiceId(service),
            place,
            endpoint,
            endpoint,
            3,
            self.deployment.connections,
            state,
        )

    def _create(self, service: str, number: int) -> None:
        upstream = self.upstream(service, number)
        self.upstreams[upstream.upstream] = upstream

    def _document(self) -> ConfigurationDocument:
        return ConfigurationDocument(
            services={
                ServiceId(service): ServiceSpec(
                    addresses=(Address(f"10.1.0.{number}:443/tcp"),),
                    selector=UpstreamSelector(service=ServiceId(service)),
                    limits=UpstreamLimits(connections=self.deployment.connections),
                )
                for number, service in enumerate(self.deployment.services)
            }
        )

    def _fill(self) -> None:
        """Open the long-lived flows and let the short ones reach their usual number."""
        short = self.deployment.new_flows_per_second * SHORT_FLOW_SECONDS
        total = sum(self.deployment.services.values()) * self.deployment.connections
        long_lived = max(0, int(total * self.deployment.fill - short))
        for _ in range(long_lived):
            self.open(float("inf"))
        for _ in range(int(short)):
            self.open(self.now + self.source.expovariate(1 / SHORT_FLOW_SECONDS))

    def _do_due(self) -> None:
        due = sorted((item for item in self.todo if item[0] <= self.now), key=lambda i: i[:2])
        self.todo = [item for item in self.todo if item[0] > self.now]
        for _, _, action in due:
            action()

    def _send(self, flow: Flow, opens: bool) -> None:
        packet = ParsedPacket(flow.key, flow.address, opens, False, b"")
        names = list(self.places)
        self.policy.packet(self.source.choice(names), packet, self.now)

    def _send_middle(self) -> None:
        """Send a packet of a flow chosen at random, or end the flow when its time is up."""
        position = self.source.randrange(len(self.order))
        flow = self.flows[self.order[position]]
        if flow.closes_at <= self.now:
            self._close(position, flow)
        elif flow.upstream is None:
            self._send(flow, opens=True)
        else:
            self._send(flow, opens=False)

    def _close(self, position: int, flow: Flow) -> None:
        self.order[position] = self.order[-1]
        self.order.pop()
        del self.flows[flow.key]
        if flow.upstream is not None:
            self.load[flow.upstream] -= 1

    def _end_flows_of(self, name: UpstreamId) -> None:
        for flow in self.flows.values():
            if flow.upstream == name:
                flow.closes_at = 0.0
                self.lost_with_upstream += not flow.broken

    def _sample(self) -> None:
        self.samples.append(Sample(self.now, self.broken, self.imbalance()))
        self.policy.report_load(dict(self.load))
