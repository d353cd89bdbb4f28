"""What the owner decides about a key, and whom it tells."""

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
    """The unfinished requests of an owner and the steps that bring them to an end.

    Parameters
    ----------
    context : BalancerContext
        Views, lease, settings and clock.
    replicas : PartitionReplicas
        The records, kept complete at the backup.
    chooser : Chooser
        Choice of upstreams.

    Notes
    -----
    Invariants: an attempt is sent to its runner only after the backup has the record that names
    it; a further attempt is made only after the runner has said that the former one did not start
    and will not; not-run is said only after the backup has the tombstone; a result is closed at
    the runner only after the backup has it. The owner does nothing of this without a lease.
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

    def begin_attempt(self, work: OpenRequest, fingerprint: int, now: Instant) -> list[Effect]:
        """Record and send a first or further attempt, or end the request without one."""
        started = self.attempts.begin_attempt(work, fingerprint, now)
        if isinstance(started, RequestResult):
            return self.end_unstarted(work, started, now)
        return started + self.advance_if_replicated(work, now)

    def advance_if_replicated(self, work: OpenRequest, now: Instant) -> list[Effect]:
        """Do what waited for the backup to have the record."""
        record = self.table.find_record(work.record_id)
        if record is None:
            return self.drop_request(work)
        if not work.is_replicated or not self.replicas.has_no_stale_backup(work.partition):
            return []
        effects: list[Effect] = [
            self.close_attempt(*each) for each in sorted(work.attempts_to_close)
        ]
        work.attempts_to_close.clear()
        if record.state is RecordState.RUNNING:
            return effects + self._dispatch_attempt(work, record, now)
        if record.state is RecordState.FORGOTTEN:
            self.table.remove_record(work.record_id)
            return effects + self.drop_request(work)
        return (
            effects
            + self.reply_to_waiters(work, result_of_record(record))
            + self.drop_request(work)
        )

    def _dispatch_attempt(self, work: OpenRequest, record: KeyRecord, now: Instant) -> list[Effect]:
        if work.is_dispatched or work.is_inherited:
            return []
        if now >= work.deadline or work.is_cancelled:
            return self.write_tombstone(work, now)
        return self.attempts.dispatch_attempt(work, record, now)

    def close_attempt(self, attempt: AttemptId, runner: InstanceId) -> Effect:
        """Close an attempt at its runner."""
        self.writer.close_attempt(attempt)
        return Send(runner, AttemptClosed(attempt))

    def end_unstarted(
        self, work: OpenRequest, verdict: RequestResult, now: Instant
    ) -> list[Effect]:
        """End a request of which nothing has started and nothing will."""
        if self.table.find_record(work.record_id) is None:
            return self.reply_to_waiters(work, verdict) + self.drop_request(work)
        if now >= work.deadline or work.is_cancelled:
            return self.write_tombstone(work, now)
        effects = self.reply_to_waiters(work, verdict)
        effects += self.writer.change_state(work, RecordState.FORGOTTEN, now)
        return effects + self.advance_if_replicated(work, now)

    def write_tombstone(self, work: OpenRequest, now: Instant) -> list[Effect]:
        """Put a tombstone on the key; callers hear not-run once the backup has it."""
        return self.writer.change_state(
            work, RecordState.NOT_RUN, now
        ) + self.advance_if_replicated(work, now)

    def handle_backup_full(self, work: OpenRequest, record: KeyRecord) -> list[Effect]:
        """End a request for whose record the backup has no room."""
        if record.state is not RecordState.RUNNING or work.is_dispatched or work.is_inherited:
            return []
        self.writer.close_attempt(record.attempt)
        self.table.remove_record(work.record_id)
        full = RequestResult(Outcome.TRY_AGAIN, Reason.TABLE_FULL)
        emitted = TABLE_FULL.emit(service=work.service, records=self.table.record_count)
        return [*self.reply_to_waiters(work, full), *self.drop_request(work), emitted]

    def apply_result(
        self, work: OpenRequest, record: KeyRecord, result: AttemptResult, now: Instant
    ) -> list[Effect]:
        """Act on the result of the current attempt."""
        match result.outcome:
            case DispatchOutcome.RESPONDED:
                done = RequestResult(Outcome.DONE, Reason.ANSWERED, result.response)
                effects = self.writer.change_state(work, RecordState.DONE, now, result.response)
                # The caller needs no copy at the backup: the runner keeps the answer until then.
                return (
                    effects
                    + self.reply_to_waiters(work, done)
                    + self.advance_if_replicated(work, now)
                )
            case DispatchOutcome.UNKNOWN:
                return self.record_unknown(work, now)
        if work.upstream is not None:
            work.excluded_upstreams.add(work.upstream)
        may_retry = work.request is not None and work.waiters and now < work.deadline
        if may_retry and not work.is_cancelled and self.attempts.may_retry(work):
            return self.begin_attempt(work, record.fingerprint, now)
        overloaded = RequestResult(
            Outcome.TRY_AGAIN, Reason.OVERLOADED, retry_after_ms=result.retry_after_ms
        )
        return self.end_unstarted(work, overloaded, now)

    def record_unknown(self, work: OpenRequest, now: Instant) -> list[Effect]:
        """Record that an attempt may have run and its answer won't come."""
        lost = RequestResult(Outcome.OUTCOME_UNKNOWN, Reason.ANSWER_LOST)
        effects = self.writer.change_state(work, RecordState.UNKNOWN, now)
        return effects + self.reply_to_waiters(work, lost) + self.advance_if_replicated(work, now)

    def reply_to_entry(self, entry: InstanceId, correlation: str, verdict: RequestResult) -> Effect:
        """Return the answer to one entry."""
        self.outcome_counts[verdict.outcome.value] += 1
        wait = verdict.retry_after_ms
        wait = wait or round(self.context.settings.retry_after_seconds * MILLISECONDS_PER_SECOND)
        return Send(
            entry,
            OwnerAnswer(correlation, verdict.outcome, verdict.reason, verdict.response, wait),
        )

    def reply_to_waiters(self, work: OpenRequest, verdict: RequestResult) -> list[Effect]:
        """Answer every entry that waits."""
        effects = [
            self.reply_to_entry(waiter.entry, correlation, verdict)
            for correlation, waiter in work.waiters.items()
        ]
        for correlation in work.waiters:
            self.correlations.pop(correlation, None)
        work.waiters.clear()
        return effects

    def drop_request(self, work: OpenRequest) -> list[Effect]:
        """End the work on a key; its record stays."""
        for correlation in work.waiters:
            self.correlations.pop(correlation, None)
        self.open_requests.pop(work.record_id, None)
        self.deadlines.clear_deadline(work.record_id)
        return []

    def schedule_request(self, work: OpenRequest, now: Instant) -> None:
        """Set when the work on a key is looked at next."""
        if self.open_requests.get(work.record_id) is not work:
            return
        settings = self.context.settings
        work.resend_seconds = work.resend_seconds or settings.resend_seconds
        at = [now + work.resend_seconds]
        if work.cancel_at is not None and now < work.cancel_at:
            at.append(work.cancel_at)
        if now < work.deadline:
            at.append(work.deadline)
        self.deadlines.set_deadline(work.record_id, Instant(min(at)))
