"""Simulation of one policy: flows open and close while balancers and upstreams change.

All balancers run in one process, in fixed steps of simulated time. Each packet goes to a balancer
chosen at random, and each balancer receives updates after a random delay of its own.
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
MAX_UPDATE_DELAY_SECONDS = 1.0
LOSS_DETECTION_SECONDS = 3.0
LEAVE_DELAY_SECONDS = 1.0
LOAD_REPORT_INTERVAL_SECONDS = 1.0
MEAN_SHORT_FLOW_SECONDS = 10.0
START = Instant(0.0)


@dataclass(frozen=True)
class Deployment:
    """Size and traffic of one deployment; `occupancy` is the used share of all connections."""

    name: str
    balancers: int
    data_centres: tuple[str, ...]
    services: dict[str, int]
    connections: int
    occupancy: float = 0.8
    new_flows_per_second: int = 3000
    packets_per_second: int = 20_000

    def scaled(self, share: float) -> "Deployment":
        """Return a copy with connections, new flows and packets multiplied by a share."""
        return Deployment(
            self.name,
            self.balancers,
            self.data_centres,
            self.services,
            int(self.connections * share),
            self.occupancy,
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
    is_broken: bool = False


@dataclass
class Sample:
    """Broken flows and imbalance of a trial at one time."""

    at: float
    broken_flows: int
    imbalance: float


@dataclass
class Trial:
    """Flows, balancers and upstreams of a deployment under one policy."""

    deployment: Deployment
    policy_type: Callable[..., Policy]
    seed: int = 1
    now: Instant = START
    flows: dict[FlowKey, Flow] = field(default_factory=dict)
    flow_keys: list[FlowKey] = field(default_factory=list)
    upstreams: dict[UpstreamId, Upstream] = field(default_factory=dict)
    balancer_data_centres: dict[str, DataCentreId] = field(default_factory=dict)
    connection_counts: Counter[UpstreamId] = field(default_factory=Counter)
    last_opened_at: dict[UpstreamId, float] = field(default_factory=dict)
    samples: list[Sample] = field(default_factory=list)
    broken_flows: int = 0
    flows_lost_with_upstream: int = 0
    dropped_packets: int = 0
    opened_flows: int = 0

    def __post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        self.scheduled_actions: list[tuple[float, int, Callable[[], None]]] = []
        self.document = self._make_document()
        self.policy = self.policy_type(
            self.document, self.record_delivery, random.Random(self.seed + 1)
        )
        for service, count in self.deployment.services.items():
            for number in range(count):
                self._create_upstream(service, number)
        for number in range(self.deployment.balancers):
            data_centres = self.deployment.data_centres
            data_centre = DataCentreId(data_centres[number % len(data_centres)])
            self.add_balancer(f"b{number:02}", data_centre, views=False)
        self.policy.set_members(self.balancer_data_centres, self.now)
        self.run(3.0, traffic=False)
        self._open_initial_flows()

    def run(self, seconds: float, traffic: bool = True) -> None:
        """Advance simulated time by some seconds, with or without traffic."""
        per_step = self.deployment.new_flows_per_second * STEP_SECONDS
        packets = int(self.deployment.packets_per_second * STEP_SECONDS)
        end = self.now + seconds
        while self.now < end:
            self.now = Instant(self.now + STEP_SECONDS)
            self._run_due_actions()
            self.policy.advance_to(self.now)
            if not traffic:
                continue
            for _ in range(int(per_step)):
                self.open_flow(self.now + self.rng.expovariate(1 / MEAN_SHORT_FLOW_SECONDS))
            for _ in range(packets):
                self._advance_random_flow()
            if int(self.now / STEP_SECONDS) % 100 == 0:
                self._record_sample()

    def schedule_action(self, delay: float, action: Callable[[], None]) -> None:
        """Run an action after a delay in seconds."""
        self.scheduled_actions.append((self.now + delay, len(self.scheduled_actions), action))

    def open_flow(self, closes_at: float) -> None:
        """Open a flow to a random service, weighted by its number of upstreams."""
        self.opened_flows += 1
        source = (0x0A000000 + self.opened_flows).to_bytes(4, "big")
        number = self.rng.randrange(sum(self.deployment.services.values()))
        service = 0 if number < next(iter(self.deployment.services.values())) else 1
        key = FlowKey(b"\x06" + source + bytes((10, 1, 0, service)) + b"\x30\x39\x01\xbb")
        flow = Flow(key, Address(f"10.1.0.{service}:443/tcp"), closes_at)
        self.flows[key] = flow
        self.flow_keys.append(key)
        self._send_packet(flow, opens=True)

    def change_upstreams(
        self, changed: tuple[Upstream, ...], removed: tuple[UpstreamId, ...] = ()
    ) -> None:
        """Change upstreams; each balancer receives the change after a random delay."""
        for upstream in changed:
            self.upstreams[upstream.upstream] = upstream
        for name in removed:
            del self.upstreams[name]
            self._end_flows_of(name)
        for balancer in self.balancer_data_centres:
            delay = self.rng.uniform(0, MAX_UPDATE_DELAY_SECONDS)
            self.schedule_action(delay, partial(self._update_upstreams, balancer, changed, removed))

    def _update_upstreams(
        self, balancer: str, changed: tuple[Upstream, ...], removed: tuple[UpstreamId, ...]
    ) -> None:
        self.policy.update_upstreams(balancer, changed, removed, self.now)

    def add_balancer(self, name: str, data_centre: DataCentreId, views: bool = True) -> None:
        """Start a balancer with all upstreams and optionally publish new views."""
        self.balancer_data_centres[name] = data_centre
        self.policy.start_balancer(name, data_centre, self.now)
        self.policy.update_upstreams(name, tuple(self.upstreams.values()), (), self.now)
        if views:
            self.policy.set_members(self.balancer_data_centres, self.now)

    def remove_balancer(self, name: str) -> None:
        """Remove a balancer from the fabric and the views, and stop it after a delay."""
        del self.balancer_data_centres[name]
        self.policy.set_members(self.balancer_data_centres, self.now)
        self.schedule_action(LEAVE_DELAY_SECONDS, lambda: self.policy.stop_balancer(name))

    def lose_balancer(self, name: str, detection: float) -> None:
        """Stop a balancer immediately; the views change after the detection time in seconds."""
        del self.balancer_data_centres[name]
        self.policy.stop_balancer(name)
        self.schedule_action(
            detection, lambda: self.policy.set_members(self.balancer_data_centres, self.now)
        )

    def record_delivery(self, key: FlowKey, upstream: UpstreamId | None) -> None:
        """Record the upstream of a packet, and whether the packet breaks its flow."""
        flow = self.flows.get(key)
        if flow is None:
            return
        if upstream is None or upstream not in self.upstreams:
            self.dropped_packets += 1
        elif flow.upstream is None:
            flow.upstream = upstream
            self.connection_counts[upstream] += 1
            self.last_opened_at[upstream] = self.now
        elif upstream != flow.upstream and not flow.is_broken:
            flow.is_broken = True
            self.broken_flows += 1

    def compute_imbalance(self) -> float:
        """Return the greatest ratio of maximum to mean connections over ready upstreams."""
        ratios = []
        for service in self.deployment.services:
            counts = [
                self.connection_counts[name]
                for name, upstream in self.upstreams.items()
                if upstream.service == service and upstream.state is UpstreamState.READY
            ]
            ratios.append(max(counts) * len(counts) / max(1, sum(counts)))
        return max(ratios)

    def make_upstream(
        self, service: str, number: int, state: UpstreamState = UpstreamState.READY
    ) -> Upstream:
        """Return an upstream of a service by its number."""
        data_centres = self.deployment.data_centres
        name = f"{service}-{number}"
        endpoint = Endpoint(name, 80)
        data_centre = DataCentreId(data_centres[number % len(data_centres)])
        return Upstream(
            UpstreamId(name),
            Incarnation(1),
            ServiceId(service),
            data_centre,
            endpoint,
            endpoint,
            3,
            self.deployment.connections,
            state,
        )

    def _create_upstream(self, service: str, number: int) -> None:
        upstream = self.make_upstream(service, number)
        self.upstreams[upstream.upstream] = upstream

    def _make_document(self) -> ConfigurationDocument:
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

    def _open_initial_flows(self) -> None:
        """Open the long-lived flows and the short flows of the steady state."""
        short = self.deployment.new_flows_per_second * MEAN_SHORT_FLOW_SECONDS
        total = sum(self.deployment.services.values()) * self.deployment.connections
        long_lived = max(0, int(total * self.deployment.occupancy - short))
        for _ in range(long_lived):
            self.open_flow(float("inf"))
        for _ in range(int(short)):
            self.open_flow(self.now + self.rng.expovariate(1 / MEAN_SHORT_FLOW_SECONDS))

    def _run_due_actions(self) -> None:
        due = sorted(
            (item for item in self.scheduled_actions if item[0] <= self.now), key=lambda i: i[:2]
        )
        self.scheduled_actions = [item for item in self.scheduled_actions if item[0] > self.now]
        for _, _, action in due:
            action()

    def _send_packet(self, flow: Flow, opens: bool) -> None:
        packet = ParsedPacket(flow.key, flow.address, opens, False, b"")
        names = list(self.balancer_data_centres)
        self.policy.route_packet(self.rng.choice(names), packet, self.now)

    def _advance_random_flow(self) -> None:
        """Send a packet of a random flow, or close the flow if it is due."""
        position = self.rng.randrange(len(self.flow_keys))
        flow = self.flows[self.flow_keys[position]]
        if flow.closes_at <= self.now:
            self._close_flow(position, flow)
        elif flow.upstream is None:
            self._send_packet(flow, opens=True)
        else:
            self._send_packet(flow, opens=False)

    def _close_flow(self, position: int, flow: Flow) -> None:
        self.flow_keys[position] = self.flow_keys[-1]
        self.flow_keys.pop()
        del self.flows[flow.key]
        if flow.upstream is not None:
            self.connection_counts[flow.upstream] -= 1

    def _end_flows_of(self, name: UpstreamId) -> None:
        for flow in self.flows.values():
            if flow.upstream == name:
                flow.closes_at = 0.0
                self.flows_lost_with_upstream += not flow.is_broken

    def _record_sample(self) -> None:
        self.samples.append(Sample(self.now, self.broken_flows, self.compute_imbalance()))
        self.policy.report_load(dict(self.connection_counts))
