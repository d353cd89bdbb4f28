"""Packets that wait until it is known where their flows belong, and the questions for owners."""

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
    """Packets of one flow."""

    def __init__(self, packet: ParsedPacket, service: ServiceState, hops: int, now: Instant):
        self.flow_key: FlowKey = packet.flow
        self.service = service
        self.opens = packet.opens
        self.hops = hops
        self.packets = [packet.data]
        self.retry_at = now
        self.first_token: int | None = None
        """Token of the first question that covers every held packet."""


DecideFunction = Callable[[ServiceState, int, bool, Instant, int], Decision]


class PendingLookups:
    """The waiting flows of one balancer."""

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
        """Keep a packet, within bounds, and ask at the next flush."""
        settings = self.state.settings
        known = self.held_flows.get(flow)
        if self.packet_count >= settings.held_packets:
            return DROPPED[DropReason.HELD_LIMIT]
        if known is not None and len(known.packets) >= settings.held_packets_per_flow:
            return DROPPED[DropReason.HELD_LIMIT]
        self.packet_count += 1
        if known is None:
            self.held_flows[flow] = HeldFlow(packet, service, hops, now)
            self.deadlines[flow] = Instant(now + settings.held_seconds)
            self._schedule_flush(Instant(now + settings.batch_seconds))
            return HELD
        known.packets.append(packet.data)
        if packet.opens and not known.opens:
            known.opens = True
            known.first_token = None
            known.retry_at = now
        return HELD

    def flush(self, now: Instant) -> list[Effect]:
        """Release what can be decided, expire what has waited too long, ask for the rest."""
        if self.flush_at is None or now < self.flush_at:
            return []
        effects = self._drop_expired(now)
        questions: dict[tuple[InstanceId, ServiceId], tuple[list[int], list[int]]] = {}
        for flow, waiting in list(self.held_flows.items()):
            if waiting.retry_at > now:
                continue
            decision = self.decide(waiting.service, flow, waiting.opens, now, waiting.hops)
            if decision is not HELD:
                effects.append(self._release_flow(flow, decision))
                continue
            waiting.retry_at = Instant(now + self.state.settings.retry_seconds)
            self._add_to_requests(flow, waiting, questions)
        effects.extend(self._send_requests(questions))
        self.flush_at = None
        if self.held_flows:
            self._schedule_flush(min(waiting.retry_at for waiting in self.held_flows.values()))
            self._schedule_flush(next(iter(self.deadlines.values())))
        return effects

    def handle_reply(self, message: FlowLookupReply, now: Instant) -> list[Effect]:
        """Release the flows that an owner has answered."""
        service = self.state.services.get(message.placements.service)
        if service is None:
            return []
        effects: list[Effect] = []
        for flow, upstream in unpack_flows(message.placements):
            waiting = self.held_flows.get(flow)
            if waiting is None or waiting.service is not service:
                continue
            if waiting.first_token is None or message.token < waiting.first_token:
                continue
            target = self.state.targets.by_name.get(upstream)
            if target is None:
                continue
            self.state.cache.put(flow, target.index)
            decision = self.decide(service, flow, False, now, waiting.hops)
            effects.append(self._release_flow(flow, decision))
        return effects

    def retry_now(self, now: Instant) -> None:
        """Ask again at once: the table, the domain or the upstreams have changed."""
        if not self.held_flows:
            return
        for waiting in self.held_flows.values():
            waiting.retry_at = now
        self.flush_at = now

    def drop_all(self, reason: DropReason) -> list[Effect]:
        """Drop everything that waits."""
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
        waiting = self.held_flows.pop(flow)
        del self.deadlines[flow]
        self.packet_count -= len(waiting.packets)
        return ReleaseHeld(waiting.flow_key, decision, tuple(waiting.packets), waiting.hops)

    def _add_to_requests(
        self,
        flow: int,
        waiting: HeldFlow,
        questions: dict[tuple[InstanceId, ServiceId], tuple[list[int], list[int]]],
    ) -> None:
        service = waiting.service
        if service.table is None or not service.usable:
            return
        slot = flow % len(service.table.entries)
        if service.table.entries[slot].phase is SlotPhase.STABLE:
            return
        owners = self.state.owners(service.service, slot)
        if not owners:
            return
        opens, others = questions.setdefault((owners[0], service.service), ([], []))
        (opens if waiting.opens else others).append(flow)
        if waiting.first_token is None:
            waiting.first_token = self.last_token + 1

    def _send_requests(
        self, questions: dict[tuple[InstanceId, ServiceId], tuple[list[int], list[int]]]
    ) -> list[Effect]:
        if not questions or self.state.domain is None:
            return []
        self.last_token += 1
        number = self.state.domain.fingerprint
        effects: list[Effect] = []
        for (owner, service), (opens, others) in questions.items():
            self.state.counters["asked-flows"] += len(opens) + len(others)
            message = FlowLookupRequest(
                number, self.last_token, service, pack_hashes(opens), pack_hashes(others)
            )
            effects.append(Send(owner, message))
        return effects
