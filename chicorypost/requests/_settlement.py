"""Decisions of the owner about a key, and the replies to the waiting entries."""

from collections import Counter

from chicorypost.base import AttemptId, Effect, InstanceId, Instant, Send
from chicorypost.requests._attempts import OwnerAttempts
from chicorypost.requests._context import BalancerContext
from chicorypost.requests._deadlines import DeadlineQueue
from chicorypost.requests._events import TABLE_FULL
from chicorypost.requests._interface import Chooser
from chicorypost.requests._messages import (
    AttemptClosed,
    AttemptResult,
    KeyRecord,
    OwnerAnswer,
    RecordState,
)
from chicorypost.requests._open_request import OpenRequest, result_of_record
from chicorypost.requests._outcome import Outcome, Reason, RequestResult
from chicorypost.requests._placement import RecordId
from chicorypost.requests._record_writer import RecordWriter
from chicorypost.requests._replicas import PartitionReplicas
from chicorypost.upstreams import DispatchOutcome

MILLISECONDS_PER_SECOND = 1000


class RequestResolver:
    """The open requests of an owner and the steps that complete them.

    Parameters
    ----------
    context : BalancerContext
        Views, lease, settings and clock.
    replicas : PartitionReplicas
        The records, replicated to the backups.
    chooser : Chooser
        Chooses upstreams.

    Notes
    -----
    Invariants: an attempt is sent to its runner only after the backup has the record that names
    it; another attempt is made only after the runner has reported that the previous one did not
    start and never will; not-run is sent only after the backup has the tombstone; a result is
    closed at the runner only after the backup has it. The owner takes none of these steps without
    a lease.
    """

    def __init__(
        self, context: BalancerContext, replicas: PartitionReplicas, chooser: Chooser
    ) -> None:
        self.context = context
        self.replicas = replicas
        self.table = replicas.table
        self.writer = RecordWriter(context, replicas)
        self.attempts = OwnerAttempts(context, self.writer, chooser)
        self.open_requests: dict[RecordId, OpenRequest] = {}
        self.correlations: dict[str, RecordId] = {}
        self.deadlines: DeadlineQueue[RecordId] = DeadlineQueue()
        self.outcome_counts: Counter[str] = Counter()

    def begin_attempt(
        self, open_request: OpenRequest, fingerprint: int, now: Instant
    ) -> list[Effect]:
        """Record and send an attempt, or end the request if none is possible."""
        started = self.attempts.begin_attempt(open_request, fingerprint, now)
        if isinstance(started, RequestResult):
            return self.end_unstarted(open_request, started, now)
        return started + self.advance_if_replicated(open_request, now)

    def advance_if_replicated(self, open_request: OpenRequest, now: Instant) -> list[Effect]:
        """Take the next step of a request if the backup has its record."""
        record = self.table.find_record(open_request.record_id)
        if record is None:
            return self.drop_request(open_request)
        if not open_request.is_replicated or not self.replicas.has_no_stale_backup(
            open_request.partition
        ):
            return []
        effects: list[Effect] = [
            self.close_attempt(*each) for each in sorted(open_request.attempts_to_close)
        ]
        open_request.attempts_to_close.clear()
        if record.state is RecordState.RUNNING:
            return effects + self._dispatch_attempt(open_request, record, now)
        if record.state is RecordState.FORGOTTEN:
            self.table.remove_record(open_request.record_id)
            return effects + self.drop_request(open_request)
        return (
            effects
            + self.reply_to_waiters(open_request, result_of_record(record))
            + self.drop_request(open_request)
        )

    def _dispatch_attempt(
        self, open_request: OpenRequest, record: KeyRecord, now: Instant
    ) -> list[Effect]:
        if open_request.is_dispatched or open_request.is_inherited:
            return []
        if now >= open_request.deadline or open_request.is_cancelled:
            return self.write_tombstone(open_request, now)
        return self.attempts.dispatch_attempt(open_request, record, now)

    def close_attempt(self, attempt: AttemptId, runner: InstanceId) -> Effect:
        """Close an attempt here and at its runner."""
        self.writer.close_attempt(attempt)
        return Send(runner, AttemptClosed(attempt))

    def end_unstarted(
        self, open_request: OpenRequest, result: RequestResult, now: Instant
    ) -> list[Effect]:
        """End a request of which no attempt has started and none will."""
        if self.table.find_record(open_request.record_id) is None:
            return self.reply_to_waiters(open_request, result) + self.drop_request(open_request)
        if now >= open_request.deadline or open_request.is_cancelled:
            return self.write_tombstone(open_request, now)
        effects = self.reply_to_waiters(open_request, result)
        effects += self.writer.change_state(open_request, RecordState.FORGOTTEN, now)
        return effects + self.advance_if_replicated(open_request, now)

    def write_tombstone(self, open_request: OpenRequest, now: Instant) -> list[Effect]:
        """Write a tombstone for the key; not-run is sent once the backup has it."""
        return self.writer.change_state(
            open_request, RecordState.NOT_RUN, now
        ) + self.advance_if_replicated(open_request, now)

    def handle_backup_full(self, open_request: OpenRequest, record: KeyRecord) -> list[Effect]:
        """End a request whose record the backup refused because its table is full."""
        if (
            record.state is not RecordState.RUNNING
            or open_request.is_dispatched
            or open_request.is_inherited
        ):
            return []
        self.writer.close_attempt(record.attempt)
        self.table.remove_record(open_request.record_id)
        table_full = RequestResult(Outcome.TRY_AGAIN, Reason.TABLE_FULL)
        event = TABLE_FULL.emit(service=open_request.service, records=self.table.record_count)
        return [
            *self.reply_to_waiters(open_request, table_full),
            *self.drop_request(open_request),
            event,
        ]

    def apply_result(
        self, open_request: OpenRequest, record: KeyRecord, result: AttemptResult, now: Instant
    ) -> list[Effect]:
        """Apply the result of the current attempt."""
        match result.outcome:
            case DispatchOutcome.RESPONDED:
                done = RequestResult(Outcome.DONE, Reason.ANSWERED, result.response)
                effects = self.writer.change_state(
                    open_request, RecordState.DONE, now, result.response
                )
                # The reply need not wait for the backup: the runner keeps the response until then.
                return (
                    effects
                    + self.reply_to_waiters(open_request, done)
                    + self.advance_if_replicated(open_request, now)
                )
            case DispatchOutcome.UNKNOWN:
                return self.record_unknown(open_request, now)
        if open_request.upstream is not None:
            open_request.excluded_upstreams.add(open_request.upstream)
        may_retry = (
            open_request.request is not None
            and open_request.waiters
            and now < open_request.deadline
        )
        if may_retry and not open_request.is_cancelled and self.attempts.may_retry(open_request):
            return self.begin_attempt(open_request, record.fingerprint, now)
        overloaded = RequestResult(
            Outcome.TRY_AGAIN, Reason.OVERLOADED, retry_after_ms=result.retry_after_ms
        )
        return self.end_unstarted(open_request, overloaded, now)

    def record_unknown(self, open_request: OpenRequest, now: Instant) -> list[Effect]:
        """Record that an attempt may have run and that its response is lost."""
        lost = RequestResult(Outcome.OUTCOME_UNKNOWN, Reason.ANSWER_LOST)
        effects = self.writer.change_state(open_request, RecordState.UNKNOWN, now)
        return (
            effects
            + self.reply_to_waiters(open_request, lost)
            + self.advance_if_replicated(open_request, now)
        )

    def reply_to_entry(self, entry: InstanceId, correlation: str, result: RequestResult) -> Effect:
        """Return the reply to one entry and count its outcome."""
        self.outcome_counts[result.outcome.value] += 1
        retry_after_ms = result.retry_after_ms
        retry_after_ms = retry_after_ms or round(
            self.context.settings.retry_after_seconds * MILLISECONDS_PER_SECOND
        )
        return Send(
            entry,
            OwnerAnswer(
                correlation, result.outcome, result.reason, result.response, retry_after_ms
            ),
        )

    def reply_to_waiters(self, open_request: OpenRequest, result: RequestResult) -> list[Effect]:
        """Reply to every waiting entry."""
        effects = [
            self.reply_to_entry(waiter.entry, correlation, result)
            for correlation, waiter in open_request.waiters.items()
        ]
        for correlation in open_request.waiters:
            self.correlations.pop(correlation, None)
        open_request.waiters.clear()
        return effects

    def drop_request(self, open_request: OpenRequest) -> list[Effect]:
        """Remove an open request; its record stays."""
        for correlation in open_request.waiters:
            self.correlations.pop(correlation, None)
        self.open_requests.pop(open_request.record_id, None)
        self.deadlines.clear_deadline(open_request.record_id)
        return []

    def schedule_request(self, open_request: OpenRequest, now: Instant) -> None:
        """Set the next deadline of an open request."""
        if self.open_requests.get(open_request.record_id) is not open_request:
            return
        settings = self.context.settings
        open_request.resend_seconds = open_request.resend_seconds or settings.resend_seconds
        at = [now + open_request.resend_seconds]
        if open_request.cancel_at is not None and now < open_request.cancel_at:
            at.append(open_request.cancel_at)
        if now < open_request.deadline:
            at.append(open_request.deadline)
        self.deadlines.set_deadline(open_request.record_id, Instant(min(at)))
