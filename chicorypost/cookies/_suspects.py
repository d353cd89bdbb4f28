"""Upstreams that don't answer flows being opened: passive ejection with slow return."""

import msgspec

from chicorypost.base import Instant, UpstreamId
from chicorypost.cookies._settings import CookieSettings

NEVER = Instant(float("-inf"))


class UpstreamHealth(msgspec.Struct):
    """What recent openings showed of one upstream."""

    answered_at: Instant = NEVER
    unanswered_openings: int = 0
    suspicion_count: int = 0
    suspected_until: Instant = NEVER


class SuspectedUpstreams:
    """Notes which upstreams answer.

    An upstream that leaves an opening unanswered gets no new flows for a time that doubles with
    each further one; one answer ends that.
    """

    def __init__(self, settings: CookieSettings) -> None:
        self.settings = settings
        self.health: dict[UpstreamId, UpstreamHealth] = {}

    def record_answer(self, upstream: UpstreamId, now: Instant) -> bool:
        """Note an answer; return whether that ends a suspicion."""
        suspicion = self.health.get(upstream)
        if suspicion is None:
            suspicion = self.health[upstream] = UpstreamHealth()
        was_suspect = suspicion.suspicion_count > 0
        suspicion.answered_at = now
        suspicion.unanswered_openings = suspicion.suspicion_count = 0
        suspicion.suspected_until = NEVER
        return was_suspect

    def record_unanswered_opening(
        self, upstream: UpstreamId, opened_at: Instant, now: Instant
    ) -> bool:
        """Note an opening without an answer; return whether the upstream is newly suspected."""
        suspicion = self.health.setdefault(upstream, UpstreamHealth())
        if suspicion.answered_at >= opened_at:
            # The upstream has answered others since: the packet was lost, not the upstream.
            return False
        suspicion.unanswered_openings += 1
        if now < suspicion.suspected_until:
            return False
        seconds = self.settings.suspect_seconds * 2**suspicion.suspicion_count
        suspicion.suspected_until = Instant(now + min(seconds, self.settings.max_suspect_seconds))
        suspicion.suspicion_count += 1
        return suspicion.suspicion_count == 1

    def is_suspected(self, upstream: UpstreamId, now: Instant) -> bool:
        """Return whether an upstream gets no new flows now."""
        suspicion = self.health.get(upstream)
        return suspicion is not None and now < suspicion.suspected_until

    def is_unresponsive(self, upstream: UpstreamId) -> bool:
        """Return whether the last opening was left unanswered, however long ago."""
        suspicion = self.health.get(upstream)
        return suspicion is not None and suspicion.suspicion_count > 0

    def is_dead(self, upstream: UpstreamId) -> bool:
        """Return whether several openings in a row were left unanswered."""
        suspicion = self.health.get(upstream)
        return (
            suspicion is not None and suspicion.unanswered_openings >= self.settings.dead_unanswered
        )

    def remove(self, upstream: UpstreamId) -> None:
        """Drop what is known of an upstream."""
        self.health.pop(upstream, None)
