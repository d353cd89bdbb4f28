"""Packets that wait until it is known where their flows belong, and the questions for owners."""

from collections.abc import Callable

from chicorypost.base import Effect, FlowKey, InstanceId, Instant, Send, ServiceId
from chicorypost.flows._interface import DROPPED, HELD, Decision, DropReason, ReleaseHeld
from chicorypost.flows._messages import FlowAnswer, FlowAsk, pack_hashes, unpack_flows
from chicorypost.flows._packet import ParsedPacket
from chicorypost.flows._state import RouterState, ServiceState
from chicorypost.flows._table import SlotPhase


class Waiting:
    """Packets of one flow."""

    def __init__(self, packet: ParsedPacket, service: ServiceState, hops: int, now: Instant):
        self.key: FlowKey = packet.flow
        self.service = service
        self.opens = packet.opens
        self.hops = hops
        self.packets = [packet.data]
        self.due = now
        self.first_token: int | None = None
        """Token of the first question that covers every held packet."""


Decide = Callable[[ServiceState, int, bool, Instant, int], Decision]


class Asks:
    """The waiting flows of one balancer."""

    def __init__(self, state: RouterState, decide: Decide) -> None:
        self.state = state
        self.decide = decide
        self.waiting: dict[int, Waiting] = {}
        self.deadlines: dict[int, Instant] = {}
        self.packets = 0
        self.token = 0
        self.flush_at: Instant | None = None

    def hold(
        self, packet: ParsedPacket, flow: int, service: ServiceState, now: Instant, hops: int
    ) -> Decision:
        """Keep a packet, within bounds, and ask at the next flush."""
        settings = self.state.settings
        known = self.waiting.get(flow)
        if self.packets >= settings.held_packets:
            return DROPPED[DropReason.HELD_LIMIT]
        if known is not None and len(known.packets) >= settings.held_packets_per_flow:
            return DROPPED[DropReason.HELD_LIMIT]
        self.packets += 1
        if known is None:
            self.waiting[flow] = Waiting(packet, service, hops, now)
            self.deadlines[flow] = Instant(now + settings.held_seconds)
            self._wake(Instant(now + settings.batch_seconds))
            return HELD
        known.packets.append(packet.data)
        if packet.opens and not known.opens:
            known.opens = True
            known.first_token = None
            known.due = now
        return HELD

    def flush(self, now: Instant) -> list[Effect]:
        """Release what can be decided, expire what has waited too long, ask for the rest."""
        if self.flush_at is None or now < self.flush_at:
            return []
        effects = self._expire(now)
        questions: dict[tuple[InstanceId, ServiceId], tuple[list[int], list[int]]] = {}
        for flow, waiting in list(self.waiting.items()):
            if waiting.due > now:
                continue
            decision = self.decide(waiting.service, flow, waiting.opens, now, waiting.hops)
            if decision is not HELD:
                effects.append(self._release(flow, decision))
                continue
            waiting.due = Instant(now + self.state.settings.retry_seconds)
            self._question(flow, waiting, questions)
        effects.extend(self._send(questions))
        self.flush_at = None
        if self.waiting:
            self._wake(min(waiting.due for waiting in self.waiting.values()))
            self._wake(next(iter(self.deadlines.values())))
        return effects

    def answer(self, message: FlowAnswer, now: Instant) -> list[Effect]:
        """Release the flows that an owner has answered."""
        service = self.state.services.get(message.placed.service)
        if service is None:
            return []
        effects: list[Effect] = []
        for flow, upstream in unpack_flows(message.placed):
            waiting = self.waiting.get(flow)
            if waiting is None or waiting.service is not service:
                continue
            if waiting.first_token is None or message.token < waiting.first_token:
                continue
            target = self.state.targets.by_name.get(upstream)
            if target is None:
                continue
            self.state.cache.put(flow, target.index)
            decision = self.decide(service, flow, False, now, waiting.hops)
            effects.append(self._release(flow, decision))
        return effects

    def reconsider(self, now: Instant) -> None:
        """Ask again at once: the table, the domain or the upstreams have changed."""
        if not self.waiting:
            return
        for waiting in self.waiting.values():
            waiting.due = now
        self.flush_at = now

    def drop_all(self, reason: DropReason) -> list[Effect]:
        """Drop everything that waits."""
        return [self._release(flow, DROPPED[reason]) for flow in list(self.waiting)]

    def _wake(self, at: Instant) -> None:
        if self.flush_at is None or at < self.flush_at:
            self.flush_at = at

    def _expire(self, now: Instant) -> list[Effect]:
        expired = []
        for flow, deadline in self.deadlines.items():
            if deadline > now:
                break
            expired.append(flow)
        return [self._release(flow, DROPPED[DropReason.HELD_TIMEOUT]) for flow in expired]

    def _release(self, flow: int, decision: Decision) -> Effect:
        waiting = self.waiting.pop(flow)
        del self.deadlines[flow]
        self.packets -= len(waiting.packets)
        return ReleaseHeld(waiting.key, decision, tuple(waiting.packets), waiting.hops)

    def _question(
        self,
        flow: int,
        waiting: Waiting,
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
            waiting.first_token = self.token + 1

    def _send(
        self, questions: dict[tuple[InstanceId, ServiceId], tuple[list[int], list[int]]]
    ) -> list[Effect]:
        if not questions or self.state.domain is None:
            return []
        self.token += 1
        number = self.state.domain.number
        effects: list[Effect] = []
        for (owner, service), (opens, others) in questions.items():
            self.state.counters["asked-flows"] += len(opens) + len(others)
            message = FlowAsk(number, self.token, service, pack_hashes(opens), pack_hashes(others))
            effects.append(Send(owner, message))
        return effects
