"""Upstreams that don't answer flows being opened: passive ejection with slow return."""

import msgspec

from chicorypost.base import Instant, UpstreamId
from chicorypost.cookies._settings import CookieSettings

LONG_AGO = Instant(float("-inf"))


class Suspicion(msgspec.Struct):
    """What recent openings showed of one upstream."""

    answered_at: Instant = LONG_AGO
    unanswered: int = 0
    rounds: int = 0
    until: Instant = LONG_AGO


class Suspects:
    """Notes which upstreams answer.

    An upstream that leaves an opening unanswered gets no new flows for a time that doubles with
    each further one; one answer ends that.
    """

    def __init__(self, settings: CookieSettings) -> None:
        self.settings = settings
        self.suspicions: dict[UpstreamId, Suspicion] = {}

    def answered(self, upstream: UpstreamId, now: Instant) -> bool:
        """Note an answer; return whether that ends a suspicion."""
        suspicion = self.suspicions.get(upstream)
        if suspicion is None:
            suspicion = self.suspicions[upstream] = Suspicion()
        was_suspect = suspicion.rounds > 0
        suspicion.answered_at = now
        suspicion.unanswered = suspicion.rounds = 0
        suspicion.until = LONG_AGO
        return was_suspect

    def unanswered(self, upstream: UpstreamId, opened_at: Instant, now: Instant) -> bool:
        """Note an opening without an answer; return whether the upstream is newly suspected."""
        suspicion = self.suspicions.setdefault(upstream, Suspicion())
        if suspicion.answered_at >= opened_at:
            # The upstream has answered others since: the packet was lost, not the upstream.
            return False
        suspicion.unanswered += 1
        if now < suspicion.until:
            return False
        seconds = self.settings.suspect_seconds * 2**suspicion.rounds
        suspicion.until = Instant(now + min(seconds, self.settings.max_suspect_seconds))
        suspicion.rounds += 1
        return suspicion.rounds == 1

    def is_suspect(self, upstream: UpstreamId, now: Instant) -> bool:
        """Return whether an upstream gets no new flows now."""
        suspicion = self.suspicions.get(upstream)
        return suspicion is not None and now < suspicion.until

    def is_doubted(self, upstream: UpstreamId) -> bool:
        """Return whether the last opening was left unanswered, however long ago."""
        suspicion = self.suspicions.get(upstream)
        return suspicion is not None and suspicion.rounds > 0

    def is_dead(self, upstream: UpstreamId) -> bool:
        """Return whether several openings in a row were left unanswered."""
        suspicion = self.suspicions.get(upstream)
        return suspicion is not None and suspicion.unanswered >= self.settings.dead_unanswered

    def forget(self, upstream: UpstreamId) -> None:
        """Drop what is known of an upstream."""
        self.suspicions.pop(upstream, None)
