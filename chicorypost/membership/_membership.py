"""Membership of one instance: lease holder and, when chosen, grantor."""

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
from chicorypost.membership._book import NO_ROOT, ViewBook, whole_update
from chicorypost.membership._events import (
    FORMATION_DONE,
    FORMATION_STARTED,
    LEASE_GAINED,
    LEASE_LOST,
    LEFT_VIEW,
)
from chicorypost.membership._formation import Formation
from chicorypost.membership._gossip import Gossip
from chicorypost.membership._grantor import GrantorRole
from chicorypost.membership._holder import Holder, Leave
from chicorypost.membership._messages import (
    Commit,
    CommitSeen,
    Fenced,
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
    ViewDigest,
    ViewUpdate,
    ViewWanted,
)
from chicorypost.membership._records import (
    ViewRecord,
    tree_children,
)
from chicorypost.membership._settings import MembershipSettings
from chicorypost.membership._view_changes import ViewChanges

AVOID_LEASES = 3


class Membership:
    """State machine that keeps the lease and the view of this instance.

    Takes `Received`, `Tick` and `Leave`; gives `Send`, `Emit`, `ViewChanged` and `LeaseChanged`.

    Parameters
    ----------
    settings : MembershipSettings
        Lengths of leases and intervals.
    self_member : Member
        This instance, with the incarnation of this start.
    peers : tuple of Member
        Address book: the configured instances of all data centres (their incarnation is unused).
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
        own = {peer.instance for peer in peers if peer.data_centre == self.data_centre}
        self.configured = tuple(sorted(own | {self.instance}))
        self.book = ViewBook()
        self.holder = Holder(settings, self_member, now)
        self.role = GrantorRole(settings, self_member, frozenset(self.configured), now)
        self.formation = Formation(settings, self_member, self.configured, random)
        self.gossip = Gossip(settings, self_member, peers, self.book, random, now)
        self.changes = ViewChanges(settings, self.role, random, now)
        self.join_at = now
        self.floor_until: Instant | None = None

    @property
    def view(self) -> View | None:
        """The view of the own data centre in which this instance last had a lease, or None."""
        return self.holder.view

    @property
    def views(self) -> dict[DataCentreId, View]:
        """The newest view of every data centre, the own one included."""
        known = {name: records[-1].view for name, records in self.book.records.items() if records}
        if self.holder.view is not None:
            known[self.data_centre] = self.holder.view
        return known

    @property
    def lease_end(self) -> Instant | None:
        """When the lease of this instance ends, or None without one."""
        return self.holder.lease_end

    @property
    def has_left(self) -> bool:
        """Whether this instance left and the newest view shows it."""
        newest = self.book.newest(self.data_centre)
        return self.holder.leaving and (newest is None or not self._is_member(newest))

    def may_act(self, now: Instant) -> bool:
        """Return whether this instance holds a lease in its view; asked before each effect."""
        return self.holder.may_act(now)

    def handle(self, event: Event, now: Instant) -> list[Effect]:
        """Take one event and return the effects, in the order to carry them out."""
        before_view, before_end = self.holder.view, self.holder.lease_end
        if before_end is not None and now >= before_end:
            self.holder.drop_lease(now)
        match event:
            case Received(sender, message):
                effects = self._received(sender, message, now)
            case Tick():
                effects = self._tick(now)
            case Leave():
                effects = self._leave(now)
            case _:
                effects = []
        effects += self._publish(now) + self._note_commit(now)
        effects = self._loop_back(effects, now)
        return self._lease_effects(before_view, before_end, now) + effects

    def next_deadline(self) -> Instant | None:
        """Return when the machine next wants a `Tick`."""
        deadlines = [self.gossip.at, self.holder.lease_end, self.role.next_deadline()]
        if self.holder.target is not None and not self.has_left:
            deadlines.append(self.holder.renew_at)
        elif not self.holder.leaving:
            deadlines += [self.join_at, self.formation.next_deadline()]
        deadlines.append(self.changes.next_deadline())
        return min((at for at in deadlines if at is not None), default=None)

    def dump(self) -> dict[str, Any]:
        """Return the whole decision state as values that JSON can hold."""
        return {
            "instance": self.instance,
            "view": self.view.epoch if self.view is not None else None,
            "holder": self.holder.dump(),
            "grantor": self.role.dump(),
            "formation": self.formation.dump(),
            "changes": self.changes.dump(),
            "epochs": {name: self.book.epoch(name) for name in self.book.records},
        }

    def _loop_back(self, effects: list[Effect], now: Instant) -> list[Effect]:
        """Handle at once what this instance sends to itself."""
        outside: list[Effect] = []
        pending = list(effects)
        while pending:
            effect = pending.pop(0)
            if isinstance(effect, Send) and effect.to == self.instance:
                pending += self._received(self.instance, effect.message, now)
                pending += self._publish(now)
                pending += self._note_commit(now)
            else:
                outside.append(effect)
        return outside

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

    def _received(self, sender: InstanceId, message: Message, now: Instant) -> list[Effect]:
        match message:
            case LeaseRequest():
                return self.role.requested(sender, message, now)
            case LeaseGrant():
                return self.holder.granted(sender, message, now)
            case LeaseRefused(epoch, source):
                if epoch <= self.book.epoch(self.data_centre):
                    return []
                have = self.book.epoch(self.data_centre)
                return [Send(source, ViewWanted(self.data_centre, have))]
            case LeaseReturn(incarnation):
                return self._lease_returned(sender, incarnation, now)
            case Prepare():
                return self.role.prepare(sender, message, now)
            case Fenced() | PrepareRefused() | CommitSeen():
                return self.changes.answer(sender, message, now)
            case Commit(record):
                return self.role.commit(sender, record, now) + self._learn(record, now)
            case JoinRequest(member):
                return self._join_requested(sender, member, now)
            case FormationRequest() | FormationVote() | FormationRefused():
                return self._formation(sender, message, now)
            case ViewUpdate():
                return self._view_update(sender, message, now)
            case ViewWanted(data_centre, have):
                newest = self.book.newest(data_centre)
                if newest is None or newest.epoch <= have:
                    return []
                return [Send(sender, self.book.update(NO_ROOT, newest, have))]
            case ViewDigest():
                return self.gossip.received(sender, message, self.holder.target)
            case _:
                return []

    def _tick(self, now: Instant) -> list[Effect]:
        effects = self.role.try_fence(now)
        if self.floor_until is not None and now >= self.floor_until:
            self.holder.floor = Epoch(0)
            self.floor_until = None
        if self.holder.is_stuck(now):
            self._give_up(now)
        if self.holder.leaving and not self.has_left and now >= self.holder.renew_at:
            effects += self.holder.leave(now)
        elif self.holder.target is not None and now >= self.holder.renew_at:
            effects += self.holder.renew(now)
        if self.holder.target is None and not self.holder.leaving:
            effects += self._seek_view(now)
        effects += self.changes.tick(now)
        if now >= self.gossip.at:
            effects += self.gossip.send(self.holder.target, self.holder.may_act(now), now)
        return effects

    def _give_up(self, now: Instant) -> None:
        """Stop supporting grantors that give no leases, so that a view can be formed anew."""
        assert self.holder.target is not None
        floor = Epoch(self.holder.target.epoch + 1)
        self.holder.forget(floor, now)
        self.floor_until = Instant(now + AVOID_LEASES * self.settings.lease_seconds)

    def _seek_view(self, now: Instant) -> list[Effect]:
        effects: list[Effect] = []
        if now >= self.join_at:
            self.join_at = Instant(now + self.settings.retry_seconds * (1 + self.random.random()))
            effects += self.holder.join(self.gossip.contacts())
        if now < self.holder.supports_until:
            return effects
        self.formation.schedule(now)
        if self.formation.start_at is not None and now >= self.formation.start_at:
            effects += self.formation.start(now)
            effects.append(FORMATION_STARTED.emit(epoch=self.formation.epoch))
            if len(self.configured) == 1:
                effects += self._decide(now)
        elif self.formation.decide_at is not None and now >= self.formation.decide_at:
            effects += self._decide(now)
        return effects

    def _decide(self, now: Instant) -> list[Effect]:
        record = self.formation.decide(now)
        if record is None:
            return []
        logged = FORMATION_DONE.emit(epoch=record.epoch, members=len(record.view.members))
        return [logged, *self.changes.commit_formed(record, now)]

    def _lease_returned(
        self, sender: InstanceId, incarnation: Incarnation, now: Instant
    ) -> list[Effect]:
        committed = self.role.committed
        if committed is not None and find_member(committed.view.members, sender) is None:
            return [Send(sender, whole_update(committed))]
        self.changes.wishes.ask_leave(sender, incarnation)
        return self.role.returned(sender, incarnation, now) + self.changes.consider(now)

    def _formation(self, sender: InstanceId, message: Message, now: Instant) -> list[Effect]:
        match message:
            case FormationRequest(epoch):
                return self._vote(sender, epoch, now)
            case FormationVote():
                return self._decide(now) if self.formation.vote(message) else []
            case FormationRefused(epoch, known):
                self.formation.heard(known)
                return []
            case _:
                return []

    def _vote(self, candidate: InstanceId, epoch: Epoch, now: Instant) -> list[Effect]:
        known = max(self.formation.known, self.book.epoch(self.data_centre))
        busy = self.holder.target is not None or self.holder.leaving
        if busy or now < self.holder.supports_until or epoch <= max(known, self.formation.voted):
            return [Send(candidate, FormationRefused(epoch, Epoch(known)))]
        self.formation.voted = epoch
        self.formation.heard(epoch)
        self.formation.postpone(now)
        return [Send(candidate, FormationVote(epoch, self.self_member))]

    def _join_requested(self, sender: InstanceId, member: Member, now: Instant) -> list[Effect]:
        record = self.book.newest(self.data_centre)
        allowed = sender == member.instance and sender in self.configured
        if record is None or not allowed or member.data_centre != self.data_centre:
            return []
        if self.role.is_grantor and member not in record.view.members:
            self.changes.wishes.ask_join(member, now)
            return [Send(sender, whole_update(record)), *self.changes.consider(now)]
        return [Send(sender, self.book.update(NO_ROOT, record, 0))]

    def _view_update(self, sender: InstanceId, update: ViewUpdate, now: Instant) -> list[Effect]:
        have = self.book.epoch(update.data_centre)
        if update.epoch < have:
            return []
        record = self.book.resolve(update)
        if record is None:
            return [Send(sender, ViewWanted(update.data_centre, have))]
        is_news = update.epoch > have
        effects = self._learn(record, now)
        if is_news and update.root != NO_ROOT and update.data_centre == self.data_centre:
            fan_out = self.settings.fan_out
            children = tree_children(record.view, update.root, self.instance, fan_out)
            effects += [Send(child, update) for child in children]
        return effects

    def _learn(self, record: ViewRecord, now: Instant) -> list[Effect]:
        is_news = self.book.add(record)
        if record.view.data_centre == self.data_centre:
            self.formation.heard(record.epoch)
            self.changes.heard(record.epoch)
        else:
            return [ViewChanged(record.view)] if is_news else []
        if self._is_member(record):
            if not self.holder.adopt(record, now):
                return []
            self.formation.abandon()
            return self.holder.renew(now)
        if self.holder.target is not None and record.epoch > self.holder.target.epoch:
            self.holder.forget(Epoch(0), now)
            self.join_at = now
        return []

    def _is_member(self, record: ViewRecord) -> bool:
        return self.self_member in record.view.members

    def _leave(self, now: Instant) -> list[Effect]:
        if self.holder.leaving:
            return []
        epoch = self.book.epoch(self.data_centre)
        self.changes.wishes.ask_leave(self.instance, self.self_member.incarnation)
        return [LEFT_VIEW.emit(epoch=epoch), *self.holder.leave(now)]

    def _note_commit(self, now: Instant) -> list[Effect]:
        """Grant in the own view even if the commit was lost: a lease in it proves the commit."""
        target = self.holder.target
        if target is None or self.holder.lease_end is None or self.role.me not in target.grantors:
            return []
        committed = self.role.committed
        if committed is not None and committed.epoch >= target.epoch:
            return []
        return self.role.commit(self.instance, target, now)

    def _publish(self, now: Instant) -> list[Effect]:
        """Tell the members of a proposed view once the grantors have promised its epoch."""
        announced = self.changes.take_announced()
        if announced is None:
            return []
        proposed, base = announced
        return self._learn(proposed, now) + self._announce(proposed, base)

    def _announce(self, record: ViewRecord, base: int) -> list[Effect]:
        update = self.book.update(self.instance, record, base)
        children = tree_children(record.view, self.instance, self.instance, self.settings.fan_out)
        return [Send(child, update) for child in children]
