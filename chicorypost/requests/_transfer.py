"""Transfer of partitions in parts, to a new owner on request and to a new backup."""

from dataclasses import dataclass

from chicorypost.base import Effect, InstanceId, Instant, Send
from chicorypost.requests._context import BalancerContext
from chicorypost.requests._messages import PartitionCopy, PartitionCopyAck
from chicorypost.requests._partition import Partition, PartitionRole
from chicorypost.requests._placement import RecordId
from chicorypost.requests._table import RecordTable


@dataclass(slots=True)
class BackupSync:
    """Synchronisation of the backup of one partition: parts are sent one after another."""

    partition: Partition
    backup: InstanceId
    record_ids: list[RecordId]
    part_index: int = 0


class PartitionTransfers:
    """Sends complete partitions to new backups and parts of partitions to new owners.

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
        """Whether any backup is being synchronised."""
        return bool(self.backup_syncs)

    def start_syncs(self, partitions: list[Partition], now: Instant) -> list[Effect]:
        """Synchronise the backups of these partitions; a running synchronisation continues."""
        syncs = {}
        started = []
        placement = self.context.own_placement()
        for partition in partitions:
            backup = None if placement is None else placement.backup(partition.number)
            if backup is None:
                continue
            sync = self.backup_syncs.get(partition.number)
            if sync is None or sync.backup != backup[0]:
                sync = BackupSync(partition, backup[0], self.table.record_ids(partition.number))
                started.append(sync)
            syncs[partition.number] = sync
        self.backup_syncs = syncs
        return [self._send_part(sync, now) for sync in started]

    def reset_transfers(self) -> None:
        """Drop all transfers: acknowledgements and fetches of previous epochs are ignored."""
        self.backup_syncs = {}
        self.fetched_record_ids = {}

    def repeat_parts(self, now: Instant) -> list[Effect]:
        """Resend the unacknowledged part of each synchronisation."""
        return [self._send_part(sync, now) for sync in self.backup_syncs.values()]

    def handle_ack(
        self, partition: Partition | None, ack: PartitionCopyAck, now: Instant
    ) -> list[Effect]:
        """Handle an acknowledgement: send the next part, or mark the backup as synchronised."""
        sync = self.backup_syncs.get(ack.partition)
        if partition is None or sync is None or sync.part_index != ack.index:
            return []
        if self._is_last(sync.record_ids, sync.part_index):
            del self.backup_syncs[ack.partition]
            partition.is_backup_synced = partition.role is PartitionRole.ACTIVE
            return []
        sync.part_index += 1
        return [self._send_part(sync, now)]

    def reply_to_fetch(
        self, sender: InstanceId, partition: Partition | None, number: int, index: int, now: Instant
    ) -> list[Effect]:
        """Send a part of a partition to its new owner.

        The keys are listed once, at the first part: otherwise the expiry of a record could move
        another one into a part that has already been sent.
        """
        if index == 0:
            self.fetched_record_ids[sender, number] = self.table.record_ids(number)
        ids = self.fetched_record_ids.get((sender, number))
        if ids is None:
            return []
        return [Send(sender, self._make_part(partition, number, ids, index, now))]

    def _send_part(self, sync: BackupSync, now: Instant) -> Effect:
        partition = sync.partition
        return Send(
            sync.backup,
            self._make_part(partition, partition.number, sync.record_ids, sync.part_index, now),
        )

    def _make_part(
        self,
        partition: Partition | None,
        number: int,
        ids: list[RecordId],
        index: int,
        now: Instant,
    ) -> PartitionCopy:
        size = self.context.settings.copy_records
        part = ids[index * size : (index + 1) * size]
        records = [self.table.export_record(record_id, now) for record_id in part]
        return PartitionCopy(
            self.context.own_epoch(),
            number,
            index,
            self._is_last(ids, index),
            partition.key_time_floor if partition is not None else 0.0,
            partition.opaque_keys_unsafe_until if partition is not None else 0.0,
            tuple(record for record in records if record is not None),
        )

    def _is_last(self, ids: list[RecordId], index: int) -> bool:
        return (index + 1) * self.context.settings.copy_records >= len(ids)
