"""Attempts of a dispatcher: those at hand and those that must not run again."""

from chicorypost.base import AttemptId, Instant
from chicorypost.upstreams._settings import DispatcherSettings
from chicorypost.upstreams._upstream_queue import UpstreamQueue


class DispatchedAttempts:
    """Where each attempt is, and for a while the ids of those that are over."""

    def __init__(self, settings: DispatcherSettings) -> None:
        self.settings = settings
        self.queue_of: dict[AttemptId, UpstreamQueue] = {}
        self.cancelled: set[AttemptId] = set()
        self.ended: dict[AttemptId, Instant] = {}

    def is_known(self, attempt: AttemptId) -> bool:
        """Return whether an attempt is at hand or over."""
        return attempt in self.queue_of or attempt in self.ended

    def mark_ended(self, attempt: AttemptId, now: Instant) -> None:
        """Remember that an attempt is over, so that a copy of it is not run."""
        self.queue_of.pop(attempt, None)
        self.cancelled.discard(attempt)
        self.ended[attempt] = Instant(now + self.settings.remember_seconds)

    def forget_expired(self, now: Instant) -> None:
        """Drop the ids that were remembered for long enough."""
        for name, until in list(self.ended.items()):
            if until > now:
                break
            del self.ended[name]

    def next_deadline(self) -> Instant | None:
        """Return when the next id can be dropped."""
        return next(iter(self.ended.values()), None)
