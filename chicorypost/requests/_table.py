"""The records that an instance holds, by partition."""

from dataclasses import dataclass

from chicorypost.base import Instant
from chicorypost.requests._alarms import Alarms
from chicorypost.requests._messages import KeyRecord, RecordState
from chicorypost.requests._placement import RecordId, partition_of

MILLISECONDS = 1000


@dataclass(slots=True)
class HeldRecord:
    """A record and when it ends."""

    record: KeyRecord
    expires_at: Instant


class RecordTable:
    """Records by partition, with a count, the bytes of kept answers and expiry."""

    def __init__(self) -> None:
        self.partitions: dict[int, dict[RecordId, HeldRecord]] = {}
        self.expiries: Alarms[RecordId] = Alarms()
        self.count = 0
        self.kept_bytes = 0

    def find(self, record_id: RecordId) -> KeyRecord | None:
        """Return the record of a key, or None."""
        held = self.partitions.get(partition_of(record_id), {}).get(record_id)
        return None if held is None else held.record

    def ids(self, partition: int) -> list[RecordId]:
        """Return the keys of a partition."""
        return list(self.partitions.get(partition, ()))

    def put(self, record: KeyRecord, now: Instant) -> None:
        """Keep a record unless one with a greater revision is held."""
        record_id = (record.service, record.key)
        held = self.partitions.setdefault(partition_of(record_id), {})
        former = held.get(record_id)
        if former is not None and former.record.revision > record.revision:
            return
        self.count += former is None
        self.kept_bytes += _answer_bytes(record)
        self.kept_bytes -= _answer_bytes(None if former is None else former.record)
        expires_at = Instant(now + record.expires_in_ms / MILLISECONDS)
        held[record_id] = HeldRecord(record, expires_at)
        self.expiries.set(record_id, expires_at)

    def remove(self, record_id: RecordId) -> None:
        """Drop the record of a key if there is one."""
        held = self.partitions.get(partition_of(record_id), {}).pop(record_id, None)
        if held is not None:
            self.count -= 1
            self.kept_bytes -= _answer_bytes(held.record)
            self.expiries.clear(record_id)

    def clear(self, partition: int) -> None:
        """Drop all records of a partition."""
        for record_id in self.ids(partition):
            self.remove(record_id)
        self.partitions.pop(partition, None)

    def export(self, record_id: RecordId, now: Instant) -> KeyRecord | None:
        """Return a record with its remaining time, as it travels to another instance."""
        held = self.partitions.get(partition_of(record_id), {}).get(record_id)
        if held is None:
            return None
        remaining = max(0, round((held.expires_at - now) * MILLISECONDS))
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
        for record_id in self.expiries.pop_due(now):
            record = self.find(record_id)
            if record is None:
                continue
            if record.state is RecordState.RUNNING:
                self.put(record, now)
                continue
            self.remove(record_id)
            expired.append(record_id)
        return expired


def _answer_bytes(record: KeyRecord | None) -> int:
    return 0 if record is None or record.response is None else len(record.response.body)
