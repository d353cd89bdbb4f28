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
from chicorypost.configuration._commands import AdmitDataCentre, ClearReleases, WithheldAssignment
from chicorypost.configuration._events import (
    DATA_CENTRE_REPORTING,
    DATA_CENTRE_SILENT,
    RELEASE_CLEARED,
)
from chicorypost.configuration._messages import (
    AppliedConfiguration,
    ConfigurationPoll,
    DataCentreReport,
    ReplyGuarantee,
    ReplyHeader,
    ReportAcknowledgement,
)
from chicorypost.configuration._relay import PUSH_HEADER
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
    withheld: tuple[WithheldAssignment, ...]
    data_centres: dict[DataCentreId, Epoch]


@dataclass(frozen=True, slots=True)
class AdmissionCommitted(Event):
    """The log has recorded the admission with this token."""

    token: str


@dataclass(frozen=True, slots=True)
class LeadershipChanged(Event, Effect):
    """This control instance leads, or no longer leads, the replicated log."""

    is_leading: bool


@dataclass(frozen=True, slots=True)
class ProposeCommand(Effect):
    """Propose a command to the replicated log; its loss is noticed and it is proposed again."""

    command: Message


@dataclass(slots=True)
class DataCentreStatus:
    """What is known of the balancers of one data centre."""

    report: DataCentreReport
    relay: InstanceId
    received_at: Instant
    member_names: tuple[InstanceId, ...] = ()
    named_epoch: Epoch = NO_EPOCH
    pushed_version: Version = NO_VERSION
    is_silent: bool = False


@dataclass(slots=True)
class PendingAdmission:
    """An admission on its way through the log and the polls that it will answer."""

    command: AdmitDataCentre
    expires_at: Instant
    waiting_polls: dict[InstanceId, ConfigurationPoll] = field(default_factory=dict)


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
        self.started_at = now
        self.is_leading = False
        self.window = DocumentWindow(settings.window)
        self.withheld: tuple[WithheldAssignment, ...] = ()
        self.data_centres: dict[DataCentreId, Epoch] = {}
        self.data_centre_statuses: dict[DataCentreId, DataCentreStatus] = {}
        self.pending_admissions: dict[DataCentreId, PendingAdmission] = {}
        self.push_at: Instant | None = None
        self.clear_at = now

    def handle(self, event: Event, now: Instant) -> list[Effect]:
        """Take one event and return the effects, in the order to carry them out."""
        effects: list[Effect] = []
        match event:
            case Received(sender, ConfigurationPoll() as poll):
                effects = self._reply_to_poll(sender, poll, now)
            case Received(sender, DataCentreReport() as report):
                effects = self._handle_report(sender, report, now)
            case StateApplied():
                self._apply_state(event, now)
            case AdmissionCommitted(token):
                effects = self._reply_to_admitted(token)
            case LeadershipChanged(leading):
                self._change_leadership(leading, now)
        return effects + self._handle_deadlines(now)

    def next_deadline(self) -> Instant | None:
        """Return when the publisher next wants a `Tick`."""
        limit = self.settings.unreachable_seconds
        deadlines = [
            kept.received_at + limit
            for kept in self.data_centre_statuses.values()
            if not kept.is_silent
        ]
        if self.push_at is not None:
            deadlines.append(self.push_at)
        if self._find_clearable_version() is not None:
            deadlines.append(self.clear_at)
        return Instant(min(deadlines)) if deadlines else None

    def dump(self) -> dict[str, Any]:
        """Return the whole decision state as values that JSON can hold."""
        return {
            "version": self.window.version,
            "leading": self.is_leading,
            "withheld": [hold.value for hold in self.withheld],
            "data_centres": dict(self.data_centres),
            "admissions": sorted(self.pending_admissions),
            "standings": {
                name: {
                    "relay": kept.relay,
                    "epoch": kept.report.epoch,
                    "heard_epoch": kept.report.highest_epoch,
                    "floor": kept.report.lowest_version,
                    "silent": kept.is_silent,
                }
                for name, kept in self.data_centre_statuses.items()
            },
        }

    def _reply_to_poll(
        self, sender: InstanceId, poll: ConfigurationPoll, now: Instant
    ) -> list[Effect]:
        head = ReplyHeader(poll.token, ReplyGuarantee.UNCERTAIN)
        answer = Send(
            sender, self.window.make_reply(poll.applied.version, poll.applied.digest, head)
        )
        if not poll.is_starting or not self.is_leading:
            return [answer]
        return [answer, *self._propose_admission(sender, poll, now)]

    def _propose_admission(
        self, sender: InstanceId, poll: ConfigurationPoll, now: Instant
    ) -> list[Effect]:
        underway = self.pending_admissions.get(poll.data_centre)
        if underway is not None and now < underway.expires_at:
            if poll.epoch <= underway.command.epoch:
                underway.waiting_polls[sender] = poll
            return []
        admission = self._start_admission(poll.data_centre, poll.epoch, now)
        admission.waiting_polls[sender] = poll
        return [ProposeCommand(admission.command)]

    def _start_admission(self, name: DataCentreId, epoch: Epoch, now: Instant) -> PendingAdmission:
        token = f"{self.identity}.{self.random.getrandbits(64):x}"
        expires = Instant(now + ADMISSION_SECONDS)
        admission = PendingAdmission(AdmitDataCentre(name, epoch, token), expires)
        self.pending_admissions[name] = admission
        return admission

    def _readmit_if_forgotten(self, report: DataCentreReport, now: Instant) -> list[Effect]:
        """Wait again for a data centre that was forgotten but reports."""
        name = report.data_centre
        underway = self.pending_admissions.get(name)
        if not self.is_leading or name in self.data_centres:
            return []
        if underway is not None and now < underway.expires_at:
            return []
        return [ProposeCommand(self._start_admission(name, report.epoch, now).command)]

    def _reply_to_admitted(self, token: str) -> list[Effect]:
        found = [
            name for name, kept in self.pending_admissions.items() if kept.command.token == token
        ]
        if not found:
            return []
        waiting = self.pending_admissions.pop(found[0]).waiting_polls
        return [
            Send(sender, self._make_admitted_reply(poll.token, poll.applied))
            for sender, poll in waiting.items()
        ]

    def _make_admitted_reply(self, token: str, standing: AppliedConfiguration) -> Message:
        head = ReplyHeader(token, ReplyGuarantee.ADMITTED)
        return self.window.make_reply(standing.version, standing.digest, head)

    def _handle_report(
        self, sender: InstanceId, report: DataCentreReport, now: Instant
    ) -> list[Effect]:
        known = self.data_centre_statuses.get(report.data_centre)
        effects: list[Effect] = []
        if (
            known is not None
            and not known.is_silent
            and _report_order(report) < _report_order(known.report)
        ):
            return effects
        if known is None or known.is_silent:
            where, version = report.data_centre, report.version
            effects.append(
                DATA_CENTRE_REPORTING.emit(data_centre=where, relay=sender, version=version)
            )
        standing = known or DataCentreStatus(report, sender, now)
        self.data_centre_statuses[report.data_centre] = standing
        standing.report, standing.relay = report, sender
        standing.received_at, standing.is_silent = now, False
        if report.member_names:
            standing.member_names, standing.named_epoch = report.member_names, report.epoch
        answer = ReportAcknowledgement(standing.named_epoch, self.window.version)
        effects.append(Send(sender, answer))
        effects += self._readmit_if_forgotten(report, now)
        if self.is_leading and report.version < self.window.version and self.push_at is None:
            change = self.window.make_reply(report.version, report.digest, PUSH_HEADER)
            effects.append(Send(sender, change))
        return effects

    def _apply_state(self, state: StateApplied, now: Instant) -> None:
        self.withheld = state.withheld
        self.data_centres = state.data_centres
        if state.version <= self.window.version:
            return
        self.window.add_version(state.version, state.effective)
        if self.is_leading and self.push_at is None:
            self.push_at = Instant(now + self.settings.batch_seconds)

    def _change_leadership(self, leading: bool, now: Instant) -> None:
        self.is_leading = leading
        self.pending_admissions = {}
        self.push_at = now if leading else None

    def _handle_deadlines(self, now: Instant) -> list[Effect]:
        effects = self._detect_silence(now)
        if self.push_at is not None and now >= self.push_at:
            self.push_at = None
            effects += self._push_version()
        confirmed = self._find_clearable_version()
        if confirmed is not None and now >= self.clear_at:
            self.clear_at = Instant(now + CLEAR_RETRY_SECONDS)
            effects += self._clear_releases(confirmed)
        return effects

    def _push_version(self) -> list[Effect]:
        effects: list[Effect] = []
        for standing in self.data_centre_statuses.values():
            base = max(standing.report.version, standing.pushed_version)
            digest = self.window.recent_versions.get(base, ({}, standing.report.digest))[1]
            if base >= self.window.version:
                continue
            answer = self.window.make_reply(base, digest, PUSH_HEADER)
            effects.append(Send(standing.relay, answer))
            standing.pushed_version = self.window.version
        return effects

    def _find_clearable_version(self) -> Version | None:
        """Return the version that every live balancer has confirmed, if a release waits for it."""
        if not self.is_leading or not self.withheld:
            return None
        floors = [self._confirmed_version(name, epoch) for name, epoch in self.data_centres.items()]
        confirmed = min([*floors, self.window.version])
        if confirmed < min(hold.released_in for hold in self.withheld):
            return None
        return confirmed

    def _confirmed_version(self, name: DataCentreId, admitted: Epoch) -> Version:
        """Return what all that may serve in a data centre have confirmed.

        A report counts only if its view is not older than any epoch in which a balancer may have
        started to serve: those recorded in the log and those that its members have heard of.
        """
        standing = self.data_centre_statuses.get(name)
        if standing is None:
            return Version(-1)
        report = standing.report
        if report.epoch < max(admitted, report.highest_epoch):
            return Version(-1)
        return report.lowest_version

    def _clear_releases(self, confirmed: Version) -> list[Effect]:
        command = ClearReleases(confirmed, 0)
        return [ProposeCommand(command), RELEASE_CLEARED.emit(version=confirmed)]

    def _detect_silence(self, now: Instant) -> list[Effect]:
        effects: list[Effect] = []
        for name, standing in self.data_centre_statuses.items():
            silence = now - standing.received_at
            if standing.is_silent or silence < self.settings.unreachable_seconds:
                continue
            standing.is_silent = True
            effects.append(
                DATA_CENTRE_SILENT.emit(data_centre=name, silent_seconds=round(silence, 3))
            )
        return effects


def _report_order(report: DataCentreReport) -> tuple[Epoch, Version, Version]:
    return (report.epoch, report.version, report.lowest_version)
