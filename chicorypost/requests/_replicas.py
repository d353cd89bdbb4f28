"""Keeps the partitions of keys complete at owner and backup through changes of the view."""

from typing import Any

from chicorypost.base import Effect, InstanceId, Instant, Message, Send
from chicorypost.requests._alarms import Alarms
from chicorypost.requests._context import BalancerContext
from chicorypost.requests._events import RECORDS_LOST
from chicorypost.requests._key import parse_key
from chicorypost.requests._loading import Loading
from chicorypost.requests._messages import (
    FillWanted,
    FormerDrop,
    FormerOffer,
    KeyRecord,
    PartitionCopy,
    PartitionCopyAck,
    PartitionFetch,
    PartitionQuery,
    PartitionReply,
    RecordAck,
    RecordState,
    RecordUpdate,
)
from chicorypost.requests._partition import NO_EPOCH, Partition, Role, apply_view
from chicorypost.requests._placement import Placement, RecordId, partition_of
from chicorypost.requests._table import RecordTable
from chicorypost.requests._transfer import BackupFill

LOAD_ALARM = "load"
FILL_ALARM = "fill"
ASK_ALARM = "ask"
HELD_PER_OWNED = 3
"""Records that an instance holds in all, as a multiple of those that it may own."""


class PartitionReplicas:
    """The partitions that this instance owns, backs up or has held.

    Parameters
    ----------
    context : BalancerContext
        Views, settings and clock.

    Notes
    -----
    Whoever drives it reads `activated` after each call: partitions whose owner this instance has
    become, with a flag that tells whether records were lost.
    """

    def __init__(self, context: BalancerContext) -> None:
        self.context = context
        self.table = RecordTable()
        self.partitions: dict[int, Partition] = {}
        self.loading = Loading(context)
        self.fill = BackupFill(context, self.table)
        self.alarms: Alarms[str] = Alarms()
        self.activated: list[tuple[int, bool]] = []

    def is_active(self, partition: int) -> bool:
        """Return whether this instance decides on the keys of a partition."""
        held = self.partitions.get(partition)
        return held is not None and held.role is Role.ACTIVE

    def is_synced(self, partition: int) -> bool:
        """Return whether the backup, if there is one, has every record of a partition."""
        held = self.partitions.get(partition)
        return held is not None and (held.synced or self.backup_of(partition) is None)

    def backup_of(self, partition: int) -> InstanceId | None:
        """Return the backup in the current view, or None."""
        placement = self.context.own_placement()
        backup = None if placement is None else placement.backup(partition)
        return None if backup is None else backup[0]

    @property
    def idle(self) -> bool:
        """Whether every partition owned here is complete at its backup."""
        owned = [held for held in self.partitions.values() if held.is_owned]
        return all(held.role is Role.ACTIVE and self.is_synced(held.number) for held in owned)

    def take_activated(self) -> list[tuple[int, bool]]:
        """Return and forget what has become active."""
        activated, self.activated = self.activated, []
        return activated

    def change_view(
        self, former: Placement | None, current: Placement, now: Instant
    ) -> list[Effect]:
        """Take a new view of this data centre."""
        direct = None if self.context.has_lapsed else former
        self.fill.restart()
        self_key = self.context.self_key
        succeeded = []
        for number in range(len(current.ranks)):
            is_placed = self_key in (current.owner(number), current.backup(number))
            held = self.partitions.get(number)
            if held is None:
                if not is_placed:
                    continue
                held = self.partitions[number] = Partition(number, Role.FORMER)
            was_active = held.role is Role.ACTIVE
            apply_view(held, self_key, direct, current)
            if held.role is Role.ACTIVE and not was_active:
                succeeded.append(number)
            elif held.role is not Role.ACTIVE:
                self._drop_if_empty(held)
        return self._start_loading(current, now) + self._activate(succeeded, now)

    def _drop_if_empty(self, held: Partition) -> None:
        never_held = held.complete_until == NO_EPOCH and held.idle_from == NO_EPOCH
        if held.role is Role.FORMER and never_held and not self.table.ids(held.number):
            del self.partitions[held.number]

    def _start_loading(self, current: Placement, now: Instant) -> list[Effect]:
        loading = [held for held in self.partitions.values() if held.role is Role.LOADING]
        effects = self.loading.start(current, loading)
        effects += self._finish_loads(now)
        effects += self._ask_former_backups()
        self._schedule(now)
        return effects

    def _schedule(self, now: Instant) -> None:
        at = Instant(now + self.context.settings.resend_seconds)
        if self.loading.is_busy or any(held.unreleased for held in self.partitions.values()):
            self.alarms.set(LOAD_ALARM, at)
        if self.fill.is_busy:
            self.alarms.set(FILL_ALARM, at)
        waiting = (Role.FORMER, Role.FILLING)
        if any(held.role in waiting for held in self.partitions.values()):
            self.alarms.set(ASK_ALARM, Instant(now + self.context.settings.max_resend_seconds))

    def _finish_loads(self, now: Instant) -> list[Effect]:
        effects: list[Effect] = []
        finished = []
        for load in self.loading.take_finished():
            held = self.partitions[load.partition]
            if load.replaces_own or load.is_lost:
                self._merge_load(held, load.records, load.replaces_own, now)
            held.floor = max(held.floor, load.floor)
            held.opaque_until = max(held.opaque_until, load.opaque_until)
            if load.is_lost:
                self._raise_floor(held, now)
                epoch = self.context.own_epoch()
                effects.append(RECORDS_LOST.emit(partition=held.number, epoch=epoch))
                self.activated.append((held.number, True))
            finished.append(held.number)
        return effects + self._activate(finished, now)

    def _merge_load(
        self, held: Partition, records: list[KeyRecord], replaces_own: bool, now: Instant
    ) -> None:
        if replaces_own:
            self.table.clear(held.number)
        for record in records:
            self.table.put(record, now)

    def _raise_floor(self, held: Partition, now: Instant) -> None:
        settings = self.context.settings
        wall = self.context.wall(now) + settings.clock_skew_seconds
        specs = self.context.document.services.values()
        retention = max((spec.retention_seconds for spec in specs), default=0.0)
        held.floor = max(held.floor, wall + settings.key_ahead_seconds)
        held.opaque_until = max(held.opaque_until, wall + retention)

    def _activate(self, numbers: list[int], now: Instant) -> list[Effect]:
        lost = {number for number, is_lost in self.activated if is_lost}
        for number in numbers:
            held = self.partitions[number]
            held.role = Role.ACTIVE
            held.idle_from = held.idle_until = NO_EPOCH
            held.unreleased = set()
            held.synced = False
            if number not in lost:
                self.activated.append((number, False))
        return self._start_fills(now)

    def _start_fills(self, now: Instant) -> list[Effect]:
        unsynced = [
            held
            for held in self.partitions.values()
            if held.role is Role.ACTIVE and not held.synced
        ]
        effects = self.fill.start(unsynced, now)
        self._schedule(now)
        return effects

    def receive(self, sender: InstanceId, message: Message, now: Instant) -> list[Effect]:
        """Take a message about partitions; one of another epoch is repeated by its sender."""
        if getattr(message, "epoch", None) != self.context.own_epoch():
            return []
        match message:
            case PartitionQuery():
                return self._answer_query(sender, message)
            case PartitionReply():
                self._release(sender)
                effects = self.loading.take_reply(sender, message)
                return effects + self._finish_loads(now)
            case PartitionFetch(partition=number, index=index):
                held = self.partitions.get(number)
                return self.fill.answer_fetch(sender, held, number, index, now)
            case FillWanted(partitions=numbers):
                return self._fill_again(numbers, now)
            case PartitionCopy(partition=number):
                return self._take_copy(sender, message, now)
            case PartitionCopyAck():
                return self.fill.take_ack(self.partitions.get(message.partition), message, now)
            case RecordUpdate():
                return self._take_update(sender, message, now)
            case FormerOffer(partitions=numbers, epoch=epoch):
                done = tuple(n for n in numbers if self.is_active(n) and self.is_synced(n))
                return [Send(sender, FormerDrop(epoch, done))] if done else []
            case FormerDrop(partitions=numbers):
                self._drop_former(sender, numbers)
        return []

    def _answer_query(self, sender: InstanceId, message: PartitionQuery) -> list[Effect]:
        reply = PartitionReply(
            message.epoch,
            tuple(
                self.loading.holding(number, self.partitions.get(number))
                for number in message.partitions
            ),
        )
        return [Send(sender, reply)]

    def is_released(self, partition: int) -> bool:
        """Return whether no former backup can still take itself for one."""
        held = self.partitions.get(partition)
        return held is not None and not held.unreleased

    def _release(self, sender: InstanceId) -> None:
        """Note that a member has installed the current view."""
        for held in self.partitions.values():
            held.unreleased = {each for each in held.unreleased if each[0] != sender}

    def _ask_former_backups(self) -> list[Effect]:
        asked: dict[InstanceId, list[int]] = {}
        for held in self.partitions.values():
            for name, _ in held.unreleased:
                asked.setdefault(name, []).append(held.number)
        epoch = self.context.own_epoch()
        return [Send(name, PartitionQuery(epoch, tuple(n))) for name, n in sorted(asked.items())]

    def _is_owner(self, sender: InstanceId, partition: int) -> bool:
        placement = self.context.own_placement()
        owner = None if placement is None else placement.owner(partition)
        return owner is not None and owner[0] == sender

    def _take_copy(self, sender: InstanceId, message: PartitionCopy, now: Instant) -> list[Effect]:
        held = self.partitions.get(message.partition)
        if held is None:
            return []
        if held.role is Role.LOADING:
            effects = self.loading.take_copy(sender, message)
            return effects + self._finish_loads(now)
        if held.role not in (Role.FILLING, Role.BACKUP) or not self._is_owner(sender, held.number):
            return []
        self._begin_fill(held)
        for record in message.records:
            if record.state is not RecordState.FORGOTTEN:
                self.table.put(record, now)
        held.floor = max(held.floor, message.floor)
        held.opaque_until = max(held.opaque_until, message.opaque_until)
        if message.last:
            held.role = Role.BACKUP
        return [Send(sender, PartitionCopyAck(message.epoch, held.number, message.index))]

    def _begin_fill(self, held: Partition) -> None:
        epoch = self.context.own_epoch()
        if held.role is Role.BACKUP or held.filled_in == epoch:
            return
        held.filled_in = epoch
        if held.complete_until < epoch:
            # Records of an old copy may have been dropped by later owners.
            self.table.clear(held.number)
            held.complete_until = NO_EPOCH

    def _take_update(self, sender: InstanceId, message: RecordUpdate, now: Instant) -> list[Effect]:
        held = self.partitions.get(message.partition)
        if held is None or held.role not in (Role.FILLING, Role.BACKUP):
            return []
        if not self._is_owner(sender, message.partition):
            return []
        self._begin_fill(held)
        record = message.record
        record_id = (record.service, record.key)
        kept = self._keep(record_id, record, now)
        return [Send(sender, RecordAck(message.epoch, *record_id, record.revision, kept))]

    def _keep(self, record_id: RecordId, record: KeyRecord, now: Instant) -> bool:
        known = self.table.find(record_id)
        if record.state is RecordState.FORGOTTEN:
            if known is not None and known.revision <= record.revision:
                self.table.remove(record_id)
            return True
        if known is None and self.table.count >= HELD_PER_OWNED * self.context.settings.max_records:
            return False
        self.table.put(record, now)
        return True

    def _drop_former(self, sender: InstanceId, numbers: tuple[int, ...]) -> None:
        for number in numbers:
            held = self.partitions.get(number)
            if held is not None and held.role is Role.FORMER and self._is_owner(sender, number):
                self.table.clear(number)
                del self.partitions[number]

    def tick(self, now: Instant) -> list[Effect]:
        """Repeat what is unanswered and drop expired records."""
        effects: list[Effect] = []
        for alarm in self.alarms.pop_due(now):
            match alarm:
                case "load":
                    effects += self.loading.repeat() + self._ask_former_backups()
                case "fill":
                    effects += self.fill.repeat(now)
                case "ask":
                    effects += self._ask_owners(Role.FORMER, FormerOffer)
                    effects += self._ask_owners(Role.FILLING, FillWanted)
        self._schedule(now)
        self._expire(now)
        return effects

    def _ask_owners(self, role: Role, ask: type[FormerOffer] | type[FillWanted]) -> list[Effect]:
        placement = self.context.own_placement()
        by_owner: dict[InstanceId, list[int]] = {}
        for held in self.partitions.values():
            owner = None if placement is None else placement.owner(held.number)
            if held.role is role and owner is not None:
                by_owner.setdefault(owner[0], []).append(held.number)
        epoch = self.context.own_epoch()
        return [Send(to, ask(epoch, tuple(numbers))) for to, numbers in by_owner.items()]

    def _fill_again(self, numbers: tuple[int, ...], now: Instant) -> list[Effect]:
        for number in numbers:
            held = self.partitions.get(number)
            if held is not None and held.role is Role.ACTIVE:
                held.synced = False
        return self._start_fills(now)

    def _expire(self, now: Instant) -> None:
        for record_id in self.table.pop_expired(now):
            held = self.partitions.get(partition_of(record_id))
            made_at = parse_key(record_id[1]).made_at
            if held is not None and made_at is not None:
                # With a longer retention set later, the key must still not run again.
                held.floor = max(held.floor, made_at)

    def next_deadline(self) -> Instant | None:
        """Return when `tick` is wanted next."""
        deadlines = [self.alarms.earliest(), self.table.expiries.earliest()]
        return min((at for at in deadlines if at is not None), default=None)

    def dump(self) -> dict[str, Any]:
        """Return partitions and records as values that JSON can hold."""
        return {
            "records": self.table.count,
            "kept_bytes": self.table.kept_bytes,
            "partitions": {
                str(held.number): {
                    "role": held.role.value,
                    "complete_until": held.complete_until,
                    "synced": held.synced,
                    "floor": held.floor,
                    "opaque_until": held.opaque_until,
                    "records": {
                        f"{service} {key}": held_record.record.state.value
                        for (service, key), held_record in self.table.partitions.get(
                            held.number, {}
                        ).items()
                    },
                }
                for held in self.partitions.values()
            },
        }
