"""Attempts of a key's owner: choice of an upstream and messages to the runner."""

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
    """Creates, sends, queries and cancels the attempts of an owner.

    Parameters
    ----------
    context : BalancerContext
        Views, lease and settings.
    writer : RecordWriter
        Writes records and replicates them.
    chooser : Chooser
        Chooses upstreams.
    """

    def __init__(self, context: BalancerContext, writer: RecordWriter, chooser: Chooser) -> None:
        self.context = context
        self.writer = writer
        self.chooser = chooser
        self.accepted_attempts: set[AttemptId] = set()

    def may_retry(self, open_request: OpenRequest) -> bool:
        """Return whether a request whose attempt did not start may have another attempt."""
        return open_request.attempts < self.context.settings.max_attempts

    def begin_attempt(
        self, open_request: OpenRequest, fingerprint: int, now: Instant
    ) -> list[Effect] | RequestResult:
        """Record a new attempt at a chosen upstream, or return the result if none is possible."""
        spec = self.context.find_service_spec(open_request.service)
        if spec is None:
            return RequestResult(Outcome.TRY_AGAIN, Reason.UNKNOWN_SERVICE)
        upstream = self.chooser.choose(spec.selector.service, open_request.excluded_upstreams, now)
        runner = None if isinstance(upstream, NoUpstream) else self._find_runner(upstream)
        if isinstance(upstream, NoUpstream) or runner is None:
            return RequestResult(Outcome.TRY_AGAIN, Reason.NO_UPSTREAM)
        open_request.upstream = upstream.upstream
        open_request.attempts += 1
        open_request.is_dispatched = False
        open_request.is_inherited = False
        open_request.resend_seconds = 0.0
        record = KeyRecord(
            open_request.service,
            open_request.key,
            fingerprint,
            NO_REVISION,
            RecordState.RUNNING,
            self.writer.open_attempt(),
            runner.instance,
            runner.incarnation,
            None,
            0,
        )
        return self.writer.write_record(open_request, record, now)

    def _find_runner(self, upstream: Upstream) -> Member | None:
        placement = self.context.placements.get(upstream.data_centre)
        return None if placement is None else dispatcher_of(placement.view, upstream.upstream)

    def dispatch_attempt(
        self, open_request: OpenRequest, record: KeyRecord, now: Instant
    ) -> list[Effect]:
        """Send the attempt to its runner, which must start it before the owner's lease ends."""
        lease_end = self.context.lease_end
        if lease_end is None or open_request.request is None or open_request.upstream is None:
            return []
        open_request.is_dispatched = True
        run = RunAttempt(
            record.attempt,
            self.context.member.incarnation,
            self.writer.open_attempts[record.attempt],
            self.writer.closed_below,
            record.runner_incarnation,
            open_request.service,
            open_request.key,
            open_request.upstream,
            open_request.priority,
            int((lease_end - now) * MILLISECONDS_PER_SECOND),
            int((open_request.deadline - now) * MILLISECONDS_PER_SECOND),
            open_request.request,
        )
        return [Send(record.runner, run)]

    def mark_accepted(self, attempt: AttemptId) -> None:
        """Record that the runner has acknowledged the attempt."""
        if attempt in self.writer.open_attempts:
            self.accepted_attempts.add(attempt)

    def repeat_attempt(
        self, open_request: OpenRequest, record: KeyRecord, now: Instant
    ) -> list[Effect]:
        """Resend the attempt, or query it if the runner has it or it must not start any more."""
        is_accepted = record.attempt in self.accepted_attempts
        self.accepted_attempts &= self.writer.open_attempts.keys()
        if (
            is_accepted
            or open_request.is_inherited
            or open_request.is_cancelled
            or now >= open_request.deadline
        ):
            return [self.query_attempt(record)]
        return self.dispatch_attempt(open_request, record, now)

    def query_attempt(self, record: KeyRecord) -> Effect:
        """Query the result of the attempt; the runner excludes one that it has not received."""
        query = AttemptQuery(record.attempt, record.runner_incarnation, record.service, record.key)
        return Send(record.runner, query)

    def cancel_attempt(self, open_request: OpenRequest, record: KeyRecord) -> list[Effect]:
        """Cancel the attempt at its runner."""
        if not open_request.is_dispatched and not open_request.is_inherited:
            return []
        return [Send(record.runner, RunCancel(record.attempt))]
