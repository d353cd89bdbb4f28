"""Membership of one instance: a lease holder that may also be a grantor."""

from random import Random
from typing import Any

from chicorypost.base import (
    DataCentreId,
    Effect,
    Epoch,
    Event,
    Incarnation,
    InstanceId,
    Instant,
    LeaseChanged,
    Member,
    Message,
    Received,
    Send,
    Tick,
    View,
    ViewChanged,
    find_member,
)
from chicorypost.membership._events import (
    FORMATION_DONE,
    FORMATION_STARTED,
    LEASE_GAINED,
    LEASE_LOST,
    LEFT_VIEW,
)
from chicorypost.membership._formation import Formation
from chicorypost.membership._gossip import Gossip
from chicorypost.membership._grantor import LeaseGrantor
from chicorypost.membership._holder import Holder, Leave
from chicorypost.membership._messages import (
    Commit,
    CommitAcknowledged,
    FormationRefused,
    FormationRequest,
    FormationVote,
    JoinRequest,
    LeaseGrant,
    LeaseRefused,
    LeaseRequest,
    LeaseReturn,
    Prepare,
    PrepareRefused,
    Promise,
    ViewDigest,
    ViewRequest,
    ViewUpdate,
)
from chicorypost.membership._records import (
    ViewRecord,
    tree_children,
)
from chicorypost.membership._settings import MembershipSettings
from chicorypost.membership._view_history import NO_ROOT, ViewHistory, full_update
from chicorypost.membership._view_proposer import ViewProposer

ABANDONED_VIEW_LEASES = 3


class LeaseMembership:
    """State machine for the lease and the view of this instance.

    Handles `Received`, `Tick` and `Leave`; returns `Send`, `Emit`, `ViewChanged` and
    `LeaseChanged`.

    Parameters
    ----------
    settings : MembershipSettings
        Lease duration, intervals and sizes.
    self_member : Member
        This instance, with the incarnation of this start.
    peers : tuple of Member
        The configured instances of all data centres; their incarnations are not used.
    random : Random
        Source of the jitter between proposers.
    now : Instant
        Time of the start.

    Notes
    -----
    While `may_act` is true on several instances of a data centre, all of them hold the same view:
    two instances that may act never disagree about the owner of anything. A view acts only while
    a majority of the configured instances of its data centre supports its grantors.
    """

    def __init__(
        self,
        settings: MembershipSettings,
        self_member: Member,
        peers: tuple[Member, ...],
        random: Random,
        now: Instant,
    ) -> None:
        self.settings = settings
        self.self_member = self_member
        self.instance = self_member.instance
        self.data_centre = self_member.data_centre
        self.random = random
        local_instances = {peer.instance for peer in peers if peer.data_centre == self.data_centre}
        self.configured = tuple(sorted(local_instances | {self.instance}))
        self.history = ViewHistory()
        self.holder = Holder(settings, self_member, now)
        self.grantor = LeaseGrantor(settings, self_member, frozenset(self.configured), now)
        self.formation = Formation(settings, self_member, self.configured, random)
        self.gossip = Gossip(settings, self_member, peers, self.history, random, now)
        self.proposer = ViewProposer(settings, self.grantor, random, now)
        self.join_at = now
        self.minimum_epoch_until: Instant | None = None

    @property
    def view(self) -> View | None:
        """The view of the own data centre in which this instance last held a lease, or None."""
        return self.holder.view

    @property
    def views(self) -> dict[DataCentreId, View]:
        """The newest view of each data centre, including the own one."""
        views = {
            name: records[-1].view for name, records in self.history.records.items() if records
        }
        if self.holder.view is not None:
            views[self.data_centre] = self.holder.view
        return views

    @property
    def lease_end(self) -> Instant | None:
        """When the lease of this instance ends, or None without one."""
        return self.holder.lease_end

    @property
    def has_left(self) -> bool:
        """Whether this instance left and the newest view shows it."""
        newest = self.history.newest_record(self.data_centre)
        return self.holder.is_leaving and (newest is None or not self._is_member(newest))

    def may_act(self, now: Instant) -> bool:
        """Return whether this instance holds a lease; callers check it before each effect."""
        return self.holder.may_act(now)

    def handle(self, event: Event, now: Instant) -> list[Effect]:
        """Handle one event and return the effects in the order in which to apply them."""
        previous_view, previous_end = self.holder.view, self.holder.lease_end
        if previous_end is not None and now >= previous_end:
            self.holder.drop_lease(now)
        match event:
            case Received(sender, message):
                effects = self._handle_message(sender, message, now)
            case Tick():
                effects = self._handle_tick(now)
            case Leave():
                effects = self._handle_leave(now)
            case _:
                effects = []
        effects += self._announce_proposal(now) + self._infer_commit(now)
        effects = self._deliver_to_self(effects, now)
        return self._lease_effects(previous_view, previous_end, now) + effects

    def next_deadline(self) -> Instant | None:
        """Return when the next `Tick` is due, or None."""
        deadlines = [self.gossip.send_at, self.holder.lease_end, self.grantor.next_deadline()]
        if self.holder.target_record is not None and not self.has_left:
            deadlines.append(self.holder.renew_at)
        elif not self.holder.is_leaving:
            deadlines += [self.join_at, self.formation.next_deadline()]
        deadlines.append(self.proposer.next_deadline())
        return min((at for at in deadlines if at is not None), default=None)

    def dump(self) -> dict[str, Any]:
        """Return the state of all parts as values that JSON can hold."""
        return {
            "instance": self.instance,
            "view": self.view.epoch if self.view is not None else None,
            "holder": self.holder.dump(),
            "grantor": self.grantor.dump(),
            "formation": self.formation.dump(),
            "changes": self.proposer.dump(),
            "epochs": {name: self.history.newest_epoch(name) for name in self.history.records},
        }

    def _deliver_to_self(self, effects: list[Effect], now: Instant) -> list[Effect]:
        """Handle the messages to this instance itself and return the other effects."""
        external: list[Effect] = []
        pending = list(effects)
        while pending:
            effect = pending.pop(0)
            if isinstance(effect, Send) and effect.to == self.instance:
                pending += self._handle_message(self.instance, effect.message, now)
                pending += self._announce_proposal(now)
                pending += self._infer_commit(now)
            else:
                external.append(effect)
        return external

    def _lease_effects(self, view: View | None, end: Instant | None, now: Instant) -> list[Effect]:
        holder = self.holder
        effects: list[Effect] = []
        if holder.view is not None and holder.view != view:
            fields = {"epoch": holder.view.epoch, "members": len(holder.view.members)}
            effects += [ViewChanged(holder.view), LEASE_GAINED.emit(**fields)]
        if holder.lease_end is None and end is not None and end <= now:
            epoch = holder.view.epoch if holder.view is not None else 0
            effects.append(LEASE_LOST.emit(epoch=epoch))
        if holder.lease_end != end:
            effects.append(LeaseChanged(holder.lease_end))
        return effects

    def _handle_message(self, sender: InstanceId, message: Message, now: Instant) -> list[Effect]:
        match message:
            case LeaseRequest():
                return self.grantor.handle_lease_request(sender, message, now)
            case LeaseGrant():
                return self.holder.handle_grant(sender, message, now)
            case LeaseRefused(epoch, view_source):
                if epoch <= self.history.newest_epoch(self.data_centre):
                    return []
                known_epoch = self.history.newest_epoch(self.data_centre)
                return [Send(view_source, ViewRequest(self.data_centre, known_epoch))]
            case LeaseReturn(incarnation):
                return self._handle_lease_return(sender, incarnation, now)
            case Prepare():
                return self.grantor.handle_prepare(sender, message, now)
            case Promise() | PrepareRefused() | CommitAcknowledged():
                return self.proposer.handle_reply(sender, message, now)
            case Commit(record):
                return self.grantor.handle_commit(sender, record, now) + self._process_view(
                    record, now
                )
            case JoinRequest(member):
                return self._handle_join_request(sender, member, now)
            case FormationRequest() | FormationVote() | FormationRefused():
                return self._handle_formation(sender, message, now)
            case ViewUpdate():
                return self._handle_view_update(sender, message, now)
            case ViewRequest(data_centre, known_epoch):
                newest = self.history.newest_record(data_centre)
                if newest is None or newest.epoch <= known_epoch:
                    return []
                return [Send(sender, self.history.make_update(NO_ROOT, newest, known_epoch))]
            case ViewDigest():
                return self.gossip.handle_digest(sender, message, self.holder.target_record)
            case _:
                return []

    def _handle_tick(self, now: Instant) -> list[Effect]:
        effects = self.grantor.try_fence(now)
        if self.minimum_epoch_until is not None and now >= self.minimum_epoch_until:
            self.holder.minimum_epoch = Epoch(0)
            self.minimum_epoch_until = None
        if self.holder.is_lease_overdue(now):
            self._abandon_view(now)
        if self.holder.is_leaving and not self.has_left and now >= self.holder.renew_at:
            effects += self.holder.return_lease(now)
        elif self.holder.target_record is not None and now >= self.holder.renew_at:
            effects += self.holder.renew_lease(now)
        if self.holder.target_record is None and not self.holder.is_leaving:
            effects += self._seek_view(now)
        effects += self.proposer.handle_tick(now)
        if now >= self.gossip.send_at:
            effects += self.gossip.send_digest(
                self.holder.target_record, self.holder.may_act(now), now
            )
        return effects

    def _abandon_view(self, now: Instant) -> None:
        """Drop a view whose grantors give no leases, so that a new one can be formed."""
        assert self.holder.target_record is not None
        minimum_epoch = Epoch(self.holder.target_record.epoch + 1)
        self.holder.drop_view(minimum_epoch, now)
        self.minimum_epoch_until = Instant(
            now + ABANDONED_VIEW_LEASES * self.settings.lease_seconds
        )

    def _seek_view(self, now: Instant) -> list[Effect]:
        effects: list[Effect] = []
        if now >= self.join_at:
            self.join_at = Instant(now + self.settings.retry_seconds * (1 + self.random.random()))
            effects += self.holder.request_join(self.gossip.join_contacts())
        if now < self.holder.supports_until:
            return effects
        self.formation.schedule_candidacy(now)
        if self.formation.start_at is not None and now >= self.formation.start_at:
            effects += self.formation.start_candidacy(now)
            effects.append(FORMATION_STARTED.emit(epoch=self.formation.epoch))
            if len(self.configured) == 1:
                effects += self._form_view(now)
        elif self.formation.decide_at is not None and now >= self.formation.decide_at:
            effects += self._form_view(now)
        return effects

    def _form_view(self, now: Instant) -> list[Effect]:
        record = self.formation.form_view(now)
        if record is None:
            return []
        event = FORMATION_DONE.emit(epoch=record.epoch, members=len(record.view.members))
        return [event, *self.proposer.commit_formed_view(record, now)]

    def _handle_lease_return(
        self, sender: InstanceId, incarnation: Incarnation, now: Instant
    ) -> list[Effect]:
        committed = self.grantor.committed
        if committed is not None and find_member(committed.view.members, sender) is None:
            return [Send(sender, full_update(committed))]
        self.proposer.pending_changes.add_leave(sender, incarnation)
        return self.grantor.handle_lease_return(
            sender, incarnation, now
        ) + self.proposer.propose_if_needed(now)

    def _handle_formation(self, sender: InstanceId, message: Message, now: Instant) -> list[Effect]:
        match message:
            case FormationRequest(epoch):
                return self._handle_formation_request(sender, epoch, now)
            case FormationVote():
                return self._form_view(now) if self.formation.count_vote(message) else []
            case FormationRefused(epoch, known_epoch):
                self.formation.observe_epoch(known_epoch)
                return []
            case _:
                return []

    def _handle_formation_request(
        self, candidate: InstanceId, epoch: Epoch, now: Instant
    ) -> list[Effect]:
        known_epoch = max(self.formation.known_epoch, self.history.newest_epoch(self.data_centre))
        is_busy = self.holder.target_record is not None or self.holder.is_leaving
        if (
            is_busy
            or now < self.holder.supports_until
            or epoch <= max(known_epoch, self.formation.voted_epoch)
        ):
            return [Send(candidate, FormationRefused(epoch, Epoch(known_epoch)))]
        self.formation.voted_epoch = epoch
        self.formation.observe_epoch(epoch)
        self.formation.postpone_candidacy(now)
        return [Send(candidate, FormationVote(epoch, self.self_member))]

    def _handle_join_request(
        self, sender: InstanceId, member: Member, now: Instant
    ) -> list[Effect]:
        record = self.history.newest_record(self.data_centre)
        is_allowed = sender == member.instance and sender in self.configured
        if record is None or not is_allowed or member.data_centre != self.data_centre:
            return []
        if self.grantor.is_grantor and member not in record.view.members:
            self.proposer.pending_changes.add_join(member, now)
            return [Send(sender, full_update(record)), *self.proposer.propose_if_needed(now)]
        return [Send(sender, self.history.make_update(NO_ROOT, record, 0))]

    def _handle_view_update(
        self, sender: InstanceId, update: ViewUpdate, now: Instant
    ) -> list[Effect]:
        known_epoch = self.history.newest_epoch(update.data_centre)
        if update.epoch < known_epoch:
            return []
        record = self.history.apply_update(update)
        if record is None:
            return [Send(sender, ViewRequest(update.data_centre, known_epoch))]
        is_newer = update.epoch > known_epoch
        effects = self._process_view(record, now)
        if is_newer and update.root != NO_ROOT and update.data_centre == self.data_centre:
            fan_out = self.settings.fan_out
            children = tree_children(record.view, update.root, self.instance, fan_out)
            effects += [Send(child, update) for child in children]
        return effects

    def _process_view(self, record: ViewRecord, now: Instant) -> list[Effect]:
        """Record a received view and adopt it if this instance is a member of it."""
        is_newer = self.history.add_record(record)
        if record.view.data_centre == self.data_centre:
            self.formation.observe_epoch(record.epoch)
            self.proposer.observe_epoch(record.epoch)
        else:
            return [ViewChanged(record.view)] if is_newer else []
        if self._is_member(record):
            if not self.holder.adopt_view(record, now):
                return []
            self.formation.abandon_candidacy()
            return self.holder.renew_lease(now)
        if self.holder.target_record is not None and record.epoch > self.holder.target_record.epoch:
            self.holder.drop_view(Epoch(0), now)
            self.join_at = now
        return []

    def _is_member(self, record: ViewRecord) -> bool:
        return self.self_member in record.view.members

    def _handle_leave(self, now: Instant) -> list[Effect]:
        if self.holder.is_leaving:
            return []
        epoch = self.history.newest_epoch(self.data_centre)
        self.proposer.pending_changes.add_leave(self.instance, self.self_member.incarnation)
        return [LEFT_VIEW.emit(epoch=epoch), *self.holder.return_lease(now)]

    def _infer_commit(self, now: Instant) -> list[Effect]:
        """Commit the own view if its commit message was lost: a lease in it proves the commit."""
        target = self.holder.target_record
        if (
            target is None
            or self.holder.lease_end is None
            or self.grantor.identity not in target.grantors
        ):
            return []
        committed = self.grantor.committed
        if committed is not None and committed.epoch >= target.epoch:
            return []
        return self.grantor.handle_commit(self.instance, target, now)

    def _announce_proposal(self, now: Instant) -> list[Effect]:
        """Send a proposed view to its members once majorities of grantors promised its epoch."""
        announcement = self.proposer.pop_announcement()
        if announcement is None:
            return []
        proposed, base_epoch = announcement
        return self._process_view(proposed, now) + self._send_view_update(proposed, base_epoch)

    def _send_view_update(self, record: ViewRecord, base_epoch: int) -> list[Effect]:
        update = self.history.make_update(self.instance, record, base_epoch)
        children = tree_children(record.view, self.instance, self.instance, self.settings.fan_out)
        return [Send(child, update) for child in children]
