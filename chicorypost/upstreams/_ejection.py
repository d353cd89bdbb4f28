"""Outlier ejection by the outcomes of requests."""

from dataclasses import dataclass
from typing import Any

from chicorypost.base import Effect, Instant, ServiceId, UpstreamId
from chicorypost.upstreams._events import UPSTREAM_EJECTED, UPSTREAM_READMITTED
from chicorypost.upstreams._exchanges import RefusalCause
from chicorypost.upstreams._messages import DispatchAnswer, DispatchOutcome
from chicorypost.upstreams._settings import ChooserSettings

SERVER_ERROR = 500


@dataclass(slots=True)
class Record:
    """What the last answers of an upstream were."""

    service: ServiceId
    failures: int = 0
    answers: int = 0
    ejections: int = 0
    until: Instant | None = None
    is_on_probation: bool = False


class Ejections:
    """Upstreams that failed several times in a row and get no requests for a while.

    A refusal that nothing was started is no failure: it shows load, not a fault. No more than a
    set share of a service's upstreams is ejected at a time, so that a fault of all of them, or of
    something they share, doesn't leave the service without any.
    """

    def __init__(self, settings: ChooserSettings) -> None:
        self.settings = settings
        self.records: dict[UpstreamId, Record] = {}

    def observe(
        self, answer: DispatchAnswer, peers: int, service: ServiceId, now: Instant
    ) -> list[Effect]:
        """Count an outcome; `peers` is the number of the service's upstreams."""
        if answer.outcome is DispatchOutcome.NOT_STARTED:
            return []
        record = self.records.setdefault(answer.upstream, Record(service))
        if not _has_failed(answer):
            return self._succeed(answer.upstream, record)
        record.failures += 1
        record.answers = 0
        limit = 1 if record.is_on_probation else self.settings.ejection_failures
        if record.failures < limit or self.is_ejected(answer.upstream, now):
            return []
        if not self._may_eject(service, peers, now):
            return []
        return self._eject(answer.upstream, record, now)

    def is_ejected(self, name: UpstreamId, now: Instant) -> bool:
        """Return whether an upstream gets no requests now."""
        record = self.records.get(name)
        return record is not None and record.until is not None and now < record.until

    def trust(self, name: UpstreamId) -> float:
        """Return 1, or on probation the share of the answers that end it."""
        record = self.records.get(name)
        if record is None or not record.is_on_probation:
            return 1.0
        return record.answers / self.settings.probation_answers

    def forget(self, name: UpstreamId) -> None:
        """Drop what is known of an upstream that is gone or was restarted."""
        self.records.pop(name, None)

    def dump(self) -> dict[str, Any]:
        """Return the ejected upstreams as values that JSON can hold."""
        return {name: r.until for name, r in self.records.items() if r.until is not None}

    def _succeed(self, name: UpstreamId, record: Record) -> list[Effect]:
        record.failures = 0
        record.answers += 1
        if not record.is_on_probation or record.answers < self.settings.probation_answers:
            return []
        record.is_on_probation = False
        record.ejections = 0
        record.until = None
        return [UPSTREAM_READMITTED.emit(upstream=name)]

    def _may_eject(self, service: ServiceId, peers: int, now: Instant) -> bool:
        ejected = sum(
            record.service == service and self.is_ejected(name, now)
            for name, record in self.records.items()
        )
        return ejected + 1 <= self.settings.max_ejected_share * peers

    def _eject(self, name: UpstreamId, record: Record, now: Instant) -> list[Effect]:
        seconds = self.settings.ejection_seconds * 2**record.ejections
        seconds = min(seconds, self.settings.max_ejection_seconds)
        record.ejections = min(record.ejections + 1, self.settings.max_doublings)
        record.failures = 0
        record.until = Instant(now + seconds)
        record.is_on_probation = True
        return [UPSTREAM_EJECTED.emit(upstream=name, seconds=seconds)]


def _has_failed(answer: DispatchAnswer) -> bool:
    if answer.outcome is DispatchOutcome.UNKNOWN:
        return answer.reason != RefusalCause.CANCELLED.value
    return answer.response is not None and answer.response.status >= SERVER_ERROR
