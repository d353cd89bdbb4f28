"""Baselines: what balancers do that agree on nothing."""

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


class StatelessPolicy(Policy):
    """Chooses among the ready upstreams that a balancer knows."""

    def __init__(self, *arguments) -> None:
        super().__init__(*arguments)
        self.upstreams: dict[str, dict[UpstreamId, Upstream]] = {}
        self.ready: dict[tuple[str, ServiceId], list[str]] = {}
        self.known: dict[str, dict[FlowKey, UpstreamId]] = {}

    def start(self, balancer: str, place: DataCentreId, now: Instant) -> None:
        """Start a balancer that has no state."""
        self.upstreams[balancer] = {}
        self.known[balancer] = {}

    def stop(self, balancer: str) -> None:
        """Stop a balancer without notice."""
        del self.upstreams[balancer]
        del self.known[balancer]

    def tell(
        self,
        balancer: str,
        changed: Iterable[Upstream],
        removed: Iterable[UpstreamId],
        now: Instant,
    ) -> None:
        """Hand a change of upstreams to one balancer."""
        if balancer not in self.upstreams:
            return
        directory = self.upstreams[balancer]
        directory.update({upstream.upstream: upstream for upstream in changed})
        for name in removed:
            directory.pop(name, None)
        for service in self.document.services:
            self.ready[balancer, service] = sorted(
                str(name)
                for name, upstream in directory.items()
                if upstream.service == service and upstream.state is UpstreamState.READY
            )

    def packet(self, balancer: str, packet: ParsedPacket, now: Instant) -> None:
        """Hand a packet to one balancer."""
        self.packets += 1
        ready = self.ready.get((balancer, self.service_of(packet)), [])
        self.deliver(packet.flow, self.choose(balancer, packet, ready) if ready else None)

    @abstractmethod
    def choose(self, balancer: str, packet: ParsedPacket, ready: list[str]) -> UpstreamId:
        """Choose one of the ready upstreams."""


class ModuloPolicy(StatelessPolicy):
    """Hash of the flow modulo the number of ready upstreams."""

    name = "hash-modulo"

    def choose(self, balancer: str, packet: ParsedPacket, ready: list[str]) -> UpstreamId:
        """Choose one of the ready upstreams."""
        return UpstreamId(ready[hash64(packet.flow) % len(ready)])


class ConsistentHashPolicy(StatelessPolicy):
    """Highest random weight of the flow over the ready upstreams, without a handoff."""

    name = "consistent-hash"

    def choose(self, balancer: str, packet: ParsedPacket, ready: list[str]) -> UpstreamId:
        """Choose one of the ready upstreams."""
        return UpstreamId(rendezvous_rank(packet.flow, ready, 1)[0])


class CachingPolicy(StatelessPolicy):
    """Places a flow once at each balancer, which then remembers it."""

    def choose(self, balancer: str, packet: ParsedPacket, ready: list[str]) -> UpstreamId:
        """Choose one of the ready upstreams."""
        known = self.known[balancer]
        if packet.opens or packet.flow not in known:
            known[packet.flow] = self.place(ready)
        return known[packet.flow]

    @abstractmethod
    def place(self, ready: list[str]) -> UpstreamId:
        """Choose an upstream for a flow that the balancer has not seen."""


class RandomPolicy(CachingPolicy):
    """A random upstream for each flow that a balancer has not seen."""

    name = "random"

    def place(self, ready: list[str]) -> UpstreamId:
        """Choose an upstream for a flow that the balancer has not seen."""
        return UpstreamId(self.source.choice(ready))


class LeastLoadedPolicy(CachingPolicy):
    """The upstream with the fewest connections by the last load report."""

    name = "least-loaded-by-stale-reports"

    def __init__(self, *arguments) -> None:
        super().__init__(*arguments)
        self.load: Mapping[UpstreamId, int] = {}

    def report_load(self, load: Mapping[UpstreamId, int]) -> None:
        """Hand a load report to every balancer."""
        self.load = dict(load)

    def place(self, ready: list[str]) -> UpstreamId:
        """Choose an upstream for a flow that the balancer has not seen."""
        return min(map(UpstreamId, ready), key=lambda name: (self.load.get(name, 0), name))
