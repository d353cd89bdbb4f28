"""Upstream selection for requests at the entry balancer."""

from collections import defaultdict
from collections.abc import Collection
from dataclasses import dataclass
from enum import Enum
from random import Random
from typing import Any

from chicorypost.base import (
    Effect,
    Event,
    Instant,
    ServiceId,
    Upstream,
    UpstreamId,
    UpstreamsChanged,
    UpstreamState,
)
from chicorypost.upstreams._ejection import OutlierEjection
from chicorypost.upstreams._messages import DispatchReply
from chicorypost.upstreams._settings import ChooserSettings


class NoUpstreamReason(Enum):
    """Why no upstream of a service can take a request."""

    NONE_KNOWN = "none-known"
    ALL_STARTING = "all-starting"
    ALL_DRAINING = "all-draining"
    ALL_EXCLUDED = "all-excluded"


@dataclass(frozen=True, slots=True)
class NoUpstream:
    """No upstream can take the request, and nothing was sent."""

    reason: NoUpstreamReason
    detail: str


@dataclass(frozen=True, slots=True)
class ReportedLoad:
    """Load of an upstream as reported by its dispatcher, with the time at which it expires."""

    running: int
    queued: int
    valid_until: Instant


@dataclass(frozen=True, slots=True)
class SentSinceReport:
    """Number of requests this balancer sent to an upstream since the last load report.

    The count expires at `valid_until` if no report arrives.
    """

    count: int
    valid_until: Instant


class UpstreamChooser:
    """Power of two choices over the load that dispatchers report, with outlier ejection.

    `handle` accepts `UpstreamsChanged`, and `observe` accepts replies of dispatchers; both return
    `Emit` effects. Health and load endpoints of upstreams are not used: only the outcomes of
    requests and the load that dispatchers report influence the choice.

    Parameters
    ----------
    settings : ChooserSettings
        Limits of ejection, slow start and the age of load reports.
    random : Random
        Random number generator for the two candidates.
    """

    def __init__(self, settings: ChooserSettings, random: Random) -> None:
        self.settings = settings
        self.random = random
        self.upstreams: dict[UpstreamId, Upstream] = {}
        self.upstreams_by_service: dict[ServiceId, set[UpstreamId]] = defaultdict(set)
        self.reported_loads: dict[UpstreamId, ReportedLoad] = {}
        self.sent_since_report: dict[UpstreamId, SentSinceReport] = {}
        self.warm_up_start: dict[UpstreamId, Instant] = {}
        self.ejections = OutlierEjection(settings)

    def handle(self, event: Event, now: Instant) -> list[Effect]:
        """Apply one event and return the resulting effects."""
        if isinstance(event, UpstreamsChanged):
            for name in event.removed:
                self._remove_upstream(name)
            for upstream in event.changed:
                self._put_upstream(upstream, now)
        return []

    def observe(self, reply: DispatchReply, now: Instant) -> list[Effect]:
        """Update load and outcome history from a reply of a dispatcher."""
        upstream = self.upstreams.get(reply.upstream)
        if upstream is None:
            return []
        valid_until = Instant(now + self.settings.load_seconds)
        self.reported_loads[reply.upstream] = ReportedLoad(reply.running, reply.queued, valid_until)
        self.sent_since_report.pop(reply.upstream, None)
        upstream_count = len(self.upstreams_by_service[upstream.service])
        return self.ejections.observe_reply(reply, upstream_count, upstream.service, now)

    def choose(
        self, service: ServiceId, excluded: Collection[UpstreamId], now: Instant
    ) -> Upstream | NoUpstream:
        """Choose an upstream of a service.

        Parameters
        ----------
        service : ServiceId
            Service name that upstreams announce, as given in the selector.
        excluded : collection of UpstreamId
            Upstreams that this request has already tried.
        now : Instant
            Current time.

        Returns
        -------
        Upstream or NoUpstream
            The chosen upstream, or the reason why none is available.
        """
        known = [
            self.upstreams[name] for name in sorted(self.upstreams_by_service.get(service, ()))
        ]
        ready = [u for u in known if u.state is UpstreamState.READY]
        untried = [u for u in ready if u.upstream not in excluded]
        if not untried:
            return _explain_no_upstream(service, known, ready)
        not_ejected = [u for u in untried if not self.ejections.is_ejected(u.upstream, now)]
        chosen = self._choose_of_two(not_ejected or untried, now)
        self._count_sent(chosen.upstream, now)
        return chosen

    def dump(self) -> dict[str, Any]:
        """Return the state that determines decisions, as JSON-compatible values."""
        return {
            "upstreams": {name: u.state.value for name, u in self.upstreams.items()},
            "loads": {
                name: [load.running, load.queued] for name, load in self.reported_loads.items()
            },
            "ejections": self.ejections.dump(),
        }

    def _count_sent(self, name: UpstreamId, now: Instant) -> None:
        counter = self.sent_since_report.get(name)
        if counter is None or counter.valid_until <= now:
            counter = SentSinceReport(0, Instant(now + self.settings.load_seconds))
        self.sent_since_report[name] = SentSinceReport(counter.count + 1, counter.valid_until)

    def _put_upstream(self, upstream: Upstream, now: Instant) -> None:
        name = upstream.upstream
        known = self.upstreams.get(name)
        is_restart = known is None or known.incarnation != upstream.incarnation
        if is_restart:
            self._remove_upstream(name)
        if is_restart or (known is not None and known.state is UpstreamState.STARTING):
            self.warm_up_start[name] = now
        self.upstreams[name] = upstream
        self.upstreams_by_service[upstream.service].add(name)

    def _remove_upstream(self, name: UpstreamId) -> None:
        upstream = self.upstreams.pop(name, None)
        if upstream is None:
            return
        self.upstreams_by_service[upstream.service].discard(name)
        self.reported_loads.pop(name, None)
        self.sent_since_report.pop(name, None)
        self.warm_up_start.pop(name, None)
        self.ejections.forget_upstream(name)

    def _choose_of_two(self, candidates: list[Upstream], now: Instant) -> Upstream:
        weights = [self._selection_weight(upstream.upstream, now) for upstream in candidates]
        first = self.random.choices(candidates, weights)[0]
        second = self.random.choices(candidates, weights)[0]
        return min(first, second, key=lambda upstream: self._load_per_slot(upstream, now))

    def _selection_weight(self, name: UpstreamId, now: Instant) -> float:
        """Return the sampling weight of an upstream, reduced in slow start and on probation."""
        age = now - self.warm_up_start.get(name, now)
        seconds = self.settings.slow_start_seconds
        warm_up_share = 1.0 if seconds == 0 else min(1.0, age / seconds)
        min_weight = self.settings.min_weight
        return max(min_weight, warm_up_share) * max(
            min_weight, self.ejections.probation_weight(name)
        )

    def _load_per_slot(self, upstream: Upstream, now: Instant) -> float:
        """Return the number of requests per slot, including those sent since the last report."""
        report = self.reported_loads.get(upstream.upstream)
        counter = self.sent_since_report.get(upstream.upstream)
        sent = counter.count if counter is not None and now < counter.valid_until else 0
        if report is None or report.valid_until <= now:
            return sent / upstream.slots
        return (report.running + report.queued + sent) / upstream.slots


def _explain_no_upstream(
    service: ServiceId, known: list[Upstream], ready: list[Upstream]
) -> NoUpstream:
    if not known:
        return NoUpstream(NoUpstreamReason.NONE_KNOWN, f"no upstream announces {service}")
    if ready:
        detail = f"all {len(ready)} ready upstreams of {service} were tried"
        return NoUpstream(NoUpstreamReason.ALL_EXCLUDED, detail)
    if all(upstream.state is UpstreamState.DRAINING for upstream in known):
        detail = f"all {len(known)} upstreams of {service} are draining"
        return NoUpstream(NoUpstreamReason.ALL_DRAINING, detail)
    detail = f"none of {len(known)} upstreams of {service} is ready yet"
    return NoUpstream(NoUpstreamReason.ALL_STARTING, detail)
