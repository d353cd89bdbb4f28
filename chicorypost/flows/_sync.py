"""Agreement of a domain on its slot tables and registers after its members have changed."""

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
    StateAnswer,
    StatePull,
    TableConfirm,
    TableUpdate,
    TableVersion,
    pack_flows,
    unpack_flows,
)
from chicorypost.flows._state import RouterState, ServiceState
from chicorypost.flows._table import ServiceTable, SlotPhase, merge_entries, table_from


class Reported(NamedTuple):
    """The table of one member, and whether the member may use it."""

    table: ServiceTable
    usable: bool


class Sync:
    """Takes part in the agreement of the current domain.

    Notes
    -----
    A member answers a pull only in its current domain, and answers no owner's questions of an
    older one from then on. An instance that has heard from every member therefore knows every
    placement that was ever told by a live owner, and every table version that one was based on.
    """

    def __init__(self, state: RouterState) -> None:
        self.state = state
        self.round = 0
        self.missing: set[InstanceId] = set()
        self.reported: dict[ServiceId, dict[InstanceId, Reported]] = {}
        self.synced_domain: Domain | None = None
        self.retry_at: Instant | None = None
        self.mine: frozenset[int] = frozenset()
        self.mine_before: frozenset[int] = frozenset()
        """Buckets owned or backed up in the current and in the last agreed domain."""

    def start(self, now: Instant) -> list[Effect]:
        """Begin a round with every other member of the domain."""
        state = self.state
        if not state.synced:
            self.synced_domain = None  # owners of the unfinished round may have placed flows
        state.synced = False
        self.round += 1
        self.missing = set(state.others())
        self.reported.clear()
        for service in state.services.values():
            service.confirmed.clear()
        self.retry_at = now
        if state.domain is None:
            self.retry_at = None
            return []
        known = self.synced_domain
        self.mine = state.domain.buckets_of(state.instance)
        self.mine_before = frozenset() if known is None else known.buckets_of(state.instance)
        if not self.missing:
            return self._complete(now)
        return self.flush(now)

    def flush(self, now: Instant) -> list[Effect]:
        """Pull from the members that have not answered."""
        if self.retry_at is None or now < self.retry_at or self.state.domain is None:
            return []
        self.retry_at = Instant(now + self.state.settings.retry_seconds)
        if not self.state.synced:
            return [Send(name, self._pull(name)) for name in sorted(self.missing)]
        lagging = self._lagging()
        return [Send(name, self._pull(name)) for name in lagging]

    def pulled(self, sender: InstanceId, message: StatePull) -> list[Effect]:
        """Answer a pull in the current domain."""
        state = self.state
        if not state.in_domain(message.domain):
            return []
        coordinated = {theirs.service for theirs in message.digests}
        versions = tuple(
            self._version(service)
            for service in state.services.values()
            if service.service in coordinated or _is_moving(service)
        )
        recent = [
            self._recent_for(service, sender)
            for service in state.services.values()
            if service.table is not None
        ]
        wanted = set(message.wanted)
        registered = [
            _registered_in(state, service, wanted) for service in state.services.values() if wanted
        ]
        tables = tuple(self._differing(message.digests))
        answer = StateAnswer(
            message.domain,
            message.round,
            versions,
            tuple(packed for packed in recent if packed.flows),
            tuple(packed for packed in registered if packed.flows),
            tables,
        )
        return [Send(sender, answer)]

    def answered(self, sender: InstanceId, message: StateAnswer, now: Instant) -> list[Effect]:
        """Take over what a member knows."""
        state = self.state
        if not state.in_domain(message.domain) or message.round != self.round:
            return []
        if sender not in state.others():
            return []
        self._store(message.recent)
        self._store(message.registered)
        for version in message.versions:
            self._note_version(sender, version, message.tables)
        self.missing.discard(sender)
        if state.synced or self.missing:
            return []
        return self._complete(now)

    def confirmed(self, sender: InstanceId, message: TableConfirm) -> list[Effect]:
        """Note that a member has applied a table version."""
        service = self.state.services.get(message.service)
        if service is None or not self.state.in_domain(message.domain):
            return []
        self._store((message.recent,))
        known = service.confirmed.get(sender, NO_TABLE)
        service.confirmed[sender] = max(known, message.version)
        return []

    def updated(self, message: TableUpdate, now: Instant) -> list[Effect]:
        """Apply a table update of the domain's coordinator and confirm it to every member."""
        state = self.state
        service = state.services.get(message.service)
        if service is None or not state.in_domain(message.domain):
            return []
        if message.base == WHOLE_TABLE and not service.usable and message.round == self.round:
            service.table = table_from(message)
            service.usable = True
            self._drop_settled(service, range(message.slots))
            self._store_early(service)
        elif service.table is None or not service.usable or service.table.version < message.base:
            return []
        else:
            self._drop_settled(service, service.table.apply(message))
        return self.confirm(service, now)

    def confirm(self, service: ServiceState, now: Instant) -> list[Effect]:
        """Confirm the table to every member, with the recent opens of the moving slots.

        Notes
        -----
        An earlier confirmation with the same opens may have been lost, so each carries them all.
        """
        state = self.state
        assert state.domain is not None
        state.expire_recent(now)
        if service.table is None:
            return []
        recent = state.recent_in(service, service.table.moving)
        for opened in recent:
            state.store(service, opened.flow, opened.upstream)
        count = len(service.table.entries)
        by_member: dict[InstanceId, list[tuple[int, str]]] = {}
        for opened in recent:
            for name in state.owners(service.service, opened.flow % count):
                by_member.setdefault(name, []).append((opened.flow, opened.upstream))
        effects: list[Effect] = []
        for name in state.others():
            packed = pack_flows(service.service, by_member.get(name, []))  # type: ignore[arg-type]
            message = TableConfirm(state.domain.number, service.service, service.version(), packed)
            effects.append(Send(name, message))
        return effects

    def _pull(self, name: InstanceId) -> StatePull:
        state = self.state
        assert state.domain is not None
        digests = tuple(
            self._version(service)
            for service in state.services.values()
            if state.domain.coordinator(service.service) == state.instance
        )
        wanted = bytes(sorted(self._wanted_buckets(name)))
        return StatePull(state.domain.number, self.round, wanted, digests)

    def _wanted_buckets(self, name: InstanceId) -> frozenset[int]:
        """Return the buckets owned or backed up here whose register a member may add to."""
        domain, known = self.state.domain, self.synced_domain
        assert domain is not None
        if known is None or known.members.get(name) != domain.members.get(name):
            return self.mine
        return self.mine - self.mine_before

    def _version(self, service: ServiceState) -> TableVersion:
        table = service.table
        if table is None:
            return TableVersion(service.service, NO_TABLE, 0, False)
        return TableVersion(service.service, table.version, table.digest(), service.usable)

    def _differing(self, digests: Iterable[TableVersion]) -> Iterable[TableUpdate]:
        assert self.state.domain is not None
        for theirs in digests:
            service = self.state.services.get(theirs.service)
            if service is None or service.table is None:
                continue
            if service.table.digest() != theirs.digest:
                yield service.table.update_since(WHOLE_TABLE, self.state.domain.number)

    def _recent_for(self, service: ServiceState, name: InstanceId) -> PackedFlows:
        table = service.table
        assert table is not None
        owned = {s for s in table.moving if name in self.state.owners(service.service, s)}
        recent = self.state.recent_in(service, owned)
        return pack_flows(service.service, ((opened.flow, opened.upstream) for opened in recent))

    def _store(self, packed: Iterable[PackedFlows]) -> None:
        for flows in packed:
            service = self.state.services.get(flows.service)
            if service is not None:
                for flow, upstream in unpack_flows(flows):
                    self.state.store(service, flow, upstream)

    def _store_early(self, service: ServiceState) -> None:
        early, service.early = service.early, {}
        for flow, upstream in early.items():
            self.state.store(service, flow, upstream)

    def _note_version(
        self, sender: InstanceId, version: TableVersion, tables: Iterable[TableUpdate]
    ) -> None:
        service = self.state.services.get(version.service)
        if service is None:
            return
        if version.usable:
            known = service.confirmed.get(sender, NO_TABLE)
            service.confirmed[sender] = max(known, version.version)
        for update in tables:
            if update.service == version.service:
                reported = self.reported.setdefault(version.service, {})
                reported[sender] = Reported(table_from(update), version.usable)

    def _lagging(self) -> list[InstanceId]:
        """Return the members whose confirmation the owned slots wait for."""
        names: set[InstanceId] = set()
        for service in self.state.services.values():
            table = service.table
            if table is None or not table.moving:
                continue
            for name in self.state.others():
                if service.confirmed.get(name, NO_TABLE) < table.version:
                    names.add(name)
        return sorted(names)

    def _complete(self, now: Instant) -> list[Effect]:
        state = self.state
        effects: list[Effect] = list(self._lost_registers())
        state.synced = True
        self.synced_domain = state.domain
        for service in state.services.values():
            if state.coordinates(service.service):
                effects.extend(self._merge(service, now))
        self.reported.clear()
        return effects

    def _lost_registers(self) -> Iterable[Emit]:
        """Name the services with moving slots whose owner and backup both went."""
        before, after = self.synced_domain, self.state.domain
        if before is None or after is None:
            return
        for service in self.state.services.values():
            if service.table is None:
                continue
            lost = [
                slot
                for slot in service.table.moving
                if self.state.owns(service.service, slot)
                and not set(before.owners(bucket_of(service.service, slot))) & set(after.members)
            ]
            if lost:
                self.state.counters["slots-with-lost-register"] += len(lost)
                yield REGISTER_LOST.emit(service=service.service, slots=len(lost))

    def _merge(self, service: ServiceState, now: Instant) -> list[Effect]:
        """Make one table of what the members reported; the coordinator then issues it."""
        reports = list(self.reported.get(service.service, {}).values())
        if service.table is not None:
            reports.append(Reported(service.table, service.usable))
        usable = [report.table for report in reports if report.usable]
        tables = usable or [report.table for report in reports]
        if not tables:
            return []
        service.usable = True
        service.table, changed = _merge_tables(service.service, tables)
        self._store_early(service)
        self._drop_settled(service, range(len(service.table.entries)))
        effects = self.confirm(service, now)
        if changed:
            version = service.table.version
            effects.append(
                TABLES_MERGED.emit(service=service.service, version=version, slots=changed)
            )
        return effects

    def _drop_settled(self, service: ServiceState, slots: Iterable[int]) -> None:
        table = service.table
        assert table is not None
        for slot in slots:
            service.last_other.pop(slot, None)
            if table.entries[slot].phase is SlotPhase.STABLE:
                self.state.register.drop_slot(service.service, slot)


def _merge_tables(service: ServiceId, tables: list[ServiceTable]) -> tuple[ServiceTable, int]:
    size = len(tables[0].entries)
    tables = [table for table in tables if len(table.entries) == size]
    version = max(table.version for table in tables)
    merged = ServiceTable(service, size)
    changed = 0
    for slot in range(size):
        entries = {table.entries[slot] for table in tables}
        changed += len(entries) > 1
        merged.set_entry(slot, merge_entries(entries, version + 1))
    merged.version = version + (changed > 0)
    return merged, changed


def _is_moving(service: ServiceState) -> bool:
    """Return whether owners need to know which table version this instance has applied."""
    return service.table is not None and bool(service.table.moving)


def _registered_in(state: RouterState, service: ServiceState, buckets: set[int]) -> PackedFlows:
    slots = [
        slot
        for name, slot in state.register.slots
        if name == service.service and bucket_of(name, slot) in buckets
    ]
    return pack_flows(service.service, state.register.placements(service.service, slots))
