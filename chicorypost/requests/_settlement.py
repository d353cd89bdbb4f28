"""What the owner decides about a key, and whom it tells."""

from collections import Counter

from chicorypost.base import AttemptId, Effect, InstanceId, Instant, Send
from chicorypost.requests._alarms import Alarms
from chicorypost.requests._attempts import Attempts
from chicorypost.requests._context import BalancerContext
from chicorypost.requests._events import TABLE_FULL
from chicorypost.requests._interface import Chooser
from chicorypost.requests._ledger import Ledger
from chicorypost.requests._messages import (
    AttemptClosed,
    AttemptResult,
    KeyRecord,
    OwnerAnswer,
    RecordState,
)
from chicorypost.requests._outcome import Outcome, Reason, Verdict
from chicorypost.requests._placement import RecordId
from chicorypost.requests._replicas import PartitionReplicas
from chicorypost.requests._work import Work, verdict_of
from chicorypost.upstreams import DispatchOutcome

MILLISECONDS = 1000


class Settlement:
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
        self.ledger = Ledger(context, replicas)
        self.attempts = Attempts(context, self.ledger, chooser)
        self.works: dict[RecordId, Work] = {}
        self.correlations: dict[str, RecordId] = {}
        self.alarms: Alarms[RecordId] = Alarms()
        self.told: Counter[str] = Counter()

    def begin(self, work: Work, fingerprint: int, now: Instant) -> list[Effect]:
        """Record and send a first or further attempt, or end the request without one."""
        started = self.attempts.begin(work, fingerprint, now)
        if isinstance(started, Verdict):
            return self.give_up(work, started, now)
        return started + self.go_on(work, now)

    def go_on(self, work: Work, now: Instant) -> list[Effect]:
        """Do what waited for the backup to have the record."""
        record = self.table.find(work.record_id)
        if record is None:
            return self.drop(work)
        if not work.is_kept or not self.replicas.is_released(work.partition):
            return []
        effects: list[Effect] = [self.close(*each) for each in sorted(work.to_close)]
        work.to_close.clear()
        if record.state is RecordState.RUNNING:
            return effects + self._dispatch(work, record, now)
        if record.state is RecordState.FORGOTTEN:
            self.table.remove(work.record_id)
            return effects + self.drop(work)
        return effects + self.tell(work, verdict_of(record)) + self.drop(work)

    def _dispatch(self, work: Work, record: KeyRecord, now: Instant) -> list[Effect]:
        if work.is_dispatched or work.is_inherited:
            return []
        if now >= work.deadline or work.is_cancelled:
            return self.bury(work, now)
        return self.attempts.dispatch(work, record, now)

    def close(self, attempt: AttemptId, runner: InstanceId) -> Effect:
        """Close an attempt at its runner."""
        self.ledger.close(attempt)
        return Send(runner, AttemptClosed(attempt))

    def give_up(self, work: Work, verdict: Verdict, now: Instant) -> list[Effect]:
        """End a request of which nothing has started and nothing will."""
        if self.table.find(work.record_id) is None:
            return self.tell(work, verdict) + self.drop(work)
        if now >= work.deadline or work.is_cancelled:
            return self.bury(work, now)
        effects = self.tell(work, verdict)
        effects += self.ledger.change(work, RecordState.FORGOTTEN, now)
        return effects + self.go_on(work, now)

    def bury(self, work: Work, now: Instant) -> list[Effect]:
        """Put a tombstone on the key; callers hear not-run once the backup has it."""
        return self.ledger.change(work, RecordState.NOT_RUN, now) + self.go_on(work, now)

    def refuse_full(self, work: Work, record: KeyRecord) -> list[Effect]:
        """End a request for whose record the backup has no room."""
        if record.state is not RecordState.RUNNING or work.is_dispatched or work.is_inherited:
            return []
        self.ledger.close(record.attempt)
        self.table.remove(work.record_id)
        full = Verdict(Outcome.TRY_AGAIN, Reason.TABLE_FULL)
        emitted = TABLE_FULL.emit(service=work.service, records=self.table.count)
        return [*self.tell(work, full), *self.drop(work), emitted]

    def settle(
        self, work: Work, record: KeyRecord, result: AttemptResult, now: Instant
    ) -> list[Effect]:
        """Act on the result of the current attempt."""
        match result.outcome:
            case DispatchOutcome.RESPONDED:
                done = Verdict(Outcome.DONE, Reason.ANSWERED, result.response)
                effects = self.ledger.change(work, RecordState.DONE, now, result.response)
                # The caller needs no copy at the backup: the runner keeps the answer until then.
                return effects + self.tell(work, done) + self.go_on(work, now)
            case DispatchOutcome.UNKNOWN:
                return self.lose(work, now)
        if work.upstream is not None:
            work.excluded.add(work.upstream)
        may_retry = work.request is not None and work.waiters and now < work.deadline
        if may_retry and not work.is_cancelled and self.attempts.may_retry(work):
            return self.begin(work, record.fingerprint, now)
        overloaded = Verdict(
            Outcome.TRY_AGAIN, Reason.OVERLOADED, retry_after_ms=result.retry_after_ms
        )
        return self.give_up(work, overloaded, now)

    def lose(self, work: Work, now: Instant) -> list[Effect]:
        """Record that an attempt may have run and its answer won't come."""
        lost = Verdict(Outcome.OUTCOME_UNKNOWN, Reason.ANSWER_LOST)
        effects = self.ledger.change(work, RecordState.UNKNOWN, now)
        return effects + self.tell(work, lost) + self.go_on(work, now)

    def answer(self, entry: InstanceId, correlation: str, verdict: Verdict) -> Effect:
        """Return the answer to one entry."""
        self.told[verdict.outcome.value] += 1
        wait = verdict.retry_after_ms
        wait = wait or round(self.context.settings.retry_after_seconds * MILLISECONDS)
        return Send(
            entry,
            OwnerAnswer(correlation, verdict.outcome, verdict.reason, verdict.response, wait),
        )

    def tell(self, work: Work, verdict: Verdict) -> list[Effect]:
        """Answer every entry that waits."""
        effects = [
            self.answer(waiter.entry, correlation, verdict)
            for correlation, waiter in work.waiters.items()
        ]
        for correlation in work.waiters:
            self.correlations.pop(correlation, None)
        work.waiters.clear()
        return effects

    def drop(self, work: Work) -> list[Effect]:
        """End the work on a key; its record stays."""
        for correlation in work.waiters:
            self.correlations.pop(correlation, None)
        self.works.pop(work.record_id, None)
        self.alarms.clear(work.record_id)
        return []

    def schedule(self, work: Work, now: Instant) -> None:
        """Set when the work on a key is looked at next."""
        if self.works.get(work.record_id) is not work:
            return
        settings = self.context.settings
        work.resend_seconds = work.resend_seconds or settings.resend_seconds
        at = [now + work.resend_seconds]
        if work.cancel_at is not None and now < work.cancel_at:
            at.append(work.cancel_at)
        if now < work.deadline:
            at.append(work.deadline)
        self.alarms.set(work.record_id, Instant(min(at)))
