"""Judgements of the control instances as one balancer acts on them."""

from collections.abc import Mapping
from random import Random
from typing import Any

from chicorypost.announcements import JudgedState, VisibleUpstream
from chicorypost.base import Effect, Instant, UpstreamId
from chicorypost.cookies._response_times import ResponseTimes
from chicorypost.observations import ObservationSettings
from chicorypost.observations._events import JUDGEMENT_RECEIVED

PERCENT = 100


class JudgedUpstreams:
    """Tracks which upstreams are judged unresponsive or slow, and when they are used again.

    An answer to a request that the balancer itself got within `fresh_seconds` takes precedence,
    unless a request has been waiting there since. Answers to openings say nothing here: an upstream
    that hangs may still accept flows. After a judgement of unresponsiveness has ended, the balancer
    waits for a random time, since otherwise all balancers would return at once.

    Parameters
    ----------
    settings : ObservationSettings
        Timeouts.
    max_slowness : float
        Upper bound of the slowness.
    response_times : ResponseTimes
        Answers and running requests that this balancer knows.
    random : Random
        Source of randomness for the times of return.
    """

    def __init__(
        self,
        settings: ObservationSettings,
        max_slowness: float,
        response_times: ResponseTimes,
        random: Random,
    ) -> None:
        self.settings = settings
        self.max_slowness = max_slowness
        self.response_times = response_times
        self.random = random
        self.judged_at: dict[UpstreamId, Instant] = {}
        """When the present judgement of an upstream was received."""
        self.unresponsive: set[UpstreamId] = set()
        self.slowness: dict[UpstreamId, float] = {}
        self.returns_at: dict[UpstreamId, Instant] = {}
        """When this balancer uses an upstream again whose judgement has ended."""

    def update(
        self, previous: VisibleUpstream | None, item: VisibleUpstream, now: Instant
    ) -> list[Effect]:
        """Apply the judgement of an upstream; return a log event if it has changed."""
        name, judgement = item.announcement.upstream, item.judgement
        before = previous.judgement if previous is not None else None
        has_restarted = (
            previous is not None
            and previous.announcement.started_at_ms != item.announcement.started_at_ms
        )
        if has_restarted:
            self.remove(name)
        if judgement == before and not has_restarted:
            return []
        was_unresponsive = name in self.unresponsive
        self.remove(name)
        if judgement is not None:
            self.judged_at[name] = now
        if judgement is not None and judgement.state is JudgedState.UNRESPONSIVE:
            self.unresponsive.add(name)
        elif judgement is not None:
            factor = max(1.0, judgement.slowness_percent / PERCENT)
            self.slowness[name] = min(factor, self.max_slowness)
        if was_unresponsive and name not in self.unresponsive:
            seconds = self.settings.return_seconds * self.random.random()
            self.returns_at[name] = Instant(now + seconds)
        event = JUDGEMENT_RECEIVED.emit(
            upstream=name,
            judgement=judgement.state.name.lower() if judgement is not None else "none",
            slowness=self.slowness.get(name, 1.0),
        )
        return [event]

    def dump(self) -> dict[str, Any]:
        """Return the judgements that are acted on, as JSON-compatible values."""
        return {
            "judged_unresponsive": sorted(self.unresponsive),
            "judged_slow": dict(self.slowness),
            "returns_at": dict(self.returns_at),
        }

    def remove(self, name: UpstreamId) -> None:
        """Remove what is known of an upstream."""
        self.judged_at.pop(name, None)
        self.unresponsive.discard(name)
        self.slowness.pop(name, None)
        self.returns_at.pop(name, None)

    def list_excluded(self, now: Instant) -> list[UpstreamId]:
        """Return the upstreams that get no new flows, in the order of their names."""
        if not self.unresponsive and not self.returns_at:
            return []
        for name in [name for name, at in self.returns_at.items() if now >= at]:
            del self.returns_at[name]
        names = sorted(self.unresponsive | self.returns_at.keys())
        return [name for name in names if not self.has_fresh_answer(name, now)]

    def merge_slowness(
        self, own: Mapping[UpstreamId, float], now: Instant
    ) -> Mapping[UpstreamId, float]:
        """Return the slowness by the balancer's own responses and by the judgements."""
        if not self.slowness:
            return own
        merged = dict(own)
        for name, factor in self.slowness.items():
            if not self.has_fresh_answer(name, now):
                merged[name] = max(factor, merged.get(name, 1.0))
        return merged

    def has_fresh_answer(self, name: UpstreamId, now: Instant) -> bool:
        """Return whether the balancer's own evidence shows that an upstream answers requests."""
        entry = self.response_times.upstreams.get(name)
        if entry is None or now - entry.answered_at > self.settings.fresh_seconds:
            return False
        return all(started_at <= entry.answered_at for started_at in entry.running.values())
