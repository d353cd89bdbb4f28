"""Duty of the relay of a data centre: pass versions on and add up confirmations."""

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
MILLISECONDS = 1000


def select_relay(view: View) -> InstanceId | None:
    """Return the balancer that relays configurations within the view."""
    ranked = rank_members(view, RELAY_KEY, 1)
    return ranked[0].instance if ranked else None


@dataclass(slots=True)
class Confirmation:
    """What one balancer has confirmed."""

    incarnation: Incarnation
    version: Version
    digest: int
    highest_epoch: Epoch
    received_at: Instant


class ConfigurationRelay:
    """Confirmations of the members of a view, kept by the relay of the data centre.

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
        self, sender: InstanceId, standing: AppliedConfiguration, now: Instant
    ) -> None:
        """Take what a balancer says it applies; an earlier incarnation or version is ignored."""
        known = self.confirmations.get(sender)
        if known is not None and _confirmation_order(standing) < (known.incarnation, known.version):
            return
        heard = standing.highest_epoch
        if known is not None:
            heard = max(heard, known.highest_epoch)
        self.confirmations[sender] = Confirmation(
            standing.incarnation, standing.version, standing.digest, heard, now
        )
        if sender in self.pending_instances and standing.version >= self.pushed_version:
            self.pending_instances.discard(sender)
            self.is_fully_confirmed = not self.pending_instances

    def remove_non_members(self, view: View) -> None:
        """Drop confirmations of instances that are not in the view."""
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
        self, view: View, window: DocumentWindow, heard_epoch: Epoch, now: Instant
    ) -> DataCentreReport:
        """Return the report to the control instances, without names."""
        laggards = self._find_laggards(view, window, now)
        heard = [kept.highest_epoch for kept in self.confirmations.values()]
        floor = min(
            [self._confirmed_version(member) for member in self._other_members(view)]
            + [window.version]
        )
        return DataCentreReport(
            data_centre=view.data_centre,
            epoch=view.epoch,
            highest_epoch=max([heard_epoch, *heard]),
            lowest_version=floor,
            version=window.version,
            digest=window.digest,
            member_count=len(view.members),
            behind_count=len(laggards),
            laggards=laggards[: self.settings.laggards],
            member_names=(),
        )

    def next_deadline(self) -> Instant:
        """Return when the relay next has something to send."""
        return self.report_at if self.resend_at is None else min(self.report_at, self.resend_at)

    def dump(self) -> dict[str, Any]:
        """Return what each balancer has confirmed, as values that JSON can hold."""
        return {
            instance: {"version": kept.version, "heard_epoch": kept.highest_epoch}
            for instance, kept in self.confirmations.items()
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
        kept = self._find_confirmation(member)
        if kept is None:
            return Send(member.instance, ConfigurationAnnouncement(window.version, window.digest))
        return Send(member.instance, window.make_reply(kept.version, kept.digest, PUSH_HEADER))

    def _find_confirmation(self, member: Member) -> Confirmation | None:
        kept = self.confirmations.get(member.instance)
        if kept is None or kept.incarnation != member.incarnation:
            return None
        return kept

    def _confirmed_version(self, member: Member) -> Version:
        kept = self._find_confirmation(member)
        return Version(-1) if kept is None else kept.version

    def _measure_silence_ms(self, member: Member, now: Instant) -> int:
        kept = self._find_confirmation(member)
        since = self.started_at if kept is None else kept.received_at
        return int((now - since) * MILLISECONDS)

    def _other_members(self, view: View) -> list[Member]:
        return [item for item in view.members if item.instance != self.self_member.instance]


def _confirmation_order(standing: AppliedConfiguration) -> tuple[Incarnation, Version]:
    return (standing.incarnation, standing.version)
