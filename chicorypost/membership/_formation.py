"""Formation of a view by a majority of the configured instances, when no grantors are left."""

from random import Random
from typing import Any

from chicorypost.base import Effect, Epoch, InstanceId, Instant, Member, Send, View
from chicorypost.membership._messages import FormationRequest, FormationVote
from chicorypost.membership._records import (
    ViewRecord,
    choose_grantors,
    counter_from_incarnation,
    formation_counter,
    formation_epoch,
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
        self.configured = book
        self.random = random
        self.known_epoch = 0
        self.voted_epoch = 0
        self.epoch: Epoch | None = None
        self.votes: dict[InstanceId, Member] = {}
        self.decide_at: Instant | None = None
        self.start_at: Instant | None = None

    def observe_epoch(self, epoch: int) -> None:
        """Note an epoch that a later formation must exceed."""
        self.known_epoch = max(self.known_epoch, epoch)

    def schedule_candidacy(self, now: Instant) -> None:
        """Plan a candidacy, unless one is planned or running."""
        if self.start_at is None and self.epoch is None:
            place = self.configured.index(self.member.instance)
            delay = (place + 2 * self.random.random()) * self.settings.retry_seconds
            self.start_at = Instant(now + min(delay, self.settings.lease_seconds))

    def postpone_candidacy(self, now: Instant) -> None:
        """Let another candidate finish first."""
        self.abandon_candidacy()
        delay = self.settings.lease_seconds * (1 + self.random.random())
        self.start_at = Instant(now + delay)

    def abandon_candidacy(self) -> None:
        """Stop: there is a view, or a vote was given to another candidate."""
        self.epoch = None
        self.votes.clear()
        self.decide_at = None
        self.start_at = None

    def start_candidacy(self, now: Instant) -> list[Effect]:
        """Ask every configured instance of the data centre for its vote."""
        self.start_at = None
        place = self.configured.index(self.member.instance)
        counter = max(
            formation_counter(self.known_epoch) + 1,
            counter_from_incarnation(self.member.incarnation),
        )
        self.epoch = formation_epoch(counter, place)
        self.known_epoch = max(self.known_epoch, self.epoch)
        self.votes = {self.member.instance: self.member}
        self.decide_at = Instant(now + self.settings.retry_seconds)
        others = (name for name in self.configured if name != self.member.instance)
        return [Send(name, FormationRequest(self.epoch)) for name in others]

    def count_vote(self, message: FormationVote) -> bool:
        """Count a vote and return whether every configured instance has voted."""
        if message.epoch != self.epoch or message.member.instance not in self.configured:
            return False
        self.votes[message.member.instance] = message.member
        return len(self.votes) == len(self.configured)

    def form_view(self, now: Instant) -> ViewRecord | None:
        """Return the view of those who voted, if they are a majority; else try again later."""
        if self.epoch is None or len(self.votes) < majority(len(self.configured)):
            self.postpone_candidacy(now)
            return None
        members = tuple(self.votes[name] for name in sorted(self.votes))
        view = View(self.member.data_centre, self.epoch, members)
        record = ViewRecord(view, choose_grantors(view, (), self.settings.grantors))
        self.abandon_candidacy()
        return record

    def next_deadline(self) -> Instant | None:
        """Return when to start or to decide."""
        return self.decide_at if self.epoch is not None else self.start_at

    def dump(self) -> dict[str, Any]:
        """Return the state as values that JSON can hold."""
        return {"known": self.known_epoch, "epoch": self.epoch, "votes": sorted(self.votes)}
