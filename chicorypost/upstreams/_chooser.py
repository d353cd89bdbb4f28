"""Choice of an upstream for a request at the entry balancer."""

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
    """Why a service has no upstream for a request."""

    NONE_KNOWN = "none-known"
    ALL_STARTING = "all-starting"
    ALL_DRAINING = "all-draining"
    ALL_EXCLUDED = "all-excluded"


@dataclass(frozen=True, slots=True)
class NoUpstream:
    """No upstream can take the request: nothing was sent."""

    reason: NoUpstreamReason
    detail: str


@dataclass(frozen=True, slots=True)
class ReportedLoad:
    """Load of an upstream as its dispatcher reported it."""

    running: int
    queued: int
    valid_until: Instant


@dataclass(frozen=True, slots=True)
class SentSinceReport:
    """Requests sent from here since the last report; forgotten when no report comes."""

    count: int
    valid_until: Instant


class UpstreamChooser:
    """Power of two choices over the load that dispatchers report, with outlier ejection.

    Takes `UpstreamsChanged` by `handle`, and answers by `observe`; gives `Emit`. What health and
    load endpoints of upstreams say is not used: only the outcomes of requests count.

    Parameters
    ----------
    settings : ChooserSettings
        Bounds of ejection and of the age of load reports.
    random : Random
        Source of the two choices.
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
        """Take one event and return the effects."""
        if isinstance(event, UpstreamsChanged):
            for name in event.removed:
                self._remove_upstream(name)
            for upstream in event.changed:
                self._put_upstream(upstream, now)
        return []

    def observe(self, answer: DispatchReply, now: Instant) -> list[Effect]:
        """Learn load and outcome from an answer of a dispatcher."""
        upstream = self.upstreams.get(answer.upstream)
        if upstream is None:
            return []
        until = Instant(now + self.settings.load_seconds)
        self.reported_loads[answer.upstream] = ReportedLoad(answer.running, answer.queued, until)
        self.sent_since_report.pop(answer.upstream, None)
        peers = len(self.upstreams_by_service[upstream.service])
        return self.ejections.observe_reply(answer, peers, upstream.service, now)

    def choose(
        self, service: ServiceId, excluded: Collection[UpstreamId], now: Instant
    ) -> Upstream | NoUpstream:
        """Choose an upstream of a service, or say why there is none.

        Parameters
        ----------
        service : ServiceId
            The service that upstreams announce (the selector's one).
        excluded : collection of UpstreamId
            Upstreams that this request has tried.
        now : Instant
            Current time.

        Returns
        -------
        Upstream or NoUpstream
            The choice, or the reason for which the request can be refused truthfully.
        """
        known = [
            self.upstreams[name] for name in sorted(self.upstreams_by_service.get(service, ()))
        ]
        ready = [u for u in known if u.state is UpstreamState.READY]
        left = [u for u in ready if u.upstream not in excluded]
        if not left:
            return _explain_no_upstream(service, known, ready)
        in_use = [u for u in left if not self.ejections.is_ejected(u.upstream, now)]
        chosen = self._choose_of_two(in_use or left, now)
        self._count_sent(chosen.upstream, now)
        return chosen

    def dump(self) -> dict[str, Any]:
        """Return the whole decision state as values that JSON can hold."""
        return {
            "upstreams": {name: u.state.value for name, u in self.upstreams.items()},
            "loads": {
                name: [load.running, load.queued] for name, load in self.reported_loads.items()
            },
            "ejections": self.ejections.dump(),
        }

    def _count_sent(self, name: UpstreamId, now: Instant) -> None:
        entry = self.sent_since_report.get(name)
        if entry is None or entry.valid_until <= now:
            entry = SentSinceReport(0, Instant(now + self.settings.load_seconds))
        self.sent_since_report[name] = SentSinceReport(entry.count + 1, entry.valid_until)

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
        """Return the chance of an upstream to be looked at: small when cold or on probation."""
        age = now - self.warm_up_start.get(name, now)
        seconds = self.settings.slow_start_seconds
        warm = 1.0 if seconds == 0 else min(1.0, age / seconds)
        floor = self.settings.min_weight
        return max(floor, warm) * max(floor, self.ejections.probation_weight(name))

    def _load_per_slot(self, upstream: Upstream, now: Instant) -> float:
        """Return the requests per slot, counting what was sent since the last report."""
        report = self.reported_loads.get(upstream.upstream)
        entry = self.sent_since_report.get(upstream.upstream)
        sent = entry.count if entry is not None and now < entry.valid_until else 0
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
