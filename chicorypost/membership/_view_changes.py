"""Decides when this grantor proposes a view and follows the proposal to its commit."""

from random import Random
from typing import Any

from chicorypost.base import Effect, InstanceId, Instant, Message, Send
from chicorypost.membership._book import whole_update
from chicorypost.membership._changes import Wishes
from chicorypost.membership._events import VIEW_COMMITTED, VIEW_PROPOSED
from chicorypost.membership._grantor import GrantorRole
from chicorypost.membership._messages import CommitSeen, Fenced, PrepareRefused
from chicorypost.membership._proposer import Proposal
from chicorypost.membership._records import (
    ViewRecord,
    change_members,
    choose_grantors,
    next_epoch,
    same_formation,
)
from chicorypost.membership._settings import MembershipSettings

TAKEOVER_RETRIES = 3
PATIENCE_LEASES = 2


class ViewChanges:
    """The proposer of one instance.

    Only a grantor that a majority supports proposes: one that was cut off has heard of nobody and
    would propose to remove them all. The first grantor that is alive proposes; another one does
    only when a promised epoch was not committed for a while.
    """

    def __init__(
        self, settings: MembershipSettings, role: GrantorRole, random: Random, now: Instant
    ) -> None:
        self.settings = settings
        self.role = role
        self.random = random
        self.wishes = Wishes(settings)
        self.proposal: Proposal | None = None
        self.known = 0
        self.base = 0
        self.consider_at = now

    def heard(self, epoch: int) -> None:
        """Note an epoch that the next proposal must exceed."""
        self.known = max(self.known, epoch)

    def tick(self, now: Instant) -> list[Effect]:
        """Repeat what was not answered and look for changes."""
        effects: list[Effect] = []
        if self.proposal is not None and now >= self.proposal.retry_at:
            effects += self._retry(now)
        if now >= self.consider_at:
            self.consider_at = Instant(now + self.settings.retry_seconds)
            effects += self.consider(now)
        return effects

    def next_deadline(self) -> Instant | None:
        """Return when the next `tick` is due."""
        deadlines = [self.consider_at] if self.role.is_grantor else []
        if self.proposal is not None:
            deadlines.append(self.proposal.retry_at)
        return min(deadlines, default=None)

    def commit_formed(self, record: ViewRecord, now: Instant) -> list[Effect]:
        """Commit a view that was formed anew."""
        self.proposal = Proposal(self.settings, record, (), now)
        self.base = 0
        return self.proposal.commit()

    def take_announced(self) -> tuple[ViewRecord, int] | None:
        """Return the proposed view and its base once, when its members may hear of it."""
        proposal = self.proposal
        if proposal is None or proposal.was_announced or not proposal.may_announce:
            return None
        proposal.was_announced = True
        return proposal.record, self.base

    def dump(self) -> dict[str, Any]:
        """Return the state as values that JSON can hold."""
        return {
            "proposal": self.proposal.dump() if self.proposal is not None else None,
            "joins": sorted(self.wishes.joins),
            "leaves": sorted(self.wishes.leaves),
        }

    def consider(self, now: Instant) -> list[Effect]:
        """Propose the next view, if this grantor is the one to do it and there is a change."""
        committed = self.role.committed
        if self.proposal is not None or committed is None or not self.role.is_grantor:
            return []
        if not self.role.is_supported(now):
            return []
        if not same_formation(self.role.promised_epoch(), committed.epoch):
            return []
        is_interrupted = self.role.promised_epoch() > committed.epoch
        if is_interrupted and now < self._takeover_at(committed):
            return []
        if not is_interrupted and not self._is_first_alive(committed, now):
            return []
        change = self.wishes.change(committed, self.role, now)
        if change is None and not is_interrupted:
            return []
        joined, left = ((), ()) if change is None else (change.joined, change.left)
        place = committed.grantors.index(self.role.me)
        epoch = next_epoch(max(self.role.promised_epoch(), self.known), place)
        view = change_members(committed.view, epoch, joined, left)
        if not view.members or not same_formation(epoch, committed.epoch):
            return []
        grantors = choose_grantors(view, committed.grantors, self.settings.grantors)
        record = ViewRecord(view, grantors)
        self.proposal = Proposal(self.settings, record, tuple(self.role.adopted), now)
        logged = VIEW_PROPOSED.emit(epoch=epoch, joined=len(joined), left=len(left))
        self.base = committed.epoch
        return [logged, *self.proposal.retry(now)]

    def _is_first_alive(self, record: ViewRecord, now: Instant) -> bool:
        members = {member.instance: member for member in record.view.members}
        for grantor in record.grantors:
            if grantor == self.role.me:
                return True
            if grantor.instance in members and self.role.is_alive(members[grantor.instance], now):
                return self.wishes.leaves.get(grantor.instance) == grantor.incarnation
        return False

    def _takeover_at(self, record: ViewRecord) -> Instant:
        place = record.grantors.index(self.role.me) + 1
        return Instant(
            self.role.promised_at + place * TAKEOVER_RETRIES * self.settings.retry_seconds
        )

    def _retry(self, now: Instant) -> list[Effect]:
        proposal = self.proposal
        assert proposal is not None
        patience = PATIENCE_LEASES * self.settings.lease_seconds
        is_superseded = self.role.promised_epoch() > proposal.record.epoch
        if proposal.is_done or is_superseded or now - proposal.started > patience:
            self.proposal = None
            return []
        effects = proposal.retry(now)
        if proposal.was_announced:
            update = whole_update(proposal.record)
            effects += [Send(name, update) for name in self._unconfirmed(proposal.record)]
        return effects

    def _unconfirmed(self, record: ViewRecord) -> list[InstanceId]:
        confirmed = {
            holder.instance
            for holder, lease in self.role.leases.items()
            if lease.epoch == record.epoch
        }
        confirmed |= {self.role.me.instance, *self.role.waiting}
        names = [member.instance for member in record.view.members]
        return [name for name in names if name not in confirmed]

    def answer(self, sender: InstanceId, message: Message, now: Instant) -> list[Effect]:
        """Take an answer of a grantor to the proposal."""
        proposal = self.proposal
        if proposal is None:
            return []
        match message:
            case Fenced():
                was_committed = proposal.committed
                effects = proposal.take(message)
                if proposal.committed and not was_committed:
                    record = proposal.record
                    members = len(record.view.members)
                    effects.append(VIEW_COMMITTED.emit(epoch=record.epoch, members=members))
                return effects
            case PrepareRefused(epoch, promised):
                if epoch == proposal.record.epoch and not proposal.committed:
                    self.heard(promised)
                    self.proposal = None
                    delay = self.settings.retry_seconds * (1 + 3 * self.random.random())
                    self.consider_at = Instant(now + delay)
            case CommitSeen(epoch):
                proposal.seen(sender, epoch)
                if proposal.is_done:
                    self.proposal = None
            case _:
                pass
        return []
