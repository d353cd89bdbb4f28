"""Limits of the new flows that cold upstreams get from all balancers together."""

import math
from collections import Counter
from functools import lru_cache
from typing import Any

import msgspec

from chicorypost.announcements import VisibleUpstream
from chicorypost.base import (
    DataCentreId,
    Effect,
    InstanceId,
    Instant,
    ServiceId,
    UpstreamId,
    hash64,
)
from chicorypost.cookies._candidates import ServiceCandidates
from chicorypost.cookies._events import SERVICE_COLD, SERVICE_WARM
from chicorypost.cookies._index import UpstreamIndex
from chicorypost.cookies._settings import ColdStartLimits
from chicorypost.routing import RoutingDocument, ServiceSpec

SPACING_SECONDS = 1.25
"""Interval in which a balancer uses its share for an upstream; longer than the second for which the
limit holds, since packets take different times."""
EXCESS_RISK = 1e-4
"""Probability that more balancers use an upstream than may, for each warm-up of an upstream."""
HOLD_SECONDS = 60.0
"""How long a higher number of balancers still counts: a control instance that is cut off loses its
other subscribers within seconds, while those balancers still send flows."""
RETURN_DELAY_SECONDS = 1.0
"""Time that a call may take to the balancers after the end of an evacuation."""
REPORT_SECONDS = 2.0
"""Time without a limited flow after which the limitation of a service counts as over."""
BISECTION_STEPS = 50


class ReturnedUpstream(msgspec.Struct, frozen=True):
    """An upstream of a data centre whose evacuation has ended; it counts as cold.

    Parameters
    ----------
    started_at_ms, sequence : int
        Run and number of its latest call known at the return.
    calls_known_at : Instant
        When the control instances must know a call made since the return.
    cold_until : Instant
        When it counts as warm without any further call.
    """

    started_at_ms: int
    sequence: int
    calls_known_at: Instant
    cold_until: Instant


class LimitedService(msgspec.Struct):
    """Flows of a service while it had no warm upstream, for the log."""

    last_flow_at: Instant
    opened_flows: int = 0
    reset_flows: int = 0


class ColdStarts:
    """Tracks which upstreams are cold, and which of them this balancer may use.

    Parameters
    ----------
    limits : ColdStartLimits
        Limits of the deployment.
    index : UpstreamIndex
        All known upstreams.
    balancer : InstanceId
        Name of this balancer.
    announcement_seconds : float
        Interval between announcements of an upstream.
    now : Instant
        Current time.

    Notes
    -----
    While a service has a warm upstream that accepts flows, cold ones get none, so the balancers
    need no share of the limit. Otherwise a hash of balancer and upstream selects the balancers
    that may use an upstream during a warm-up. Each of them sends at most one flow every
    `SPACING_SECONDS`, so the flows of any second are at most as many as these balancers.
    """

    def __init__(
        self,
        limits: ColdStartLimits,
        index: UpstreamIndex,
        balancer: InstanceId,
        announcement_seconds: float,
        now: Instant,
    ) -> None:
        self.limits = limits
        self.index = index
        self.balancer = balancer
        self.announcement_seconds = announcement_seconds
        # A previous run of this balancer may have used its share until now.
        self.admits_from = Instant(now + SPACING_SECONDS)
        self.services: dict[ServiceId, ServiceSpec] = {}
        """Services with a warm-up."""
        self.cold_until: dict[UpstreamId, Instant] = {}
        """End of the warm-up of each cold upstream of these services."""
        self.next_end_at = now
        """When the next warm-up may end."""
        self.cold_by_candidates: dict[int, dict[UpstreamId, VisibleUpstream]] = {}
        """Results of `find_cold` by the identity of the candidates, until an upstream changes."""
        self.draws: dict[UpstreamId, float] = {}
        """Number in [0, 1) of each cold upstream, below the share if this balancer may use it."""
        self.returned: dict[UpstreamId, ReturnedUpstream] = {}
        self.next_flow_at: dict[UpstreamId, Instant] = {}
        self.balancers: int | None = None
        self.held_balancers = 0
        self.held_until = now
        self.limited_services: dict[ServiceId, LimitedService] = {}
        self.counters: Counter[str] = Counter()
        """Flows to cold upstreams, and flows for which cold upstreams were left out."""
        self.effects: list[Effect] = []

    def set_document(self, document: RoutingDocument, now: Instant) -> None:
        """Apply a configuration."""
        self.forget_results(now)
        self.services = {
            spec.service: spec for spec in document.services if spec.warmup_seconds > 0
        }
        self.cold_until.clear()
        self.draws.clear()
        for item in self.index.upstreams.values():
            self._update_upstream(item, now)

    def set_balancers(self, count: int | None, now: Instant) -> None:
        """Store the number of balancers; None if no connected control instance reports it."""
        previous = self.balancers or 0
        held = self.held_balancers if now < self.held_until else 0
        if previous > (count or 0) and previous >= held:
            self.held_balancers, self.held_until = previous, Instant(now + HOLD_SECONDS)
        self.balancers = count

    def update(
        self,
        changed: tuple[VisibleUpstream, ...],
        removed: tuple[UpstreamId, ...],
        now: Instant,
    ) -> None:
        """Apply changes of the known upstreams; the parameters are as for `UpstreamIndex`."""
        self.forget_results(now)
        for name in removed:
            self.cold_until.pop(name, None)
            self.draws.pop(name, None)
            self.returned.pop(name, None)
            self.next_flow_at.pop(name, None)
        for item in changed:
            self._update_upstream(item, now)

    def return_data_centre(self, data_centre: DataCentreId, now: Instant) -> None:
        """Count all upstreams of a data centre as cold, since its evacuation has just ended.

        They may have become cold in the meantime, which their next calls tell. A call that states
        a warm-up counts at once, one that states none only when it must have been made since the
        return: earlier ones may still be on the way.
        """
        self.forget_results(now)
        delay_seconds = self.announcement_seconds + RETURN_DELAY_SECONDS
        for item in self.index.upstreams.values():
            announcement = item.announcement
            spec = self.services.get(announcement.service)
            if announcement.data_centre != data_centre or spec is None:
                continue
            self.returned[announcement.upstream] = ReturnedUpstream(
                announcement.started_at_ms,
                announcement.sequence,
                Instant(now + delay_seconds),
                Instant(now + delay_seconds + spec.warmup_seconds),
            )
            self._update_upstream(item, now)

    def find_cold(
        self, candidates: ServiceCandidates, now: Instant
    ) -> dict[UpstreamId, VisibleUpstream]:
        """Return the cold upstreams of a service, by id."""
        if not self.cold_until:
            return {}
        self._remove_ended(now)
        cold = self.cold_by_candidates.get(id(candidates))
        if cold is not None:
            return cold
        cold = self.cold_by_candidates[id(candidates)] = {}
        for name in self.cold_until:
            item = self.index.upstreams[name]
            group = candidates.reachable.get(item.announcement.data_centre, {})
            if name in group or name in candidates.silent:
                cold[name] = item
        return cold

    def list_admitting(
        self, cold: dict[UpstreamId, VisibleUpstream], now: Instant
    ) -> list[VisibleUpstream]:
        """Return the cold upstreams that this balancer may use for a flow now."""
        balancers = self._count_balancers(now)
        if balancers is None or now < self.admits_from or not cold:
            return []
        service = next(iter(cold.values())).announcement.service
        share = compute_share(self._get_allowed_flows(service), balancers)
        return [
            item
            for name, item in cold.items()
            if self.draws[name] < share and now >= self.next_flow_at.get(name, now)
        ]

    def record_warm_flow(self) -> None:
        """Record a flow for which cold upstreams were left out."""
        self.counters["opened-beside-cold"] += 1

    def record_flow(self, item: VisibleUpstream, now: Instant) -> None:
        """Record a flow to a cold upstream."""
        announcement = item.announcement
        allowed_flows = self._get_allowed_flows(announcement.service)
        flows = max(1, allowed_flows // (self._count_balancers(now) or 1))
        self.next_flow_at[announcement.upstream] = Instant(now + SPACING_SECONDS / flows)
        self.counters["opened-cold"] += 1
        self._report_limited(announcement.service, now).opened_flows += 1

    def record_reset(self, service: ServiceId, now: Instant) -> None:
        """Record a flow that was reset because no warm upstream accepts it."""
        self._report_limited(service, now).reset_flows += 1

    def tick(self, now: Instant) -> None:
        """Report services that have been limited and no longer are."""
        self._remove_ended(now)
        for service, state in list(self.limited_services.items()):
            if now - state.last_flow_at >= REPORT_SECONDS:
                del self.limited_services[service]
                warm = SERVICE_WARM.emit(
                    service=service, opened=state.opened_flows, reset=state.reset_flows
                )
                self.effects.append(warm)

    def pop_effects(self) -> list[Effect]:
        """Return and clear the log events since the last call."""
        effects, self.effects = self.effects, []
        return effects

    def dump(self) -> dict[str, Any]:
        """Return the state as JSON-compatible values."""
        return {
            "cold_until": dict(self.cold_until),
            "returned": list(self.returned),
            "balancers": self.balancers,
            "held_balancers": [self.held_balancers, self.held_until],
            "services": {name: self._get_allowed_flows(name) for name in self.services},
            "limited": list(self.limited_services),
        }

    def forget_results(self, now: Instant) -> None:
        """Forget results of `find_cold`, since candidates have changed other than by `update`."""
        self.cold_by_candidates.clear()
        self.next_end_at = now

    def _remove_ended(self, now: Instant) -> None:
        if now < self.next_end_at:
            return
        ended = [name for name, end in self.cold_until.items() if end <= now]
        for name in ended:
            del self.cold_until[name], self.draws[name]
            self.returned.pop(name, None)
        self.cold_by_candidates.clear()
        self.next_end_at = min(self.cold_until.values(), default=now)

    def _update_upstream(self, item: VisibleUpstream, now: Instant) -> None:
        announcement = item.announcement
        name = announcement.upstream
        if announcement.service not in self.services:
            self.cold_until.pop(name, None)
            self.draws.pop(name, None)
            return
        returned = self.returned.get(name)
        if returned is not None and _is_superseded(returned, item, now):
            del self.returned[name]
            returned = None
        # A call with a wrong warm-up must not keep an upstream out of use for longer than one.
        warmup_seconds = self.services[announcement.service].warmup_seconds
        ends_at = Instant(min(item.warmup_ends_at, now + warmup_seconds))
        if returned is not None:
            ends_at = max(ends_at, returned.cold_until)
        if ends_at > now:
            self.cold_until[name] = ends_at
            self.draws[name] = self._draw(item)
        else:
            self.cold_until.pop(name, None)
            self.draws.pop(name, None)

    def _count_balancers(self, now: Instant) -> int | None:
        if self.balancers is None:
            return None
        held = self.held_balancers if now < self.held_until else 0
        return max(1, self.balancers, held)

    def _get_allowed_flows(self, service: ServiceId) -> int:
        """Return how many flows a cold upstream of a service may get in any second."""
        rate = self.services[service].warmup_flows_per_second
        return int(rate * self.limits.rate_factor + self.limits.extra_flows)

    def _draw(self, item: VisibleUpstream) -> float:
        """Return a number in [0, 1) that depends on the balancer and the run of the upstream."""
        announcement = item.announcement
        key = f"{self.balancer}\0{announcement.upstream}\0{announcement.started_at_ms}"
        return hash64(key.encode()) / 2**64

    def _count_cold(self, service: ServiceId) -> int:
        upstreams = (self.index.upstreams[name] for name in self.cold_until)
        return sum(item.announcement.service == service for item in upstreams)

    def _report_limited(self, service: ServiceId, now: Instant) -> LimitedService:
        state = self.limited_services.get(service)
        if state is None:
            state = self.limited_services[service] = LimitedService(now)
            cold = SERVICE_COLD.emit(
                service=service,
                cold_upstreams=self._count_cold(service),
                allowed=self._get_allowed_flows(service),
                balancers=self._count_balancers(now) or 0,
            )
            self.effects.append(cold)
        state.last_flow_at = now
        return state


def compute_share(allowed_flows: int, balancers: int) -> float:
    """Return the share of the balancers that may use a cold upstream.

    Parameters
    ----------
    allowed_flows : int
        Flows that the upstream may get in any second.
    balancers : int
        Number of balancers.

    Returns
    -------
    float
        1 if there are no more balancers than flows. Otherwise the share of which a random
        selection exceeds `allowed_flows` balancers with a probability of at most `EXCESS_RISK`.
    """
    if balancers <= allowed_flows:
        return 1.0
    return min(1.0, _find_safe_mean(allowed_flows + 1) / balancers)


@lru_cache(maxsize=64)
def _find_safe_mean(excess: int) -> float:
    """Return the highest mean of a Poisson distribution that rarely reaches `excess`.

    The number of selected balancers is binomial, of which the upper tail is below that of the
    Poisson distribution.
    """
    low, high = 0.0, float(excess)
    for _ in range(BISECTION_STEPS):
        mean = (low + high) / 2
        first_term = math.exp(excess * math.log(mean) - mean - math.lgamma(excess + 1))
        # Each further term is smaller than the one before by at least this ratio.
        is_safe = first_term / (1 - mean / (excess + 1)) <= EXCESS_RISK
        low, high = (mean, high) if is_safe else (low, mean)
    return low


def _is_superseded(returned: ReturnedUpstream, item: VisibleUpstream, now: Instant) -> bool:
    """Return whether a call since the return tells until when the upstream is cold."""
    announcement = item.announcement
    if announcement.started_at_ms != returned.started_at_ms:
        return True
    is_later_call = announcement.sequence > returned.sequence
    return is_later_call and (item.warmup_ends_at > now or now >= returned.calls_known_at)
