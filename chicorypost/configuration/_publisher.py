"""Publisher on the control instances: pushes versions, admits balancers, clears releases."""

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
    """The replicated state has changed; releases wait for the balancers of `data_centres`."""

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
    """This control instance became the leader of the replicated log or lost leadership."""

    is_leading: bool


@dataclass(frozen=True, slots=True)
class ProposeCommand(Effect):
    """Propose a command to the replicated log; the publisher repeats a lost proposal."""

    command: Message


@dataclass(slots=True)
class DataCentreStatus:
    """Last report of a data centre and what was pushed to it."""

    report: DataCentreReport
    relay: InstanceId
    received_at: Instant
    member_names: tuple[InstanceId, ...] = ()
    named_epoch: Epoch = NO_EPOCH
    pushed_version: Version = NO_VERSION
    is_silent: bool = False


@dataclass(slots=True)
class PendingAdmission:
    """A proposed admission and the polls to reply to once it is committed."""

    command: AdmitDataCentre
    expires_at: Instant
    waiting_polls: dict[InstanceId, ConfigurationPoll] = field(default_factory=dict)


class ConfigurationPublisher:
    """State machine that distributes committed configurations to the data centres.

    Handles `Received`, `Tick`, `StateApplied`, `AdmissionCommitted` and `LeadershipChanged`;
    returns `Send`, `Emit` and `ProposeCommand`. It runs on every control instance: all reply to
    polls and process reports; only the leader pushes, admits balancers and clears releases.

    Parameters
    ----------
    settings : DistributionSettings
        Intervals and bounds.
    identity : InstanceId
        This instance.
    random : Random
        Random number generator for admission tokens.
    now : Instant
        Start time.
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
        """Handle an event and return the effects in execution order."""
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
            case LeadershipChanged(is_leading):
                self._change_leadership(is_leading, now)
        return effects + self._handle_deadlines(now)

    def next_deadline(self) -> Instant | None:
        """Return when the publisher next needs a `Tick`, or None."""
        limit = self.settings.unreachable_seconds
        deadlines = [
            status.received_at + limit
            for status in self.data_centre_statuses.values()
            if not status.is_silent
        ]
        if self.push_at is not None:
            deadlines.append(self.push_at)
        if self._find_clearable_version() is not None:
            deadlines.append(self.clear_at)
        return Instant(min(deadlines)) if deadlines else None

    def dump(self) -> dict[str, Any]:
        """Return the decision state as JSON values."""
        return {
            "version": self.window.version,
            "leading": self.is_leading,
            "withheld": [assignment.value for assignment in self.withheld],
            "data_centres": dict(self.data_centres),
            "admissions": sorted(self.pending_admissions),
            "standings": {
                name: {
                    "relay": status.relay,
                    "epoch": status.report.epoch,
                    "heard_epoch": status.report.highest_epoch,
                    "floor": status.report.lowest_version,
                    "silent": status.is_silent,
                }
                for name, status in self.data_centre_statuses.items()
            },
        }

    def _reply_to_poll(
        self, sender: InstanceId, poll: ConfigurationPoll, now: Instant
    ) -> list[Effect]:
        header = ReplyHeader(poll.token, ReplyGuarantee.UNCERTAIN)
        reply = Send(
            sender, self.window.make_reply(poll.applied.version, poll.applied.digest, header)
        )
        if not poll.is_starting or not self.is_leading:
            return [reply]
        return [reply, *self._propose_admission(sender, poll, now)]

    def _propose_admission(
        self, sender: InstanceId, poll: ConfigurationPoll, now: Instant
    ) -> list[Effect]:
        pending = self.pending_admissions.get(poll.data_centre)
        if pending is not None and now < pending.expires_at:
            if poll.epoch <= pending.command.epoch:
                pending.waiting_polls[sender] = poll
            return []
        admission = self._start_admission(poll.data_centre, poll.epoch, now)
        admission.waiting_polls[sender] = poll
        return [ProposeCommand(admission.command)]

    def _start_admission(self, name: DataCentreId, epoch: Epoch, now: Instant) -> PendingAdmission:
        token = f"{self.identity}.{self.random.getrandbits(64):x}"
        expires_at = Instant(now + ADMISSION_SECONDS)
        admission = PendingAdmission(AdmitDataCentre(name, epoch, token), expires_at)
        self.pending_admissions[name] = admission
        return admission

    def _readmit_if_forgotten(self, report: DataCentreReport, now: Instant) -> list[Effect]:
        """Propose to admit a data centre that was forgotten but still reports."""
        name = report.data_centre
        pending = self.pending_admissions.get(name)
        if not self.is_leading or name in self.data_centres:
            return []
        if pending is not None and now < pending.expires_at:
            return []
        return [ProposeCommand(self._start_admission(name, report.epoch, now).command)]

    def _reply_to_admitted(self, token: str) -> list[Effect]:
        matching = [
            name
            for name, admission in self.pending_admissions.items()
            if admission.command.token == token
        ]
        if not matching:
            return []
        polls = self.pending_admissions.pop(matching[0]).waiting_polls
        return [
            Send(sender, self._make_admitted_reply(poll.token, poll.applied))
            for sender, poll in polls.items()
        ]

    def _make_admitted_reply(self, token: str, applied: AppliedConfiguration) -> Message:
        header = ReplyHeader(token, ReplyGuarantee.ADMITTED)
        return self.window.make_reply(applied.version, applied.digest, header)

    def _handle_report(
        self, sender: InstanceId, report: DataCentreReport, now: Instant
    ) -> list[Effect]:
        previous = self.data_centre_statuses.get(report.data_centre)
        effects: list[Effect] = []
        if (
            previous is not None
            and not previous.is_silent
            and _report_order(report) < _report_order(previous.report)
        ):
            return effects
        if previous is None or previous.is_silent:
            data_centre, version = report.data_centre, report.version
            effects.append(
                DATA_CENTRE_REPORTING.emit(data_centre=data_centre, relay=sender, version=version)
            )
        status = previous or DataCentreStatus(report, sender, now)
        self.data_centre_statuses[report.data_centre] = status
        status.report, status.relay = report, sender
        status.received_at, status.is_silent = now, False
        if report.member_names:
            status.member_names, status.named_epoch = report.member_names, report.epoch
        acknowledgement = ReportAcknowledgement(status.named_epoch, self.window.version)
        effects.append(Send(sender, acknowledgement))
        effects += self._readmit_if_forgotten(report, now)
        if self.is_leading and report.version < self.window.version and self.push_at is None:
            push = self.window.make_reply(report.version, report.digest, PUSH_HEADER)
            effects.append(Send(sender, push))
        return effects

    def _apply_state(self, state: StateApplied, now: Instant) -> None:
        self.withheld = state.withheld
        self.data_centres = state.data_centres
        if state.version <= self.window.version:
            return
        self.window.add_version(state.version, state.effective)
        if self.is_leading and self.push_at is None:
            self.push_at = Instant(now + self.settings.batch_seconds)

    def _change_leadership(self, is_leading: bool, now: Instant) -> None:
        self.is_leading = is_leading
        self.pending_admissions = {}
        self.push_at = now if is_leading else None

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
        for status in self.data_centre_statuses.values():
            base = max(status.report.version, status.pushed_version)
            digest = self.window.recent_versions.get(base, ({}, status.report.digest))[1]
            if base >= self.window.version:
                continue
            push = self.window.make_reply(base, digest, PUSH_HEADER)
            effects.append(Send(status.relay, push))
            status.pushed_version = self.window.version
        return effects

    def _find_clearable_version(self) -> Version | None:
        """Return the version confirmed by every live balancer, or None if it clears no release."""
        if not self.is_leading or not self.withheld:
            return None
        confirmed_versions = [
            self._confirmed_version(name, epoch) for name, epoch in self.data_centres.items()
        ]
        confirmed = min([*confirmed_versions, self.window.version])
        if confirmed < min(assignment.released_in for assignment in self.withheld):
            return None
        return confirmed

    def _confirmed_version(self, name: DataCentreId, admitted: Epoch) -> Version:
        """Return the version confirmed by every balancer of a data centre that may serve.

        A report counts only if the epoch of its view is not lower than any epoch in which a
        balancer may have started to serve: the one recorded in the log and the highest one that
        the members have received.
        """
        status = self.data_centre_statuses.get(name)
        if status is None:
            return Version(-1)
        report = status.report
        if report.epoch < max(admitted, report.highest_epoch):
            return Version(-1)
        return report.lowest_version

    def _clear_releases(self, confirmed: Version) -> list[Effect]:
        command = ClearReleases(confirmed, 0)
        return [ProposeCommand(command), RELEASE_CLEARED.emit(version=confirmed)]

    def _detect_silence(self, now: Instant) -> list[Effect]:
        effects: list[Effect] = []
        for name, status in self.data_centre_statuses.items():
            silence = now - status.received_at
            if status.is_silent or silence < self.settings.unreachable_seconds:
                continue
            status.is_silent = True
            effects.append(
                DATA_CENTRE_SILENT.emit(data_centre=name, silent_seconds=round(silence, 3))
            )
        return effects


def _report_order(report: DataCentreReport) -> tuple[Epoch, Version, Version]:
    return (report.epoch, report.version, report.lowest_version)
