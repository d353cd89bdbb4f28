"""Relay of a data centre: forwards versions to its balancers and collects confirmations."""

from dataclasses import dataclass
from typing import Any

from chicorypost.base import (
    Effect,
    Epoch,
    Incarnation,
    InstanceId,
    Instant,
    Member,
    Send,
    Version,
    View,
    rank_members,
)
from chicorypost.configuration._messages import (
    AppliedConfiguration,
    ConfigurationAnnouncement,
    DataCentreReport,
    Laggard,
    ReplyGuarantee,
    ReplyHeader,
)
from chicorypost.configuration._settings import DistributionSettings
from chicorypost.configuration._window import DocumentWindow

RELAY_KEY = b"configuration-relay"
PUSH_HEADER = ReplyHeader("", ReplyGuarantee.UNCERTAIN)
MILLISECONDS_PER_SECOND = 1000


def select_relay(view: View) -> InstanceId | None:
    """Return the balancer that relays configurations within the view."""
    ranked = rank_members(view, RELAY_KEY, 1)
    return ranked[0].instance if ranked else None


@dataclass(slots=True)
class Confirmation:
    """The configuration that a balancer has confirmed."""

    incarnation: Incarnation
    version: Version
    digest: int
    highest_epoch: Epoch
    received_at: Instant


class ConfigurationRelay:
    """Pushes versions to the members of a view and reports what they have confirmed.

    Parameters
    ----------
    settings : DistributionSettings
        Intervals and bounds.
    self_member : Member
        This instance.
    now : Instant
        Current time.
    """

    def __init__(self, settings: DistributionSettings, self_member: Member, now: Instant) -> None:
        self.settings = settings
        self.self_member = self_member
        self.confirmations: dict[InstanceId, Confirmation] = {}
        self.named_epochs: dict[InstanceId, Epoch] = {}
        self.started_at = now
        self.resend_at: Instant | None = now
        self.report_at = now
        self.pending_instances: set[InstanceId] = set()
        self.pushed_version = Version(0)
        self.is_fully_confirmed = False

    def record_confirmation(
        self, sender: InstanceId, applied: AppliedConfiguration, now: Instant
    ) -> None:
        """Record what a balancer applies; earlier incarnations and versions are ignored."""
        previous = self.confirmations.get(sender)
        if previous is not None and _confirmation_order(applied) < (
            previous.incarnation,
            previous.version,
        ):
            return
        epoch = applied.highest_epoch
        if previous is not None:
            epoch = max(epoch, previous.highest_epoch)
        self.confirmations[sender] = Confirmation(
            applied.incarnation, applied.version, applied.digest, epoch, now
        )
        if sender in self.pending_instances and applied.version >= self.pushed_version:
            self.pending_instances.discard(sender)
            self.is_fully_confirmed = not self.pending_instances

    def remove_non_members(self, view: View) -> None:
        """Remove confirmations of instances that are not in the view."""
        live = {member.instance for member in view.members}
        for instance in [name for name in self.confirmations if name not in live]:
            del self.confirmations[instance]

    def push_version(self, view: View, window: DocumentWindow, now: Instant) -> list[Effect]:
        """Send the current version to every member that hasn't confirmed it."""
        behind = [
            item
            for item in self._other_members(view)
            if self._confirmed_version(item) < window.version
        ]
        self.resend_at = Instant(now + self.settings.resend_seconds) if behind else None
        self.pushed_version = window.version
        self.pending_instances = {member.instance for member in behind}
        return [self._make_push(member, window) for member in behind]

    def make_report(
        self, view: View, window: DocumentWindow, own_epoch: Epoch, now: Instant
    ) -> DataCentreReport:
        """Return the report to the control instances, without member names."""
        laggards = self._find_laggards(view, window, now)
        confirmed_epochs = [
            confirmation.highest_epoch for confirmation in self.confirmations.values()
        ]
        lowest_version = min(
            [self._confirmed_version(member) for member in self._other_members(view)]
            + [window.version]
        )
        return DataCentreReport(
            data_centre=view.data_centre,
            epoch=view.epoch,
            highest_epoch=max([own_epoch, *confirmed_epochs]),
            lowest_version=lowest_version,
            version=window.version,
            digest=window.digest,
            member_count=len(view.members),
            behind_count=len(laggards),
            laggards=laggards[: self.settings.laggards],
            member_names=(),
        )

    def next_deadline(self) -> Instant:
        """Return when the relay next sends a push or a report."""
        return self.report_at if self.resend_at is None else min(self.report_at, self.resend_at)

    def dump(self) -> dict[str, Any]:
        """Return what each balancer has confirmed, as JSON values."""
        return {
            instance: {"version": confirmation.version, "heard_epoch": confirmation.highest_epoch}
            for instance, confirmation in self.confirmations.items()
        }

    def _find_laggards(
        self, view: View, window: DocumentWindow, now: Instant
    ) -> tuple[Laggard, ...]:
        return tuple(
            Laggard(
                member.instance,
                self._confirmed_version(member),
                self._measure_silence_ms(member, now),
            )
            for member in self._other_members(view)
            if self._confirmed_version(member) < window.version
        )

    def _make_push(self, member: Member, window: DocumentWindow) -> Effect:
        confirmation = self._find_confirmation(member)
        if confirmation is None:
            return Send(member.instance, ConfigurationAnnouncement(window.version, window.digest))
        return Send(
            member.instance,
            window.make_reply(confirmation.version, confirmation.digest, PUSH_HEADER),
        )

    def _find_confirmation(self, member: Member) -> Confirmation | None:
        confirmation = self.confirmations.get(member.instance)
        if confirmation is None or confirmation.incarnation != member.incarnation:
            return None
        return confirmation

    def _confirmed_version(self, member: Member) -> Version:
        confirmation = self._find_confirmation(member)
        return Version(-1) if confirmation is None else confirmation.version

    def _measure_silence_ms(self, member: Member, now: Instant) -> int:
        confirmation = self._find_confirmation(member)
        since = self.started_at if confirmation is None else confirmation.received_at
        return int((now - since) * MILLISECONDS_PER_SECOND)

    def _other_members(self, view: View) -> list[Member]:
        return [item for item in view.members if item.instance != self.self_member.instance]


def _confirmation_order(applied: AppliedConfiguration) -> tuple[Incarnation, Version]:
    return (applied.incarnation, applied.version)
