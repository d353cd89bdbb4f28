"""The owner's part: places opens of moving slots and answers where flows belong."""

from typing import NamedTuple

from chicorypost.base import Effect, InstanceId, Instant, Send, ServiceId, UpstreamId
from chicorypost.flows._messages import (
    FlowLookupReply,
    FlowLookupRequest,
    FlowsStored,
    StoreFlows,
    pack_flows,
    unpack_flows,
    unpack_hashes,
)
from chicorypost.flows._state import RecentOpen, RouterState, ServiceState
from chicorypost.flows._table import SlotPhase


class Requester(NamedTuple):
    """Who asked, and with which question."""

    instance: InstanceId
    token: int


FlowPlacement = tuple[ServiceId, int, UpstreamId]
Replies = dict[tuple[Requester, ServiceId], list[tuple[int, UpstreamId]]]


class UnacknowledgedStore:
    """Placements sent to a backup that has not confirmed them."""

    def __init__(self, backup: InstanceId, message: StoreFlows, retry_at: Instant) -> None:
        self.backup = backup
        self.message = message
        self.retry_at = retry_at


class SlotOwner:
    """Ownership of slots at one balancer.

    Notes
    -----
    An open is placed on a slot's current upstream only when every member of the domain has
    confirmed that the slot moves, and the placement is told only once the backup has stored it.
    """

    def __init__(self, state: RouterState) -> None:
        self.state = state
        self.requesters: dict[tuple[ServiceId, int], list[Requester]] = {}
        """Placements that the backup has not stored yet, and who waits for them."""
        self.unsent_placements: list[FlowPlacement] = []
        self.unacknowledged_stores: dict[int, UnacknowledgedStore] = {}
        self.sequence = 0
        self.flush_at: Instant | None = None

    def handle_lookup(
        self, sender: InstanceId, message: FlowLookupRequest, now: Instant
    ) -> list[Effect]:
        """Answer what is known, and place the opens."""
        state = self.state
        service = state.services.get(message.service)
        if service is None or not state.synced or not state.is_current_domain(message.domain):
            return []
        if now >= state.lease_end or not service.usable:
            return []
        asker = Requester(sender, message.token)
        answers: Replies = {}
        floor = state.min_confirmed_version(service)
        for flow in unpack_hashes(message.established):
            self._look_up_flow(service, flow, asker, answers)
        for flow in unpack_hashes(message.opens):
            self._place_open(service, flow, asker, floor, answers, now)
        return _send_replies(answers)

    def handle_store(self, sender: InstanceId, message: StoreFlows) -> list[Effect]:
        """Store placements as the backup."""
        if not self.state.is_current_domain(message.domain):
            return []
        for packed in message.placements:
            service = self.state.services.get(packed.service)
            if service is None or service.table is None:
                return []
            for flow, upstream in unpack_flows(packed):
                self.state.store_placement(service, flow, upstream)
        return [Send(sender, FlowsStored(message.domain, message.sequence))]

    def handle_stored(self, sender: InstanceId, message: FlowsStored) -> list[Effect]:
        """Tell the askers what the backup has stored."""
        stored = self.unacknowledged_stores.get(message.sequence)
        if (
            stored is None
            or stored.backup != sender
            or not self.state.is_current_domain(message.domain)
        ):
            return []
        del self.unacknowledged_stores[message.sequence]
        answers: Replies = {}
        for packed in stored.message.placements:
            for flow, upstream in unpack_flows(packed):
                self._reply_to_requesters(packed.service, flow, upstream, answers)
        return _send_replies(answers)

    def flush(self, now: Instant) -> list[Effect]:
        """Send new placements to the backups, and unconfirmed ones again."""
        if self.flush_at is None or now < self.flush_at:
            return []
        effects = self._send_placements(now)
        for unstored in self.unacknowledged_stores.values():
            if unstored.retry_at <= now:
                unstored.retry_at = Instant(now + self.state.settings.retry_seconds)
                effects.append(Send(unstored.backup, unstored.message))
        self.flush_at = min((u.retry_at for u in self.unacknowledged_stores.values()), default=None)
        return effects

    def adopt_domain(self, now: Instant) -> None:
        """Store placements under way at the backups of the new domain."""
        self.unacknowledged_stores.clear()
        self.unsent_placements.clear()
        for service, flow in self.requesters:
            self.requesters[service, flow] = []
        for service, flow in list(self.requesters):
            self._requeue_placement(service, flow, now)

    def _requeue_placement(self, name: ServiceId, flow: int, now: Instant) -> None:
        service = self.state.services.get(name)
        upstream = None
        if service is not None and service.table is not None:
            slot = flow % len(service.table.entries)
            if self.state.is_owner(name, slot):
                upstream = self.state.register.get(name, slot, flow)
        if upstream is None:
            del self.requesters[name, flow]
            return
        self.unsent_placements.append((name, flow, upstream))
        self._schedule_flush(now)

    def _look_up_flow(
        self, service: ServiceState, flow: int, asker: Requester, answers: Replies
    ) -> None:
        """Answer for a flow that is under way."""
        assert service.table is not None
        slot = flow % len(service.table.entries)
        if not self.state.is_owner(service.service, slot):
            return
        waiting = self.requesters.get((service.service, flow))
        if waiting is not None:
            waiting.append(asker)
            return
        upstream = self.state.register.get(service.service, slot, flow)
        upstream = upstream or service.table.entries[slot].default
        if upstream is not None:
            answers.setdefault((asker, service.service), []).append((flow, upstream))

    def _place_open(
        self,
        service: ServiceState,
        flow: int,
        asker: Requester,
        floor: int,
        answers: Replies,
        now: Instant,
    ) -> None:
        """Place an open, or find where an earlier copy of it was placed."""
        assert service.table is not None
        state, name = self.state, service.service
        slot = flow % len(service.table.entries)
        if not state.is_owner(name, slot):
            return
        entry = service.table.entries[slot]
        if state.register.get(name, slot, flow) is not None or (name, flow) in self.requesters:
            self._look_up_flow(service, flow, asker, answers)
            return
        confirmed = entry.version <= floor
        choice = entry.current if confirmed else entry.default
        if confirmed and state.register.size >= state.settings.registered_flows:
            state.counters["register-full"] += 1
            choice = entry.default
        if choice is None or not state.can_take_opens(choice, service, now):
            return
        if entry.phase is SlotPhase.STABLE:
            state.recent_opens.append(RecentOpen(now, name, flow, choice))
            answers.setdefault((asker, name), []).append((flow, choice))
            return
        state.register.put(name, slot, flow, choice)
        state.counters["registered-flows"] += 1
        self._store_at_backup(name, slot, flow, choice, asker, answers, now)

    def _store_at_backup(
        self,
        service: ServiceId,
        slot: int,
        flow: int,
        upstream: UpstreamId,
        asker: Requester,
        answers: Replies,
        now: Instant,
    ) -> None:
        if len(self.state.owners(service, slot)) < 2:
            answers.setdefault((asker, service), []).append((flow, upstream))
            return
        self.requesters[service, flow] = [asker]
        self.unsent_placements.append((service, flow, upstream))
        self._schedule_flush(Instant(now + self.state.settings.batch_seconds))

    def _reply_to_requesters(
        self, service: ServiceId, flow: int, upstream: UpstreamId, answers: Replies
    ) -> None:
        for asker in self.requesters.pop((service, flow), []):
            answers.setdefault((asker, service), []).append((flow, upstream))

    def _send_placements(self, now: Instant) -> list[Effect]:
        by_backup: dict[InstanceId, dict[ServiceId, list[tuple[int, UpstreamId]]]] = {}
        for name, flow, upstream in self.unsent_placements:
            service = self.state.services.get(name)
            if service is None or service.table is None:
                continue
            pair = self.state.owners(name, flow % len(service.table.entries))
            if len(pair) < 2:
                self.requesters.pop((name, flow), None)
                continue
            placed = by_backup.setdefault(pair[1], {}).setdefault(name, [])
            placed.append((flow, upstream))
        self.unsent_placements.clear()
        return [self._send_store(backup, placed, now) for backup, placed in by_backup.items()]

    def _send_store(
        self,
        backup: InstanceId,
        placed: dict[ServiceId, list[tuple[int, UpstreamId]]],
        now: Instant,
    ) -> Effect:
        assert self.state.domain is not None
        self.sequence += 1
        packed = tuple(pack_flows(service, flows) for service, flows in placed.items())
        message = StoreFlows(self.state.domain.fingerprint, self.sequence, packed)
        retry_at = Instant(now + self.state.settings.retry_seconds)
        self.unacknowledged_stores[self.sequence] = UnacknowledgedStore(backup, message, retry_at)
        return Send(backup, message)

    def _schedule_flush(self, at: Instant) -> None:
        if self.flush_at is None or at < self.flush_at:
            self.flush_at = at


def _send_replies(answers: Replies) -> list[Effect]:
    return [
        Send(asker.instance, FlowLookupReply(asker.token, pack_flows(service, placed)))
        for (asker, service), placed in answers.items()
    ]
