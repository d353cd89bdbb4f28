"""Attempts of the owner: choice of an upstream, messages to its runner."""

from chicorypost.base import AttemptId, Effect, Instant, Member, Send, Upstream
from chicorypost.requests._context import BalancerContext
from chicorypost.requests._interface import Chooser
from chicorypost.requests._messages import (
    AttemptQuery,
    KeyRecord,
    RecordState,
    RunAttempt,
    RunCancel,
)
from chicorypost.requests._open_request import OpenRequest
from chicorypost.requests._outcome import Outcome, Reason, RequestResult
from chicorypost.requests._record_writer import RecordWriter
from chicorypost.upstreams import NoUpstream, dispatcher_of

MILLISECONDS_PER_SECOND = 1000
NO_REVISION = (0, 0)


class OwnerAttempts:
    """Makes, sends, asks for and cancels the attempts of an owner.

    Parameters
    ----------
    context : BalancerContext
        Views, lease and settings.
    ledger : Ledger
        The records.
    chooser : Chooser
        Choice of upstreams.
    """

    def __init__(self, context: BalancerContext, ledger: RecordWriter, chooser: Chooser) -> None:
        self.context = context
        self.writer = ledger
        self.chooser = chooser
        self.accepted_attempts: set[AttemptId] = set()

    def may_retry(self, work: OpenRequest) -> bool:
        """Return whether a request that did not start may have a further attempt."""
        return work.attempts < self.context.settings.max_attempts

    def begin_attempt(
        self, work: OpenRequest, fingerprint: int, now: Instant
    ) -> list[Effect] | RequestResult:
        """Record a new attempt at a chosen upstream, or say why there is none."""
        spec = self.context.find_service_spec(work.service)
        if spec is None:
            return RequestResult(Outcome.TRY_AGAIN, Reason.UNKNOWN_SERVICE)
        upstream = self.chooser.choose(spec.selector.service, work.excluded_upstreams, now)
        runner = None if isinstance(upstream, NoUpstream) else self._find_runner(upstream)
        if isinstance(upstream, NoUpstream) or runner is None:
            return RequestResult(Outcome.TRY_AGAIN, Reason.NO_UPSTREAM)
        work.upstream = upstream.upstream
        work.attempts += 1
        work.is_dispatched = False
        work.is_inherited = False
        work.resend_seconds = 0.0
        record = KeyRecord(
            work.service,
            work.key,
            fingerprint,
            NO_REVISION,
            RecordState.RUNNING,
            self.writer.open_attempt(),
            runner.instance,
            runner.incarnation,
            None,
            0,
        )
        return self.writer.write_record(work, record, now)

    def _find_runner(self, upstream: Upstream) -> Member | None:
        placement = self.context.placements.get(upstream.data_centre)
        return None if placement is None else dispatcher_of(placement.view, upstream.upstream)

    def dispatch_attempt(self, work: OpenRequest, record: KeyRecord, now: Instant) -> list[Effect]:
        """Send the attempt to its runner, with no more time than the lease has left to start."""
        lease_end = self.context.lease_end
        if lease_end is None or work.request is None or work.upstream is None:
            return []
        work.is_dispatched = True
        run = RunAttempt(
            record.attempt,
            self.context.member.incarnation,
            self.writer.open_attempts[record.attempt],
            self.writer.closed_below,
            record.runner_incarnation,
            work.service,
            work.key,
            work.upstream,
            work.priority,
            int((lease_end - now) * MILLISECONDS_PER_SECOND),
            int((work.deadline - now) * MILLISECONDS_PER_SECOND),
            work.request,
        )
        return [Send(record.runner, run)]

    def mark_accepted(self, attempt: AttemptId) -> None:
        """Note that the runner has the attempt."""
        if attempt in self.writer.open_attempts:
            self.accepted_attempts.add(attempt)

    def repeat_attempt(self, work: OpenRequest, record: KeyRecord, now: Instant) -> list[Effect]:
        """Send the attempt again, or ask for it once it has arrived or is too late."""
        is_sent = record.attempt in self.accepted_attempts
        self.accepted_attempts &= self.writer.open_attempts.keys()
        if is_sent or work.is_inherited or work.is_cancelled or now >= work.deadline:
            return [self.query_attempt(record)]
        return self.dispatch_attempt(work, record, now)

    def query_attempt(self, record: KeyRecord) -> Effect:
        """Ask the runner how the attempt ended; one that has not arrived never runs."""
        query = AttemptQuery(record.attempt, record.runner_incarnation, record.service, record.key)
        return Send(record.runner, query)

    def cancel_attempt(self, work: OpenRequest, record: KeyRecord) -> list[Effect]:
        """Cancel the attempt at its runner."""
        if not work.is_dispatched and not work.is_inherited:
            return []
        return [Send(record.runner, RunCancel(record.attempt))]
