"""Outlier ejection by the outcomes of requests."""

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
    """What the last answers of an upstream were."""

    service: ServiceId
    consecutive_failures: int = 0
    consecutive_successes: int = 0
    ejection_count: int = 0
    ejected_until: Instant | None = None
    is_on_probation: bool = False


class OutlierEjection:
    """Upstreams that failed several times in a row and get no requests for a while.

    A refusal that nothing was started is no failure: it shows load, not a fault. No more than a
    set share of a service's upstreams is ejected at a time, so that a fault of all of them, or of
    something they share, doesn't leave the service without any.
    """

    def __init__(self, settings: ChooserSettings) -> None:
        self.settings = settings
        self.histories: dict[UpstreamId, OutcomeHistory] = {}

    def observe_reply(
        self, answer: DispatchReply, peers: int, service: ServiceId, now: Instant
    ) -> list[Effect]:
        """Count an outcome; `peers` is the number of the service's upstreams."""
        if answer.outcome is DispatchOutcome.NOT_STARTED:
            return []
        record = self.histories.setdefault(answer.upstream, OutcomeHistory(service))
        if not _has_failed(answer):
            return self._record_success(answer.upstream, record)
        record.consecutive_failures += 1
        record.consecutive_successes = 0
        limit = 1 if record.is_on_probation else self.settings.ejection_failures
        if record.consecutive_failures < limit or self.is_ejected(answer.upstream, now):
            return []
        if not self._may_eject_upstream(service, peers, now):
            return []
        return self._eject_upstream(answer.upstream, record, now)

    def is_ejected(self, name: UpstreamId, now: Instant) -> bool:
        """Return whether an upstream gets no requests now."""
        record = self.histories.get(name)
        return (
            record is not None and record.ejected_until is not None and now < record.ejected_until
        )

    def probation_weight(self, name: UpstreamId) -> float:
        """Return 1, or on probation the share of the answers that end it."""
        record = self.histories.get(name)
        if record is None or not record.is_on_probation:
            return 1.0
        return record.consecutive_successes / self.settings.probation_answers

    def forget_upstream(self, name: UpstreamId) -> None:
        """Drop what is known of an upstream that is gone or was restarted."""
        self.histories.pop(name, None)

    def dump(self) -> dict[str, Any]:
        """Return the ejected upstreams as values that JSON can hold."""
        return {
            name: r.ejected_until
            for name, r in self.histories.items()
            if r.ejected_until is not None
        }

    def _record_success(self, name: UpstreamId, record: OutcomeHistory) -> list[Effect]:
        record.consecutive_failures = 0
        record.consecutive_successes += 1
        if (
            not record.is_on_probation
            or record.consecutive_successes < self.settings.probation_answers
        ):
            return []
        record.is_on_probation = False
        record.ejection_count = 0
        record.ejected_until = None
        return [UPSTREAM_READMITTED.emit(upstream=name)]

    def _may_eject_upstream(self, service: ServiceId, peers: int, now: Instant) -> bool:
        ejected = sum(
            record.service == service and self.is_ejected(name, now)
            for name, record in self.histories.items()
        )
        return ejected + 1 <= self.settings.max_ejected_share * peers

    def _eject_upstream(
        self, name: UpstreamId, record: OutcomeHistory, now: Instant
    ) -> list[Effect]:
        seconds = self.settings.ejection_seconds * 2**record.ejection_count
        seconds = min(seconds, self.settings.max_ejection_seconds)
        record.ejection_count = min(record.ejection_count + 1, self.settings.max_doublings)
        record.consecutive_failures = 0
        record.ejected_until = Instant(now + seconds)
        record.is_on_probation = True
        return [UPSTREAM_EJECTED.emit(upstream=name, seconds=seconds)]


def _has_failed(answer: DispatchReply) -> bool:
    if answer.outcome is DispatchOutcome.UNKNOWN:
        return answer.reason != AttemptRefusalReason.CANCELLED.value
    return answer.response is not None and answer.response.status >= MIN_SERVER_ERROR_STATUS
