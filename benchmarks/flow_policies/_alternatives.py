"""Routing policies that were considered instead of a register of recently opened flows."""

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
BATCH_INTERVAL_SECONDS = 0.01


class TableHistoryPolicy(UncoordinatedPolicy):
    """Places opening packets by the current table and other unknown flows by the previous one."""

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
        """Apply a change of upstreams to one balancer and keep its previous table."""
        tables_before = {
            key: ready for key, ready in self.ready_upstreams.items() if key[0] == balancer
        }
        super().update_upstreams(balancer, changed, removed, now)
        for key, ready in tables_before.items():
            if ready != self.ready_upstreams.get(key):
                self.previous_ready[key] = ready

    def choose_upstream(self, balancer: str, packet: ParsedPacket, ready: list[str]) -> UpstreamId:
        """Choose by the current table for opening packets, else by cache or previous table."""
        cached = self.placements[balancer]
        if packet.opens:
            cached[packet.flow] = UpstreamId(rendezvous_rank(packet.flow, ready, 1)[0])
        elif packet.flow not in cached:
            table = self.previous_ready.get((balancer, self.service_of(packet)), ready)
            cached[packet.flow] = UpstreamId(rendezvous_rank(packet.flow, table, 1)[0])
        return cached[packet.flow]


class FullReplicationPolicy(UncoordinatedPolicy):
    """Replicates every opened flow to all balancers; unknown flows use consistent hashing."""

    name = "full-replication"

    def __init__(self, *arguments) -> None:
        super().__init__(*arguments)
        self.unsent_placements: dict[str, dict[FlowKey, UpstreamId]] = {}
        self.last_sent_at = 0.0

    def choose_upstream(self, balancer: str, packet: ParsedPacket, ready: list[str]) -> UpstreamId:
        """Choose by the replicated placements, else by consistent hashing."""
        cached = self.placements[balancer]
        if packet.opens or packet.flow not in cached:
            cached[packet.flow] = UpstreamId(rendezvous_rank(packet.flow, ready, 1)[0])
            if packet.opens:
                self.unsent_placements.setdefault(balancer, {})[packet.flow] = cached[packet.flow]
        return cached[packet.flow]

    def advance_to(self, now: Instant) -> None:
        """Replicate the placements of the last batch to all other balancers."""
        if now < self.last_sent_at + BATCH_INTERVAL_SECONDS:
            return
        self.last_sent_at = now
        for balancer, batch in self.unsent_placements.items():
            peers = [name for name in self.placements if name != balancer]
            size = BYTES_PER_MESSAGE + BYTES_PER_PLACEMENT * len(batch)
            self.sent_bytes[balancer] += size * len(peers)
            for peer in peers:
                self.placements[peer].update(batch)
        self.unsent_placements.clear()
