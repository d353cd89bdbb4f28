"""The records that an instance holds, by partition."""

from dataclasses import dataclass

from chicorypost.base import Instant
from chicorypost.requests._deadlines import DeadlineQueue
from chicorypost.requests._messages import KeyRecord, RecordState
from chicorypost.requests._placement import RecordId, partition_of

MILLISECONDS_PER_SECOND = 1000


@dataclass(slots=True)
class StoredRecord:
    """A record and when it ends."""

    record: KeyRecord
    expires_at: Instant


class RecordTable:
    """Records by partition, with a count, the bytes of kept answers and expiry."""

    def __init__(self) -> None:
        self.partitions: dict[int, dict[RecordId, StoredRecord]] = {}
        self.expiry_deadlines: DeadlineQueue[RecordId] = DeadlineQueue()
        self.record_count = 0
        self.response_bytes = 0

    def find_record(self, record_id: RecordId) -> KeyRecord | None:
        """Return the record of a key, or None."""
        held = self.partitions.get(partition_of(record_id), {}).get(record_id)
        return None if held is None else held.record

    def record_ids(self, partition: int) -> list[RecordId]:
        """Return the keys of a partition."""
        return list(self.partitions.get(partition, ()))

    def put_record(self, record: KeyRecord, now: Instant) -> None:
        """Keep a record unless one with a greater revision is held."""
        record_id = (record.service, record.key)
        held = self.partitions.setdefault(partition_of(record_id), {})
        former = held.get(record_id)
        if former is not None and former.record.revision > record.revision:
            return
        self.record_count += former is None
        self.response_bytes += _response_bytes(record)
        self.response_bytes -= _response_bytes(None if former is None else former.record)
        expires_at = Instant(now + record.expires_in_ms / MILLISECONDS_PER_SECOND)
        held[record_id] = StoredRecord(record, expires_at)
        self.expiry_deadlines.set_deadline(record_id, expires_at)

    def remove_record(self, record_id: RecordId) -> None:
        """Drop the record of a key if there is one."""
        held = self.partitions.get(partition_of(record_id), {}).pop(record_id, None)
        if held is not None:
            self.record_count -= 1
            self.response_bytes -= _response_bytes(held.record)
            self.expiry_deadlines.clear_deadline(record_id)

    def clear_partition(self, partition: int) -> None:
        """Drop all records of a partition."""
        for record_id in self.record_ids(partition):
            self.remove_record(record_id)
        self.partitions.pop(partition, None)

    def export_record(self, record_id: RecordId, now: Instant) -> KeyRecord | None:
        """Return a record with its remaining time, as it travels to another instance."""
        held = self.partitions.get(partition_of(record_id), {}).get(record_id)
        if held is None:
            return None
        remaining = max(0, round((held.expires_at - now) * MILLISECONDS_PER_SECOND))
        record = held.record
        return KeyRecord(
            record.service,
            record.key,
            record.fingerprint,
            record.revision,
            record.state,
            record.attempt,
            record.runner,
            record.runner_incarnation,
            record.response,
            remaining,
        )

    def pop_expired(self, now: Instant) -> list[RecordId]:
        """Remove records whose time is over and return their keys; one that runs is kept."""
        expired = []
        for record_id in self.expiry_deadlines.pop_due(now):
            record = self.find_record(record_id)
            if record is None:
                continue
            if record.state is RecordState.RUNNING:
                self.put_record(record, now)
                continue
            self.remove_record(record_id)
            expired.append(record_id)
        return expired


def _response_bytes(record: KeyRecord | None) -> int:
    return 0 if record is None or record.response is None else len(record.response.body)
