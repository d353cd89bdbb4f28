"""Policies that choose the upstream of a new flow; ``product`` is the one that chicorypost uses,
and ``shared`` the same with shared observations."""

from collections.abc import Callable
from itertools import count
from random import Random

from chicorypost.announcements import VisibleUpstream
from chicorypost.base import DataCentreId, Instant
from chicorypost.cookies._candidates import ServiceCandidates
from chicorypost.cookies._choice import FlowChooser
from chicorypost.cookies._flows import FlowTracker
from chicorypost.cookies._settings import BalancingSettings, CookieSettings
from chicorypost.cookies._suspects import SuspectedUpstreams

MAX_COPIES = 2
"""Copies of an opening that a client sends."""
ChooserFactory = Callable[
    [CookieSettings, DataCentreId, FlowTracker, SuspectedUpstreams, Random], FlowChooser
]


class RandomChoice(FlowChooser):
    """Random choice among the upstreams that aren't silent, regardless of load and data centre."""

    def choose(
        self, candidates: ServiceCandidates, data_centres: int, now: Instant
    ) -> VisibleUpstream | None:
        """Return the upstream for a new flow, or None without candidates."""
        responsive = candidates.list_reachable() or list(candidates)
        return self.random.choice(responsive) if responsive else None


class RoundRobin(FlowChooser):
    """Round robin from a random start."""

    def __init__(self, *arguments: object) -> None:
        super().__init__(*arguments)  # type: ignore[arg-type]
        self.turn_numbers = count(self.random.randrange(1000))

    def choose(
        self, candidates: ServiceCandidates, data_centres: int, now: Instant
    ) -> VisibleUpstream | None:
        """Return the upstream for a new flow, or None without candidates."""
        responsive = candidates.list_reachable() or list(candidates)
        return responsive[next(self.turn_numbers) % len(responsive)] if responsive else None


class TwoChoices(FlowChooser):
    """The less loaded of two random upstreams, by the load that this balancer knows."""

    def choose(
        self, candidates: ServiceCandidates, data_centres: int, now: Instant
    ) -> VisibleUpstream | None:
        """Return the upstream for a new flow, or None without candidates."""
        responsive = candidates.list_reachable() or list(candidates)
        if not responsive:
            return None
        pair = [self.random.choice(responsive) for _ in range(2)]
        slowness = self.tracker.response_times.slowness
        return min(pair, key=lambda item: self.score(item, slowness, now))


class LeastLoaded(FlowChooser):
    """The least loaded upstream that isn't suspected, regardless of its data centre."""

    def _choose_data_centre(
        self, slots: dict[DataCentreId, float], data_centres: int
    ) -> DataCentreId | None:
        return None


POLICIES: dict[str, ChooserFactory] = {
    "random": RandomChoice,
    "round-robin": RoundRobin,
    "two-choices": TwoChoices,
    "least-loaded": LeastLoaded,
    "product": FlowChooser,
    "shared": FlowChooser,
}
SHARED_POLICY = "shared"
"""The choice of chicorypost with shared observations."""

COPY_SETTINGS: dict[str, CookieSettings] = {
    "keep-copies": CookieSettings(moved_copy=MAX_COPIES + 1),
    "product": CookieSettings(),
    "move-first-copy": CookieSettings(moved_copy=1, overdue_seconds=0.15),
}
"""Ways to treat the copies of an opening that the chosen upstream hasn't answered."""

REPEAT_SETTINGS: dict[str, BalancingSettings] = {
    "off": BalancingSettings(),
    "own-evidence": BalancingSettings(repeat_share=0.1),
    "shared-evidence": BalancingSettings(shared_observations=True, repeat_share=0.1),
}
"""Ways to treat requests without an answer."""
