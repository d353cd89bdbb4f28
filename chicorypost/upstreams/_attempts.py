"""Queued, running and recently ended attempts of a dispatcher."""

from chicorypost.base import AttemptId, Instant
from chicorypost.upstreams._settings import DispatcherSettings
from chicorypost.upstreams._upstream_queue import UpstreamQueue


class DispatchedAttempts:
    """Queue of each queued or running attempt, and ids of recently ended attempts."""

    def __init__(self, settings: DispatcherSettings) -> None:
        self.settings = settings
        self.queue_of: dict[AttemptId, UpstreamQueue] = {}
        self.cancelled: set[AttemptId] = set()
        self.ended: dict[AttemptId, Instant] = {}

    def is_known(self, attempt_id: AttemptId) -> bool:
        """Return whether an attempt is queued, running or recently ended."""
        return attempt_id in self.queue_of or attempt_id in self.ended

    def mark_ended(self, attempt_id: AttemptId, now: Instant) -> None:
        """Record the end of an attempt so that a duplicate is not run."""
        self.queue_of.pop(attempt_id, None)
        self.cancelled.discard(attempt_id)
        self.ended[attempt_id] = Instant(now + self.settings.remember_seconds)

    def forget_expired(self, now: Instant) -> None:
        """Drop the ids of ended attempts whose retention period has passed."""
        for attempt_id, until in list(self.ended.items()):
            if until > now:
                break
            del self.ended[attempt_id]

    def next_deadline(self) -> Instant | None:
        """Return when the next id expires, or None."""
        return next(iter(self.ended.values()), None)
