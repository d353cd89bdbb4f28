"""Passive ejection of upstreams that leave flow openings unanswered, with backoff."""

import msgspec

from chicorypost.base import Instant, UpstreamId
from chicorypost.cookies._settings import CookieSettings

NEVER = Instant(float("-inf"))


class UpstreamHealth(msgspec.Struct):
    """Results of the recent flow openings of one upstream."""

    answered_at: Instant = NEVER
    unanswered_openings: int = 0
    unanswered_since: Instant = NEVER
    """Start of the first of these openings."""
    unanswered_at: Instant = NEVER
    """When the last of these openings was found unanswered."""
    suspicion_count: int = 0
    suspected_until: Instant = NEVER


class SuspectedUpstreams:
    """Tracks which upstreams answer flow openings.

    An upstream that leaves an opening unanswered gets no new flows for a time that doubles with
    each further suspicion; a single answer ends it.
    """

    def __init__(self, settings: CookieSettings) -> None:
        self.settings = settings
        self.health: dict[UpstreamId, UpstreamHealth] = {}
        self.unresponsive: set[UpstreamId] = set()
        """Upstreams that haven't answered since their last unanswered opening."""

    def record_answer(self, upstream: UpstreamId, now: Instant) -> bool:
        """Record an answer; return whether it ends a suspicion."""
        entry = self.health.get(upstream)
        if entry is None:
            entry = self.health[upstream] = UpstreamHealth()
        was_suspected = entry.suspicion_count > 0
        self.unresponsive.discard(upstream)
        entry.answered_at = now
        entry.unanswered_openings = entry.suspicion_count = 0
        entry.suspected_until = NEVER
        return was_suspected

    def record_unanswered_opening(
        self, upstream: UpstreamId, opened_at: Instant, now: Instant
    ) -> bool:
        """Record an unanswered opening; return whether the upstream is newly suspected."""
        entry = self.health.setdefault(upstream, UpstreamHealth())
        if self.has_answered(upstream, opened_at):
            # The upstream has answered since this opening was sent, so only the packet was lost.
            return False
        if not entry.unanswered_openings:
            entry.unanswered_since = opened_at
        entry.unanswered_openings += 1
        entry.unanswered_at = now
        if now < entry.suspected_until:
            return False
        seconds = self.settings.suspect_seconds * 2**entry.suspicion_count
        entry.suspected_until = Instant(now + min(seconds, self.settings.max_suspect_seconds))
        entry.suspicion_count += 1
        self.unresponsive.add(upstream)
        return entry.suspicion_count == 1

    def has_answered(self, upstream: UpstreamId, since: Instant) -> bool:
        """Return whether an upstream has answered any flow since a time."""
        entry = self.health.get(upstream)
        return entry is not None and entry.answered_at >= since

    def is_suspected(self, upstream: UpstreamId, now: Instant) -> bool:
        """Return whether an upstream currently gets no new flows."""
        entry = self.health.get(upstream)
        return entry is not None and now < entry.suspected_until

    def is_unresponsive(self, upstream: UpstreamId) -> bool:
        """Return whether an upstream has not answered since its last unanswered opening."""
        return upstream in self.unresponsive

    def is_dead(self, upstream: UpstreamId) -> bool:
        """Return whether at least `dead_unanswered` consecutive openings were left unanswered."""
        entry = self.health.get(upstream)
        return entry is not None and entry.unanswered_openings >= self.settings.dead_unanswered

    def remove(self, upstream: UpstreamId) -> None:
        """Remove the records of an upstream."""
        self.health.pop(upstream, None)
        self.unresponsive.discard(upstream)
