"""Until when the records of each data centre may get new work."""

from collections.abc import Iterable

from chicorypost.base import DataCentreId, Instant
from chicorypost.upstreams._settings import DirectorySettings


class Vouching:
    """One deadline per data centre in place of one per record.

    Only a relay with the same records extends it: a balancer that missed a change stops giving
    work to the whole data centre until it has caught up.
    """

    def __init__(self, settings: DirectorySettings) -> None:
        self.settings = settings
        self.until: dict[DataCentreId, Instant] = {}
        self.vouched: set[DataCentreId] = set()
        self.first_hand: DataCentreId | None = None

    def extend(self, data_centre: DataCentreId, seconds: float, now: Instant) -> None:
        """Take the word of a relay that vouches for some seconds more."""
        seconds = min(seconds, self.settings.vouch_seconds)
        until = max(self.until.get(data_centre, now), now + seconds)
        self.until[data_centre] = Instant(until)

    def remaining(self, data_centre: DataCentreId, now: Instant) -> float:
        """Return for how many seconds a data centre is vouched for."""
        if data_centre == self.first_hand:
            return self.settings.vouch_seconds
        return max(0.0, self.until.get(data_centre, now) - now)

    def review(self, data_centres: Iterable[DataCentreId], now: Instant) -> list[DataCentreId]:
        """Update which data centres are vouched for and return those that changed."""
        names = list(data_centres)
        current = {name for name in names if self.remaining(name, now) > 0}
        changed = [name for name in names if (name in current) != (name in self.vouched)]
        self.vouched = current
        return changed

    def next_deadline(self) -> Instant | None:
        """Return when the next data centre loses its vouching."""
        ends = (self.until[name] for name in self.vouched if name != self.first_hand)
        return min(ends, default=None)
