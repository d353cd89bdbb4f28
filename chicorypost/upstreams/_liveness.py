"""Until when the records of each data centre may get new work."""

from collections.abc import Iterable

from chicorypost.base import DataCentreId, Instant
from chicorypost.upstreams._settings import DirectorySettings


class LivenessConfirmation:
    """One deadline per data centre in place of one per record.

    Only a relay with the same records extends it: a balancer that missed a change stops giving
    work to the whole data centre until it has caught up.
    """

    def __init__(self, settings: DirectorySettings) -> None:
        self.settings = settings
        self.confirmed_until: dict[DataCentreId, Instant] = {}
        self.confirmed: set[DataCentreId] = set()
        self.always_confirmed: DataCentreId | None = None

    def extend_confirmation(self, data_centre: DataCentreId, seconds: float, now: Instant) -> None:
        """Take the word of a relay that vouches for some seconds more."""
        seconds = min(seconds, self.settings.vouch_seconds)
        until = max(self.confirmed_until.get(data_centre, now), now + seconds)
        self.confirmed_until[data_centre] = Instant(until)

    def remaining_seconds(self, data_centre: DataCentreId, now: Instant) -> float:
        """Return for how many seconds a data centre is vouched for."""
        if data_centre == self.always_confirmed:
            return self.settings.vouch_seconds
        return max(0.0, self.confirmed_until.get(data_centre, now) - now)

    def update_confirmed(
        self, data_centres: Iterable[DataCentreId], now: Instant
    ) -> list[DataCentreId]:
        """Update which data centres are vouched for and return those that changed."""
        names = list(data_centres)
        current = {name for name in names if self.remaining_seconds(name, now) > 0}
        changed = [name for name in names if (name in current) != (name in self.confirmed)]
        self.confirmed = current
        return changed

    def next_deadline(self) -> Instant | None:
        """Return when the next data centre loses its vouching."""
        ends = (
            self.confirmed_until[name] for name in self.confirmed if name != self.always_confirmed
        )
        return min(ends, default=None)
