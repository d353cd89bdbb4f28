"""Control side of configurations: publish versions, admit balancers, clear releases."""

from dataclasses import dataclass, field
from random import Random
from typing import Any

from chicorypost.base import (
    DataCentreId,
    Effect,
    Epoch,
    Event,
    InstanceId,
    Instant,
    Message,
    Received,
    Send,
    Version,
)
from chicorypost.configuration._commands import AdmitDataCentre, ClearReleases, Withheld
from chicorypost.configuration._events import (
    DATA_CENTRE_HEARD,
    DATA_CENTRE_SILENT,
    RELEASE_CLEARED,
)
from chicorypost.configuration._messages import (
    AnswerHead,
    AnswerSource,
    ConfigurationPoll,
    DataCentreReport,
    ReportAnswer,
    Standing,
)
from chicorypost.configuration._relay import PUSH_HEAD
from chicorypost.configuration._settings import DistributionSettings
from chicorypost.configuration._window import DocumentWindow

NO_EPOCH = Epoch(0)
NO_VERSION = Version(0)
ADMISSION_SECONDS = 2.0
CLEAR_RETRY_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class StateApplied(Event):
    """The replicated state has changed: what balancers apply and whom releases wait for."""

    version: Version
    effective: dict[str, Any]
    withheld: tuple[Withheld, ...]
    data_centres: dict[DataCentreId, Epoch]


@dataclass(frozen=True, slots=True)
class AdmissionCommitted(Event):
    """The log has recorded the admission with this token."""

    token: str


@dataclass(frozen=True, slots=True)
class LeadershipChanged(Event, Effect):
    """This control instance leads, or no longer leads, the replicated log."""

    leading: bool


@dataclass(frozen=True, slots=True)
class ProposeCommand(Effect):
    """Propose a command to the replicated log; its loss is noticed and it is proposed again."""

    command: Message


@dataclass(slots=True)
class DataCentreStanding:
    """What is known of the balancers of one data centre."""

    report: DataCentreReport
    relay: InstanceId
    heard_at: Instant
    names: tuple[InstanceId, ...] = ()
    named_epoch: Epoch = NO_EPOCH
    pushed: Version = NO_VERSION
    silent: bool = False


@dataclass(slots=True)
class Admission:
    """An admission on its way through the log and the polls that it will answer."""

    command: AdmitDataCentre
    expires: Instant
    waiting: dict[InstanceId, ConfigurationPoll] = field(default_factory=dict)


class ConfigurationPublisher:
    """State machine that hands committed configurations to the data centres.

    Takes `Received`, `Tick`, `StateApplied`, `AdmissionCommitted` and `LeadershipChanged`; gives
    `Send`, `Emit` and `ProposeCommand`. It runs on every control instance: all answer polls and
    take reports; the leader alone pushes, admits balancers and clears releases.

    Parameters
    ----------
    settings : DistributionSettings
        Intervals and bounds.
    identity : InstanceId
        This instance.
    random : Random
        Source of admission tokens.
    now : Instant
        Time of the start.
    """

    def __init__(
        self, settings: DistributionSettings, identity: InstanceId, random: Random, now: Instant
    ) -> None:
        self.settings = settings
        self.identity = identity
        self.random = random
        self.started = now
        self.leading = False
        self.window = DocumentWindow(settings.window)
        self.withheld: tuple[Withheld, ...] = ()
        self.data_centres: dict[DataCentreId, Epoch] = {}
        self.standings: dict[DataCentreId, DataCentreStanding] = {}
        self.admissions: dict[DataCentreId, Admission] = {}
        self.push_at: Instant | None = None
        self.clear_at = now

    def handle(self, event: Event, now: Instant) -> list[Effect]:
        """Take one event and return the effects, in the order to carry them out."""
        effects: list[Effect] = []
        match event:
            case Received(sender, ConfigurationPoll() as poll):
                effects = self._answer_poll(sender, poll, now)
            case Received(sender, DataCentreReport() as report):
                effects = self._take_report(sender, report, now)
            case StateApplied():
                self._take_state(event, now)
            case AdmissionCommitted(token):
                effects = self._answer_admitted(token)
            case LeadershipChanged(leading):
                self._change_leadership(leading, now)
        return effects + self._act_on_deadlines(now)

    def next_deadline(self) -> Instant | None:
        """Return when the publisher next wants a `Tick`."""
        limit = self.settings.unreachable_seconds
        deadlines = [kept.heard_at + limit for kept in self.standings.values() if not kept.silent]
        if self.push_at is not None:
            deadlines.append(self.push_at)
        if self._clearable() is not None:
            deadlines.append(self.clear_at)
        return Instant(min(deadlines)) if deadlines else None

    def dump(self) -> dict[str, Any]:
        """Return the whole decision state as values that JSON can hold."""
        return {
            "version": self.window.version,
            "leading": self.leading,
            "withheld": [hold.value for hold in self.withheld],
            "data_centres": dict(self.data_centres),
            "admissions": sorted(self.admissions),
            "standings": {
                name: {
                    "relay": kept.relay,
                    "epoch": kept.report.epoch,
                    "heard_epoch": kept.report.heard_epoch,
                    "floor": kept.report.floor,
                    "silent": kept.silent,
                }
                for name, kept in self.standings.items()
            },
        }

    def _answer_poll(
        self, sender: InstanceId, poll: ConfigurationPoll, now: Instant
    ) -> list[Effect]:
        head = AnswerHead(poll.token, AnswerSource.UNCERTAIN)
        answer = Send(sender, self.window.answer(poll.standing.version, poll.standing.digest, head))
        if not poll.starting or not self.leading:
            return [answer]
        return [answer, *self._admit(sender, poll, now)]

    def _admit(self, sender: InstanceId, poll: ConfigurationPoll, now: Instant) -> list[Effect]:
        underway = self.admissions.get(poll.data_centre)
        if underway is not None and now < underway.expires:
            if poll.epoch <= underway.command.epoch:
                underway.waiting[sender] = poll
            return []
        admission = self._start_admission(poll.data_centre, poll.epoch, now)
        admission.waiting[sender] = poll
        return [ProposeCommand(admission.command)]

    def _start_admission(self, name: DataCentreId, epoch: Epoch, now: Instant) -> Admission:
        token = f"{self.identity}.{self.random.getrandbits(64):x}"
        expires = Instant(now + ADMISSION_SECONDS)
        admission = Admission(AdmitDataCentre(name, epoch, token), expires)
        self.admissions[name] = admission
        return admission

    def _admit_reporting(self, report: DataCentreReport, now: Instant) -> list[Effect]:
        """Wait again for a data centre that was forgotten but reports."""
        name = report.data_centre
        underway = self.admissions.get(name)
        if not self.leading or name in self.data_centres:
            return []
        if underway is not None and now < underway.expires:
            return []
        return [ProposeCommand(self._start_admission(name, report.epoch, now).command)]

    def _answer_admitted(self, token: str) -> list[Effect]:
        found = [name for name, kept in self.admissions.items() if kept.command.token == token]
        if not found:
            return []
        waiting = self.admissions.pop(found[0]).waiting
        return [
            Send(sender, self._admitted(poll.token, poll.standing))
            for sender, poll in waiting.items()
        ]

    def _admitted(self, token: str, standing: Standing) -> Message:
        head = AnswerHead(token, AnswerSource.ADMITTED)
        return self.window.answer(standing.version, standing.digest, head)

    def _take_report(
        self, sender: InstanceId, report: DataCentreReport, now: Instant
    ) -> list[Effect]:
        known = self.standings.get(report.data_centre)
        effects: list[Effect] = []
        if known is not None and not known.silent and _order(report) < _order(known.report):
            return effects
        if known is None or known.silent:
            where, version = report.data_centre, report.version
            effects.append(DATA_CENTRE_HEARD.emit(data_centre=where, relay=sender, version=version))
        standing = known or DataCentreStanding(report, sender, now)
        self.standings[report.data_centre] = standing
        standing.report, standing.relay = report, sender
        standing.heard_at, standing.silent = now, False
        if report.names:
            standing.names, standing.named_epoch = report.names, report.epoch
        answer = ReportAnswer(standing.named_epoch, self.window.version)
        effects.append(Send(sender, answer))
        effects += self._admit_reporting(report, now)
        if self.leading and report.version < self.window.version and self.push_at is None:
            change = self.window.answer(report.version, report.digest, PUSH_HEAD)
            effects.append(Send(sender, change))
        return effects

    def _take_state(self, state: StateApplied, now: Instant) -> None:
        self.withheld = state.withheld
        self.data_centres = state.data_centres
        if state.version <= self.window.version:
            return
        self.window.add(state.version, state.effective)
        if self.leading and self.push_at is None:
            self.push_at = Instant(now + self.settings.batch_seconds)

    def _change_leadership(self, leading: bool, now: Instant) -> None:
        self.leading = leading
        self.admissions = {}
        self.push_at = now if leading else None

    def _act_on_deadlines(self, now: Instant) -> list[Effect]:
        effects = self._note_silence(now)
        if self.push_at is not None and now >= self.push_at:
            self.push_at = None
            effects += self._push()
        confirmed = self._clearable()
        if confirmed is not None and now >= self.clear_at:
            self.clear_at = Instant(now + CLEAR_RETRY_SECONDS)
            effects += self._clear(confirmed)
        return effects

    def _push(self) -> list[Effect]:
        effects: list[Effect] = []
        for standing in self.standings.values():
            base = max(standing.report.version, standing.pushed)
            digest = self.window.recent.get(base, ({}, standing.report.digest))[1]
            if base >= self.window.version:
                continue
            answer = self.window.answer(base, digest, PUSH_HEAD)
            effects.append(Send(standing.relay, answer))
            standing.pushed = self.window.version
        return effects

    def _clearable(self) -> Version | None:
        """Return the version that every live balancer has confirmed, if a release waits for it."""
        if not self.leading or not self.withheld:
            return None
        floors = [self._floor(name, epoch) for name, epoch in self.data_centres.items()]
        confirmed = min([*floors, self.window.version])
        if confirmed < min(hold.released_in for hold in self.withheld):
            return None
        return confirmed

    def _floor(self, name: DataCentreId, admitted: Epoch) -> Version:
        """Return what all that may serve in a data centre have confirmed.

        A report counts only if its view is not older than any epoch in which a balancer may have
        started to serve: those recorded in the log and those that its members have heard of.
        """
        standing = self.standings.get(name)
        if standing is None:
            return Version(-1)
        report = standing.report
        if report.epoch < max(admitted, report.heard_epoch):
            return Version(-1)
        return report.floor

    def _clear(self, confirmed: Version) -> list[Effect]:
        command = ClearReleases(confirmed, 0)
        return [ProposeCommand(command), RELEASE_CLEARED.emit(version=confirmed)]

    def _note_silence(self, now: Instant) -> list[Effect]:
        effects: list[Effect] = []
        for name, standing in self.standings.items():
            silence = now - standing.heard_at
            if standing.silent or silence < self.settings.unreachable_seconds:
                continue
            standing.silent = True
            effects.append(
                DATA_CENTRE_SILENT.emit(data_centre=name, silent_seconds=round(silence, 3))
            )
        return effects


def _order(report: DataCentreReport) -> tuple[Epoch, Version, Version]:
    return (report.epoch, report.version, report.floor)
