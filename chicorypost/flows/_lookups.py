"""Lookups of flows at the owners of their slots, and the packets held until these reply."""

from collections.abc import Callable

from chicorypost.base import Effect, FlowKey, InstanceId, Instant, Send, ServiceId
from chicorypost.flows._interface import DROPPED, HELD, Decision, DropReason, ReleaseHeld
from chicorypost.flows._messages import (
    FlowLookupReply,
    FlowLookupRequest,
    pack_hashes,
    unpack_flows,
)
from chicorypost.flows._packet import ParsedPacket
from chicorypost.flows._state import RouterState, ServiceState
from chicorypost.flows._table import SlotPhase


class HeldFlow:
    """Held packets of one flow."""

    def __init__(self, packet: ParsedPacket, service: ServiceState, hops: int, now: Instant):
        self.flow_key: FlowKey = packet.flow
        self.service = service
        self.opens = packet.opens
        self.hops = hops
        self.packets = [packet.data]
        self.retry_at = now
        self.first_token: int | None = None
        """Token of the first lookup request that covers every held packet."""


DecideFunction = Callable[[ServiceState, int, bool, Instant, int], Decision]


class PendingLookups:
    """The held flows of one balancer and their lookups."""

    def __init__(self, state: RouterState, decide: DecideFunction) -> None:
        self.state = state
        self.decide = decide
        self.held_flows: dict[int, HeldFlow] = {}
        self.deadlines: dict[int, Instant] = {}
        self.packet_count = 0
        self.last_token = 0
        self.flush_at: Instant | None = None

    def hold_packet(
        self, packet: ParsedPacket, flow: int, service: ServiceState, now: Instant, hops: int
    ) -> Decision:
        """Hold a packet within the limits and look its flow up at the next flush."""
        settings = self.state.settings
        existing = self.held_flows.get(flow)
        if self.packet_count >= settings.held_packets:
            return DROPPED[DropReason.HELD_LIMIT]
        if existing is not None and len(existing.packets) >= settings.held_packets_per_flow:
            return DROPPED[DropReason.HELD_LIMIT]
        self.packet_count += 1
        if existing is None:
            self.held_flows[flow] = HeldFlow(packet, service, hops, now)
            self.deadlines[flow] = Instant(now + settings.held_seconds)
            self._schedule_flush(Instant(now + settings.batch_seconds))
            return HELD
        existing.packets.append(packet.data)
        if packet.opens and not existing.opens:
            existing.opens = True
            existing.first_token = None
            existing.retry_at = now
        return HELD

    def flush(self, now: Instant) -> list[Effect]:
        """Release flows that can be decided, drop expired ones and send lookups for the rest."""
        if self.flush_at is None or now < self.flush_at:
            return []
        effects = self._drop_expired(now)
        requests: dict[tuple[InstanceId, ServiceId], tuple[list[int], list[int]]] = {}
        for flow, held in list(self.held_flows.items()):
            if held.retry_at > now:
                continue
            decision = self.decide(held.service, flow, held.opens, now, held.hops)
            if decision is not HELD:
                effects.append(self._release_flow(flow, decision))
                continue
            held.retry_at = Instant(now + self.state.settings.retry_seconds)
            self._add_to_requests(flow, held, requests)
        effects.extend(self._send_requests(requests))
        self.flush_at = None
        if self.held_flows:
            self._schedule_flush(min(held.retry_at for held in self.held_flows.values()))
            self._schedule_flush(next(iter(self.deadlines.values())))
        return effects

    def handle_reply(self, message: FlowLookupReply, now: Instant) -> list[Effect]:
        """Release the flows in an owner's reply."""
        service = self.state.services.get(message.placements.service)
        if service is None:
            return []
        effects: list[Effect] = []
        for flow, upstream in unpack_flows(message.placements):
            held = self.held_flows.get(flow)
            if held is None or held.service is not service:
                continue
            if held.first_token is None or message.token < held.first_token:
                continue
            target = self.state.targets.by_name.get(upstream)
            if target is None:
                continue
            self.state.cache.put(flow, target.index)
            decision = self.decide(service, flow, False, now, held.hops)
            effects.append(self._release_flow(flow, decision))
        return effects

    def retry_now(self, now: Instant) -> None:
        """Retry all held flows at the next flush, after a change of table, domain or upstreams."""
        if not self.held_flows:
            return
        for held in self.held_flows.values():
            held.retry_at = now
        self.flush_at = now

    def drop_all(self, reason: DropReason) -> list[Effect]:
        """Drop all held packets."""
        return [self._release_flow(flow, DROPPED[reason]) for flow in list(self.held_flows)]

    def _schedule_flush(self, at: Instant) -> None:
        if self.flush_at is None or at < self.flush_at:
            self.flush_at = at

    def _drop_expired(self, now: Instant) -> list[Effect]:
        expired = []
        for flow, deadline in self.deadlines.items():
            if deadline > now:
                break
            expired.append(flow)
        return [self._release_flow(flow, DROPPED[DropReason.HELD_TIMEOUT]) for flow in expired]

    def _release_flow(self, flow: int, decision: Decision) -> Effect:
        held = self.held_flows.pop(flow)
        del self.deadlines[flow]
        self.packet_count -= len(held.packets)
        return ReleaseHeld(held.flow_key, decision, tuple(held.packets), held.hops)

    def _add_to_requests(
        self,
        flow: int,
        held: HeldFlow,
        requests: dict[tuple[InstanceId, ServiceId], tuple[list[int], list[int]]],
    ) -> None:
        service = held.service
        if service.table is None or not service.usable:
            return
        slot = flow % len(service.table.entries)
        if service.table.entries[slot].phase is SlotPhase.STABLE:
            return
        owners = self.state.owners(service.service, slot)
        if not owners:
            return
        opens, others = requests.setdefault((owners[0], service.service), ([], []))
        (opens if held.opens else others).append(flow)
        if held.first_token is None:
            held.first_token = self.last_token + 1

    def _send_requests(
        self, requests: dict[tuple[InstanceId, ServiceId], tuple[list[int], list[int]]]
    ) -> list[Effect]:
        if not requests or self.state.domain is None:
            return []
        self.last_token += 1
        number = self.state.domain.fingerprint
        effects: list[Effect] = []
        for (owner, service), (opens, others) in requests.items():
            self.state.counters["asked-flows"] += len(opens) + len(others)
            message = FlowLookupRequest(
                number, self.last_token, service, pack_hashes(opens), pack_hashes(others)
            )
            effects.append(Send(owner, message))
        return effects
