"""Keeps the partitions of keys complete at owner and backup through changes of the view."""

from typing import Any

from chicorypost.base import Effect, InstanceId, Instant, Message, Send
from chicorypost.requests._context import BalancerContext
from chicorypost.requests._deadlines import DeadlineQueue
from chicorypost.requests._events import RECORDS_LOST
from chicorypost.requests._key import parse_key
from chicorypost.requests._loader import PartitionLoader
from chicorypost.requests._messages import (
    BackupSyncRequest,
    CopyReleased,
    CopyReleaseQuery,
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
from chicorypost.requests._partition import NO_EPOCH, Partition, PartitionRole, apply_view
from chicorypost.requests._placement import PartitionPlacement, RecordId, partition_of
from chicorypost.requests._table import RecordTable
from chicorypost.requests._transfer import PartitionTransfers

LOAD_TIMER = "load"
BACKUP_SYNC_TIMER = "fill"
OWNER_QUERY_TIMER = "ask"
HELD_TO_OWNED_RATIO = 3
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
        self.loader = PartitionLoader(context)
        self.transfers = PartitionTransfers(context, self.table)
        self.deadlines: DeadlineQueue[str] = DeadlineQueue()
        self.activated_partitions: list[tuple[int, bool]] = []

    def is_active(self, partition: int) -> bool:
        """Return whether this instance decides on the keys of a partition."""
        held = self.partitions.get(partition)
        return held is not None and held.role is PartitionRole.ACTIVE

    def is_synced(self, partition: int) -> bool:
        """Return whether the backup, if there is one, has every record of a partition."""
        held = self.partitions.get(partition)
        return held is not None and (held.is_backup_synced or self.backup_of(partition) is None)

    def backup_of(self, partition: int) -> InstanceId | None:
        """Return the backup in the current view, or None."""
        placement = self.context.own_placement()
        backup = None if placement is None else placement.backup(partition)
        return None if backup is None else backup[0]

    @property
    def is_idle(self) -> bool:
        """Whether every partition owned here is complete at its backup."""
        owned = [held for held in self.partitions.values() if held.is_owned]
        return all(
            held.role is PartitionRole.ACTIVE and self.is_synced(held.number) for held in owned
        )

    def pop_activated(self) -> list[tuple[int, bool]]:
        """Return and forget what has become active."""
        activated, self.activated_partitions = self.activated_partitions, []
        return activated

    def change_view(
        self, former: PartitionPlacement | None, current: PartitionPlacement, now: Instant
    ) -> list[Effect]:
        """Take a new view of this data centre."""
        direct = None if self.context.has_lease_lapsed else former
        self.transfers.reset_transfers()
        self_key = self.context.self_key
        succeeded = []
        for number in range(len(current.ranks)):
            is_placed = self_key in (current.owner(number), current.backup(number))
            held = self.partitions.get(number)
            if held is None:
                if not is_placed:
                    continue
                held = self.partitions[number] = Partition(number, PartitionRole.RETIRED)
            was_active = held.role is PartitionRole.ACTIVE
            apply_view(held, self_key, direct, current)
            if held.role is PartitionRole.ACTIVE and not was_active:
                succeeded.append(number)
            elif held.role is not PartitionRole.ACTIVE:
                self._drop_if_empty(held)
        return self._start_loading(current, now) + self._activate_partitions(succeeded, now)

    def _drop_if_empty(self, held: Partition) -> None:
        never_held = held.complete_until == NO_EPOCH and held.inactive_from == NO_EPOCH
        if (
            held.role is PartitionRole.RETIRED
            and never_held
            and not self.table.record_ids(held.number)
        ):
            del self.partitions[held.number]

    def _start_loading(self, current: PartitionPlacement, now: Instant) -> list[Effect]:
        loading = [held for held in self.partitions.values() if held.role is PartitionRole.LOADING]
        effects = self.loader.start_loads(current, loading)
        effects += self._finish_loads(now)
        effects += self._query_stale_backups()
        self._schedule(now)
        return effects

    def _schedule(self, now: Instant) -> None:
        at = Instant(now + self.context.settings.resend_seconds)
        if self.loader.is_loading or any(held.stale_backups for held in self.partitions.values()):
            self.deadlines.set_deadline(LOAD_TIMER, at)
        if self.transfers.is_syncing:
            self.deadlines.set_deadline(BACKUP_SYNC_TIMER, at)
        waiting = (PartitionRole.RETIRED, PartitionRole.SYNCING)
        if any(held.role in waiting for held in self.partitions.values()):
            self.deadlines.set_deadline(
                OWNER_QUERY_TIMER, Instant(now + self.context.settings.max_resend_seconds)
            )

    def _finish_loads(self, now: Instant) -> list[Effect]:
        effects: list[Effect] = []
        finished = []
        for load in self.loader.pop_finished():
            held = self.partitions[load.partition]
            if load.replaces_local or load.is_lost:
                self._merge_load(held, load.records, load.replaces_local, now)
            held.key_time_floor = max(held.key_time_floor, load.key_time_floor)
            held.opaque_keys_unsafe_until = max(
                held.opaque_keys_unsafe_until, load.opaque_keys_unsafe_until
            )
            if load.is_lost:
                self._raise_key_time_floor(held, now)
                epoch = self.context.own_epoch()
                effects.append(RECORDS_LOST.emit(partition=held.number, epoch=epoch))
                self.activated_partitions.append((held.number, True))
            finished.append(held.number)
        return effects + self._activate_partitions(finished, now)

    def _merge_load(
        self, held: Partition, records: list[KeyRecord], replaces_own: bool, now: Instant
    ) -> None:
        if replaces_own:
            self.table.clear_partition(held.number)
        for record in records:
            self.table.put_record(record, now)

    def _raise_key_time_floor(self, held: Partition, now: Instant) -> None:
        settings = self.context.settings
        wall = self.context.wall_time(now) + settings.clock_skew_seconds
        specs = self.context.configuration.services.values()
        retention = max((spec.retention_seconds for spec in specs), default=0.0)
        held.key_time_floor = max(held.key_time_floor, wall + settings.key_ahead_seconds)
        held.opaque_keys_unsafe_until = max(held.opaque_keys_unsafe_until, wall + retention)

    def _activate_partitions(self, numbers: list[int], now: Instant) -> list[Effect]:
        lost = {number for number, is_lost in self.activated_partitions if is_lost}
        for number in numbers:
            held = self.partitions[number]
            held.role = PartitionRole.ACTIVE
            held.inactive_from = held.inactive_until = NO_EPOCH
            held.stale_backups = set()
            held.is_backup_synced = False
            if number not in lost:
                self.activated_partitions.append((number, False))
        return self._start_backup_syncs(now)

    def _start_backup_syncs(self, now: Instant) -> list[Effect]:
        unsynced = [
            held
            for held in self.partitions.values()
            if held.role is PartitionRole.ACTIVE and not held.is_backup_synced
        ]
        effects = self.transfers.start_syncs(unsynced, now)
        self._schedule(now)
        return effects

    def handle_message(self, sender: InstanceId, message: Message, now: Instant) -> list[Effect]:
        """Take a message about partitions; one of another epoch is repeated by its sender."""
        if getattr(message, "epoch", None) != self.context.own_epoch():
            return []
        match message:
            case PartitionQuery():
                return self._reply_to_query(sender, message)
            case PartitionReply():
                self._clear_stale_backup(sender)
                effects = self.loader.handle_reply(sender, message)
                return effects + self._finish_loads(now)
            case PartitionFetch(partition=number, index=index):
                held = self.partitions.get(number)
                return self.transfers.reply_to_fetch(sender, held, number, index, now)
            case BackupSyncRequest(partitions=numbers):
                return self._restart_backup_syncs(numbers, now)
            case PartitionCopy(partition=number):
                return self._handle_copy(sender, message, now)
            case PartitionCopyAck():
                return self.transfers.handle_ack(
                    self.partitions.get(message.partition), message, now
                )
            case RecordUpdate():
                return self._handle_update(sender, message, now)
            case CopyReleaseQuery(partitions=numbers, epoch=epoch):
                done = tuple(n for n in numbers if self.is_active(n) and self.is_synced(n))
                return [Send(sender, CopyReleased(epoch, done))] if done else []
            case CopyReleased(partitions=numbers):
                self._drop_retired_copies(sender, numbers)
        return []

    def _reply_to_query(self, sender: InstanceId, message: PartitionQuery) -> list[Effect]:
        reply = PartitionReply(
            message.epoch,
            tuple(
                self.loader.describe_copy(number, self.partitions.get(number))
                for number in message.partitions
            ),
        )
        return [Send(sender, reply)]

    def has_no_stale_backup(self, partition: int) -> bool:
        """Return whether no former backup can still take itself for one."""
        held = self.partitions.get(partition)
        return held is not None and not held.stale_backups

    def _clear_stale_backup(self, sender: InstanceId) -> None:
        """Note that a member has installed the current view."""
        for held in self.partitions.values():
            held.stale_backups = {each for each in held.stale_backups if each[0] != sender}

    def _query_stale_backups(self) -> list[Effect]:
        asked: dict[InstanceId, list[int]] = {}
        for held in self.partitions.values():
            for name, _ in held.stale_backups:
                asked.setdefault(name, []).append(held.number)
        epoch = self.context.own_epoch()
        return [Send(name, PartitionQuery(epoch, tuple(n))) for name, n in sorted(asked.items())]

    def _is_owner(self, sender: InstanceId, partition: int) -> bool:
        placement = self.context.own_placement()
        owner = None if placement is None else placement.owner(partition)
        return owner is not None and owner[0] == sender

    def _handle_copy(
        self, sender: InstanceId, message: PartitionCopy, now: Instant
    ) -> list[Effect]:
        held = self.partitions.get(message.partition)
        if held is None:
            return []
        if held.role is PartitionRole.LOADING:
            effects = self.loader.handle_copy(sender, message)
            return effects + self._finish_loads(now)
        if held.role not in (PartitionRole.SYNCING, PartitionRole.BACKUP) or not self._is_owner(
            sender, held.number
        ):
            return []
        self._begin_backup_sync(held)
        for record in message.records:
            if record.state is not RecordState.FORGOTTEN:
                self.table.put_record(record, now)
        held.key_time_floor = max(held.key_time_floor, message.key_time_floor)
        held.opaque_keys_unsafe_until = max(
            held.opaque_keys_unsafe_until, message.opaque_keys_unsafe_until
        )
        if message.is_last:
            held.role = PartitionRole.BACKUP
        return [Send(sender, PartitionCopyAck(message.epoch, held.number, message.index))]

    def _begin_backup_sync(self, held: Partition) -> None:
        epoch = self.context.own_epoch()
        if held.role is PartitionRole.BACKUP or held.sync_epoch == epoch:
            return
        held.sync_epoch = epoch
        if held.complete_until < epoch:
            # Records of an old copy may have been dropped by later owners.
            self.table.clear_partition(held.number)
            held.complete_until = NO_EPOCH

    def _handle_update(
        self, sender: InstanceId, message: RecordUpdate, now: Instant
    ) -> list[Effect]:
        held = self.partitions.get(message.partition)
        if held is None or held.role not in (PartitionRole.SYNCING, PartitionRole.BACKUP):
            return []
        if not self._is_owner(sender, message.partition):
            return []
        self._begin_backup_sync(held)
        record = message.record
        record_id = (record.service, record.key)
        kept = self._store_update(record_id, record, now)
        return [Send(sender, RecordAck(message.epoch, *record_id, record.revision, kept))]

    def _store_update(self, record_id: RecordId, record: KeyRecord, now: Instant) -> bool:
        known = self.table.find_record(record_id)
        if record.state is RecordState.FORGOTTEN:
            if known is not None and known.revision <= record.revision:
                self.table.remove_record(record_id)
            return True
        if (
            known is None
            and self.table.record_count >= HELD_TO_OWNED_RATIO * self.context.settings.max_records
        ):
            return False
        self.table.put_record(record, now)
        return True

    def _drop_retired_copies(self, sender: InstanceId, numbers: tuple[int, ...]) -> None:
        for number in numbers:
            held = self.partitions.get(number)
            if (
                held is not None
                and held.role is PartitionRole.RETIRED
                and self._is_owner(sender, number)
            ):
                self.table.clear_partition(number)
                del self.partitions[number]

    def tick(self, now: Instant) -> list[Effect]:
        """Repeat what is unanswered and drop expired records."""
        effects: list[Effect] = []
        for alarm in self.deadlines.pop_due(now):
            match alarm:
                case "load":
                    effects += self.loader.repeat_messages() + self._query_stale_backups()
                case "fill":
                    effects += self.transfers.repeat_parts(now)
                case "ask":
                    effects += self._query_owners(PartitionRole.RETIRED, CopyReleaseQuery)
                    effects += self._query_owners(PartitionRole.SYNCING, BackupSyncRequest)
        self._schedule(now)
        self._drop_expired_records(now)
        return effects

    def _query_owners(
        self, role: PartitionRole, ask: type[CopyReleaseQuery] | type[BackupSyncRequest]
    ) -> list[Effect]:
        placement = self.context.own_placement()
        by_owner: dict[InstanceId, list[int]] = {}
        for held in self.partitions.values():
            owner = None if placement is None else placement.owner(held.number)
            if held.role is role and owner is not None:
                by_owner.setdefault(owner[0], []).append(held.number)
        epoch = self.context.own_epoch()
        return [Send(to, ask(epoch, tuple(numbers))) for to, numbers in by_owner.items()]

    def _restart_backup_syncs(self, numbers: tuple[int, ...], now: Instant) -> list[Effect]:
        for number in numbers:
            held = self.partitions.get(number)
            if held is not None and held.role is PartitionRole.ACTIVE:
                held.is_backup_synced = False
        return self._start_backup_syncs(now)

    def _drop_expired_records(self, now: Instant) -> None:
        for record_id in self.table.pop_expired(now):
            held = self.partitions.get(partition_of(record_id))
            made_at = parse_key(record_id[1]).created_at
            if held is not None and made_at is not None:
                # With a longer retention set later, the key must still not run again.
                held.key_time_floor = max(held.key_time_floor, made_at)

    def next_deadline(self) -> Instant | None:
        """Return when `tick` is wanted next."""
        deadlines = [self.deadlines.earliest(), self.table.expiry_deadlines.earliest()]
        return min((at for at in deadlines if at is not None), default=None)

    def dump(self) -> dict[str, Any]:
        """Return partitions and records as values that JSON can hold."""
        return {
            "records": self.table.record_count,
            "kept_bytes": self.table.response_bytes,
            "partitions": {
                str(held.number): {
                    "role": held.role.value,
                    "complete_until": held.complete_until,
                    "synced": held.is_backup_synced,
                    "floor": held.key_time_floor,
                    "opaque_until": held.opaque_keys_unsafe_until,
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
