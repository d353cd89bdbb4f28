"""Ways of choosing the upstream of a new flow, to be compared."""

from collections.abc import Callable
from itertools import count
from random import Random

from chicorypost.announcements import VisibleUpstream
from chicorypost.base import DataCentreId, Instant
from chicorypost.cookies._choice import Candidates, FlowChooser
from chicorypost.cookies._flows import FlowTracker
from chicorypost.cookies._settings import CookieSettings
from chicorypost.cookies._suspects import SuspectedUpstreams

ChooserFactory = Callable[
    [CookieSettings, DataCentreId, FlowTracker, SuspectedUpstreams, Random], FlowChooser
]


class RandomChoice(FlowChooser):
    """Any upstream that is heard, whatever its load and place."""

    def choose(
        self, candidates: Candidates, data_centres: int, now: Instant
    ) -> VisibleUpstream | None:
        """Choose an upstream for a new flow."""
        heard = [item for item in candidates if not item.is_silent] or list(candidates)
        return self.random.choice(heard) if heard else None


class RoundRobin(FlowChooser):
    """Upstreams in turn, from a random one on."""

    def __init__(self, *parts: object) -> None:
        super().__init__(*parts)  # type: ignore[arg-type]
        self.turn_numbers = count(self.random.randrange(1000))

    def choose(
        self, candidates: Candidates, data_centres: int, now: Instant
    ) -> VisibleUpstream | None:
        """Choose an upstream for a new flow."""
        heard = [item for item in candidates if not item.is_silent] or list(candidates)
        return heard[next(self.turn_numbers) % len(heard)] if heard else None


class TwoChoices(FlowChooser):
    """The less loaded of two, as far as this balancer sees."""

    def choose(
        self, candidates: Candidates, data_centres: int, now: Instant
    ) -> VisibleUpstream | None:
        """Choose an upstream for a new flow."""
        heard = [item for item in candidates if not item.is_silent] or list(candidates)
        if not heard:
            return None
        pair = [self.random.choice(heard) for _ in range(2)]
        return min(pair, key=lambda item: self._score(item, now))


class LeastLoaded(FlowChooser):
    """The least loaded that isn't suspected, without regard to its place."""

    def _choose_data_centre(
        self, usable: list[VisibleUpstream], data_centres: int
    ) -> list[VisibleUpstream]:
        return usable


POLICIES: dict[str, ChooserFactory] = {
    "random": RandomChoice,
    "round-robin": RoundRobin,
    "two-choices": TwoChoices,
    "least-loaded": LeastLoaded,
    "product": FlowChooser,
}
