"""Baseline policies, in which balancers exchange no state."""

from abc import abstractmethod
from collections.abc import Iterable, Mapping

from benchmarks.flow_policies._policy import Policy
from chicorypost.base import (
    DataCentreId,
    FlowKey,
    Instant,
    ServiceId,
    Upstream,
    UpstreamId,
    UpstreamState,
    hash64,
    rendezvous_rank,
)
from chicorypost.flows import ParsedPacket


class UncoordinatedPolicy(Policy):
    """Chooses among the ready upstreams in a balancer's own directory."""

    def __init__(self, *arguments) -> None:
        super().__init__(*arguments)
        self.upstreams: dict[str, dict[UpstreamId, Upstream]] = {}
        self.ready_upstreams: dict[tuple[str, ServiceId], list[str]] = {}
        self.placements: dict[str, dict[FlowKey, UpstreamId]] = {}

    def start_balancer(self, balancer: str, data_centre: DataCentreId, now: Instant) -> None:
        """Start a balancer without state."""
        self.upstreams[balancer] = {}
        self.placements[balancer] = {}

    def stop_balancer(self, balancer: str) -> None:
        """Stop a balancer without notice."""
        del self.upstreams[balancer]
        del self.placements[balancer]

    def update_upstreams(
        self,
        balancer: str,
        changed: Iterable[Upstream],
        removed: Iterable[UpstreamId],
        now: Instant,
    ) -> None:
        """Apply a change of upstreams to one balancer."""
        if balancer not in self.upstreams:
            return
        directory = self.upstreams[balancer]
        directory.update({upstream.upstream: upstream for upstream in changed})
        for name in removed:
            directory.pop(name, None)
        for service in self.document.services:
            self.ready_upstreams[balancer, service] = sorted(
                str(name)
                for name, upstream in directory.items()
                if upstream.service == service and upstream.state is UpstreamState.READY
            )

    def route_packet(self, balancer: str, packet: ParsedPacket, now: Instant) -> None:
        """Route a packet that one balancer receives."""
        self.packet_count += 1
        ready = self.ready_upstreams.get((balancer, self.service_of(packet)), [])
        self.on_delivery(
            packet.flow, self.choose_upstream(balancer, packet, ready) if ready else None
        )

    @abstractmethod
    def choose_upstream(self, balancer: str, packet: ParsedPacket, ready: list[str]) -> UpstreamId:
        """Choose the upstream of a packet among the ready ones."""


class ModuloPolicy(UncoordinatedPolicy):
    """Chooses by the hash of the flow modulo the number of ready upstreams."""

    name = "hash-modulo"

    def choose_upstream(self, balancer: str, packet: ParsedPacket, ready: list[str]) -> UpstreamId:
        """Choose the upstream of a packet among the ready ones."""
        return UpstreamId(ready[hash64(packet.flow) % len(ready)])


class ConsistentHashPolicy(UncoordinatedPolicy):
    """Chooses by rendezvous hashing of the flow over the ready upstreams, without a handoff."""

    name = "consistent-hash"

    def choose_upstream(self, balancer: str, packet: ParsedPacket, ready: list[str]) -> UpstreamId:
        """Choose the upstream of a packet among the ready ones."""
        return UpstreamId(rendezvous_rank(packet.flow, ready, 1)[0])


class CachingPolicy(UncoordinatedPolicy):
    """Chooses an upstream once per flow and balancer, and caches the choice."""

    def choose_upstream(self, balancer: str, packet: ParsedPacket, ready: list[str]) -> UpstreamId:
        """Choose the upstream of a packet among the ready ones."""
        cached = self.placements[balancer]
        if packet.opens or packet.flow not in cached:
            cached[packet.flow] = self.place_flow(ready)
        return cached[packet.flow]

    @abstractmethod
    def place_flow(self, ready: list[str]) -> UpstreamId:
        """Choose an upstream for a flow that the balancer has not cached."""


class RandomPolicy(CachingPolicy):
    """Chooses a random upstream for each flow that a balancer has not cached."""

    name = "random"

    def place_flow(self, ready: list[str]) -> UpstreamId:
        """Choose an upstream for a flow that the balancer has not cached."""
        return UpstreamId(self.rng.choice(ready))


class LeastLoadedPolicy(CachingPolicy):
    """Chooses the upstream with the fewest connections in the last load report."""

    name = "least-loaded-by-stale-reports"

    def __init__(self, *arguments) -> None:
        super().__init__(*arguments)
        self.reported_load: Mapping[UpstreamId, int] = {}

    def report_load(self, load: Mapping[UpstreamId, int]) -> None:
        """Replace the load report that every balancer uses."""
        self.reported_load = dict(load)

    def place_flow(self, ready: list[str]) -> UpstreamId:
        """Choose an upstream for a flow that the balancer has not cached."""
        return min(map(UpstreamId, ready), key=lambda name: (self.reported_load.get(name, 0), name))
