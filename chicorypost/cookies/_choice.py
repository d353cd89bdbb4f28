"""Selection of the upstream of a new flow."""

from collections.abc import Mapping
from random import Random
from typing import TYPE_CHECKING

from chicorypost.announcements import VisibleUpstream
from chicorypost.base import DataCentreId, Instant, UpstreamId
from chicorypost.cookies._candidates import ServiceCandidates
from chicorypost.cookies._cold_starts import ColdStarts
from chicorypost.cookies._flows import FlowTracker
from chicorypost.cookies._packet import ResetReason
from chicorypost.cookies._settings import CookieSettings
from chicorypost.cookies._suspects import SuspectedUpstreams

if TYPE_CHECKING:
    from chicorypost.cookies._judged_upstreams import JudgedUpstreams


class FlowChooser:
    """Chooses a data centre by capacity, then the least loaded upstream in it.

    The data centre of the balancer gets as many of the flows as its upstreams can carry, up to all
    of them; the rest goes to data centres with spare capacity. So a data centre that is cut off
    continues to serve its flows. Load and slowness are measured by the traffic through this
    balancer. A slow upstream carries fewer flows by its slowness, so its slots count for less.

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
    cold_starts : ColdStarts, optional
        Limits the flows to cold upstreams; None for no limits.
    """

    def __init__(
        self,
        settings: CookieSettings,
        data_centre: DataCentreId,
        tracker: FlowTracker,
        suspected_upstreams: SuspectedUpstreams,
        random: Random,
        cold_starts: ColdStarts | None = None,
    ) -> None:
        self.settings = settings
        self.data_centre = data_centre
        self.tracker = tracker
        self.suspected_upstreams = suspected_upstreams
        self.random = random
        self.cold_starts = cold_starts
        self.judged_upstreams: JudgedUpstreams | None = None
        """Judgements of the control instances; None unless observations are shared."""

    def choose(
        self, candidates: ServiceCandidates, data_centres: int, now: Instant
    ) -> VisibleUpstream | ResetReason | None:
        """Choose an upstream for a new flow.

        Parameters
        ----------
        candidates : ServiceCandidates
            Upstreams of the service that accept new flows.
        data_centres : int
            Number of data centres with upstreams; each is assumed to bring the same load.
        now : Instant
            Current time.

        Returns
        -------
        VisibleUpstream, ResetReason or None
            The chosen upstream, or why the flow is reset; None if there is no candidate.
        """
        excluded = self.find_excluded(candidates, now)
        slowness = self.get_slowness(now)
        if self.cold_starts is not None:
            cold = self.cold_starts.find_cold(candidates, now)
            if cold:
                return self._choose_beside_cold(
                    candidates, excluded, slowness, cold, data_centres, now
                )
        eligible = self._find_eligible(candidates, excluded, slowness, data_centres) or list(
            candidates
        )
        return self._choose_least_loaded(eligible, slowness, now) if eligible else None

    def _choose_beside_cold(
        self,
        candidates: ServiceCandidates,
        excluded: dict[UpstreamId, VisibleUpstream],
        slowness: Mapping[UpstreamId, float],
        cold: dict[UpstreamId, VisibleUpstream],
        data_centres: int,
        now: Instant,
    ) -> VisibleUpstream | ResetReason:
        """Choose a warm upstream, or without any a cold one within the limits."""
        assert self.cold_starts is not None
        reachable_cold = {name: item for name, item in cold.items() if not item.is_silent}
        unusable = excluded | reachable_cold
        if len(unusable) < candidates.count_reachable():
            warm = self._find_eligible(candidates, unusable, slowness, data_centres) or [
                item
                for item in candidates.list_reachable()
                if item.announcement.upstream not in unusable
            ]
            self.cold_starts.record_warm_flow()
            return self._choose_least_loaded(warm, slowness, now)
        judged = self.list_judged_only(excluded, cold, now)
        if judged:
            self.cold_starts.record_warm_flow()
            return self._choose_least_loaded(judged, slowness, now)
        usable_cold = {name: item for name, item in reachable_cold.items() if name not in excluded}
        if not usable_cold:
            # The warm ones are suspected or silent; without limits they would be used too.
            others = [item for item in candidates if item.announcement.upstream not in cold]
            if others:
                return self._choose_least_loaded(others, slowness, now)
        admitting = self.cold_starts.list_admitting(usable_cold, now)
        if not admitting:
            service = next(iter(cold.values())).announcement.service
            self.cold_starts.record_reset(service, now)
            return ResetReason.COLD_UPSTREAMS
        chosen = self._choose_least_loaded(admitting, slowness, now)
        self.cold_starts.record_flow(chosen, now)
        return chosen

    def _choose_least_loaded(
        self,
        eligible: list[VisibleUpstream],
        slowness: Mapping[UpstreamId, float],
        now: Instant,
    ) -> VisibleUpstream:
        return min(
            eligible, key=lambda item: (self.score(item, slowness, now), self.random.random())
        )

    def find_excluded(
        self, candidates: ServiceCandidates, now: Instant
    ) -> dict[UpstreamId, VisibleUpstream]:
        """Return the upstreams that are suspected or judged unresponsive.

        Neither is excluded if that would be too large a share of the service.
        """
        excluded = self._find_suspected(candidates, now)
        if self.judged_upstreams is not None:
            self._exclude_judged(candidates, excluded, now)
        return excluded

    def list_judged_only(
        self,
        excluded: Mapping[UpstreamId, VisibleUpstream],
        cold: Mapping[UpstreamId, VisibleUpstream],
        now: Instant,
    ) -> list[VisibleUpstream]:
        """Return the warm upstreams that are excluded without any evidence of this balancer.

        A judgement may be wrong or outdated, so it alone doesn't cause a reset.
        """
        return [
            item
            for name, item in excluded.items()
            if name not in cold and not self.suspected_upstreams.is_suspected(name, now)
        ]

    def get_slowness(self, now: Instant) -> Mapping[UpstreamId, float]:
        """Return the slowness of the upstreams that are slow."""
        slowness = self.tracker.response_times.slowness
        if self.judged_upstreams is None:
            return slowness
        return self.judged_upstreams.merge_slowness(slowness, now)

    def _find_suspected(
        self, candidates: ServiceCandidates, now: Instant
    ) -> dict[UpstreamId, VisibleUpstream]:
        """Return the suspected upstreams, unless they are too large a share of the service."""
        if not self.suspected_upstreams.unresponsive:
            return {}
        excluded = {}
        for name in self.suspected_upstreams.unresponsive:
            item = candidates.find_reachable(name)
            if item is not None and self.suspected_upstreams.is_suspected(name, now):
                excluded[name] = item
        limit = self.settings.suspect_share * candidates.count_reachable()
        return excluded if len(excluded) <= limit else {}

    def _exclude_judged(
        self,
        candidates: ServiceCandidates,
        excluded: dict[UpstreamId, VisibleUpstream],
        now: Instant,
    ) -> None:
        """Exclude upstreams that are judged unresponsive, as far as `suspect_share` allows."""
        assert self.judged_upstreams is not None
        limit = self.settings.suspect_share * candidates.count_reachable()
        for name in self.judged_upstreams.list_excluded(now):
            item = candidates.find_reachable(name)
            if item is not None and (name in excluded or len(excluded) + 1 <= limit):
                excluded[name] = item

    def _find_eligible(
        self,
        candidates: ServiceCandidates,
        excluded: dict[UpstreamId, VisibleUpstream],
        slowness: Mapping[UpstreamId, float],
        data_centres: int,
    ) -> list[VisibleUpstream]:
        """Return the usable upstreams of the data centre chosen for the flow."""
        slots = self._compute_slots(candidates, excluded, slowness)
        chosen = self._choose_data_centre(slots, data_centres)
        if chosen is None:
            usable = candidates.list_reachable()
        else:
            usable = list(candidates.reachable[chosen].values())
        return [item for item in usable if item.announcement.upstream not in excluded]

    def _compute_slots(
        self,
        candidates: ServiceCandidates,
        excluded: Mapping[UpstreamId, VisibleUpstream],
        slowness: Mapping[UpstreamId, float],
    ) -> dict[DataCentreId, float]:
        """Return the slots of each data centre that count for new flows."""
        slots: dict[DataCentreId, float] = dict(candidates.slots)
        for item in excluded.values():
            slots[item.announcement.data_centre] -= item.announcement.slots
        for name, factor in slowness.items():
            slow = candidates.find_reachable(name)
            if slow is not None and name not in excluded:
                lost_slots = slow.announcement.slots * (1.0 - 1.0 / factor)
                slots[slow.announcement.data_centre] -= lost_slots
        return slots

    def _choose_data_centre(
        self, slots: dict[DataCentreId, float], data_centres: int
    ) -> DataCentreId | None:
        """Return the data centre chosen for the flow, or None for any."""
        fair_share = sum(slots.values()) / max(1, data_centres)
        own = slots.get(self.data_centre, 0)
        if self.random.random() * fair_share < own:
            return self.data_centre
        spare = self._find_spare_slots(slots, fair_share)
        if not any(spare.values()):
            return None
        names = list(spare)
        return self.random.choices(names, [spare[name] for name in names])[0]

    def compute_shares(
        self,
        candidates: ServiceCandidates,
        excluded: Mapping[UpstreamId, VisibleUpstream],
        slowness: Mapping[UpstreamId, float],
        data_centres: int,
    ) -> dict[DataCentreId | None, float]:
        """Return the probability of each data centre for a new flow; None stands for any."""
        slots = self._compute_slots(candidates, excluded, slowness)
        fair_share = sum(slots.values()) / max(1, data_centres)
        own = slots.get(self.data_centre, 0)
        own_share = min(1.0, own / fair_share) if fair_share > 0 else 0.0
        spare = self._find_spare_slots(slots, fair_share)
        total = sum(spare.values())
        shares: dict[DataCentreId | None, float] = {self.data_centre: own_share}
        if total <= 0:
            return shares | {None: 1.0 - own_share}
        rest = 1.0 - own_share
        return shares | {name: rest * count / total for name, count in spare.items()}

    def _find_spare_slots(
        self, slots: Mapping[DataCentreId, float], fair_share: float
    ) -> dict[DataCentreId, float]:
        """Return the slots of each other data centre beyond its fair share."""
        return {
            name: max(0.0, count - fair_share)
            for name, count in slots.items()
            if name != self.data_centre
        }

    def score(
        self, item: VisibleUpstream, slowness: Mapping[UpstreamId, float], now: Instant
    ) -> float:
        """Return the load of an upstream for its slots; the lowest one gets the flow."""
        name = item.announcement.upstream
        load = self.tracker.read_load(name)
        idle = load.flows - load.busy_flows - load.opening_flows
        work = load.busy_flows + load.opening_flows + self.settings.idle_flow_weight * idle
        factor = slowness.get(name, 1.0)
        if now < item.warmup_ends_at:
            factor *= self.settings.cold_factor
        return (work + 1.0) * factor / max(1, item.announcement.slots)
