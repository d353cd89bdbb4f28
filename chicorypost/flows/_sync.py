"""Synchronisation of slot tables and registers among the members of a new domain."""

from collections.abc import Iterable
from typing import NamedTuple

from chicorypost.base import Effect, InstanceId, Instant, Send, ServiceId
from chicorypost.events import Emit
from chicorypost.flows._domain import Domain, bucket_of
from chicorypost.flows._events import REGISTER_LOST, TABLES_MERGED
from chicorypost.flows._messages import (
    NO_TABLE,
    WHOLE_TABLE,
    PackedFlows,
    SlotTableConfirmation,
    SlotTableUpdate,
    SlotTableVersion,
    StateReply,
    StateRequest,
    pack_flows,
    unpack_flows,
)
from chicorypost.flows._state import RouterState, ServiceState
from chicorypost.flows._table import SlotPhase, SlotTable, merge_entries, table_from_update


class ReportedTable(NamedTuple):
    """The slot table of one member, and whether that member may use it."""

    table: SlotTable
    usable: bool


class DomainSync:
    """Synchronises this instance with the other members of the current domain.

    Notes
    -----
    A member replies to state requests of its current domain only, and as an owner handles no
    lookups of an earlier domain from then on. An instance that has received all replies therefore
    has every placement that a live owner has ever sent, and every table version that the
    placements were based on.
    """

    def __init__(self, state: RouterState) -> None:
        self.state = state
        self.round = 0
        self.pending_members: set[InstanceId] = set()
        self.reported_tables: dict[ServiceId, dict[InstanceId, ReportedTable]] = {}
        self.synced_domain: Domain | None = None
        self.retry_at: Instant | None = None
        self.own_buckets: frozenset[int] = frozenset()
        self.previous_own_buckets: frozenset[int] = frozenset()
        """Buckets that this instance owned or backed up in the last domain that it synced in."""

    def start(self, now: Instant) -> list[Effect]:
        """Start a round with every other member of the domain."""
        state = self.state
        if not state.synced:
            self.synced_domain = None  # owners may have placed flows in the unfinished round
        state.synced = False
        self.round += 1
        self.pending_members = set(state.other_members())
        self.reported_tables.clear()
        for service in state.services.values():
            service.confirmed.clear()
        self.retry_at = now
        if state.domain is None:
            self.retry_at = None
            return []
        last_domain = self.synced_domain
        self.own_buckets = state.domain.buckets_of(state.instance)
        self.previous_own_buckets = (
            frozenset() if last_domain is None else last_domain.buckets_of(state.instance)
        )
        if not self.pending_members:
            return self._complete_round(now)
        return self.flush(now)

    def flush(self, now: Instant) -> list[Effect]:
        """Request state from the members that have not replied, or have not confirmed a table."""
        if self.retry_at is None or now < self.retry_at or self.state.domain is None:
            return []
        self.retry_at = Instant(now + self.state.settings.retry_seconds)
        if not self.state.synced:
            return [Send(name, self._state_request(name)) for name in sorted(self.pending_members)]
        lagging = self._unconfirmed_members()
        return [Send(name, self._state_request(name)) for name in lagging]

    def handle_state_request(self, sender: InstanceId, message: StateRequest) -> list[Effect]:
        """Reply to a state request of the current domain."""
        state = self.state
        if not state.is_current_domain(message.domain):
            return []
        coordinated = {remote.service for remote in message.digests}
        versions = tuple(
            self._table_version(service)
            for service in state.services.values()
            if service.service in coordinated or _has_moving_slots(service)
        )
        recent = [
            self._recent_opens_for(service, sender)
            for service in state.services.values()
            if service.table is not None
        ]
        wanted = set(message.wanted)
        registered = [
            _registered_flows_in(state, service, wanted)
            for service in state.services.values()
            if wanted
        ]
        tables = tuple(self._differing_tables(message.digests))
        reply = StateReply(
            message.domain,
            message.round,
            versions,
            tuple(packed for packed in recent if packed.flows),
            tuple(packed for packed in registered if packed.flows),
            tables,
        )
        return [Send(sender, reply)]

    def handle_state_reply(
        self, sender: InstanceId, message: StateReply, now: Instant
    ) -> list[Effect]:
        """Store the placements, versions and tables of a member's reply."""
        state = self.state
        if not state.is_current_domain(message.domain) or message.round != self.round:
            return []
        if sender not in state.other_members():
            return []
        self._store_placements(message.recent)
        self._store_placements(message.registered)
        for version in message.versions:
            self._record_version(sender, version, message.tables)
        self.pending_members.discard(sender)
        if state.synced or self.pending_members:
            return []
        return self._complete_round(now)

    def handle_confirmation(
        self, sender: InstanceId, message: SlotTableConfirmation
    ) -> list[Effect]:
        """Record that a member has applied a table version, and store its recent opens."""
        service = self.state.services.get(message.service)
        if service is None or not self.state.is_current_domain(message.domain):
            return []
        self._store_placements((message.recent,))
        confirmed_version = service.confirmed.get(sender, NO_TABLE)
        service.confirmed[sender] = max(confirmed_version, message.version)
        return []

    def handle_update(self, message: SlotTableUpdate, now: Instant) -> list[Effect]:
        """Apply a table update of the domain's coordinator and confirm it to every member."""
        state = self.state
        service = state.services.get(message.service)
        if service is None or not state.is_current_domain(message.domain):
            return []
        if message.base == WHOLE_TABLE and not service.usable and message.round == self.round:
            service.table = table_from_update(message)
            service.usable = True
            self._drop_settled_placements(service, range(message.slots))
            self._store_early_placements(service)
        elif service.table is None or not service.usable or service.table.version < message.base:
            return []
        else:
            self._drop_settled_placements(service, service.table.apply_update(message))
        return self.confirm_table(service, now)

    def confirm_table(self, service: ServiceState, now: Instant) -> list[Effect]:
        """Confirm the table to every member, with the recent opens of the moving slots.

        Notes
        -----
        Each confirmation carries all recent opens, because an earlier one may have been lost.
        """
        state = self.state
        assert state.domain is not None
        state.expire_recent_opens(now)
        if service.table is None:
            return []
        recent = state.recent_opens_in(service, service.table.moving)
        for opened in recent:
            state.store_placement(service, opened.flow, opened.upstream)
        count = len(service.table.entries)
        by_member: dict[InstanceId, list[tuple[int, str]]] = {}
        for opened in recent:
            for name in state.owners(service.service, opened.flow % count):
                by_member.setdefault(name, []).append((opened.flow, opened.upstream))
        effects: list[Effect] = []
        for name in state.other_members():
            packed = pack_flows(service.service, by_member.get(name, []))  # type: ignore[arg-type]
            message = SlotTableConfirmation(
                state.domain.fingerprint, service.service, service.confirmable_version(), packed
            )
            effects.append(Send(name, message))
        return effects

    def _state_request(self, name: InstanceId) -> StateRequest:
        state = self.state
        assert state.domain is not None
        digests = tuple(
            self._table_version(service)
            for service in state.services.values()
            if state.domain.coordinator(service.service) == state.instance
        )
        wanted = bytes(sorted(self._wanted_buckets(name)))
        return StateRequest(state.domain.fingerprint, self.round, wanted, digests)

    def _wanted_buckets(self, name: InstanceId) -> frozenset[int]:
        """Return this instance's buckets of which a member may have placements that it lacks."""
        domain, last_domain = self.state.domain, self.synced_domain
        assert domain is not None
        if last_domain is None or last_domain.members.get(name) != domain.members.get(name):
            return self.own_buckets
        return self.own_buckets - self.previous_own_buckets

    def _table_version(self, service: ServiceState) -> SlotTableVersion:
        table = service.table
        if table is None:
            return SlotTableVersion(service.service, NO_TABLE, 0, False)
        return SlotTableVersion(service.service, table.version, table.digest(), service.usable)

    def _differing_tables(self, digests: Iterable[SlotTableVersion]) -> Iterable[SlotTableUpdate]:
        assert self.state.domain is not None
        for remote in digests:
            service = self.state.services.get(remote.service)
            if service is None or service.table is None:
                continue
            if service.table.digest() != remote.digest:
                yield service.table.update_since(WHOLE_TABLE, self.state.domain.fingerprint)

    def _recent_opens_for(self, service: ServiceState, name: InstanceId) -> PackedFlows:
        table = service.table
        assert table is not None
        owned = {s for s in table.moving if name in self.state.owners(service.service, s)}
        recent = self.state.recent_opens_in(service, owned)
        return pack_flows(service.service, ((opened.flow, opened.upstream) for opened in recent))

    def _store_placements(self, packed: Iterable[PackedFlows]) -> None:
        for flows in packed:
            service = self.state.services.get(flows.service)
            if service is not None:
                for flow, upstream in unpack_flows(flows):
                    self.state.store_placement(service, flow, upstream)

    def _store_early_placements(self, service: ServiceState) -> None:
        early, service.early_placements = service.early_placements, {}
        for flow, upstream in early.items():
            self.state.store_placement(service, flow, upstream)

    def _record_version(
        self, sender: InstanceId, version: SlotTableVersion, tables: Iterable[SlotTableUpdate]
    ) -> None:
        service = self.state.services.get(version.service)
        if service is None:
            return
        if version.usable:
            confirmed_version = service.confirmed.get(sender, NO_TABLE)
            service.confirmed[sender] = max(confirmed_version, version.version)
        for update in tables:
            if update.service == version.service:
                reported = self.reported_tables.setdefault(version.service, {})
                reported[sender] = ReportedTable(table_from_update(update), version.usable)

    def _unconfirmed_members(self) -> list[InstanceId]:
        """Return the members that have not confirmed the latest table with moving slots."""
        names: set[InstanceId] = set()
        for service in self.state.services.values():
            table = service.table
            if table is None or not table.moving:
                continue
            for name in self.state.other_members():
                if service.confirmed.get(name, NO_TABLE) < table.version:
                    names.add(name)
        return sorted(names)

    def _complete_round(self, now: Instant) -> list[Effect]:
        state = self.state
        effects: list[Effect] = list(self._lost_registers())
        state.synced = True
        self.synced_domain = state.domain
        for service in state.services.values():
            if state.is_coordinator(service.service):
                effects.extend(self._merge_reported_tables(service, now))
        self.reported_tables.clear()
        return effects

    def _lost_registers(self) -> Iterable[Emit]:
        """Yield an event for each service with moving slots whose owner and backup are gone."""
        before, after = self.synced_domain, self.state.domain
        if before is None or after is None:
            return
        for service in self.state.services.values():
            if service.table is None:
                continue
            lost = [
                slot
                for slot in service.table.moving
                if self.state.is_owner(service.service, slot)
                and not set(before.owners(bucket_of(service.service, slot))) & set(after.members)
            ]
            if lost:
                self.state.counters["slots-with-lost-register"] += len(lost)
                yield REGISTER_LOST.emit(service=service.service, slots=len(lost))

    def _merge_reported_tables(self, service: ServiceState, now: Instant) -> list[Effect]:
        """Merge the reported tables of a service and confirm the result, as its coordinator."""
        candidates = list(self.reported_tables.get(service.service, {}).values())
        if service.table is not None:
            candidates.append(ReportedTable(service.table, service.usable))
        usable = [candidate.table for candidate in candidates if candidate.usable]
        tables = usable or [candidate.table for candidate in candidates]
        if not tables:
            return []
        service.usable = True
        service.table, changed = _merge_tables(service.service, tables)
        self._store_early_placements(service)
        self._drop_settled_placements(service, range(len(service.table.entries)))
        effects = self.confirm_table(service, now)
        if changed:
            version = service.table.version
            effects.append(
                TABLES_MERGED.emit(service=service.service, version=version, slots=changed)
            )
        return effects

    def _drop_settled_placements(self, service: ServiceState, slots: Iterable[int]) -> None:
        table = service.table
        assert table is not None
        for slot in slots:
            service.noncurrent_last_seen.pop(slot, None)
            if table.entries[slot].phase is SlotPhase.STABLE:
                self.state.register.drop_slot(service.service, slot)


def _merge_tables(service: ServiceId, tables: list[SlotTable]) -> tuple[SlotTable, int]:
    size = len(tables[0].entries)
    tables = [table for table in tables if len(table.entries) == size]
    version = max(table.version for table in tables)
    merged = SlotTable(service, size)
    changed = 0
    for slot in range(size):
        entries = {table.entries[slot] for table in tables}
        changed += len(entries) > 1
        merged.set_entry(slot, merge_entries(entries, version + 1))
    merged.version = version + (changed > 0)
    return merged, changed


def _has_moving_slots(service: ServiceState) -> bool:
    """Return whether slots are moving, so that owners need this instance's table version."""
    return service.table is not None and bool(service.table.moving)


def _registered_flows_in(
    state: RouterState, service: ServiceState, buckets: set[int]
) -> PackedFlows:
    slots = [
        slot
        for name, slot in state.register.slots
        if name == service.service and bucket_of(name, slot) in buckets
    ]
    return pack_flows(service.service, state.register.placements(service.service, slots))
