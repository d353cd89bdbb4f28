"""Liveness confirmation of data centres by relays."""

from collections.abc import Iterable

from chicorypost.base import DataCentreId, Instant
from chicorypost.upstreams._settings import DirectorySettings


class LivenessConfirmation:
    """Deadlines until which the upstreams of each data centre may receive new work.

    There is one deadline per data centre in place of one per record. Only a relay with the same
    records extends it: a balancer that missed a change stops giving work to the whole data centre
    until it has caught up.
    """

    def __init__(self, settings: DirectorySettings) -> None:
        self.settings = settings
        self.confirmed_until: dict[DataCentreId, Instant] = {}
        self.confirmed: set[DataCentreId] = set()
        self.always_confirmed: DataCentreId | None = None

    def extend_confirmation(self, data_centre: DataCentreId, seconds: float, now: Instant) -> None:
        """Extend the confirmation of a data centre by at most the configured duration."""
        seconds = min(seconds, self.settings.vouch_seconds)
        until = max(self.confirmed_until.get(data_centre, now), now + seconds)
        self.confirmed_until[data_centre] = Instant(until)

    def remaining_seconds(self, data_centre: DataCentreId, now: Instant) -> float:
        """Return the remaining time in seconds for which a data centre is confirmed."""
        if data_centre == self.always_confirmed:
            return self.settings.vouch_seconds
        return max(0.0, self.confirmed_until.get(data_centre, now) - now)

    def update_confirmed(
        self, data_centres: Iterable[DataCentreId], now: Instant
    ) -> list[DataCentreId]:
        """Update the set of confirmed data centres and return those that changed."""
        names = list(data_centres)
        current = {name for name in names if self.remaining_seconds(name, now) > 0}
        changed = [name for name in names if (name in current) != (name in self.confirmed)]
        self.confirmed = current
        return changed

    def next_deadline(self) -> Instant | None:
        """Return when the next confirmation expires, or None."""
        ends = (
            self.confirmed_until[name] for name in self.confirmed if name != self.always_confirmed
        )
        return min(ends, default=None)
