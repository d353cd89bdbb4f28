"""Proposer of view changes: fences off every view that may be active, then commits the next."""

from collections.abc import Iterable
from typing import Any

from chicorypost.base import Effect, Epoch, InstanceId, Instant, Send
from chicorypost.membership._messages import Commit, Fenced, Prepare
from chicorypost.membership._records import Grantor, GrantorSet, ViewRecord, majority
from chicorypost.membership._settings import MembershipSettings


class Proposal:
    """One proposed view on its way to being committed.

    A view may be active if a majority of each set of grantors before it was fenced off. So the
    proposer needs a majority of its own set and of each set that a fenced grantor reports.
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
        self.needed: dict[Epoch, GrantorSet] = {}
        self.promised: set[Grantor] = set()
        self.fenced: set[Grantor] = set()
        self.was_announced = False
        self.committed = False
        self.unseen: set[InstanceId] = set()
        self.retry_at = now
        self.started = now
        for header in base:
            self.needed[header.epoch] = header

    def retry(self, now: Instant) -> list[Effect]:
        """Repeat what was not answered."""
        self.retry_at = Instant(now + self.settings.retry_seconds)
        if self.committed:
            return [Send(name, Commit(self.record)) for name in sorted(self.unseen)]
        return self._prepare(
            grantor
            for header in self.needed.values()
            for grantor in header.grantors
            if grantor not in self.fenced
        )

    def take(self, message: Fenced) -> list[Effect]:
        """Count a fence; commit when every needed set has a majority of fences."""
        if self.committed or message.epoch != self.record.epoch:
            return []
        self.promised.add(message.grantor)
        if message.is_complete:
            self.fenced.add(message.grantor)
        effects: list[Effect] = []
        for header in message.previous:
            if header.epoch not in self.needed:
                self.needed[header.epoch] = header
                effects += self._prepare(g for g in header.grantors if g not in self.promised)
        if not self._has_majorities(self.fenced):
            return effects
        return effects + self.commit()

    def commit(self) -> list[Effect]:
        """Tell the grantors of the new view that they may grant."""
        self.committed = True
        self.unseen = {grantor.instance for grantor in self.record.grantors}
        return [Send(name, Commit(self.record)) for name in sorted(self.unseen)]

    def seen(self, sender: InstanceId, epoch: Epoch) -> None:
        """Count an acknowledged commit."""
        if epoch == self.record.epoch:
            self.unseen.discard(sender)

    @property
    def may_announce(self) -> bool:
        """Whether the grantors before have promised the epoch, so that members may hear of it."""
        return self.committed or self._has_majorities(self.promised)

    @property
    def is_done(self) -> bool:
        """Whether every grantor has the commit."""
        return self.committed and not self.unseen

    def dump(self) -> dict[str, Any]:
        """Return the state as values that JSON can hold."""
        return {
            "epoch": self.record.epoch,
            "needed": sorted(self.needed),
            "fenced": sorted(grantor.instance for grantor in self.fenced),
            "committed": self.committed,
            "unseen": sorted(self.unseen),
        }

    def _has_majorities(self, answered: set[Grantor]) -> bool:
        return all(
            sum(grantor in answered for grantor in header.grantors)
            >= majority(len(header.grantors))
            for header in self.needed.values()
        )

    def _prepare(self, grantors: Iterable[Grantor]) -> list[Effect]:
        names = sorted({grantor.instance for grantor in grantors})
        return [Send(name, Prepare(self.record.header)) for name in names]
