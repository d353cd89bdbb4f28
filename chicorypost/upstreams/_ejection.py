"""Outlier ejection based on the outcomes of requests."""

from dataclasses import dataclass
from typing import Any

from chicorypost.base import Effect, Instant, ServiceId, UpstreamId
from chicorypost.upstreams._events import UPSTREAM_EJECTED, UPSTREAM_READMITTED
from chicorypost.upstreams._exchanges import AttemptRefusalReason
from chicorypost.upstreams._messages import DispatchOutcome, DispatchReply
from chicorypost.upstreams._settings import ChooserSettings

MIN_SERVER_ERROR_STATUS = 500


@dataclass(slots=True)
class OutcomeHistory:
    """Recent request outcomes and ejection state of an upstream."""

    service: ServiceId
    consecutive_failures: int = 0
    consecutive_successes: int = 0
    ejection_count: int = 0
    ejected_until: Instant | None = None
    is_on_probation: bool = False


class OutlierEjection:
    """Temporarily excludes upstreams after several consecutive failures.

    A refused attempt does not count as a failure, because it indicates load and not a fault. At
    most a configured share of a service's upstreams is ejected at a time, so that a fault in all
    of them or in a shared dependency does not leave the service without upstreams.
    """

    def __init__(self, settings: ChooserSettings) -> None:
        self.settings = settings
        self.histories: dict[UpstreamId, OutcomeHistory] = {}

    def observe_reply(
        self, reply: DispatchReply, upstream_count: int, service: ServiceId, now: Instant
    ) -> list[Effect]:
        """Record an outcome and return the effects.

        `upstream_count` is the number of upstreams of the service.
        """
        if reply.outcome is DispatchOutcome.NOT_STARTED:
            return []
        history = self.histories.setdefault(reply.upstream, OutcomeHistory(service))
        if not _has_failed(reply):
            return self._record_success(reply.upstream, history)
        history.consecutive_failures += 1
        history.consecutive_successes = 0
        limit = 1 if history.is_on_probation else self.settings.ejection_failures
        if history.consecutive_failures < limit or self.is_ejected(reply.upstream, now):
            return []
        if not self._may_eject_upstream(service, upstream_count, now):
            return []
        return self._eject_upstream(reply.upstream, history, now)

    def is_ejected(self, name: UpstreamId, now: Instant) -> bool:
        """Return whether an upstream is currently ejected."""
        history = self.histories.get(name)
        return (
            history is not None
            and history.ejected_until is not None
            and now < history.ejected_until
        )

    def probation_weight(self, name: UpstreamId) -> float:
        """Return 1, or on probation the fraction of the required successes reached so far."""
        history = self.histories.get(name)
        if history is None or not history.is_on_probation:
            return 1.0
        return history.consecutive_successes / self.settings.probation_answers

    def forget_upstream(self, name: UpstreamId) -> None:
        """Drop the history of an upstream that was removed or restarted."""
        self.histories.pop(name, None)

    def dump(self) -> dict[str, Any]:
        """Return the ends of ejections by upstream, as JSON-compatible values."""
        return {
            name: history.ejected_until
            for name, history in self.histories.items()
            if history.ejected_until is not None
        }

    def _record_success(self, name: UpstreamId, history: OutcomeHistory) -> list[Effect]:
        history.consecutive_failures = 0
        history.consecutive_successes += 1
        if (
            not history.is_on_probation
            or history.consecutive_successes < self.settings.probation_answers
        ):
            return []
        history.is_on_probation = False
        history.ejection_count = 0
        history.ejected_until = None
        return [UPSTREAM_READMITTED.emit(upstream=name)]

    def _may_eject_upstream(self, service: ServiceId, upstream_count: int, now: Instant) -> bool:
        ejected = sum(
            history.service == service and self.is_ejected(name, now)
            for name, history in self.histories.items()
        )
        return ejected + 1 <= self.settings.max_ejected_share * upstream_count

    def _eject_upstream(
        self, name: UpstreamId, history: OutcomeHistory, now: Instant
    ) -> list[Effect]:
        seconds = self.settings.ejection_seconds * 2**history.ejection_count
        seconds = min(seconds, self.settings.max_ejection_seconds)
        history.ejection_count = min(history.ejection_count + 1, self.settings.max_doublings)
        history.consecutive_failures = 0
        history.ejected_until = Instant(now + seconds)
        history.is_on_probation = True
        return [UPSTREAM_EJECTED.emit(upstream=name, seconds=seconds)]


def _has_failed(reply: DispatchReply) -> bool:
    if reply.outcome is DispatchOutcome.UNKNOWN:
        return reply.reason != AttemptRefusalReason.CANCELLED.value
    return reply.response is not None and reply.response.status >= MIN_SERVER_ERROR_STATUS
