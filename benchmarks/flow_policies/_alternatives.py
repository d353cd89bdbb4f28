"""Ways that were weighed against the register of newer flows."""

from collections.abc import Iterable

from benchmarks.flow_policies._baselines import StatelessPolicy
from chicorypost.base import (
    FlowKey,
    Instant,
    ServiceId,
    Upstream,
    UpstreamId,
    rendezvous_rank,
)
from chicorypost.flows import ParsedPacket

BYTES_PER_PLACEMENT = 10
BYTES_PER_MESSAGE = 40
BATCH_SECONDS = 0.01


class TableHistoryPolicy(StatelessPolicy):
    """Opens by the current table; unknown flows by the table before it."""

    name = "table-history"

    def __init__(self, *arguments) -> None:
        super().__init__(*arguments)
        self.previous: dict[tuple[str, ServiceId], list[str]] = {}

    def tell(
        self,
        balancer: str,
        changed: Iterable[Upstream],
        removed: Iterable[UpstreamId],
        now: Instant,
    ) -> None:
        """Hand a change of upstreams to one balancer."""
        before = {key: ready for key, ready in self.ready.items() if key[0] == balancer}
        super().tell(balancer, changed, removed, now)
        for key, ready in before.items():
            if ready != self.ready.get(key):
                self.previous[key] = ready

    def choose(self, balancer: str, packet: ParsedPacket, ready: list[str]) -> UpstreamId:
        """Choose by the table of the packet's time."""
        known = self.known[balancer]
        if packet.opens:
            known[packet.flow] = UpstreamId(rendezvous_rank(packet.flow, ready, 1)[0])
        elif packet.flow not in known:
            older = self.previous.get((balancer, self.service_of(packet)), ready)
            known[packet.flow] = UpstreamId(rendezvous_rank(packet.flow, older, 1)[0])
        return known[packet.flow]


class FullReplicationPolicy(StatelessPolicy):
    """Every open is told to every balancer; unknown flows go by consistent hash."""

    name = "full-replication"

    def __init__(self, *arguments) -> None:
        super().__init__(*arguments)
        self.fresh: dict[str, dict[FlowKey, UpstreamId]] = {}
        self.sent_at = 0.0

    def choose(self, balancer: str, packet: ParsedPacket, ready: list[str]) -> UpstreamId:
        """Choose by what was replicated, else by hash."""
        known = self.known[balancer]
        if packet.opens or packet.flow not in known:
            known[packet.flow] = UpstreamId(rendezvous_rank(packet.flow, ready, 1)[0])
            if packet.opens:
                self.fresh.setdefault(balancer, {})[packet.flow] = known[packet.flow]
        return known[packet.flow]

    def step(self, now: Instant) -> None:
        """Replicate the opens of the last batch."""
        if now < self.sent_at + BATCH_SECONDS:
            return
        self.sent_at = now
        for balancer, placed in self.fresh.items():
            peers = [name for name in self.known if name != balancer]
            size = BYTES_PER_MESSAGE + BYTES_PER_PLACEMENT * len(placed)
            self.sent_bytes[balancer] += size * len(peers)
            for peer in peers:
                self.known[peer].update(placed)
        self.fresh.clear()
