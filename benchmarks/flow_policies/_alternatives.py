"""Ways that were weighed against the register of newer flows."""

from collections.abc import Iterable

from benchmarks.flow_policies._baselines import UncoordinatedPolicy
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


class TableHistoryPolicy(UncoordinatedPolicy):
    """Opens by the current table; unknown flows by the table before it."""

    name = "table-history"

    def __init__(self, *arguments) -> None:
        super().__init__(*arguments)
        self.previous_ready: dict[tuple[str, ServiceId], list[str]] = {}

    def update_upstreams(
        self,
        balancer: str,
        changed: Iterable[Upstream],
        removed: Iterable[UpstreamId],
        now: Instant,
    ) -> None:
        """Hand a change of upstreams to one balancer."""
        before = {key: ready for key, ready in self.ready_upstreams.items() if key[0] == balancer}
        super().update_upstreams(balancer, changed, removed, now)
        for key, ready in before.items():
            if ready != self.ready_upstreams.get(key):
                self.previous_ready[key] = ready

    def choose_upstream(self, balancer: str, packet: ParsedPacket, ready: list[str]) -> UpstreamId:
        """Choose by the table of the packet's time."""
        known = self.placements[balancer]
        if packet.opens:
            known[packet.flow] = UpstreamId(rendezvous_rank(packet.flow, ready, 1)[0])
        elif packet.flow not in known:
            older = self.previous_ready.get((balancer, self.service_of(packet)), ready)
            known[packet.flow] = UpstreamId(rendezvous_rank(packet.flow, older, 1)[0])
        return known[packet.flow]


class FullReplicationPolicy(UncoordinatedPolicy):
    """Every open is told to every balancer; unknown flows go by consistent hash."""

    name = "full-replication"

    def __init__(self, *arguments) -> None:
        super().__init__(*arguments)
        self.unsent_placements: dict[str, dict[FlowKey, UpstreamId]] = {}
        self.last_sent_at = 0.0

    def choose_upstream(self, balancer: str, packet: ParsedPacket, ready: list[str]) -> UpstreamId:
        """Choose by what was replicated, else by hash."""
        known = self.placements[balancer]
        if packet.opens or packet.flow not in known:
            known[packet.flow] = UpstreamId(rendezvous_rank(packet.flow, ready, 1)[0])
            if packet.opens:
                self.unsent_placements.setdefault(balancer, {})[packet.flow] = known[packet.flow]
        return known[packet.flow]

    def advance_to(self, now: Instant) -> None:
        """Replicate the opens of the last batch."""
        if now < self.last_sent_at + BATCH_SECONDS:
            return
        self.last_sent_at = now
        for balancer, placed in self.unsent_placements.items():
            peers = [name for name in self.placements if name != balancer]
            size = BYTES_PER_MESSAGE + BYTES_PER_PLACEMENT * len(placed)
            self.sent_bytes[balancer] += size * len(peers)
            for peer in peers:
                self.placements[peer].update(placed)
        self.unsent_placements.clear()
