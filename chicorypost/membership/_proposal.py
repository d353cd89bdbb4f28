"""Proposal of a view: fences every view that may be active, then commits the proposed one."""

from collections.abc import Iterable
from typing import Any

from chicorypost.base import Effect, Epoch, InstanceId, Instant, Send
from chicorypost.membership._messages import Commit, Prepare, Promise
from chicorypost.membership._records import GrantorSet, InstanceIncarnation, ViewRecord, majority
from chicorypost.membership._settings import MembershipSettings


class Proposal:
    """One proposed view until all its grantors have acknowledged the commit.

    An earlier view may be active unless a majority of its grantors is fenced. The proposer
    therefore needs fences from a majority of each grantor set in `base` and of each further set
    that a grantor reports.
    """

    def __init__(
        self,
        settings: MembershipSettings,
        record: ViewRecord,
        base: tuple[GrantorSet, ...],
        now: Instant,
    ) -> None:
        self.settings = settings
        self.record = record
        self.required_sets: dict[Epoch, GrantorSet] = {}
        self.promised_by: set[InstanceIncarnation] = set()
        self.fenced_by: set[InstanceIncarnation] = set()
        self.was_announced = False
        self.is_committed = False
        self.unacknowledged: set[InstanceId] = set()
        self.retry_at = now
        self.started_at = now
        for grantor_set in base:
            self.required_sets[grantor_set.epoch] = grantor_set

    def resend_unanswered(self, now: Instant) -> list[Effect]:
        """Send the messages again that have no reply yet."""
        self.retry_at = Instant(now + self.settings.retry_seconds)
        if self.is_committed:
            return [Send(name, Commit(self.record)) for name in sorted(self.unacknowledged)]
        return self._send_prepare(
            grantor
            for grantor_set in self.required_sets.values()
            for grantor in grantor_set.grantors
            if grantor not in self.fenced_by
        )

    def handle_promise(self, message: Promise) -> list[Effect]:
        """Record a promise; commit when a majority of each required set is fenced."""
        if self.is_committed or message.epoch != self.record.epoch:
            return []
        self.promised_by.add(message.grantor)
        if message.is_fenced:
            self.fenced_by.add(message.grantor)
        effects: list[Effect] = []
        for grantor_set in message.previous:
            if grantor_set.epoch not in self.required_sets:
                self.required_sets[grantor_set.epoch] = grantor_set
                effects += self._send_prepare(
                    g for g in grantor_set.grantors if g not in self.promised_by
                )
        if not self._has_majorities(self.fenced_by):
            return effects
        return effects + self.commit_view()

    def commit_view(self) -> list[Effect]:
        """Notify the grantors of the new view that they may grant leases."""
        self.is_committed = True
        self.unacknowledged = {grantor.instance for grantor in self.record.grantors}
        return [Send(name, Commit(self.record)) for name in sorted(self.unacknowledged)]

    def acknowledge_commit(self, sender: InstanceId, epoch: Epoch) -> None:
        """Record that a grantor acknowledged the commit."""
        if epoch == self.record.epoch:
            self.unacknowledged.discard(sender)

    @property
    def may_announce(self) -> bool:
        """Whether majorities have promised the epoch, so that the members may receive the view."""
        return self.is_committed or self._has_majorities(self.promised_by)

    @property
    def is_done(self) -> bool:
        """Whether all grantors of the view have acknowledged the commit."""
        return self.is_committed and not self.unacknowledged

    def dump(self) -> dict[str, Any]:
        """Return the state as values that JSON can hold."""
        return {
            "epoch": self.record.epoch,
            "needed": sorted(self.required_sets),
            "fenced": sorted(grantor.instance for grantor in self.fenced_by),
            "committed": self.is_committed,
            "unseen": sorted(self.unacknowledged),
        }

    def _has_majorities(self, responded: set[InstanceIncarnation]) -> bool:
        return all(
            sum(grantor in responded for grantor in grantor_set.grantors)
            >= majority(len(grantor_set.grantors))
            for grantor_set in self.required_sets.values()
        )

    def _send_prepare(self, grantors: Iterable[InstanceIncarnation]) -> list[Effect]:
        names = sorted({grantor.instance for grantor in grantors})
        return [Send(name, Prepare(self.record.grantor_set)) for name in names]
