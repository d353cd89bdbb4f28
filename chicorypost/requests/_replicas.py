"""Replication of partitions to owner and backup across view changes."""

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
"""Limit of all records of an instance, as a multiple of those that it may own."""


class PartitionReplicas:
    """The partitions that this instance owns, backs up or still has a retired copy of.

    Parameters
    ----------
    context : BalancerContext
        Views, settings and clock.

    Notes
    -----
    The caller reads `pop_activated` after each call of another method. It returns the partitions
    that this instance has become active owner of, each with a flag for lost records.
    """

    def __init__(self, context: BalancerContext) -> None:
        self.context = context
        self.table = RecordTable()
        self.partitions: dict[int, Partition] = {}
        self.loader = PartitionLoader(context)
        self.transfers = PartitionTransfers(context, self.table)
        self.deadlines: DeadlineQueue[str] = DeadlineQueue()
        self.activated_partitions: list[tuple[int, bool]] = []

    def is_active(self, number: int) -> bool:
        """Return whether this instance is the active owner of a partition."""
        partition = self.partitions.get(number)
        return partition is not None and partition.role is PartitionRole.ACTIVE

    def is_synced(self, number: int) -> bool:
        """Return whether the backup, if there is one, has every record of a partition."""
        partition = self.partitions.get(number)
        return partition is not None and (
            partition.is_backup_synced or self.backup_of(number) is None
        )

    def backup_of(self, number: int) -> InstanceId | None:
        """Return the backup of a partition in the current view, or None."""
        placement = self.context.own_placement()
        backup = None if placement is None else placement.backup(number)
        return None if backup is None else backup[0]

    @property
    def is_idle(self) -> bool:
        """Whether every owned partition is active and complete at its backup."""
        owned = [partition for partition in self.partitions.values() if partition.is_owned]
        return all(
            partition.role is PartitionRole.ACTIVE and self.is_synced(partition.number)
            for partition in owned
        )

    def pop_activated(self) -> list[tuple[int, bool]]:
        """Return and clear the partitions that have become active, with their lost-records flag."""
        activated, self.activated_partitions = self.activated_partitions, []
        return activated

    def change_view(
        self, previous: PartitionPlacement | None, current: PartitionPlacement, now: Instant
    ) -> list[Effect]:
        """Install a new view of this data centre."""
        uninterrupted = None if self.context.has_lease_lapsed else previous
        self.transfers.reset_transfers()
        self_key = self.context.self_key
        activated = []
        for number in range(len(current.ranks)):
            is_placed = self_key in (current.owner(number), current.backup(number))
            partition = self.partitions.get(number)
            if partition is None:
                if not is_placed:
                    continue
                partition = self.partitions[number] = Partition(number, PartitionRole.RETIRED)
            was_active = partition.role is PartitionRole.ACTIVE
            apply_view(partition, self_key, uninterrupted, current)
            if partition.role is PartitionRole.ACTIVE and not was_active:
                activated.append(number)
            elif partition.role is not PartitionRole.ACTIVE:
                self._drop_if_empty(partition)
        return self._start_loading(current, now) + self._activate_partitions(activated, now)

    def _drop_if_empty(self, partition: Partition) -> None:
        never_held = partition.complete_until == NO_EPOCH and partition.inactive_from == NO_EPOCH
        if (
            partition.role is PartitionRole.RETIRED
            and never_held
            and not self.table.record_ids(partition.number)
        ):
            del self.partitions[partition.number]

    def _start_loading(self, current: PartitionPlacement, now: Instant) -> list[Effect]:
        loading_partitions = [
            partition
            for partition in self.partitions.values()
            if partition.role is PartitionRole.LOADING
        ]
        effects = self.loader.start_loads(current, loading_partitions)
        effects += self._finish_loads(now)
        effects += self._query_stale_backups()
        self._schedule(now)
        return effects

    def _schedule(self, now: Instant) -> None:
        at = Instant(now + self.context.settings.resend_seconds)
        if self.loader.is_loading or any(
            partition.stale_backups for partition in self.partitions.values()
        ):
            self.deadlines.set_deadline(LOAD_TIMER, at)
        if self.transfers.is_syncing:
            self.deadlines.set_deadline(BACKUP_SYNC_TIMER, at)
        waiting = (PartitionRole.RETIRED, PartitionRole.SYNCING)
        if any(partition.role in waiting for partition in self.partitions.values()):
            self.deadlines.set_deadline(
                OWNER_QUERY_TIMER, Instant(now + self.context.settings.max_resend_seconds)
            )

    def _finish_loads(self, now: Instant) -> list[Effect]:
        effects: list[Effect] = []
        finished = []
        for load in self.loader.pop_finished():
            partition = self.partitions[load.partition]
            if load.replaces_local or load.is_lost:
                self._merge_load(partition, load.records, load.replaces_local, now)
            partition.key_time_floor = max(partition.key_time_floor, load.key_time_floor)
            partition.opaque_keys_unsafe_until = max(
                partition.opaque_keys_unsafe_until, load.opaque_keys_unsafe_until
            )
            if load.is_lost:
                self._raise_key_time_floor(partition, now)
                epoch = self.context.own_epoch()
                effects.append(RECORDS_LOST.emit(partition=partition.number, epoch=epoch))
                self.activated_partitions.append((partition.number, True))
            finished.append(partition.number)
        return effects + self._activate_partitions(finished, now)

    def _merge_load(
        self, partition: Partition, records: list[KeyRecord], replaces_local: bool, now: Instant
    ) -> None:
        if replaces_local:
            self.table.clear_partition(partition.number)
        for record in records:
            self.table.put_record(record, now)

    def _raise_key_time_floor(self, partition: Partition, now: Instant) -> None:
        settings = self.context.settings
        wall_time = self.context.wall_time(now) + settings.clock_skew_seconds
        specs = self.context.configuration.services.values()
        retention = max((spec.retention_seconds for spec in specs), default=0.0)
        partition.key_time_floor = max(
            partition.key_time_floor, wall_time + settings.key_ahead_seconds
        )
        partition.opaque_keys_unsafe_until = max(
            partition.opaque_keys_unsafe_until, wall_time + retention
        )

    def _activate_partitions(self, numbers: list[int], now: Instant) -> list[Effect]:
        lost = {number for number, is_lost in self.activated_partitions if is_lost}
        for number in numbers:
            partition = self.partitions[number]
            partition.role = PartitionRole.ACTIVE
            partition.inactive_from = partition.inactive_until = NO_EPOCH
            partition.stale_backups = set()
            partition.is_backup_synced = False
            if number not in lost:
                self.activated_partitions.append((number, False))
        return self._start_backup_syncs(now)

    def _start_backup_syncs(self, now: Instant) -> list[Effect]:
        unsynced = [
            partition
            for partition in self.partitions.values()
            if partition.role is PartitionRole.ACTIVE and not partition.is_backup_synced
        ]
        effects = self.transfers.start_syncs(unsynced, now)
        self._schedule(now)
        return effects

    def handle_message(self, sender: InstanceId, message: Message, now: Instant) -> list[Effect]:
        """Handle a message about partitions; its sender resends one of another epoch."""
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
                partition = self.partitions.get(number)
                return self.transfers.reply_to_fetch(sender, partition, number, index, now)
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
                complete = tuple(n for n in numbers if self.is_active(n) and self.is_synced(n))
                return [Send(sender, CopyReleased(epoch, complete))] if complete else []
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

    def has_no_stale_backup(self, number: int) -> bool:
        """Return whether no previous backup may still act on an older view."""
        partition = self.partitions.get(number)
        return partition is not None and not partition.stale_backups

    def _clear_stale_backup(self, sender: InstanceId) -> None:
        """Remove a member that has installed the current view from the stale backups."""
        for partition in self.partitions.values():
            partition.stale_backups = {
                each for each in partition.stale_backups if each[0] != sender
            }

    def _query_stale_backups(self) -> list[Effect]:
        numbers_by_member: dict[InstanceId, list[int]] = {}
        for partition in self.partitions.values():
            for name, _ in partition.stale_backups:
                numbers_by_member.setdefault(name, []).append(partition.number)
        epoch = self.context.own_epoch()
        return [
            Send(name, PartitionQuery(epoch, tuple(n)))
            for name, n in sorted(numbers_by_member.items())
        ]

    def _is_owner(self, sender: InstanceId, number: int) -> bool:
        placement = self.context.own_placement()
        owner = None if placement is None else placement.owner(number)
        return owner is not None and owner[0] == sender

    def _handle_copy(
        self, sender: InstanceId, message: PartitionCopy, now: Instant
    ) -> list[Effect]:
        partition = self.partitions.get(message.partition)
        if partition is None:
            return []
        if partition.role is PartitionRole.LOADING:
            effects = self.loader.handle_copy(sender, message)
            return effects + self._finish_loads(now)
        if partition.role not in (
            PartitionRole.SYNCING,
            PartitionRole.BACKUP,
        ) or not self._is_owner(sender, partition.number):
            return []
        self._begin_backup_sync(partition)
        for record in message.records:
            if record.state is not RecordState.FORGOTTEN:
                self.table.put_record(record, now)
        partition.key_time_floor = max(partition.key_time_floor, message.key_time_floor)
        partition.opaque_keys_unsafe_until = max(
            partition.opaque_keys_unsafe_until, message.opaque_keys_unsafe_until
        )
        if message.is_last:
            partition.role = PartitionRole.BACKUP
        return [Send(sender, PartitionCopyAck(message.epoch, partition.number, message.index))]

    def _begin_backup_sync(self, partition: Partition) -> None:
        epoch = self.context.own_epoch()
        if partition.role is PartitionRole.BACKUP or partition.sync_epoch == epoch:
            return
        partition.sync_epoch = epoch
        if partition.complete_until < epoch:
            # Later owners may have dropped records that an old copy still has.
            self.table.clear_partition(partition.number)
            partition.complete_until = NO_EPOCH

    def _handle_update(
        self, sender: InstanceId, message: RecordUpdate, now: Instant
    ) -> list[Effect]:
        partition = self.partitions.get(message.partition)
        if partition is None or partition.role not in (PartitionRole.SYNCING, PartitionRole.BACKUP):
            return []
        if not self._is_owner(sender, message.partition):
            return []
        self._begin_backup_sync(partition)
        record = message.record
        record_id = (record.service, record.key)
        is_stored = self._store_update(record_id, record, now)
        return [Send(sender, RecordAck(message.epoch, *record_id, record.revision, is_stored))]

    def _store_update(self, record_id: RecordId, record: KeyRecord, now: Instant) -> bool:
        stored = self.table.find_record(record_id)
        if record.state is RecordState.FORGOTTEN:
            if stored is not None and stored.revision <= record.revision:
                self.table.remove_record(record_id)
            return True
        if (
            stored is None
            and self.table.record_count >= HELD_TO_OWNED_RATIO * self.context.settings.max_records
        ):
            return False
        self.table.put_record(record, now)
        return True

    def _drop_retired_copies(self, sender: InstanceId, numbers: tuple[int, ...]) -> None:
        for number in numbers:
            partition = self.partitions.get(number)
            if (
                partition is not None
                and partition.role is PartitionRole.RETIRED
                and self._is_owner(sender, number)
            ):
                self.table.clear_partition(number)
                del self.partitions[number]

    def tick(self, now: Instant) -> list[Effect]:
        """Resend unanswered messages and drop expired records."""
        effects: list[Effect] = []
        for timer in self.deadlines.pop_due(now):
            match timer:
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
        self, role: PartitionRole, message_type: type[CopyReleaseQuery] | type[BackupSyncRequest]
    ) -> list[Effect]:
        placement = self.context.own_placement()
        by_owner: dict[InstanceId, list[int]] = {}
        for partition in self.partitions.values():
            owner = None if placement is None else placement.owner(partition.number)
            if partition.role is role and owner is not None:
                by_owner.setdefault(owner[0], []).append(partition.number)
        epoch = self.context.own_epoch()
        return [Send(to, message_type(epoch, tuple(numbers))) for to, numbers in by_owner.items()]

    def _restart_backup_syncs(self, numbers: tuple[int, ...], now: Instant) -> list[Effect]:
        for number in numbers:
            partition = self.partitions.get(number)
            if partition is not None and partition.role is PartitionRole.ACTIVE:
                partition.is_backup_synced = False
        return self._start_backup_syncs(now)

    def _drop_expired_records(self, now: Instant) -> None:
        for record_id in self.table.pop_expired(now):
            partition = self.partitions.get(partition_of(record_id))
            created_at = parse_key(record_id[1]).created_at
            if partition is not None and created_at is not None:
                # If the retention is extended later, the expired key must still not run again.
                partition.key_time_floor = max(partition.key_time_floor, created_at)

    def next_deadline(self) -> Instant | None:
        """Return when `tick` is due next, or None."""
        deadlines = [self.deadlines.earliest(), self.table.expiry_deadlines.earliest()]
        return min((at for at in deadlines if at is not None), default=None)

    def dump(self) -> dict[str, Any]:
        """Return partitions and records as JSON-compatible values."""
        return {
            "records": self.table.record_count,
            "kept_bytes": self.table.response_bytes,
            "partitions": {
                str(partition.number): {
                    "role": partition.role.value,
                    "complete_until": partition.complete_until,
                    "synced": partition.is_backup_synced,
                    "floor": partition.key_time_floor,
                    "opaque_until": partition.opaque_keys_unsafe_until,
                    "records": {
                        f"{service} {key}": held_record.record.state.value
                        for (service, key), held_record in self.table.partitions.get(
                            partition.number, {}
                        ).items()
                    },
                }
                for partition in self.partitions.values()
            },
        }
