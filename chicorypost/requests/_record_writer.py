"""Writes the records of owned keys and sends them to the backup."""

import msgspec

from chicorypost.base import AttemptId, Effect, Instant, Send
from chicorypost.requests._context import BalancerContext
from chicorypost.requests._messages import KeyRecord, RecordState, RecordUpdate
from chicorypost.requests._open_request import OpenRequest
from chicorypost.requests._replicas import PartitionReplicas
from chicorypost.requests._runner import make_attempt_id
from chicorypost.upstreams import HttpResponse

MILLISECONDS_PER_SECOND = 1000
CLOCKS_COMPARED = 2
"""Clocks whose skew a retention must outlast: that of the writer and that of a later owner."""


class RecordWriter:
    """Records of this owner, with their revisions and the numbers of its attempts.

    Parameters
    ----------
    context : BalancerContext
        Settings and views.
    replicas : PartitionReplicas
        Where records are held, and who the backup is.
    """

    def __init__(self, context: BalancerContext, replicas: PartitionReplicas) -> None:
        self.context = context
        self.replicas = replicas
        self.next_attempt_number = 1
        self.next_revision = 1
        self.open_attempts: dict[AttemptId, int] = {}

    def open_attempt(self) -> AttemptId:
        """Return the id of a new attempt; it is open until `close`."""
        attempt = make_attempt_id(self.context.self_key, self.next_attempt_number)
        self.open_attempts[attempt] = self.next_attempt_number
        self.next_attempt_number += 1
        return attempt

    def close_attempt(self, attempt: AttemptId) -> None:
        """Count an attempt as over: no copy of it is sent any more and none may run."""
        self.open_attempts.pop(attempt, None)

    @property
    def closed_below(self) -> int:
        """The number below which all attempts of this owner are over."""
        return min(self.open_attempts.values(), default=self.next_attempt_number)

    def is_full(self) -> bool:
        """Whether this instance owns as many records as it may."""
        table = self.replicas.table.partitions
        owned = (
            len(table.get(held.number, ()))
            for held in self.replicas.partitions.values()
            if held.is_owned
        )
        return sum(owned) >= self.context.settings.max_records

    def write_record(self, work: OpenRequest, record: KeyRecord, now: Instant) -> list[Effect]:
        """Keep a record with a new revision and send it to the backup."""
        revision = (int(self.context.own_epoch()), self.next_revision)
        self.next_revision += 1
        retention = round(self._retention_seconds(work) * MILLISECONDS_PER_SECOND)
        fresh = msgspec.structs.replace(record, revision=revision, expires_in_ms=retention)
        self.replicas.table.put_record(fresh, now)
        work.is_replicated = self.replicas.backup_of(work.partition) is None
        return self.send_to_backup(work, now)

    def change_state(
        self,
        work: OpenRequest,
        state: RecordState,
        now: Instant,
        response: HttpResponse | None = None,
    ) -> list[Effect]:
        """Move the record of a key to another state."""
        record = self.replicas.table.find_record(work.record_id)
        assert record is not None, "work without a record"
        kept = response if response is not None and self._can_keep_response(response) else None
        changed = msgspec.structs.replace(record, state=state, response=kept)
        return self.write_record(work, changed, now)

    def send_to_backup(self, work: OpenRequest, now: Instant) -> list[Effect]:
        """Send the record of a key to the backup unless it is kept there."""
        backup = self.replicas.backup_of(work.partition)
        record = self.replicas.table.export_record(work.record_id, now)
        if work.is_replicated or backup is None or record is None:
            return []
        return [Send(backup, RecordUpdate(self.context.own_epoch(), work.partition, record))]

    def _can_keep_response(self, response: HttpResponse) -> bool:
        settings = self.context.settings
        size = len(response.body)
        total = self.replicas.table.response_bytes + size
        return size <= settings.max_answer_bytes and total <= settings.max_kept_bytes

    def _retention_seconds(self, work: OpenRequest) -> float:
        settings = self.context.settings
        spec = self.context.find_service_spec(work.service)
        retention = spec.retention_seconds if spec is not None else 0.0
        skew = CLOCKS_COMPARED * settings.clock_skew_seconds
        return retention + settings.key_ahead_seconds + skew
