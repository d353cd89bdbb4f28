"""The flow router of one balancer."""

import random
from collections import Counter
from typing import Any

from chicorypost.base import (
    Address,
    DataCentreId,
    Effect,
    Event,
    InstanceId,
    Instant,
    LeaseChanged,
    Upstream,
    UpstreamId,
    UpstreamsChanged,
    UpstreamState,
    ViewChanged,
    hash64,
)
from chicorypost.configuration import ConfigurationApplied, ConfigurationDocument
from chicorypost.flows._interface import DROPPED, Decision, DropReason, ForwardTo, PassTo
from chicorypost.flows._packet import BadPacket, ParsedPacket
from chicorypost.flows._plan import plan_moves
from chicorypost.flows._settings import FlowSettings


class FlowRouter:
    """Chooses the upstream of each packet."""

    def __init__(
        self,
        settings: FlowSettings,
        self_instance: InstanceId,
        data_centre: DataCentreId,
        random: random.Random,
        now: Instant,
    ) -> None:
        self.settings = settings
        self.instance = self_instance
        self.data_centre = data_centre
        self.random = random
        self.counters: Counter[str] = Counter()
        self.document = ConfigurationDocument()
        self.upstreams: dict[UpstreamId, Upstream] = {}
        self.views: dict[DataCentreId, ViewChanged] = {}
        self.lease_end: Instant | None = None
        self.tables: dict[Address, list[Decision]] = {}

    def route(self, packet: ParsedPacket, now: Instant, hops: int = 0) -> Decision:
        """Choose what to do with a packet."""
        if self.lease_end is None or now >= self.lease_end:
            return DROPPED[DropReason.NO_LEASE]
        table = self.tables.get(packet.address)
        if table is None:
            return DROPPED[DropReason.UNKNOWN_ADDRESS]
        return table[hash64(packet.flow) % len(table)]

    def count_refused(self, packet: BadPacket) -> None:
        """Count a packet that could not be parsed."""
        self.counters[f"refused-{packet.fault.value}"] += 1

    def handle(self, event: Event, now: Instant) -> list[Effect]:
        """Take one event and return its effects."""
        match event:
            case LeaseChanged(end):
                self.lease_end = end
            case ViewChanged(view):
                self.views[view.data_centre] = event
            case UpstreamsChanged(changed, removed):
                self.upstreams.update({upstream.upstream: upstream for upstream in changed})
                for name in removed:
                    self.upstreams.pop(name, None)
            case ConfigurationApplied(_, document):
                self.document = document
        self._rebuild()
        return []

    def next_deadline(self) -> Instant | None:
        """Return when the router next wants a tick."""
        return None

    def dump(self) -> dict[str, Any]:
        """Return the state as JSON values."""
        return {"upstreams": sorted(self.upstreams), "counters": dict(self.counters)}

    def _rebuild(self) -> None:
        self.tables = {}
        for spec in self.document.services.values():
            names = [u for u in self.upstreams.values() if u.service == spec.selector.service]
            weights = {
                u.upstream: float(u.connections) for u in names if u.state is UpstreamState.READY
            }
            empty = [None] * spec.flow_slots
            moves = plan_moves(empty, empty, weights)
            none: Decision = DROPPED[DropReason.NO_UPSTREAM]
            table = [none] * spec.flow_slots
            for slot, name in moves.items():
                table[slot] = self._decide(self.upstreams[name], slot)
            self.tables.update(dict.fromkeys(spec.addresses, table))

    def _decide(self, upstream: Upstream, slot: int) -> Decision:
        if upstream.data_centre == self.data_centre:
            return ForwardTo(upstream)
        view = self.views.get(upstream.data_centre)
        if view is None or not view.view.members:
            return DROPPED[DropReason.UNREACHABLE]
        return PassTo(view.view.members[slot % len(view.view.members)])
