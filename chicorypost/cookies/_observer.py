"""Reports what this balancer sees of its upstreams to control instances."""

from collections.abc import Iterator
from typing import Any

import msgspec

from chicorypost.announcements import PeerConnected, PeerDisconnected
from chicorypost.base import Effect, Event, InstanceId, Instant, Send, Tick, UpstreamId
from chicorypost.cookies._judged_upstreams import PERCENT, JudgedUpstreams
from chicorypost.cookies._response_times import UpstreamResponses
from chicorypost.cookies._router import CookieRouter
from chicorypost.observations import (
    MAX_OBSERVATIONS,
    Observation,
    ObservationSettings,
    ObservedState,
    ReportObservations,
)

MAX_PAUSE_SECONDS = 1.0
"""Time between two checks above which this process was paused: what was sent before may have been
answered meanwhile, so the time before the pause isn't evidence."""
PERCENT_STEP = 25
"""Steps of the slowness in reports."""
NEVER = Instant(float("-inf"))
REPORT_HEAD_BYTES = 90
"""Frame, run and number of a report, and the headers of IP and TCP."""
OBSERVATION_BYTES = 18
"""An observation without the name of its upstream."""


class Evidence(msgspec.Struct):
    """What is held against one run of an upstream.

    `since` is the start of the oldest opening or request that isn't answered; an answer after it
    ends the evidence. If it is a request, only the answer to a request does: an upstream that hangs
    may still accept flows. `seen_at` is when it was last seen.
    """

    started_at_ms: int
    since: Instant
    seen_at: Instant
    is_request: bool


class Unanswered(msgspec.Struct, frozen=True):
    """A request or an opening that waits too long for an answer, and when that was last seen."""

    upstream: UpstreamId
    since: Instant
    seen_at: Instant
    is_request: bool


class UpstreamObserver:
    """Compares what this balancer sees of its upstreams with what it has reported.

    Parameters
    ----------
    settings : ObservationSettings
        Intervals and limits.
    router : CookieRouter
        The router, with shared observations enabled; read only.
    judged_upstreams : JudgedUpstreams
        Judgements that the router has received.
    run : int
        Identifies this run of the process; increases with each start.
    now : Instant
        Current time.

    Notes
    -----
    Each report names all that is observed and goes to the first `report_targets` of the connected
    control instances in the order of their ids. All balancers that reach the same control instances
    therefore report to the same ones, which need no exchange between them; if one is lost, the next
    one gets the reports within a second.

    Nothing is reported while more than `suspect_share` of the upstreams look unresponsive, or
    without an answer of any upstream since: the fault is more likely on the side of this balancer.
    """

    def __init__(
        self,
        settings: ObservationSettings,
        router: CookieRouter,
        judged_upstreams: JudgedUpstreams,
        run: int,
        now: Instant,
    ) -> None:
        self.settings = settings
        self.router = router
        self.judged_upstreams = judged_upstreams
        self.run = run
        self.number = 0
        self.connected: set[InstanceId] = set()
        self.targets: tuple[InstanceId, ...] = ()
        self.evidence: dict[UpstreamId, Evidence] = {}
        self.answered_at: dict[UpstreamId, Instant] = {}
        """Answers that have ended evidence or contradicted a judgement; kept for
        `response_memory_seconds`."""
        self.reported: frozenset[Observation] = frozenset()
        self.repeat_at = now
        self.send_allowed_at = now
        """Time before which the byte rate allows no further report."""
        self.checked_at = now
        self.resumed_at = NEVER

    def handle(self, event: Event, now: Instant) -> list[Effect]:
        """Process one event and return the effects."""
        match event:
            case PeerConnected(peer):
                self.connected.add(peer)
            case PeerDisconnected(peer):
                self.connected.discard(peer)
            case Tick():
                return self._check(now)
            case _:
                raise TypeError(
                    f"observer received an unsupported event: got {type(event).__name__}"
                )
        return []

    def next_deadline(self) -> Instant | None:
        """Return when the observer next needs a `Tick`."""
        return Instant(self.checked_at + self.settings.check_seconds)

    def dump(self) -> dict[str, Any]:
        """Return the complete decision state as JSON-compatible values."""
        return {
            "targets": list(self.targets),
            "reports": self.number,
            "reported": {
                item.upstream: [item.state.name.lower(), item.slowness_percent]
                for item in self.reported
            },
        }

    def _check(self, now: Instant) -> list[Effect]:
        if now - self.checked_at > MAX_PAUSE_SECONDS:
            self.resumed_at = now
        self.checked_at = now
        self._update_evidence(now)
        observations = frozenset(self._list_observations(now))
        targets = tuple(sorted(self.connected)[: self.settings.report_targets])
        is_changed = observations != self.reported or (
            bool(observations) and targets != self.targets
        )
        is_due = is_changed or (bool(observations) and now >= self.repeat_at)
        if not is_due or not targets or now < self.send_allowed_at:
            return []
        self.targets, self.reported = targets, observations
        return self._send_report(now)

    def _send_report(self, now: Instant) -> list[Effect]:
        self.number += 1
        self.repeat_at = Instant(now + self.settings.repeat_seconds)
        size = REPORT_HEAD_BYTES + sum(
            OBSERVATION_BYTES + len(item.upstream) for item in self.reported
        )
        seconds = size * len(self.targets) / self.settings.report_bytes_per_second
        self.send_allowed_at = Instant(now + seconds)
        ordered = sorted(self.reported, key=lambda item: item.upstream)
        report = ReportObservations(self.run, self.number, tuple(ordered))
        return [Send(target, report) for target in self.targets]

    def _update_evidence(self, now: Instant) -> None:
        """Add and renew evidence, and remove what is answered, too old or of an earlier run."""
        latest_answer_at = self._find_latest_answer()
        for item in self._find_unanswered(now):
            name, upstream = item.upstream, self.router.upstreams.get(item.upstream)
            if upstream is None or item.since >= latest_answer_at:
                continue
            started_at_ms = upstream.announcement.started_at_ms
            known = self.evidence.get(name)
            if known is None or known.started_at_ms != started_at_ms:
                known = Evidence(started_at_ms, item.since, item.seen_at, item.is_request)
                self.evidence[name] = known
            known.seen_at = max(known.seen_at, item.seen_at)
            known.is_request |= item.is_request
        for name, entry in list(self.evidence.items()):
            if self._has_ended(name, entry, now):
                del self.evidence[name]

    def _has_ended(self, name: UpstreamId, entry: Evidence, now: Instant) -> bool:
        upstream = self.router.upstreams.get(name)
        if upstream is None or upstream.announcement.started_at_ms != entry.started_at_ms:
            return True
        responses = self._find_responses(name)
        if responses is not None and responses.answered_at > entry.since:
            self.answered_at[name] = responses.answered_at
            return True
        health = self.router.suspected_upstreams.health.get(name)
        if health is not None and health.answered_at > entry.since and not entry.is_request:
            return True
        return now - entry.seen_at >= self.settings.observation_seconds

    def _find_latest_answer(self) -> Instant:
        """Return when any upstream has last answered an opening or a request."""
        health = self.router.suspected_upstreams.health
        return max((entry.answered_at for entry in health.values()), default=NEVER)

    def _find_unanswered(self, now: Instant) -> Iterator[Unanswered]:
        """Yield the requests and openings that wait too long, at most one of each an upstream."""
        for name, entry in self.router.tracker.response_times.upstreams.items():
            since = self._find_stalled_request(name, entry, now) if entry.running else None
            if since is not None:
                yield Unanswered(name, since, now, True)
        suspected = self.router.suspected_upstreams
        for name in suspected.unresponsive:
            health = suspected.health[name]
            is_evident = health.unanswered_openings >= self.settings.min_unanswered_openings
            # A suspicion that this balancer hasn't tested again says nothing about the present. It
            # lasts up to 8 s, in which balancers that are cut off would accuse a good upstream.
            if is_evident and suspected.is_suspected(name, now):
                since = Instant(max(health.unanswered_since, self.resumed_at))
                yield Unanswered(name, since, health.unanswered_at, False)

    def _find_stalled_request(
        self, name: UpstreamId, entry: UpstreamResponses, now: Instant
    ) -> Instant | None:
        """Return the start of the oldest request without any answer of the upstream since."""
        usual_seconds = self.router.tracker.response_times.usual_seconds.get(name)
        if usual_seconds is None:
            return None
        oldest_counted = now - self.router.settings.max_request_seconds
        starts = [
            max(started_at, self.resumed_at)
            for started_at in entry.running.values()
            if started_at > entry.answered_at and started_at > oldest_counted
        ]
        limit = max(self.settings.stalled_seconds, self.settings.stalled_factor * usual_seconds)
        since = min(starts, default=now)
        return Instant(since) if now - since >= limit else None

    def _list_observations(self, now: Instant) -> list[Observation]:
        """Return the observations to report now, those of unresponsive upstreams first."""
        unresponsive = {
            name: Observation(name, entry.started_at_ms, ObservedState.UNRESPONSIVE)
            for name, entry in self.evidence.items()
        }
        if len(unresponsive) > self.settings.suspect_share * len(self.router.upstreams):
            unresponsive = {}
        others = [
            item
            for name in self._list_answered(now)
            if name not in self.evidence
            if (item := self._observe_answers(name, now)) is not None
        ]
        return [*unresponsive.values(), *others][:MAX_OBSERVATIONS]

    def _list_answered(self, now: Instant) -> list[UpstreamId]:
        """Return the upstreams whose answers may be worth a report, each once."""
        for name, at in list(self.answered_at.items()):
            if now - at >= self.router.settings.response_memory_seconds:
                del self.answered_at[name]
        names = [
            *self.answered_at,
            *self.judged_upstreams.judged_at,
            *self.router.tracker.response_times.slowness,
        ]
        return list(dict.fromkeys(names))

    def _observe_answers(self, name: UpstreamId, now: Instant) -> Observation | None:
        """Return what the answers of an upstream contradict or show, if anything."""
        responses, upstream = self._find_responses(name), self.router.upstreams.get(name)
        if responses is None or upstream is None:
            return None
        started_at_ms = upstream.announcement.started_at_ms
        age_seconds = now - responses.answered_at
        percent = self._measure_slowness(name, responses, now)
        is_known_speed = responses.responses >= self.settings.min_slow_responses
        judged_at = self.judged_upstreams.judged_at.get(name, NEVER)
        is_after_judgement = responses.answered_at > judged_at
        is_recent = age_seconds < self.settings.observation_seconds
        responsive = Observation(name, started_at_ms, ObservedState.RESPONSIVE)
        if name in self.judged_upstreams.unresponsive and is_recent and is_after_judgement:
            # Held after the judgement has ended, or the same accusations would restore it at once.
            self.answered_at[name] = responses.answered_at
            return responsive
        # The answers to requests that were sent during a hang say nothing about the speed after it.
        is_known_speed = is_known_speed and name not in self.answered_at
        if percent is not None and is_known_speed and percent >= self.settings.slow_percent:
            return Observation(name, started_at_ms, ObservedState.SLOW, percent)
        if name in self.judged_upstreams.slowness:
            is_usual = percent is not None and percent <= PERCENT and is_known_speed
            return responsive if is_usual and is_recent and is_after_judgement else None
        return responsive if name in self.answered_at and is_recent else None

    def _measure_slowness(
        self, name: UpstreamId, responses: UpstreamResponses, now: Instant
    ) -> int | None:
        """Return the slowness by the mean of recent answers, in percent."""
        settings = self.router.settings
        usual_seconds = self.router.tracker.response_times.usual_seconds.get(name)
        is_recent = now - responses.answered_at < settings.response_memory_seconds
        if usual_seconds is None or not is_recent:
            return None
        factor = responses.mean_seconds / usual_seconds / settings.usual_slowness
        factor = min(factor, settings.max_slowness)
        # In steps, since a changed figure is a changed report.
        steps = int(factor * PERCENT) // PERCENT_STEP
        return max(PERCENT, steps * PERCENT_STEP)

    def _find_responses(self, name: UpstreamId) -> UpstreamResponses | None:
        return self.router.tracker.response_times.upstreams.get(name)
