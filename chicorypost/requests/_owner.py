"""Owner of keyed requests: the only one that decides whether a request runs."""

from typing import Any

from chicorypost.base import Effect, InstanceId, Instant, Message, Send
from chicorypost.requests._admission import refuse_new_key
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
from chicorypost.requests._outcome import Outcome, Reason, Verdict
from chicorypost.requests._placement import RecordId, partition_of
from chicorypost.requests._replicas import PartitionReplicas
from chicorypost.requests._settlement import Settlement
from chicorypost.requests._work import Waiter, Work, fingerprint_of, verdict_of
from chicorypost.upstreams import DispatchOutcome

MILLISECONDS = 1000
UNSETTLED = (RecordState.RUNNING, RecordState.FORGOTTEN)


class RequestOwner:
    """State machine of the keys that this instance owns.

    Parameters
    ----------
    context : BalancerContext
        Views, lease, settings and clock.
    replicas : PartitionReplicas
        The records, kept complete at the backup.
    chooser : Chooser
        Choice of upstreams.

    """

    def __init__(
        self, context: BalancerContext, replicas: PartitionReplicas, chooser: Chooser
    ) -> None:
        self.context = context
        self.replicas = replicas
        self.table = replicas.table
        self.settlement = Settlement(context, replicas, chooser)
        self.ledger = self.settlement.ledger
        self.attempts = self.settlement.attempts
        self.works = self.settlement.works

    @property
    def idle(self) -> bool:
        """Whether the backups have everything that was decided here."""
        return all(work.is_kept for work in self.works.values())

    def receive(self, sender: InstanceId, message: Message, now: Instant) -> list[Effect]:
        """Take a message of an entry, the backup or a runner."""
        if not self.context.may_act(now) and not isinstance(message, OwnerRequest):
            return []
        match message:
            case OwnerRequest():
                return self._take_request(sender, message, now)
            case OwnerCancel(correlation=correlation):
                return self._take_cancel(correlation, now)
            case RecordAck():
                return self._take_ack(sender, message, now)
            case RunAccepted(attempt=attempt):
                self.attempts.mark_accepted(attempt)
            case AttemptResult():
                return self._take_result(sender, message, now)
        return []

    # Requests

    def _take_request(
        self, sender: InstanceId, message: OwnerRequest, now: Instant
    ) -> list[Effect]:
        record_id = (message.service, message.key)
        partition = partition_of(record_id)
        if not self.context.may_act(now) or not self.replicas.is_active(partition):
            not_ready = Verdict(Outcome.TRY_AGAIN, Reason.OWNER_NOT_READY)
            return [self.settlement.answer(sender, message.correlation, not_ready)]
        verdict = self._known_verdict(message, self.table.find(record_id), now)
        if verdict is None:
            return self._attach(sender, message, now)
        effects = [self.settlement.answer(sender, message.correlation, verdict)]
        if verdict.reason is Reason.KEY_REUSED:
            effects.append(KEY_REUSED.emit(service=message.service))
        if verdict.reason is Reason.TABLE_FULL:
            effects.append(TABLE_FULL.emit(service=message.service, records=self.table.count))
        return effects

    def _known_verdict(
        self, message: OwnerRequest, record: KeyRecord | None, now: Instant
    ) -> Verdict | None:
        """Return what is certain at once, or None if the request has to wait or to run."""
        if record is None or record.state is RecordState.FORGOTTEN:
            return self._verdict_of_new(message, now)
        if record.fingerprint != fingerprint_of(message):
            return Verdict(Outcome.REJECTED, Reason.KEY_REUSED)
        work = self.works.get((message.service, message.key))
        is_crowded = (
            work is not None
            and message.correlation not in work.waiters
            and len(work.waiters) >= self.context.settings.max_waiters
        )
        if is_crowded:
            return Verdict(Outcome.TRY_AGAIN, Reason.OVERLOADED)
        if record.state in UNSETTLED or (work is not None and not work.is_kept):
            return None
        return verdict_of(record)

    def _verdict_of_new(self, message: OwnerRequest, now: Instant) -> Verdict | None:
        spec = self.context.spec(message.service)
        if spec is None:
            return Verdict(Outcome.TRY_AGAIN, Reason.UNKNOWN_SERVICE)
        partition = self.replicas.partitions[partition_of((message.service, message.key))]
        refusal = refuse_new_key(message.key, spec, partition, self.context, now)
        if refusal is None and self.ledger.is_full():
            return Verdict(Outcome.TRY_AGAIN, Reason.TABLE_FULL)
        return refusal

    def _attach(self, sender: InstanceId, message: OwnerRequest, now: Instant) -> list[Effect]:
        record_id = (message.service, message.key)
        margin = self.context.settings.answer_margin_seconds
        deadline = Instant(now + message.remaining_ms / MILLISECONDS - margin)
        record = self.table.find(record_id)
        is_first = record is None or record.state is RecordState.FORGOTTEN
        fresh = Work(record_id, deadline, is_inherited=not is_first, is_kept=not is_first)
        work = self.works.setdefault(record_id, fresh)
        work.deadline = max(work.deadline, deadline)
        work.request = message.request
        work.priority = message.priority
        work.cancel_at = None
        work.waiters[message.correlation] = Waiter(sender, deadline)
        self.settlement.correlations[message.correlation] = record_id
        effects: list[Effect] = [Send(sender, OwnerAccepted(message.correlation))]
        if is_first:
            work.attempts = 0
            work.is_cancelled = False
            work.excluded.clear()
            effects += self.settlement.begin(work, fingerprint_of(message), now)
        self.settlement.schedule(work, now)
        return effects

    def _take_cancel(self, correlation: str, now: Instant) -> list[Effect]:
        record_id = self.settlement.correlations.pop(correlation, None)
        work = None if record_id is None else self.works.get(record_id)
        if work is None:
            return []
        work.waiters.pop(correlation, None)
        if not work.waiters and work.cancel_at is None:
            work.cancel_at = Instant(now + self.context.settings.cancel_grace_seconds)
            self.settlement.schedule(work, now)
        return []

    # Backup and runners

    def _take_ack(self, sender: InstanceId, ack: RecordAck, now: Instant) -> list[Effect]:
        work = self.works.get((ack.service, ack.key))
        record = self.table.find((ack.service, ack.key))
        is_current = (
            work is not None
            and record is not None
            and ack.epoch == self.context.own_epoch()
            and ack.revision == record.revision
            and sender == self.replicas.backup_of(work.partition)
        )
        if work is None or record is None or not is_current or work.is_kept:
            return []
        if not ack.kept:
            return self.settlement.refuse_full(work, record)
        work.is_kept = True
        effects = self.settlement.go_on(work, now)
        self.settlement.schedule(work, now)
        return effects

    def _take_result(self, sender: InstanceId, result: AttemptResult, now: Instant) -> list[Effect]:
        record_id = (result.service, result.key)
        if not self.replicas.is_active(partition_of(record_id)):
            return []
        record = self.table.find(record_id)
        if record is None or not _is_wanted(record, sender, result):
            return self._drop_result(sender, result, record)
        work = self.works.setdefault(record_id, Work(record_id, now))
        work.to_close.add((result.attempt, sender))
        effects = self.settlement.settle(work, record, result, now)
        self.settlement.schedule(work, now)
        return effects

    def _drop_result(
        self, sender: InstanceId, result: AttemptResult, record: KeyRecord | None
    ) -> list[Effect]:
        work = self.works.get((result.service, result.key))
        if work is not None and (result.attempt, sender) in work.to_close:
            return []
        effects: list[Effect] = []
        if self.replicas.is_synced(partition_of((result.service, result.key))):
            effects.append(self.settlement.close(result.attempt, sender))
        if record is not None and record.attempt != result.attempt:
            effects.append(ANSWER_DROPPED.emit(attempt=result.attempt, sender=sender))
        return effects

    # Time and views

    def change_view(self, now: Instant) -> list[Effect]:
        """Adapt to a new view of any data centre; `PartitionReplicas` has taken it before."""
        effects: list[Effect] = []
        for work in list(self.works.values()):
            if not self.replicas.is_active(work.partition):
                record = self.table.find(work.record_id)
                if record is not None:
                    self.ledger.close(record.attempt)
                self.settlement.drop(work)
                continue
            effects += self._adapt(work, now)
        return effects + self.take_over(now)

    def _adapt(self, work: Work, now: Instant) -> list[Effect]:
        record = self.table.find(work.record_id)
        if record is None or not self.context.may_act(now):
            return []
        if record.state is RecordState.RUNNING and not self._has_runner(record):
            return self._leave_runner(work, record, now)
        if not work.is_kept:
            work.is_kept = self.replicas.backup_of(work.partition) is None
            return self.ledger.send(work, now) + self.settlement.go_on(work, now)
        return []

    def _has_runner(self, record: KeyRecord) -> bool:
        return self.context.is_live((record.runner, record.runner_incarnation))

    def _leave_runner(self, work: Work, record: KeyRecord, now: Instant) -> list[Effect]:
        """Give up an attempt whose runner has left every view."""
        self.ledger.close(record.attempt)
        if work.is_dispatched or work.is_inherited:
            return self.settlement.lose(work, now)
        return self.settlement.begin(work, record.fingerprint, now)

    def take_over(self, now: Instant) -> list[Effect]:
        """Go on with the unfinished requests of partitions that this instance now owns."""
        effects: list[Effect] = []
        for number, is_lost in self.replicas.take_activated():
            for record_id in self.table.ids(number):
                effects += self._inherit(record_id, is_lost, now)
        return effects

    def _inherit(self, record_id: RecordId, is_lost: bool, now: Instant) -> list[Effect]:
        record = self.table.find(record_id)
        if record is not None and record.state is RecordState.FORGOTTEN:
            self.table.remove(record_id)
            return []
        if record is None or record.state is not RecordState.RUNNING:
            return []
        work = self.works[record_id] = Work(record_id, now, is_inherited=True, is_kept=True)
        if is_lost or not self._has_runner(record):
            return self.settlement.lose(work, now)
        self.settlement.schedule(work, now)
        return [self.attempts.query(record)]

    def tick(self, now: Instant) -> list[Effect]:
        """Repeat what is unanswered and act on deadlines."""
        effects: list[Effect] = []
        for record_id in self.settlement.alarms.pop_due(now):
            work = self.works.get(record_id)
            if work is None:
                continue
            if self.context.may_act(now):
                effects += self._advance(work, now)
            longest = self.context.settings.max_resend_seconds
            work.resend_seconds = min(longest, work.resend_seconds * 2)
            self.settlement.schedule(work, now)
        return effects

    def _advance(self, work: Work, now: Instant) -> list[Effect]:
        record = self.table.find(work.record_id)
        if record is None:
            return self.settlement.drop(work)
        if record.state is not RecordState.RUNNING:
            return self.ledger.send(work, now) + self.settlement.go_on(work, now)
        if not self._has_runner(record):
            return self._leave_runner(work, record, now)
        effects = self._cancel_if_due(work, record, now)
        if not work.is_dispatched and not work.is_inherited:
            if now >= work.deadline or work.is_cancelled:
                return self.settlement.bury(work, now)
            return effects + self.ledger.send(work, now) + self.settlement.go_on(work, now)
        if now >= work.deadline and work.waiters:
            running = Verdict(Outcome.OUTCOME_UNKNOWN, Reason.STILL_RUNNING)
            effects += self.settlement.tell(work, running)
        return effects + self.ledger.send(work, now) + self.attempts.repeat(work, record, now)

    def _cancel_if_due(self, work: Work, record: KeyRecord, now: Instant) -> list[Effect]:
        if work.cancel_at is None or now < work.cancel_at or work.is_cancelled:
            return []
        work.is_cancelled = True
        return self.attempts.cancel(work, record)

    def next_deadline(self) -> Instant | None:
        """Return when `tick` is wanted next."""
        return self.settlement.alarms.earliest()

    def dump(self) -> dict[str, Any]:
        """Return the unfinished requests as values that JSON can hold."""
        return {
            "closed_below": self.ledger.closed_below,
            "told": dict(self.settlement.told),
            "works": [_dump_work(work) for work in self.works.values()],
        }


def _dump_work(work: Work) -> dict[str, Any]:
    return {
        "service": work.service,
        "key": work.key,
        "deadline": work.deadline,
        "waiters": len(work.waiters),
        "attempts": work.attempts,
        "kept": work.is_kept,
        "dispatched": work.is_dispatched,
        "inherited": work.is_inherited,
        "cancelled": work.is_cancelled,
    }


def _is_wanted(record: KeyRecord, sender: InstanceId, result: AttemptResult) -> bool:
    if record.attempt != result.attempt or record.runner != sender:
        return False
    if record.state is RecordState.UNKNOWN:
        return result.outcome is DispatchOutcome.RESPONDED
    return record.state is RecordState.RUNNING
