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
    AnswerHead,
    AnswerSource,
    ConfigurationAnnounce,
    DataCentreReport,
    Laggard,
    Standing,
)
from chicorypost.configuration._settings import DistributionSettings
from chicorypost.configuration._window import DocumentWindow

RELAY_KEY = b"configuration-relay"
PUSH_HEAD = AnswerHead("", AnswerSource.UNCERTAIN)
MILLISECONDS = 1000


def relay_of(view: View) -> InstanceId | None:
    """Return the balancer that relays configurations within the view."""
    ranked = rank_members(view, RELAY_KEY, 1)
    return ranked[0].instance if ranked else None


@dataclass(slots=True)
class Confirmation:
    """What one balancer has confirmed."""

    incarnation: Incarnation
    version: Version
    digest: int
    heard_epoch: Epoch
    heard_at: Instant


class Relay:
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
        self.pending: set[InstanceId] = set()
        self.pushed = Version(0)
        self.all_confirmed = False

    def confirm(self, sender: InstanceId, standing: Standing, now: Instant) -> None:
        """Take what a balancer says it applies; an earlier incarnation or version is ignored."""
        known = self.confirmations.get(sender)
        if known is not None and _order(standing) < (known.incarnation, known.version):
            return
        heard = standing.heard_epoch
        if known is not None:
            heard = max(heard, known.heard_epoch)
        self.confirmations[sender] = Confirmation(
            standing.incarnation, standing.version, standing.digest, heard, now
        )
        if sender in self.pending and standing.version >= self.pushed:
            self.pending.discard(sender)
            self.all_confirmed = not self.pending

    def forget_others(self, view: View) -> None:
        """Drop confirmations of instances that are not in the view."""
        live = {member.instance for member in view.members}
        for instance in [name for name in self.confirmations if name not in live]:
            del self.confirmations[instance]

    def push(self, view: View, window: DocumentWindow, now: Instant) -> list[Effect]:
        """Send the current version to every member that hasn't confirmed it."""
        behind = [item for item in self._others(view) if self._version(item) < window.version]
        self.resend_at = Instant(now + self.settings.resend_seconds) if behind else None
        self.pushed = window.version
        self.pending = {member.instance for member in behind}
        return [self._push_to(member, window) for member in behind]

    def report(
        self, view: View, window: DocumentWindow, heard_epoch: Epoch, now: Instant
    ) -> DataCentreReport:
        """Return the report to the control instances, without names."""
        laggards = self._laggards(view, window, now)
        heard = [kept.heard_epoch for kept in self.confirmations.values()]
        floor = min([self._version(member) for member in self._others(view)] + [window.version])
        return DataCentreReport(
            data_centre=view.data_centre,
            epoch=view.epoch,
            heard_epoch=max([heard_epoch, *heard]),
            floor=floor,
            version=window.version,
            digest=window.digest,
            members=len(view.members),
            behind=len(laggards),
            laggards=laggards[: self.settings.laggards],
            names=(),
        )

    def next_deadline(self) -> Instant:
        """Return when the relay next has something to send."""
        return self.report_at if self.resend_at is None else min(self.report_at, self.resend_at)

    def dump(self) -> dict[str, Any]:
        """Return what each balancer has confirmed, as values that JSON can hold."""
        return {
            instance: {"version": kept.version, "heard_epoch": kept.heard_epoch}
            for instance, kept in self.confirmations.items()
        }

    def _laggards(self, view: View, window: DocumentWindow, now: Instant) -> tuple[Laggard, ...]:
        return tuple(
            Laggard(member.instance, self._version(member), self._silent_ms(member, now))
            for member in self._others(view)
            if self._version(member) < window.version
        )

    def _push_to(self, member: Member, window: DocumentWindow) -> Effect:
        kept = self._confirmed(member)
        if kept is None:
            return Send(member.instance, ConfigurationAnnounce(window.version, window.digest))
        return Send(member.instance, window.answer(kept.version, kept.digest, PUSH_HEAD))

    def _confirmed(self, member: Member) -> Confirmation | None:
        kept = self.confirmations.get(member.instance)
        if kept is None or kept.incarnation != member.incarnation:
            return None
        return kept

    def _version(self, member: Member) -> Version:
        kept = self._confirmed(member)
        return Version(-1) if kept is None else kept.version

    def _silent_ms(self, member: Member, now: Instant) -> int:
        kept = self._confirmed(member)
        since = self.started_at if kept is None else kept.heard_at
        return int((now - since) * MILLISECONDS)

    def _others(self, view: View) -> list[Member]:
        return [item for item in view.members if item.instance != self.self_member.instance]


def _order(standing: Standing) -> tuple[Incarnation, Version]:
    return (standing.incarnation, standing.version)
