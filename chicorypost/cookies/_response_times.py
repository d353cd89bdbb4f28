"""Response times of upstreams as one balancer sees them, and the slowness derived from them."""

from collections.abc import Iterable, Sequence

import msgspec

from chicorypost.base import FlowKey, Instant, UpstreamId
from chicorypost.cookies._settings import CookieSettings

NEVER = Instant(float("-inf"))
MIN_COMPARED_UPSTREAMS = 3
"""Upstreams of a service with known response times below which none of them counts as slow."""


class UpstreamResponses(msgspec.Struct):
    """Response time of one upstream, and its requests in progress.

    `mean_seconds` is an exponentially weighted mean. `running` holds the start of each request
    without a response, oldest first. `responses` counts those since the last time without any
    for `response_memory_seconds`.
    """

    mean_seconds: float = 0.0
    answered_at: Instant = NEVER
    responses: int = 0
    running: dict[FlowKey, Instant] = msgspec.field(default_factory=dict)


class ResponseTimes:
    """Compares the response times of the upstreams of each service.

    The estimate for an upstream is its mean response time, or the age of its oldest request in
    progress if that is longer, so that an upstream that has stopped responding is noticed before
    its requests time out. The usual response time of a service is the median of the means of its
    upstreams. The slowness of an upstream is its estimate divided by `usual_slowness` times the
    usual response time; an upstream is slow if that is above 1.

    Parameters
    ----------
    settings : CookieSettings
        Weights and limits.

    Notes
    -----
    Peak EWMA, the measure of the load balancers of Finagle, takes the latest response if it is
    longer than the mean. A balancer among hundreds gets a few responses a minute from an upstream,
    and a single long one says little about it; the age of a request in progress serves instead.
    """

    def __init__(self, settings: CookieSettings) -> None:
        self.settings = settings
        self.upstreams: dict[UpstreamId, UpstreamResponses] = {}
        self.slowness: dict[UpstreamId, float] = {}
        """Slowness of the upstreams that are slow; a factor above 1."""
        self.usual_seconds: dict[UpstreamId, float] = {}
        """Usual response time of the service of each upstream that is compared."""

    def start_request(self, flow: FlowKey, upstream: UpstreamId, now: Instant) -> None:
        """Record that a request has started; a flow has one request at a time."""
        entry = self.upstreams.get(upstream)
        if entry is None:
            entry = self.upstreams[upstream] = UpstreamResponses()
        entry.running[flow] = now

    def finish_request(self, flow: FlowKey, upstream: UpstreamId, now: Instant) -> None:
        """Record the response to the request of a flow."""
        entry = self.upstreams.get(upstream)
        started_at = entry.running.pop(flow, None) if entry is not None else None
        if entry is None or started_at is None:
            # The upstream has restarted since.
            return
        seconds = now - started_at
        is_first = entry.answered_at == NEVER
        weight = 1.0 if is_first else self.settings.response_weight
        entry.responses = entry.responses + 1 if self._is_recent(entry, now) else 1
        entry.mean_seconds += weight * (seconds - entry.mean_seconds)
        entry.answered_at = now

    def abandon_request(self, flow: FlowKey, upstream: UpstreamId) -> None:
        """Remove a request whose flow has ended without a response."""
        entry = self.upstreams.get(upstream)
        if entry is not None:
            entry.running.pop(flow, None)

    def remove_upstream(self, upstream: UpstreamId) -> None:
        """Remove the records of an upstream."""
        self.upstreams.pop(upstream, None)
        self.slowness.pop(upstream, None)

    def compare_upstreams(
        self, services: Iterable[Iterable[UpstreamId]], now: Instant
    ) -> dict[UpstreamId, float]:
        """Update and return the slowness; `services` are the upstreams of each service."""
        self.slowness, self.usual_seconds = {}, {}
        for names in services:
            known = {name: self.upstreams[name] for name in names if name in self.upstreams}
            means = [entry.mean_seconds for entry in known.values() if self._is_recent(entry, now)]
            if len(means) < MIN_COMPARED_UPSTREAMS:
                continue
            usual_seconds = max(_median(means), self.settings.min_usual_seconds)
            for name, entry in known.items():
                self.usual_seconds[name] = usual_seconds
                factor = self._estimate_seconds(entry, now) / usual_seconds
                slowness = min(factor / self.settings.usual_slowness, self.settings.max_slowness)
                if slowness > 1.0:
                    self.slowness[name] = slowness
        return self.slowness

    def _is_recent(self, entry: UpstreamResponses, now: Instant) -> bool:
        return now - entry.answered_at < self.settings.response_memory_seconds

    def _estimate_seconds(self, entry: UpstreamResponses, now: Instant) -> float:
        mean_seconds = entry.mean_seconds if self._is_recent(entry, now) else 0.0
        limit = self.settings.max_request_seconds
        # An older request counts no more: its response may have passed another balancer.
        ages = (now - started_at for started_at in entry.running.values())
        return max(mean_seconds, next((age for age in ages if age < limit), 0.0))


def _median(values: Sequence[float]) -> float:
    # The module statistics takes long to import, and balancers forward only after this module.
    ordered = sorted(values)
    middle = len(ordered) // 2
    return ordered[middle] if len(ordered) % 2 else (ordered[middle - 1] + ordered[middle]) / 2
