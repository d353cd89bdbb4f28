"""Choice of the upstream of a new flow."""

from collections import defaultdict
from collections.abc import Sequence
from random import Random

from chicorypost.announcements import VisibleUpstream
from chicorypost.base import DataCentreId, Instant
from chicorypost.cookies._flows import FlowTracker
from chicorypost.cookies._settings import CookieSettings
from chicorypost.cookies._suspects import SuspectedUpstreams

Candidates = Sequence[VisibleUpstream]


class FlowChooser:
    """Chooses a data centre by capacity, and there the least loaded upstream.

    Flows stay in the data centre of the balancer as far as its upstreams can carry its part of the
    load: a data centre that is cut off then goes on serving the flows that it has. Which of the
    upstreams is least loaded is judged by what passes this balancer.

    Parameters
    ----------
    settings : CookieSettings
        Weights.
    data_centre : DataCentreId
        Where the balancer stands.
    tracker : FlowTracker
        Flows and requests under way.
    suspects : Suspects
        Upstreams that don't answer.
    random : Random
        Chooses by capacity, and between equally loaded upstreams.
    """

    def __init__(
        self,
        settings: CookieSettings,
        data_centre: DataCentreId,
        tracker: FlowTracker,
        suspects: SuspectedUpstreams,
        random: Random,
    ) -> None:
        self.settings = settings
        self.data_centre = data_centre
        self.tracker = tracker
        self.suspected_upstreams = suspects
        self.random = random

    def choose(
        self, candidates: Candidates, data_centres: int, now: Instant
    ) -> VisibleUpstream | None:
        """Choose an upstream for a new flow.

        Parameters
        ----------
        candidates : sequence of VisibleUpstream
            Upstreams of the service that take new flows.
        data_centres : int
            How many data centres have upstreams; each is taken to bring the same load.
        now : Instant
            Current time.

        Returns
        -------
        VisibleUpstream or None
            The choice; None if there is no candidate.
        """
        usable = self._exclude_suspected([item for item in candidates if not item.is_silent], now)
        if not usable:
            usable = list(candidates)
        if not usable:
            return None
        near = self._choose_data_centre(usable, data_centres)
        return min(near, key=lambda item: (self._score(item, now), self.random.random()))

    def _choose_data_centre(
        self, usable: list[VisibleUpstream], data_centres: int
    ) -> list[VisibleUpstream]:
        """Return the upstreams of the data centre that is to have the flow."""
        by_place: dict[DataCentreId, list[VisibleUpstream]] = defaultdict(list)
        for item in usable:
            by_place[item.announcement.data_centre].append(item)
        slots = {place: _slots(items) for place, items in by_place.items()}
        fair = sum(slots.values()) / max(1, data_centres)
        own = slots.get(self.data_centre, 0)
        if self.random.random() * fair < own:
            return by_place[self.data_centre]
        spare = {place: max(0.0, count - fair) for place, count in slots.items()}
        spare.pop(self.data_centre, None)
        if not any(spare.values()):
            return usable
        places = list(spare)
        place = self.random.choices(places, [spare[name] for name in places])[0]
        return by_place[place]

    def _exclude_suspected(
        self, candidates: list[VisibleUpstream], now: Instant
    ) -> list[VisibleUpstream]:
        trusted = [
            item
            for item in candidates
            if not self.suspected_upstreams.is_suspected(item.announcement.upstream, now)
        ]
        enough = (1.0 - self.settings.suspect_share) * len(candidates)
        return trusted if len(trusted) >= enough else candidates

    def _score(self, item: VisibleUpstream, now: Instant) -> float:
        load = self.tracker.get_load(item.announcement.upstream)
        idle = load.flows - load.busy_flows - load.opening_flows
        work = load.busy_flows + load.opening_flows + self.settings.idle_flow_weight * idle
        slowness = self.settings.cold_factor if now < item.warmup_ends_at else 1.0
        return (work + 1.0) * slowness / max(1, item.announcement.slots)


def _slots(items: list[VisibleUpstream]) -> int:
    return sum(item.announcement.slots for item in items)
