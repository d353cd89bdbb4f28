"""Formation of a view by a majority of the configured instances, when no grantors are left."""

from random import Random
from typing import Any

from chicorypost.base import Effect, Epoch, InstanceId, Instant, Member, Send, View
from chicorypost.membership._messages import FormationRequest, FormationVote
from chicorypost.membership._records import (
    ViewRecord,
    choose_grantors,
    formation_counter,
    formed_epoch,
    least_counter,
    majority,
)
from chicorypost.membership._settings import MembershipSettings


class Formation:
    """Candidate and voter of a formation.

    A vote names a member of the new view, no more: what keeps two formations from acting at once
    is that an instance supports the grantors of one formation at a time (see `Holder`).
    """

    def __init__(
        self,
        settings: MembershipSettings,
        member: Member,
        book: tuple[InstanceId, ...],
        random: Random,
    ) -> None:
        self.settings = settings
        self.member = member
        self.book = book
        self.random = random
        self.known = 0
        self.voted = 0
        self.epoch: Epoch | None = None
        self.votes: dict[InstanceId, Member] = {}
        self.decide_at: Instant | None = None
        self.start_at: Instant | None = None

    def heard(self, epoch: int) -> None:
        """Note an epoch that a later formation must exceed."""
        self.known = max(self.known, epoch)

    def schedule(self, now: Instant) -> None:
        """Plan a candidacy, unless one is planned or running."""
        if self.start_at is None and self.epoch is None:
            place = self.book.index(self.member.instance)
            delay = (place + 2 * self.random.random()) * self.settings.retry_seconds
            self.start_at = Instant(now + min(delay, self.settings.lease_seconds))

    def postpone(self, now: Instant) -> None:
        """Let another candidate finish first."""
        self.abandon()
        delay = self.settings.lease_seconds * (1 + self.random.random())
        self.start_at = Instant(now + delay)

    def abandon(self) -> None:
        """Stop: there is a view, or a vote was given to another candidate."""
        self.epoch = None
        self.votes.clear()
        self.decide_at = None
        self.start_at = None

    def start(self, now: Instant) -> list[Effect]:
        """Ask every configured instance of the data centre for its vote."""
        self.start_at = None
        place = self.book.index(self.member.instance)
        counter = max(formation_counter(self.known) + 1, least_counter(self.member.incarnation))
        self.epoch = formed_epoch(counter, place)
        self.known = max(self.known, self.epoch)
        self.votes = {self.member.instance: self.member}
        self.decide_at = Instant(now + self.settings.retry_seconds)
        others = (name for name in self.book if name != self.member.instance)
        return [Send(name, FormationRequest(self.epoch)) for name in others]

    def vote(self, message: FormationVote) -> bool:
        """Count a vote and return whether every configured instance has voted."""
        if message.epoch != self.epoch or message.member.instance not in self.book:
            return False
        self.votes[message.member.instance] = message.member
        return len(self.votes) == len(self.book)

    def decide(self, now: Instant) -> ViewRecord | None:
        """Return the view of those who voted, if they are a majority; else try again later."""
        if self.epoch is None or len(self.votes) < majority(len(self.book)):
            self.postpone(now)
            return None
        members = tuple(self.votes[name] for name in sorted(self.votes))
        view = View(self.member.data_centre, self.epoch, members)
        record = ViewRecord(view, choose_grantors(view, (), self.settings.grantors))
        self.abandon()
        return record

    def next_deadline(self) -> Instant | None:
        """Return when to start or to decide."""
        return self.decide_at if self.epoch is not None else self.start_at

    def dump(self) -> dict[str, Any]:
        """Return the state as values that JSON can hold."""
        return {"known": self.known, "epoch": self.epoch, "votes": sorted(self.votes)}
