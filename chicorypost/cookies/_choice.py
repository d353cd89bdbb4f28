"""Choice of the upstream of a new flow."""

from collections.abc import Sequence
from random import Random

from chicorypost.announcements import VisibleUpstream
from chicorypost.base import Instant
from chicorypost.cookies._flows import FlowTracker
from chicorypost.cookies._settings import CookieSettings
from chicorypost.cookies._suspects import Suspects


class FlowChooser:
    """Chooses the least loaded upstream by what passes this balancer.

    Parameters
    ----------
    settings : CookieSettings
        Weights.
    tracker : FlowTracker
        Flows and requests under way.
    suspects : Suspects
        Upstreams that don't answer.
    random : Random
        Decides between equally loaded upstreams.
    """

    def __init__(
        self, settings: CookieSettings, tracker: FlowTracker, suspects: Suspects, random: Random
    ) -> None:
        self.settings = settings
        self.tracker = tracker
        self.suspects = suspects
        self.random = random

    def choose(self, candidates: Sequence[VisibleUpstream], now: Instant) -> VisibleUpstream | None:
        """Choose an upstream for a new flow; None if there is no candidate."""
        usable = self._without_suspects([item for item in candidates if not item.silent], now)
        if not usable:
            usable = list(candidates)
        if not usable:
            return None
        return min(usable, key=lambda item: (self._score(item, now), self.random.random()))

    def _without_suspects(
        self, candidates: list[VisibleUpstream], now: Instant
    ) -> list[VisibleUpstream]:
        trusted = [
            item
            for item in candidates
            if not self.suspects.is_suspect(item.announcement.upstream, now)
        ]
        enough = (1.0 - self.settings.suspect_share) * len(candidates)
        return trusted if len(trusted) >= enough else candidates

    def _score(self, item: VisibleUpstream, now: Instant) -> float:
        load = self.tracker.load(item.announcement.upstream)
        idle = load.flows - load.busy - load.opening
        work = load.busy + load.opening + self.settings.idle_flow_weight * idle
        slowness = self.settings.cold_factor if now < item.warm_at else 1.0
        return (work + 1.0) * slowness / max(1, item.announcement.slots)
