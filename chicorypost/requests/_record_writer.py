"""Writes the records of owned keys and replicates them to the backup."""

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
"""Clocks whose skew the retention must outlast: those of the writer and of a later owner."""


class RecordWriter:
    """Writes records, assigns their revisions and numbers the attempts of this owner.

    Parameters
    ----------
    context : BalancerContext
        Settings and views.
    replicas : PartitionReplicas
        Record table and backup of each partition.
    """

    def __init__(self, context: BalancerContext, replicas: PartitionReplicas) -> None:
        self.context = context
        self.replicas = replicas
        self.next_attempt_number = 1
        self.next_revision = 1
        self.open_attempts: dict[AttemptId, int] = {}

    def open_attempt(self) -> AttemptId:
        """Return the id of a new attempt, which is open until `close_attempt`."""
        attempt = make_attempt_id(self.context.self_key, self.next_attempt_number)
        self.open_attempts[attempt] = self.next_attempt_number
        self.next_attempt_number += 1
        return attempt

    def close_attempt(self, attempt: AttemptId) -> None:
        """Mark an attempt as closed: it is not sent again, and late copies must not run."""
        self.open_attempts.pop(attempt, None)

    @property
    def closed_below(self) -> int:
        """The number below which all attempts of this owner are closed."""
        return min(self.open_attempts.values(), default=self.next_attempt_number)

    def is_full(self) -> bool:
        """Whether this instance owns the maximum number of records."""
        table = self.replicas.table.partitions
        owned = (
            len(table.get(partition.number, ()))
            for partition in self.replicas.partitions.values()
            if partition.is_owned
        )
        return sum(owned) >= self.context.settings.max_records

    def write_record(
        self, open_request: OpenRequest, record: KeyRecord, now: Instant
    ) -> list[Effect]:
        """Store a record with a new revision and send it to the backup."""
        revision = (int(self.context.own_epoch()), self.next_revision)
        self.next_revision += 1
        retention_ms = round(self._retention_seconds(open_request) * MILLISECONDS_PER_SECOND)
        new_record = msgspec.structs.replace(record, revision=revision, expires_in_ms=retention_ms)
        self.replicas.table.put_record(new_record, now)
        open_request.is_replicated = self.replicas.backup_of(open_request.partition) is None
        return self.send_to_backup(open_request, now)

    def change_state(
        self,
        open_request: OpenRequest,
        state: RecordState,
        now: Instant,
        response: HttpResponse | None = None,
    ) -> list[Effect]:
        """Write the record of a key with another state, and with the response if it may be kept."""
        record = self.replicas.table.find_record(open_request.record_id)
        assert record is not None, "open request without a record"
        kept_response = (
            response if response is not None and self._can_keep_response(response) else None
        )
        changed = msgspec.structs.replace(record, state=state, response=kept_response)
        return self.write_record(open_request, changed, now)

    def send_to_backup(self, open_request: OpenRequest, now: Instant) -> list[Effect]:
        """Send the record of a key to the backup unless the backup has its current revision."""
        backup = self.replicas.backup_of(open_request.partition)
        record = self.replicas.table.export_record(open_request.record_id, now)
        if open_request.is_replicated or backup is None or record is None:
            return []
        return [
            Send(backup, RecordUpdate(self.context.own_epoch(), open_request.partition, record))
        ]

    def _can_keep_response(self, response: HttpResponse) -> bool:
        settings = self.context.settings
        size = len(response.body)
        total = self.replicas.table.response_bytes + size
        return size <= settings.max_answer_bytes and total <= settings.max_kept_bytes

    def _retention_seconds(self, open_request: OpenRequest) -> float:
        settings = self.context.settings
        spec = self.context.find_service_spec(open_request.service)
        retention = spec.retention_seconds if spec is not None else 0.0
        skew = CLOCKS_COMPARED * settings.clock_skew_seconds
        return retention + settings.key_ahead_seconds + skew
