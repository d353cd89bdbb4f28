"""Owner of requests with a key: the only instance that decides whether a request runs."""

from typing import Any

from chicorypost.base import Effect, InstanceId, Instant, Message, Send
from chicorypost.requests._admission import check_new_key
from chicorypost.requests._context import BalancerContext
from chicorypost.requests._events import ANSWER_DROPPED, KEY_REUSED, TABLE_FULL
from chicorypost.requests._interface import Chooser
from chicorypost.requests._messages import (
    AttemptResult,
    KeyRecord,
    OwnerAccepted,
    OwnerCancel,
    OwnerRequest,
    RecordAck,
    RecordState,
    RunAccepted,
)
from chicorypost.requests._open_request import (
    OpenRequest,
    RequestWaiter,
    fingerprint_of,
    result_of_record,
)
from chicorypost.requests._outcome import Outcome, Reason, RequestResult
from chicorypost.requests._placement import RecordId, partition_of
from chicorypost.requests._replicas import PartitionReplicas
from chicorypost.requests._settlement import RequestResolver
from chicorypost.upstreams import DispatchOutcome

MILLISECONDS_PER_SECOND = 1000
UNDECIDED_STATES = (RecordState.RUNNING, RecordState.FORGOTTEN)


class RequestOwner:
    """State machine of the keys that this instance owns.

    Parameters
    ----------
    context : BalancerContext
        Views, lease, settings and clock.
    replicas : PartitionReplicas
        The records, replicated to the backups.
    chooser : Chooser
        Chooses upstreams.

    """

    def __init__(
        self, context: BalancerContext, replicas: PartitionReplicas, chooser: Chooser
    ) -> None:
        self.context = context
        self.replicas = replicas
        self.table = replicas.table
        self.resolver = RequestResolver(context, replicas, chooser)
        self.writer = self.resolver.writer
        self.attempts = self.resolver.attempts
        self.open_requests = self.resolver.open_requests

    @property
    def is_idle(self) -> bool:
        """Whether the backups have every decision of this owner."""
        return all(open_request.is_replicated for open_request in self.open_requests.values())

    def handle_message(self, sender: InstanceId, message: Message, now: Instant) -> list[Effect]:
        """Handle a message from an entry, a backup or a runner."""
        if not self.context.has_valid_lease(now) and not isinstance(message, OwnerRequest):
            return []
        match message:
            case OwnerRequest():
                return self._handle_request(sender, message, now)
            case OwnerCancel(correlation=correlation):
                return self._handle_cancel(correlation, now)
            case RecordAck():
                return self._handle_ack(sender, message, now)
            case RunAccepted(attempt=attempt):
                self.attempts.mark_accepted(attempt)
            case AttemptResult():
                return self._handle_result(sender, message, now)
        return []

    # Requests

    def _handle_request(
        self, sender: InstanceId, message: OwnerRequest, now: Instant
    ) -> list[Effect]:
        record_id = (message.service, message.key)
        partition = partition_of(record_id)
        if not self.context.has_valid_lease(now) or not self.replicas.is_active(partition):
            not_ready = RequestResult(Outcome.TRY_AGAIN, Reason.OWNER_NOT_READY)
            return [self.resolver.reply_to_entry(sender, message.correlation, not_ready)]
        result = self._immediate_result(message, self.table.find_record(record_id), now)
        if result is None:
            return self._add_waiter(sender, message, now)
        effects = [self.resolver.reply_to_entry(sender, message.correlation, result)]
        if result.reason is Reason.KEY_REUSED:
            effects.append(KEY_REUSED.emit(service=message.service))
        if result.reason is Reason.TABLE_FULL:
            effects.append(
                TABLE_FULL.emit(service=message.service, records=self.table.record_count)
            )
        return effects

    def _immediate_result(
        self, message: OwnerRequest, record: KeyRecord | None, now: Instant
    ) -> RequestResult | None:
        """Return the result that is already certain, or None if the request must wait or run."""
        if record is None or record.state is RecordState.FORGOTTEN:
            return self._refuse_new_key(message, now)
        if record.fingerprint != fingerprint_of(message):
            return RequestResult(Outcome.REJECTED, Reason.KEY_REUSED)
        open_request = self.open_requests.get((message.service, message.key))
        has_too_many_waiters = (
            open_request is not None
            and message.correlation not in open_request.waiters
            and len(open_request.waiters) >= self.context.settings.max_waiters
        )
        if has_too_many_waiters:
            return RequestResult(Outcome.TRY_AGAIN, Reason.OVERLOADED)
        if record.state in UNDECIDED_STATES or (
            open_request is not None and not open_request.is_replicated
        ):
            return None
        return result_of_record(record)

    def _refuse_new_key(self, message: OwnerRequest, now: Instant) -> RequestResult | None:
        spec = self.context.find_service_spec(message.service)
        if spec is None:
            return RequestResult(Outcome.TRY_AGAIN, Reason.UNKNOWN_SERVICE)
        partition = self.replicas.partitions[partition_of((message.service, message.key))]
        refusal = check_new_key(message.key, spec, partition, self.context, now)
        if refusal is None and self.writer.is_full():
            return RequestResult(Outcome.TRY_AGAIN, Reason.TABLE_FULL)
        return refusal

    def _add_waiter(self, sender: InstanceId, message: OwnerRequest, now: Instant) -> list[Effect]:
        record_id = (message.service, message.key)
        margin = self.context.settings.answer_margin_seconds
        deadline = Instant(now + message.remaining_ms / MILLISECONDS_PER_SECOND - margin)
        record = self.table.find_record(record_id)
        is_first = record is None or record.state is RecordState.FORGOTTEN
        new_request = OpenRequest(
            record_id, deadline, is_inherited=not is_first, is_replicated=not is_first
        )
        open_request = self.open_requests.setdefault(record_id, new_request)
        open_request.deadline = max(open_request.deadline, deadline)
        open_request.request = message.request
        open_request.priority = message.priority
        open_request.cancel_at = None
        open_request.waiters[message.correlation] = RequestWaiter(sender, deadline)
        self.resolver.correlations[message.correlation] = record_id
        effects: list[Effect] = [Send(sender, OwnerAccepted(message.correlation))]
        if is_first:
            open_request.attempts = 0
            open_request.is_cancelled = False
            open_request.excluded_upstreams.clear()
            effects += self.resolver.begin_attempt(open_request, fingerprint_of(message), now)
        self.resolver.schedule_request(open_request, now)
        return effects

    def _handle_cancel(self, correlation: str, now: Instant) -> list[Effect]:
        record_id = self.resolver.correlations.pop(correlation, None)
        open_request = None if record_id is None else self.open_requests.get(record_id)
        if open_request is None:
            return []
        open_request.waiters.pop(correlation, None)
        if not open_request.waiters and open_request.cancel_at is None:
            open_request.cancel_at = Instant(now + self.context.settings.cancel_grace_seconds)
            self.resolver.schedule_request(open_request, now)
        return []

    # Backup and runners

    def _handle_ack(self, sender: InstanceId, ack: RecordAck, now: Instant) -> list[Effect]:
        open_request = self.open_requests.get((ack.service, ack.key))
        record = self.table.find_record((ack.service, ack.key))
        is_current = (
            open_request is not None
            and record is not None
            and ack.epoch == self.context.own_epoch()
            and ack.revision == record.revision
            and sender == self.replicas.backup_of(open_request.partition)
        )
        if open_request is None or record is None or not is_current or open_request.is_replicated:
            return []
        if not ack.is_stored:
            return self.resolver.handle_backup_full(open_request, record)
        open_request.is_replicated = True
        effects = self.resolver.advance_if_replicated(open_request, now)
        self.resolver.schedule_request(open_request, now)
        return effects

    def _handle_result(
        self, sender: InstanceId, result: AttemptResult, now: Instant
    ) -> list[Effect]:
        record_id = (result.service, result.key)
        if not self.replicas.is_active(partition_of(record_id)):
            return []
        record = self.table.find_record(record_id)
        if record is None or not _is_expected_result(record, sender, result):
            return self._discard_result(sender, result, record)
        open_request = self.open_requests.setdefault(record_id, OpenRequest(record_id, now))
        open_request.attempts_to_close.add((result.attempt, sender))
        effects = self.resolver.apply_result(open_request, record, result, now)
        self.resolver.schedule_request(open_request, now)
        return effects

    def _discard_result(
        self, sender: InstanceId, result: AttemptResult, record: KeyRecord | None
    ) -> list[Effect]:
        open_request = self.open_requests.get((result.service, result.key))
        if open_request is not None and (result.attempt, sender) in open_request.attempts_to_close:
            return []
        effects: list[Effect] = []
        if self.replicas.is_synced(partition_of((result.service, result.key))):
            effects.append(self.resolver.close_attempt(result.attempt, sender))
        if record is not None and record.attempt != result.attempt:
            effects.append(ANSWER_DROPPED.emit(attempt=result.attempt, sender=sender))
        return effects

    # Time and views

    def change_view(self, now: Instant) -> list[Effect]:
        """Adapt to a new view of any data centre, after `PartitionReplicas` has installed it."""
        effects: list[Effect] = []
        for open_request in list(self.open_requests.values()):
            if not self.replicas.is_active(open_request.partition):
                record = self.table.find_record(open_request.record_id)
                if record is not None:
                    self.writer.close_attempt(record.attempt)
                self.resolver.drop_request(open_request)
                continue
            effects += self._adapt_to_view(open_request, now)
        return effects + self.take_over_partitions(now)

    def _adapt_to_view(self, open_request: OpenRequest, now: Instant) -> list[Effect]:
        record = self.table.find_record(open_request.record_id)
        if record is None or not self.context.has_valid_lease(now):
            return []
        if record.state is RecordState.RUNNING and not self._is_runner_in_view(record):
            return self._abandon_runner(open_request, record, now)
        if not open_request.is_replicated:
            open_request.is_replicated = self.replicas.backup_of(open_request.partition) is None
            return self.writer.send_to_backup(
                open_request, now
            ) + self.resolver.advance_if_replicated(open_request, now)
        return []

    def _is_runner_in_view(self, record: KeyRecord) -> bool:
        return self.context.is_in_any_view((record.runner, record.runner_incarnation))

    def _abandon_runner(
        self, open_request: OpenRequest, record: KeyRecord, now: Instant
    ) -> list[Effect]:
        """Close an attempt whose runner has left every view.

        The outcome is unknown if the attempt may have been sent; otherwise another one begins.
        """
        self.writer.close_attempt(record.attempt)
        if open_request.is_dispatched or open_request.is_inherited:
            return self.resolver.record_unknown(open_request, now)
        return self.resolver.begin_attempt(open_request, record.fingerprint, now)

    def take_over_partitions(self, now: Instant) -> list[Effect]:
        """Resume the open requests of partitions that this instance has just become owner of."""
        effects: list[Effect] = []
        for number, is_lost in self.replicas.pop_activated():
            for record_id in self.table.record_ids(number):
                effects += self._take_over_request(record_id, is_lost, now)
        return effects

    def _take_over_request(self, record_id: RecordId, is_lost: bool, now: Instant) -> list[Effect]:
        record = self.table.find_record(record_id)
        if record is not None and record.state is RecordState.FORGOTTEN:
            self.table.remove_record(record_id)
            return []
        if record is None or record.state is not RecordState.RUNNING:
            return []
        open_request = self.open_requests[record_id] = OpenRequest(
            record_id, now, is_inherited=True, is_replicated=True
        )
        if is_lost or not self._is_runner_in_view(record):
            return self.resolver.record_unknown(open_request, now)
        self.resolver.schedule_request(open_request, now)
        return [self.attempts.query_attempt(record)]

    def tick(self, now: Instant) -> list[Effect]:
        """Resend unacknowledged messages and apply deadlines."""
        effects: list[Effect] = []
        for record_id in self.resolver.deadlines.pop_due(now):
            open_request = self.open_requests.get(record_id)
            if open_request is None:
                continue
            if self.context.has_valid_lease(now):
                effects += self._advance(open_request, now)
            longest = self.context.settings.max_resend_seconds
            open_request.resend_seconds = min(longest, open_request.resend_seconds * 2)
            self.resolver.schedule_request(open_request, now)
        return effects

    def _advance(self, open_request: OpenRequest, now: Instant) -> list[Effect]:
        record = self.table.find_record(open_request.record_id)
        if record is None:
            return self.resolver.drop_request(open_request)
        if record.state is not RecordState.RUNNING:
            return self.writer.send_to_backup(
                open_request, now
            ) + self.resolver.advance_if_replicated(open_request, now)
        if not self._is_runner_in_view(record):
            return self._abandon_runner(open_request, record, now)
        effects = self._cancel_if_due(open_request, record, now)
        if not open_request.is_dispatched and not open_request.is_inherited:
            if now >= open_request.deadline or open_request.is_cancelled:
                return self.resolver.write_tombstone(open_request, now)
            return (
                effects
                + self.writer.send_to_backup(open_request, now)
                + self.resolver.advance_if_replicated(open_request, now)
            )
        if now >= open_request.deadline and open_request.waiters:
            running = RequestResult(Outcome.OUTCOME_UNKNOWN, Reason.STILL_RUNNING)
            effects += self.resolver.reply_to_waiters(open_request, running)
        return (
            effects
            + self.writer.send_to_backup(open_request, now)
            + self.attempts.repeat_attempt(open_request, record, now)
        )

    def _cancel_if_due(
        self, open_request: OpenRequest, record: KeyRecord, now: Instant
    ) -> list[Effect]:
        if (
            open_request.cancel_at is None
            or now < open_request.cancel_at
            or open_request.is_cancelled
        ):
            return []
        open_request.is_cancelled = True
        return self.attempts.cancel_attempt(open_request, record)

    def next_deadline(self) -> Instant | None:
        """Return when `tick` is due next, or None."""
        return self.resolver.deadlines.earliest()

    def dump(self) -> dict[str, Any]:
        """Return the open requests as JSON-compatible values."""
        return {
            "closed_below": self.writer.closed_below,
            "told": dict(self.resolver.outcome_counts),
            "works": [
                _dump_open_request(open_request) for open_request in self.open_requests.values()
            ],
        }


def _dump_open_request(open_request: OpenRequest) -> dict[str, Any]:
    return {
        "service": open_request.service,
        "key": open_request.key,
        "deadline": open_request.deadline,
        "waiters": len(open_request.waiters),
        "attempts": open_request.attempts,
        "kept": open_request.is_replicated,
        "dispatched": open_request.is_dispatched,
        "inherited": open_request.is_inherited,
        "cancelled": open_request.is_cancelled,
    }


def _is_expected_result(record: KeyRecord, sender: InstanceId, result: AttemptResult) -> bool:
    if record.attempt != result.attempt or record.runner != sender:
        return False
    if record.state is RecordState.UNKNOWN:
        return result.outcome is DispatchOutcome.RESPONDED
    return record.state is RecordState.RUNNING
