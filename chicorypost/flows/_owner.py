"""The owner's part: places opens of moving slots and answers where flows belong."""

from typing import NamedTuple

from chicorypost.base import Effect, InstanceId, Instant, Send, ServiceId, UpstreamId
from chicorypost.flows._messages import (
    FlowAnswer,
    FlowAsk,
    FlowsStored,
    StoreFlows,
    pack_flows,
    unpack_flows,
    unpack_hashes,
)
from chicorypost.flows._state import RecentOpen, RouterState, ServiceState
from chicorypost.flows._table import SlotPhase


class Asker(NamedTuple):
    """Who asked, and with which question."""

    instance: InstanceId
    token: int


Placement = tuple[ServiceId, int, UpstreamId]
Answers = dict[tuple[Asker, ServiceId], list[tuple[int, UpstreamId]]]


class Unstored:
    """Placements sent to a backup that has not confirmed them."""

    def __init__(self, backup: InstanceId, message: StoreFlows, retry_at: Instant) -> None:
        self.backup = backup
        self.message = message
        self.retry_at = retry_at


class Owner:
    """Ownership of slots at one balancer.

    Notes
    -----
    An open is placed on a slot's current upstream only when every member of the domain has
    confirmed that the slot moves, and the placement is told only once the backup has stored it.
    """

    def __init__(self, state: RouterState) -> None:
        self.state = state
        self.askers: dict[tuple[ServiceId, int], list[Asker]] = {}
        """Placements that the backup has not stored yet, and who waits for them."""
        self.outbox: list[Placement] = []
        self.unstored: dict[int, Unstored] = {}
        self.sequence = 0
        self.flush_at: Instant | None = None

    def ask(self, sender: InstanceId, message: FlowAsk, now: Instant) -> list[Effect]:
        """Answer what is known, and place the opens."""
        state = self.state
        service = state.services.get(message.service)
        if service is None or not state.synced or not state.in_domain(message.domain):
            return []
        if now >= state.lease_end or not service.usable:
            return []
        asker = Asker(sender, message.token)
        answers: Answers = {}
        floor = state.confirmed_floor(service)
        for flow in unpack_hashes(message.others):
            self._find(service, flow, asker, answers)
        for flow in unpack_hashes(message.opens):
            self._place(service, flow, asker, floor, answers, now)
        return _send_answers(answers)

    def store(self, sender: InstanceId, message: StoreFlows) -> list[Effect]:
        """Store placements as the backup."""
        if not self.state.in_domain(message.domain):
            return []
        for packed in message.placed:
            service = self.state.services.get(packed.service)
            if service is None or service.table is None:
                return []
            for flow, upstream in unpack_flows(packed):
                self.state.store(service, flow, upstream)
        return [Send(sender, FlowsStored(message.domain, message.sequence))]

    def stored(self, sender: InstanceId, message: FlowsStored) -> list[Effect]:
        """Tell the askers what the backup has stored."""
        stored = self.unstored.get(message.sequence)
        if stored is None or stored.backup != sender or not self.state.in_domain(message.domain):
            return []
        del self.unstored[message.sequence]
        answers: Answers = {}
        for packed in stored.message.placed:
            for flow, upstream in unpack_flows(packed):
                self._tell(packed.service, flow, upstream, answers)
        return _send_answers(answers)

    def flush(self, now: Instant) -> list[Effect]:
        """Send new placements to the backups, and unconfirmed ones again."""
        if self.flush_at is None or now < self.flush_at:
            return []
        effects = self._send_outbox(now)
        for unstored in self.unstored.values():
            if unstored.retry_at <= now:
                unstored.retry_at = Instant(now + self.state.settings.retry_seconds)
                effects.append(Send(unstored.backup, unstored.message))
        self.flush_at = min((u.retry_at for u in self.unstored.values()), default=None)
        return effects

    def adopt_domain(self, now: Instant) -> None:
        """Store placements under way at the backups of the new domain."""
        self.unstored.clear()
        self.outbox.clear()
        for service, flow in self.askers:
            self.askers[service, flow] = []
        for service, flow in list(self.askers):
            self._store_again(service, flow, now)

    def _store_again(self, name: ServiceId, flow: int, now: Instant) -> None:
        service = self.state.services.get(name)
        upstream = None
        if service is not None and service.table is not None:
            slot = flow % len(service.table.entries)
            if self.state.owns(name, slot):
                upstream = self.state.register.get(name, slot, flow)
        if upstream is None:
            del self.askers[name, flow]
            return
        self.outbox.append((name, flow, upstream))
        self._wake(now)

    def _find(self, service: ServiceState, flow: int, asker: Asker, answers: Answers) -> None:
        """Answer for a flow that is under way."""
        assert service.table is not None
        slot = flow % len(service.table.entries)
        if not self.state.owns(service.service, slot):
            return
        waiting = self.askers.get((service.service, flow))
        if waiting is not None:
            waiting.append(asker)
            return
        upstream = self.state.register.get(service.service, slot, flow)
        upstream = upstream or service.table.entries[slot].default
        if upstream is not None:
            answers.setdefault((asker, service.service), []).append((flow, upstream))

    def _place(
        self,
        service: ServiceState,
        flow: int,
        asker: Asker,
        floor: int,
        answers: Answers,
        now: Instant,
    ) -> None:
        """Place an open, or find where an earlier copy of it was placed."""
        assert service.table is not None
        state, name = self.state, service.service
        slot = flow % len(service.table.entries)
        if not state.owns(name, slot):
            return
        entry = service.table.entries[slot]
        if state.register.get(name, slot, flow) is not None or (name, flow) in self.askers:
            self._find(service, flow, asker, answers)
            return
        confirmed = entry.version <= floor
        choice = entry.current if confirmed else entry.default
        if confirmed and state.register.size >= state.settings.registered_flows:
            state.counters["register-full"] += 1
            choice = entry.default
        if choice is None or not state.takes_opens(choice, service, now):
            return
        if entry.phase is SlotPhase.STABLE:
            state.recent.append(RecentOpen(now, name, flow, choice))
            answers.setdefault((asker, name), []).append((flow, choice))
            return
        state.register.put(name, slot, flow, choice)
        state.counters["registered-flows"] += 1
        self._store(name, slot, flow, choice, asker, answers, now)

    def _store(
        self,
        service: ServiceId,
        slot: int,
        flow: int,
        upstream: UpstreamId,
        asker: Asker,
        answers: Answers,
        now: Instant,
    ) -> None:
        if len(self.state.owners(service, slot)) < 2:
            answers.setdefault((asker, service), []).append((flow, upstream))
            return
        self.askers[service, flow] = [asker]
        self.outbox.append((service, flow, upstream))
        self._wake(Instant(now + self.state.settings.batch_seconds))

    def _tell(self, service: ServiceId, flow: int, upstream: UpstreamId, answers: Answers) -> None:
        for asker in self.askers.pop((service, flow), []):
            answers.setdefault((asker, service), []).append((flow, upstream))

    def _send_outbox(self, now: Instant) -> list[Effect]:
        by_backup: dict[InstanceId, dict[ServiceId, list[tuple[int, UpstreamId]]]] = {}
        for name, flow, upstream in self.outbox:
            service = self.state.services.get(name)
            if service is None or service.table is None:
                continue
            pair = self.state.owners(name, flow % len(service.table.entries))
            if len(pair) < 2:
                self.askers.pop((name, flow), None)
                continue
            placed = by_backup.setdefault(pair[1], {}).setdefault(name, [])
            placed.append((flow, upstream))
        self.outbox.clear()
        return [self._send_to(backup, placed, now) for backup, placed in by_backup.items()]

    def _send_to(
        self,
        backup: InstanceId,
        placed: dict[ServiceId, list[tuple[int, UpstreamId]]],
        now: Instant,
    ) -> Effect:
        assert self.state.domain is not None
        self.sequence += 1
        packed = tuple(pack_flows(service, flows) for service, flows in placed.items())
        message = StoreFlows(self.state.domain.number, self.sequence, packed)
        retry_at = Instant(now + self.state.settings.retry_seconds)
        self.unstored[self.sequence] = Unstored(backup, message, retry_at)
        return Send(backup, message)

    def _wake(self, at: Instant) -> None:
        if self.flush_at is None or at < self.flush_at:
            self.flush_at = at


def _send_answers(answers: Answers) -> list[Effect]:
    return [
        Send(asker.instance, FlowAnswer(asker.token, pack_flows(service, placed)))
        for (asker, service), placed in answers.items()
    ]
