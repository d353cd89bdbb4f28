"""Slot coordinator: plans slot moves, issues table versions and ends moves."""

import math
from collections.abc import Iterable

from chicorypost.base import Effect, InstanceId, Instant, Send, ServiceId, UpstreamId
from chicorypost.flows._events import SLOTS_MOVING, SLOTS_SETTLED
from chicorypost.flows._messages import (
    NO_TABLE,
    WHOLE_TABLE,
    SlotActivity,
    SlotTableRequest,
    unpack_ages,
)
from chicorypost.flows._plan import plan_moves
from chicorypost.flows._state import RouterState, ServiceState
from chicorypost.flows._sync import DomainSync
from chicorypost.flows._table import SlotEntry, SlotPhase, SlotTable
from chicorypost.flows._targets import Target

SLOW_START_STEPS = 4
SETTLE_GRACE_SECONDS = 5.0


class SlotMoveProgress:
    """Progress of the slot moves of one service; a new coordinator starts with an empty one."""

    def __init__(self) -> None:
        self.move_started: dict[int, tuple[int, Instant]] = {}
        """Version of each moving slot, and the time at which the coordinator first saw it."""
        self.reported_at: dict[InstanceId, Instant] = {}
        self.noncurrent_last_seen: dict[int, Instant] = {}


class SlotCoordinator:
    """Coordinates the services whose slot tables this balancer issues."""

    def __init__(self, state: RouterState, sync: DomainSync) -> None:
        self.state = state
        self.sync = sync
        self.progress: dict[ServiceId, SlotMoveProgress] = {}
        self.adopted_at = Instant(0.0)
        self.plan_at: Instant | None = None
        self.retry_at: Instant | None = None

    def adopt_domain(self, now: Instant) -> None:
        """Reset the progress for a new domain."""
        self.progress.clear()
        self.adopted_at = now
        self.schedule_plan(now)
        self.retry_at = now

    def schedule_plan(self, now: Instant) -> None:
        """Schedule planning after a delay that batches changes of upstreams."""
        at = Instant(now + self.state.settings.plan_delay_seconds)
        if self.plan_at is None or at < self.plan_at:
            self.plan_at = at

    def handle_table_request(self, sender: InstanceId, message: SlotTableRequest) -> list[Effect]:
        """Send whole tables to a member without usable ones."""
        if not self.state.is_current_domain(message.domain):
            return []
        effects: list[Effect] = []
        for name in message.services:
            service = self.state.services.get(name)
            if service is None or service.table is None or not self.state.is_coordinator(name):
                continue
            update = service.table.update_since(WHOLE_TABLE, message.domain, message.round)
            effects.append(Send(sender, update))
        return effects

    def handle_activity(self, sender: InstanceId, message: SlotActivity, now: Instant) -> None:
        """Record when a member last had packets of moving slots for non-current upstreams."""
        if not self.state.is_current_domain(message.domain):
            return
        progress = self._progress_of(message.service)
        progress.reported_at[sender] = now
        for slot, age in unpack_ages(message.ages):
            seen = Instant(now - age)
            progress.noncurrent_last_seen[slot] = max(
                seen, progress.noncurrent_last_seen.get(slot, seen)
            )

    def flush(self, now: Instant) -> list[Effect]:
        """Plan moves, end completed ones and resend unconfirmed updates."""
        state = self.state
        if state.domain is None:
            return []
        effects: list[Effect] = []
        if self.plan_at is not None and now >= self.plan_at and state.synced:
            self.plan_at = None
            for service in state.services.values():
                effects.extend(self._plan_moves(service, now))
        if self.retry_at is not None and now >= self.retry_at:
            self.retry_at = Instant(now + state.settings.retry_seconds)
            effects.extend(self._request_tables())
            for service in state.services.values():
                effects.extend(self._settle_moves(service, now))
                effects.extend(self._resend_updates(service))
        return effects

    def _progress_of(self, service: ServiceId) -> SlotMoveProgress:
        return self.progress.setdefault(service, SlotMoveProgress())

    def _plan_moves(self, service: ServiceState, now: Instant) -> list[Effect]:
        if not self.state.is_coordinator(service.service):
            return []
        weights = self._weights(service, now)
        table = service.table
        if table is None:
            if not weights:
                return []
            table = service.table = SlotTable(service.service, service.spec.flow_slots)
            service.usable = True
        assigned = [entry.current for entry in table.entries]
        defaults = [entry.default for entry in table.entries]
        moves = plan_moves(assigned, defaults, weights)
        version = table.version + 1
        changes: dict[int, SlotEntry] = {
            slot: _moved_entry(table.entries[slot], upstream, version)
            for slot, upstream in moves.items()
        }
        if not changes:
            return []
        event = SLOTS_MOVING.emit(service=service.service, version=version, slots=len(changes))
        return [event, *self._issue_update(service, changes, now)]

    def _weights(self, service: ServiceState, now: Instant) -> dict[UpstreamId, float]:
        ready = [
            target
            for target in self.state.targets.selected(service.spec.selector)
            if target.opens_until == math.inf and self.state.is_reachable(target)
        ]
        limit = service.spec.limits.connections
        weights = {}
        for target in ready:
            capacity = min(target.upstream.connections, limit)
            weights[target.upstream.upstream] = capacity * self._slow_start_factor(
                target, ready, now
            )
        return weights

    def _slow_start_factor(self, target: Target, ready: Iterable[Target], now: Instant) -> float:
        """Return the factor, up to 1, of an upstream's weight during slow start.

        Notes
        -----
        Slow start applies only to upstreams that became ready at least `slow_start_seconds` after
        the first one, so that a service that has just started does not move its slots repeatedly.
        """
        duration = self.state.settings.slow_start_seconds
        first = min(other.ready_since for other in ready if other.ready_since is not None)
        assert target.ready_since is not None
        if target.ready_since - first < duration or duration <= 0:
            return 1.0
        step = int((now - target.ready_since) / duration * SLOW_START_STEPS) + 1
        if step >= SLOW_START_STEPS:
            return 1.0
        next_step = Instant(target.ready_since + duration * step / SLOW_START_STEPS)
        self.plan_at = min(self.plan_at or next_step, next_step)
        return step / SLOW_START_STEPS

    def _issue_update(
        self, service: ServiceState, changes: dict[int, SlotEntry], now: Instant
    ) -> list[Effect]:
        """Apply changes locally, send them to every member that has a table, and confirm them."""
        state, table = self.state, service.table
        assert table is not None and state.domain is not None
        base = table.version
        for slot, entry in changes.items():
            table.set_entry(slot, entry)
            if entry.phase is SlotPhase.STABLE:
                state.register.drop_slot(service.service, slot)
                service.noncurrent_last_seen.pop(slot, None)
        table.version = base + 1
        update = table.update_since(base, state.domain.fingerprint)
        effects: list[Effect] = [
            Send(name, update)
            for name in state.other_members()
            if service.confirmed.get(name, NO_TABLE) >= 0
        ]
        effects.extend(self.sync.confirm_table(service, now))
        return effects

    def _resend_updates(self, service: ServiceState) -> list[Effect]:
        table, domain = service.table, self.state.domain
        if table is None or domain is None or not self.state.is_coordinator(service.service):
            return []
        effects: list[Effect] = []
        for name in self.state.other_members():
            base = service.confirmed.get(name, NO_TABLE)
            if NO_TABLE < base < table.version:
                effects.append(Send(name, table.update_since(base, domain.fingerprint)))
        return effects

    def _request_tables(self) -> list[Effect]:
        domain = self.state.domain
        assert domain is not None
        wanted: dict[InstanceId, list[ServiceId]] = {}
        for service in self.state.services.values():
            coordinator = domain.coordinator(service.service)
            if not service.usable and coordinator != self.state.instance:
                wanted.setdefault(coordinator, []).append(service.service)
        return [
            Send(name, SlotTableRequest(domain.fingerprint, self.sync.round, tuple(services)))
            for name, services in wanted.items()
        ]

    def _settle_moves(self, service: ServiceState, now: Instant) -> list[Effect]:
        table = service.table
        if table is None or not table.moving or not self.state.is_coordinator(service.service):
            return []
        progress = self._progress_of(service.service)
        floor = self.state.min_confirmed_version(service)
        version = table.version + 1
        changes: dict[int, SlotEntry] = {}
        for slot in sorted(table.moving):
            entry = table.entries[slot]
            started_version, since = progress.move_started.get(slot, (-1, now))
            if started_version != entry.version:
                progress.move_started[slot] = (entry.version, now)
                continue
            if entry.version > floor:
                continue
            settled = self._settled_entry(entry, slot, since, progress, service, version, now)
            if settled is not None:
                changes[slot] = settled
        if not changes:
            return []
        event = SLOTS_SETTLED.emit(service=service.service, version=version, slots=len(changes))
        return [event, *self._issue_update(service, changes, now)]

    def _settled_entry(
        self,
        entry: SlotEntry,
        slot: int,
        since: Instant,
        progress: SlotMoveProgress,
        service: ServiceState,
        version: int,
        now: Instant,
    ) -> SlotEntry | None:
        """Return the slot state after a move, or None while older flows may be open."""
        stable = SlotEntry(entry.current, version, entry.current, version, SlotPhase.STABLE)
        if self._is_idle(slot, since, progress, service, now):
            return stable
        if entry.default == entry.current or not self._is_gone(entry.default, now):
            return None
        if entry.phase is SlotPhase.MOVING:
            return stable
        return SlotEntry(entry.current, version, entry.current, version, SlotPhase.MIXED)

    def _is_gone(self, name: UpstreamId | None, now: Instant) -> bool:
        target = None if name is None else self.state.targets.by_name.get(name)
        if target is None:
            return now - self.adopted_at >= SETTLE_GRACE_SECONDS
        if target.gone_since is None or not self.state.is_reachable(target):
            return False
        since = max(target.gone_since, self.adopted_at)
        return now - since >= SETTLE_GRACE_SECONDS

    def _is_idle(
        self,
        slot: int,
        since: Instant,
        progress: SlotMoveProgress,
        service: ServiceState,
        now: Instant,
    ) -> bool:
        idle = self.state.settings.settle_idle_seconds
        fresh = now - 2 * self.state.settings.activity_report_seconds
        started = max(since, progress.noncurrent_last_seen.get(slot, since))
        started = max(started, service.noncurrent_last_seen.get(slot, started))
        if now - started < idle:
            return False
        reported = progress.reported_at
        return all(reported.get(name, -math.inf) >= fresh for name in self.state.other_members())


def _moved_entry(entry: SlotEntry, upstream: UpstreamId, version: int) -> SlotEntry:
    """Return the state of a slot after its new flows are assigned to another upstream."""
    if entry.default is None and entry.phase is SlotPhase.STABLE:
        return SlotEntry(upstream, version, upstream, version, SlotPhase.STABLE)
    phase = SlotPhase.MOVING if entry.phase is SlotPhase.STABLE else SlotPhase.MIXED
    return SlotEntry(entry.default, entry.default_version, upstream, version, phase)
