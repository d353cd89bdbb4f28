"""Selection of the upstream of a new flow."""

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
    """Chooses a data centre by capacity, then the least loaded upstream in it.

    The data centre of the balancer gets as many of the flows as its upstreams can carry, up to all
    of them; the rest goes to data centres with spare capacity. So a data centre that is cut off
    continues to serve its flows. Load is measured by the traffic through this balancer.

    Parameters
    ----------
    settings : CookieSettings
        Weights and limits.
    data_centre : DataCentreId
        Data centre of the balancer.
    tracker : FlowTracker
        Open flows and running requests per upstream.
    suspected_upstreams : SuspectedUpstreams
        Upstreams that leave openings unanswered.
    random : Random
        Source of randomness for the data centre and for ties between upstreams.
    """

    def __init__(
        self,
        settings: CookieSettings,
        data_centre: DataCentreId,
        tracker: FlowTracker,
        suspected_upstreams: SuspectedUpstreams,
        random: Random,
    ) -> None:
        self.settings = settings
        self.data_centre = data_centre
        self.tracker = tracker
        self.suspected_upstreams = suspected_upstreams
        self.random = random

    def choose(
        self, candidates: Candidates, data_centres: int, now: Instant
    ) -> VisibleUpstream | None:
        """Choose an upstream for a new flow.

        Parameters
        ----------
        candidates : sequence of VisibleUpstream
            Upstreams of the service that accept new flows.
        data_centres : int
            Number of data centres with upstreams; each is assumed to bring the same load.
        now : Instant
            Current time.

        Returns
        -------
        VisibleUpstream or None
            The chosen upstream; None if there is no candidate.
        """
        usable = self._exclude_suspected([item for item in candidates if not item.is_silent], now)
        if not usable:
            usable = list(candidates)
        if not usable:
            return None
        eligible = self._choose_data_centre(usable, data_centres)
        return min(eligible, key=lambda item: (self._score(item, now), self.random.random()))

    def _choose_data_centre(
        self, usable: list[VisibleUpstream], data_centres: int
    ) -> list[VisibleUpstream]:
        """Return the upstreams of the data centre chosen for the flow."""
        by_data_centre: dict[DataCentreId, list[VisibleUpstream]] = defaultdict(list)
        for item in usable:
            by_data_centre[item.announcement.data_centre].append(item)
        slots = {name: _count_slots(items) for name, items in by_data_centre.items()}
        fair_share = sum(slots.values()) / max(1, data_centres)
        own = slots.get(self.data_centre, 0)
        if self.random.random() * fair_share < own:
            return by_data_centre[self.data_centre]
        spare = {name: max(0.0, count - fair_share) for name, count in slots.items()}
        spare.pop(self.data_centre, None)
        if not any(spare.values()):
            return usable
        names = list(spare)
        chosen = self.random.choices(names, [spare[name] for name in names])[0]
        return by_data_centre[chosen]

    def _exclude_suspected(
        self, candidates: list[VisibleUpstream], now: Instant
    ) -> list[VisibleUpstream]:
        trusted = [
            item
            for item in candidates
            if not self.suspected_upstreams.is_suspected(item.announcement.upstream, now)
        ]
        min_trusted = (1.0 - self.settings.suspect_share) * len(candidates)
        return trusted if len(trusted) >= min_trusted else candidates

    def _score(self, item: VisibleUpstream, now: Instant) -> float:
        load = self.tracker.get_load(item.announcement.upstream)
        idle = load.flows - load.busy_flows - load.opening_flows
        work = load.busy_flows + load.opening_flows + self.settings.idle_flow_weight * idle
        slowness = self.settings.cold_factor if now < item.warmup_ends_at else 1.0
        return (work + 1.0) * slowness / max(1, item.announcement.slots)


def _count_slots(items: list[VisibleUpstream]) -> int:
    return sum(item.announcement.slots for item in items)
