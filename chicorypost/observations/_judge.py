"""Judges upstreams by the reports of balancers."""

from collections import Counter
from collections.abc import Mapping
from typing import Any

import msgspec

from chicorypost.announcements import (
    AnnouncedStatus,
    JudgedState,
    Judgement,
    JudgementsChanged,
    PeerDisconnected,
    RunJudgement,
)
from chicorypost.announcements._table import AnnouncementTable
from chicorypost.base import (
    Effect,
    Event,
    InstanceId,
    Instant,
    Received,
    ServiceId,
    Tick,
    UpstreamId,
)
from chicorypost.observations._events import OBSERVATION_IGNORED, UPSTREAM_JUDGED
from chicorypost.observations._messages import Observation, ObservedState, ReportObservations
from chicorypost.observations._report_checks import find_impossible_field, select_usable
from chicorypost.observations._settings import ObservationSettings

IDLE_EVALUATION_SECONDS = 0.5
"""Interval of evaluations without new reports, so that expired reports end their judgements."""


class Reporter(msgspec.Struct):
    """The latest report of one balancer, and until when it counts and is remembered."""

    run: int
    number: int
    expires_at: Instant
    remembered_until: Instant
    observations: dict[UpstreamId, Observation]

    def is_newer(self, report: ReportObservations, now: Instant) -> bool:
        """Return whether a report is an earlier one of the balancer, or the same."""
        is_remembered = now < self.remembered_until
        return is_remembered and (report.run, report.number) <= (self.run, self.number)


class Tally(msgspec.Struct):
    """What the balancers report of one upstream; `slowness` has the percentages of each."""

    unresponsive: int = 0
    responsive: int = 0
    slowness: list[int] = msgspec.field(default_factory=list)


class ObservationJudge:
    """Judges which upstreams are unresponsive or slow.

    Parameters
    ----------
    settings : ObservationSettings
        Limits and expiry.
    table : AnnouncementTable
        The upstreams that this control instance lists; read only.
    now : Instant
        Current time.

    Notes
    -----
    An upstream is judged when at least `min_reporters` balancers report the same of its current run
    and fewer report that it responds: for a slow one fewer than those, for an unresponsive one
    fewer than `min_reporters`, since a cut can separate many balancers from an upstream that runs.
    Balancers contradict a judgement that differs from what they see afterwards, so no report is
    needed while all is well. The judgements are soft state: a control instance that has restarted
    judges by the next reports, which come within a second.
    """

    def __init__(
        self, settings: ObservationSettings, table: AnnouncementTable, now: Instant
    ) -> None:
        self.settings = settings
        self.table = table
        self.reporters: dict[InstanceId, Reporter] = {}
        self.judgements: dict[UpstreamId, RunJudgement] = {}
        self.counters: Counter[str] = Counter()
        self.evaluated_at = now
        self.evaluate_at: Instant | None = None
        self.effects: list[Effect] = []

    def handle(self, event: Event, now: Instant) -> list[Effect]:
        """Process one event and return the effects in execution order."""
        self.effects = []
        match event:
            case Received(sender, ReportObservations() as report):
                self._receive(sender, report, now)
            case PeerDisconnected(peer):
                if peer in self.reporters:
                    self.reporters[peer].observations = {}
                    self._schedule_evaluation(now)
            case Tick():
                if self.evaluate_at is not None and now >= self.evaluate_at:
                    self._evaluate(now)
            case _:
                raise TypeError(f"judge received an unsupported event: got {type(event).__name__}")
        return self.effects

    def next_deadline(self) -> Instant | None:
        """Return when the judge next needs a `Tick`, or None without reports and judgements."""
        return self.evaluate_at

    def dump(self) -> dict[str, Any]:
        """Return the complete decision state as JSON-compatible values."""
        return {
            "judgements": {
                name: [item.judgement.state.name.lower(), item.judgement.slowness_percent]
                for name, item in self.judgements.items()
            },
            "reporters": {
                name: [item.run, item.number, len(item.observations)]
                for name, item in self.reporters.items()
            },
            "reports": dict(self.counters),
        }

    def count_judged(self, state: JudgedState) -> int:
        """Return the number of upstreams with a judgement."""
        return sum(item.judgement.state is state for item in self.judgements.values())

    def _receive(self, sender: InstanceId, report: ReportObservations, now: Instant) -> None:
        field = find_impossible_field(report)
        if field is not None:
            self.counters["refused"] += 1
            ignored = OBSERVATION_IGNORED.emit(reporter=sender, upstream="", field=field)
            self.effects.append(ignored)
            return
        known = self.reporters.get(sender)
        if known is not None and known.is_newer(report, now):
            self.counters["outdated"] += 1
            return
        if known is None:
            # Without judgements nothing is evaluated, and balancers come and go all the same.
            self._remove_expired(now)
        self.counters["accepted"] += 1
        observations, events = select_usable(report, sender)
        self.effects += events
        settings = self.settings
        self.reporters[sender] = Reporter(
            report.run,
            report.number,
            Instant(now + settings.observation_seconds),
            Instant(now + settings.reporter_seconds),
            observations,
        )
        if observations or (known is not None and known.observations):
            self._schedule_evaluation(now)

    def _schedule_evaluation(self, now: Instant) -> None:
        due_at = Instant(max(now, self.evaluated_at + self.settings.evaluation_seconds))
        self.evaluate_at = due_at if self.evaluate_at is None else min(self.evaluate_at, due_at)

    def _evaluate(self, now: Instant) -> None:
        self.evaluated_at = now
        self._remove_expired(now)
        tallies = self._count_reports()
        judged = self._judge(tallies)
        changed = {
            name: judged.get(name)
            for name in judged.keys() | self.judgements.keys()
            if judged.get(name) != self.judgements.get(name)
        }
        for name, item in changed.items():
            self._log_change(name, item, tallies.get(name, Tally()))
        self.judgements = judged
        if changed:
            self.effects.append(JudgementsChanged(changed))
        is_needed = judged or any(item.observations for item in self.reporters.values())
        self.evaluate_at = Instant(now + IDLE_EVALUATION_SECONDS) if is_needed else None

    def _remove_expired(self, now: Instant) -> None:
        for name, reporter in list(self.reporters.items()):
            if now >= reporter.remembered_until:
                del self.reporters[name]
            elif now >= reporter.expires_at:
                reporter.observations = {}

    def _count_reports(self) -> dict[UpstreamId, Tally]:
        """Return what the balancers report of the listed runs that take new flows."""
        limits = {
            service: self.settings.suspect_share * count
            for service, count in self._count_upstreams().items()
        }
        tallies: dict[UpstreamId, Tally] = {}
        for reporter in self.reporters.values():
            current = {
                name: item for name, item in reporter.observations.items() if self._is_current(item)
            }
            accused = Counter(
                self.table.entries[name].announcement.service
                for name, item in current.items()
                if item.state is not ObservedState.RESPONSIVE
            )
            for name, item in current.items():
                service = self.table.entries[name].announcement.service
                if item.state is ObservedState.RESPONSIVE or accused[service] <= limits[service]:
                    _add_observation(tallies.setdefault(name, Tally()), item)
        return tallies

    def _count_upstreams(self) -> Counter[ServiceId]:
        """Return the number of upstreams of each service that take new flows."""
        return Counter(
            entry.announcement.service
            for entry in self.table.entries.values()
            if entry.announcement.status is AnnouncedStatus.READY and not entry.is_silent
        )

    def _is_current(self, item: Observation) -> bool:
        entry = self.table.entries.get(item.upstream)
        return (
            entry is not None
            and entry.announcement.started_at_ms == item.started_at_ms
            and entry.announcement.status is AnnouncedStatus.READY
            and not entry.is_silent
        )

    def _judge(self, tallies: Mapping[UpstreamId, Tally]) -> dict[UpstreamId, RunJudgement]:
        """Return the judgements; if there are too many, those with the most evidence."""
        remaining = {
            service: int(self.settings.suspect_share * count)
            for service, count in self._count_upstreams().items()
        }
        judged: dict[UpstreamId, RunJudgement] = {}
        ranked = sorted(
            tallies,
            key=lambda name: (
                -tallies[name].unresponsive,
                -len(tallies[name].slowness),
                name not in self.judgements,
                name,
            ),
        )
        for name in ranked:
            announcement = self.table.entries[name].announcement
            judgement = self._judge_upstream(name, tallies[name])
            if judgement is not None and remaining[announcement.service] > 0:
                remaining[announcement.service] -= 1
                judged[name] = RunJudgement(announcement.started_at_ms, judgement)
        return judged

    def _judge_upstream(self, name: UpstreamId, tally: Tally) -> Judgement | None:
        minimum, slow_reporters = self.settings.min_reporters, len(tally.slowness)
        # An upstream that answers some balancers runs, however many others are cut off from it.
        if tally.responsive < minimum <= tally.unresponsive:
            return Judgement(JudgedState.UNRESPONSIVE)
        if slow_reporters < minimum or tally.responsive >= slow_reporters:
            return None
        ordered = sorted(tally.slowness)
        percent = ordered[(len(ordered) - 1) // 2]
        known = self.judgements.get(name)
        if known is not None and known.judgement.state is JudgedState.SLOW:
            known_percent, step = known.judgement.slowness_percent, self.settings.slowness_step
            if known_percent / step < percent < known_percent * step:
                percent = known_percent
        return Judgement(JudgedState.SLOW, percent)

    def _log_change(self, name: UpstreamId, item: RunJudgement | None, tally: Tally) -> None:
        judgement = item.judgement if item is not None else None
        is_slow = judgement is not None and judgement.state is JudgedState.SLOW
        event = UPSTREAM_JUDGED.emit(
            upstream=name,
            judgement=judgement.state.name.lower() if judgement is not None else "none",
            slowness=(judgement.slowness_percent if judgement is not None else 100) / 100,
            reporters=len(tally.slowness) if is_slow else tally.unresponsive,
            contradictions=tally.responsive,
        )
        self.effects.append(event)


def _add_observation(tally: Tally, item: Observation) -> None:
    match item.state:
        case ObservedState.UNRESPONSIVE:
            tally.unresponsive += 1
        case ObservedState.SLOW:
            tally.slowness.append(item.slowness_percent)
        case ObservedState.RESPONSIVE:
            tally.responsive += 1
