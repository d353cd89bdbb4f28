"""Proposer of view changes: starts proposals and completes or abandons them."""

from random import Random
from typing import Any

from chicorypost.base import Effect, InstanceId, Instant, Message, Send
from chicorypost.membership._events import VIEW_COMMITTED, VIEW_PROPOSED
from chicorypost.membership._grantor import LeaseGrantor
from chicorypost.membership._messages import CommitAcknowledged, PrepareRefused, Promise
from chicorypost.membership._pending_changes import PendingChanges
from chicorypost.membership._proposal import Proposal
from chicorypost.membership._records import (
    ViewRecord,
    apply_member_changes,
    choose_grantors,
    is_same_formation,
    next_epoch,
)
from chicorypost.membership._settings import MembershipSettings
from chicorypost.membership._view_history import full_update

TAKEOVER_RETRY_INTERVALS = 3
PROPOSAL_TIMEOUT_LEASES = 2


class ViewProposer:
    """The proposer of one instance.

    Only a grantor that a majority supports proposes: one that is cut off has received no requests
    and would propose to remove all other members. The first live grantor proposes; another one
    only takes over when a promised epoch is not committed for some retry intervals.
    """

    def __init__(
        self, settings: MembershipSettings, grantor: LeaseGrantor, random: Random, now: Instant
    ) -> None:
        self.settings = settings
        self.grantor = grantor
        self.random = random
        self.pending_changes = PendingChanges(settings)
        self.proposal: Proposal | None = None
        self.known_epoch = 0
        self.base_epoch = 0
        self.propose_at = now

    def observe_epoch(self, epoch: int) -> None:
        """Record an epoch that the next proposal must exceed."""
        self.known_epoch = max(self.known_epoch, epoch)

    def handle_tick(self, now: Instant) -> list[Effect]:
        """Retry the proposal or start one, if due."""
        effects: list[Effect] = []
        if self.proposal is not None and now >= self.proposal.retry_at:
            effects += self._retry_proposal(now)
        if now >= self.propose_at:
            self.propose_at = Instant(now + self.settings.retry_seconds)
            effects += self.propose_if_needed(now)
        return effects

    def next_deadline(self) -> Instant | None:
        """Return when `handle_tick` is due next, or None."""
        deadlines = [self.propose_at] if self.grantor.is_grantor else []
        if self.proposal is not None:
            deadlines.append(self.proposal.retry_at)
        return min(deadlines, default=None)

    def commit_formed_view(self, record: ViewRecord, now: Instant) -> list[Effect]:
        """Commit a view made by a formation, which needs no fences."""
        self.proposal = Proposal(self.settings, record, (), now)
        self.base_epoch = 0
        return self.proposal.commit_view()

    def pop_announcement(self) -> tuple[ViewRecord, int] | None:
        """Return the proposed view and its base epoch once, when the members may receive it."""
        proposal = self.proposal
        if proposal is None or proposal.was_announced or not proposal.may_announce:
            return None
        proposal.was_announced = True
        return proposal.record, self.base_epoch

    def dump(self) -> dict[str, Any]:
        """Return the state as values that JSON can hold."""
        return {
            "proposal": self.proposal.dump() if self.proposal is not None else None,
            "joins": sorted(self.pending_changes.joins),
            "leaves": sorted(self.pending_changes.leaves),
        }

    def propose_if_needed(self, now: Instant) -> list[Effect]:
        """Propose the next view if this grantor is to propose and there is a change."""
        committed = self.grantor.committed
        if self.proposal is not None or committed is None or not self.grantor.is_grantor:
            return []
        if not self.grantor.is_supported(now):
            return []
        if not is_same_formation(self.grantor.promised_epoch(), committed.epoch):
            return []
        is_interrupted = self.grantor.promised_epoch() > committed.epoch
        if is_interrupted and now < self._takeover_at(committed):
            return []
        if not is_interrupted and not self._is_first_alive(committed, now):
            return []
        change = self.pending_changes.plan_change(committed, self.grantor, now)
        if change is None and not is_interrupted:
            return []
        joined, left = ((), ()) if change is None else (change.joined, change.left)
        position = committed.grantors.index(self.grantor.identity)
        epoch = next_epoch(max(self.grantor.promised_epoch(), self.known_epoch), position)
        view = apply_member_changes(committed.view, epoch, joined, left)
        if not view.members or not is_same_formation(epoch, committed.epoch):
            return []
        grantors = choose_grantors(view, committed.grantors, self.settings.grantors)
        record = ViewRecord(view, grantors)
        self.proposal = Proposal(self.settings, record, tuple(self.grantor.unfenced_sets), now)
        event = VIEW_PROPOSED.emit(epoch=epoch, joined=len(joined), left=len(left))
        self.base_epoch = committed.epoch
        return [event, *self.proposal.resend_unanswered(now)]

    def _is_first_alive(self, record: ViewRecord, now: Instant) -> bool:
        members = {member.instance: member for member in record.view.members}
        for grantor in record.grantors:
            if grantor == self.grantor.identity:
                return True
            if grantor.instance in members and self.grantor.is_alive(
                members[grantor.instance], now
            ):
                return self.pending_changes.leaves.get(grantor.instance) == grantor.incarnation
        return False

    def _takeover_at(self, record: ViewRecord) -> Instant:
        position = record.grantors.index(self.grantor.identity) + 1
        return Instant(
            self.grantor.promised_at
            + position * TAKEOVER_RETRY_INTERVALS * self.settings.retry_seconds
        )

    def _retry_proposal(self, now: Instant) -> list[Effect]:
        proposal = self.proposal
        assert proposal is not None
        timeout = PROPOSAL_TIMEOUT_LEASES * self.settings.lease_seconds
        is_superseded = self.grantor.promised_epoch() > proposal.record.epoch
        if proposal.is_done or is_superseded or now - proposal.started_at > timeout:
            self.proposal = None
            return []
        effects = proposal.resend_unanswered(now)
        if proposal.was_announced:
            update = full_update(proposal.record)
            effects += [Send(name, update) for name in self._unconfirmed_members(proposal.record)]
        return effects

    def _unconfirmed_members(self, record: ViewRecord) -> list[InstanceId]:
        confirmed = {
            holder.instance
            for holder, lease in self.grantor.leases.items()
            if lease.epoch == record.epoch
        }
        confirmed |= {self.grantor.identity.instance, *self.grantor.waiting_requests}
        names = [member.instance for member in record.view.members]
        return [name for name in names if name not in confirmed]

    def handle_reply(self, sender: InstanceId, message: Message, now: Instant) -> list[Effect]:
        """Handle a reply of a grantor to the proposal."""
        proposal = self.proposal
        if proposal is None:
            return []
        match message:
            case Promise():
                was_committed = proposal.is_committed
                effects = proposal.handle_promise(message)
                if proposal.is_committed and not was_committed:
                    record = proposal.record
                    members = len(record.view.members)
                    effects.append(VIEW_COMMITTED.emit(epoch=record.epoch, members=members))
                return effects
            case PrepareRefused(epoch, promised):
                if epoch == proposal.record.epoch and not proposal.is_committed:
                    self.observe_epoch(promised)
                    self.proposal = None
                    delay = self.settings.retry_seconds * (1 + 3 * self.random.random())
                    self.propose_at = Instant(now + delay)
            case CommitAcknowledged(epoch):
                proposal.acknowledge_commit(sender, epoch)
                if proposal.is_done:
                    self.proposal = None
            case _:
                pass
        return []
