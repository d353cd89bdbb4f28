"""Copies of partitions in parts: to a new owner that asks, and to a new backup."""

from dataclasses import dataclass

from chicorypost.base import Effect, InstanceId, Instant, Send
from chicorypost.requests._context import BalancerContext
from chicorypost.requests._messages import PartitionCopy, PartitionCopyAck
from chicorypost.requests._partition import Partition, PartitionRole
from chicorypost.requests._placement import RecordId
from chicorypost.requests._table import RecordTable


@dataclass(slots=True)
class BackupSync:
    """Filling of the backup of one partition: parts sent one after another."""

    partition: Partition
    backup: InstanceId
    record_ids: list[RecordId]
    part_index: int = 0


class PartitionTransfers:
    """Copies whole partitions to new backups.

    Parameters
    ----------
    context : BalancerContext
        Views, settings and clock.
    table : RecordTable
        The records.
    """

    def __init__(self, context: BalancerContext, table: RecordTable) -> None:
        self.context = context
        self.table = table
        self.backup_syncs: dict[int, BackupSync] = {}
        self.fetched_record_ids: dict[tuple[InstanceId, int], list[RecordId]] = {}

    @property
    def is_syncing(self) -> bool:
        """Whether any backup is being filled."""
        return bool(self.backup_syncs)

    def start_syncs(self, partitions: list[Partition], now: Instant) -> list[Effect]:
        """Fill the backups of these partitions; a fill that goes on in this view is kept."""
        wanted = {}
        started = []
        placement = self.context.own_placement()
        for held in partitions:
            backup = None if placement is None else placement.backup(held.number)
            if backup is None:
                continue
            fill = self.backup_syncs.get(held.number)
            if fill is None or fill.backup != backup[0]:
                fill = BackupSync(held, backup[0], self.table.record_ids(held.number))
                started.append(fill)
            wanted[held.number] = fill
        self.backup_syncs = wanted
        return [self._send_part(fill, now) for fill in started]

    def reset_transfers(self) -> None:
        """Begin all copies again: parts of a former epoch don't count."""
        self.backup_syncs = {}
        self.fetched_record_ids = {}

    def repeat_parts(self, now: Instant) -> list[Effect]:
        """Send the unacknowledged part of each fill again."""
        return [self._send_part(fill, now) for fill in self.backup_syncs.values()]

    def handle_ack(
        self, held: Partition | None, ack: PartitionCopyAck, now: Instant
    ) -> list[Effect]:
        """Take an acknowledgement: send the next part, or mark the backup as complete."""
        fill = self.backup_syncs.get(ack.partition)
        if held is None or fill is None or fill.part_index != ack.index:
            return []
        if self._is_last(fill.record_ids, fill.part_index):
            del self.backup_syncs[ack.partition]
            held.is_backup_synced = held.role is PartitionRole.ACTIVE
            return []
        fill.part_index += 1
        return [self._send_part(fill, now)]

    def reply_to_fetch(
        self, sender: InstanceId, held: Partition | None, number: int, index: int, now: Instant
    ) -> list[Effect]:
        """Send a part of a partition to its new owner.

        The keys are listed once, at the first part: a record that expires in between must not
        move another one into a part that has been sent.
        """
        if index == 0:
            self.fetched_record_ids[sender, number] = self.table.record_ids(number)
        ids = self.fetched_record_ids.get((sender, number))
        if ids is None:
            return []
        return [Send(sender, self._make_part(held, number, ids, index, now))]

    def _send_part(self, fill: BackupSync, now: Instant) -> Effect:
        held = fill.partition
        return Send(
            fill.backup, self._make_part(held, held.number, fill.record_ids, fill.part_index, now)
        )

    def _make_part(
        self, held: Partition | None, number: int, ids: list[RecordId], index: int, now: Instant
    ) -> PartitionCopy:
        size = self.context.settings.copy_records
        part = ids[index * size : (index + 1) * size]
        records = [self.table.export_record(record_id, now) for record_id in part]
        return PartitionCopy(
            self.context.own_epoch(),
            number,
            index,
            self._is_last(ids, index),
            held.key_time_floor if held is not None else 0.0,
            held.opaque_keys_unsafe_until if held is not None else 0.0,
            tuple(record for record in records if record is not None),
        )

    def _is_last(self, ids: list[RecordId], index: int) -> bool:
        return (index + 1) * self.context.settings.copy_records >= len(ids)
