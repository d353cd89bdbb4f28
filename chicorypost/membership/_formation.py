"""Formation of a view by a majority of the configured instances when no grantor is left."""

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
    """Part of one instance in view formations, as candidate and as voter.

    A vote only adds a member to the new view. Two formations never act at the same time because
    an instance supports the grantors of one formation at a time (see `Holder`).
    """

    def __init__(
        self,
        settings: MembershipSettings,
        member: Member,
        configured: tuple[InstanceId, ...],
        random: Random,
    ) -> None:
        self.settings = settings
        self.member = member
        self.configured = configured
        self.random = random
        self.known_epoch = 0
        self.voted_epoch = 0
        self.epoch: Epoch | None = None
        self.votes: dict[InstanceId, Member] = {}
        self.decide_at: Instant | None = None
        self.start_at: Instant | None = None

    def observe_epoch(self, epoch: int) -> None:
        """Record an epoch that later formations must exceed."""
        self.known_epoch = max(self.known_epoch, epoch)

    def schedule_candidacy(self, now: Instant) -> None:
        """Schedule a candidacy unless one is scheduled or running."""
        if self.start_at is None and self.epoch is None:
            position = self.configured.index(self.member.instance)
            delay = (position + 2 * self.random.random()) * self.settings.retry_seconds
            self.start_at = Instant(now + min(delay, self.settings.lease_seconds))

    def postpone_candidacy(self, now: Instant) -> None:
        """Abandon the candidacy and schedule the next one after one to two leases."""
        self.abandon_candidacy()
        delay = self.settings.lease_seconds * (1 + self.random.random())
        self.start_at = Instant(now + delay)

    def abandon_candidacy(self) -> None:
        """Abandon the candidacy, since there is a view or another candidate got the vote."""
        self.epoch = None
        self.votes.clear()
        self.decide_at = None
        self.start_at = None

    def start_candidacy(self, now: Instant) -> list[Effect]:
        """Request the votes of the configured instances of the data centre."""
        self.start_at = None
        position = self.configured.index(self.member.instance)
        counter = max(
            formation_counter(self.known_epoch) + 1,
            counter_from_incarnation(self.member.incarnation),
        )
        self.epoch = formation_epoch(counter, position)
        self.known_epoch = max(self.known_epoch, self.epoch)
        self.votes = {self.member.instance: self.member}
        self.decide_at = Instant(now + self.settings.retry_seconds)
        others = (name for name in self.configured if name != self.member.instance)
        return [Send(name, FormationRequest(self.epoch)) for name in others]

    def count_vote(self, message: FormationVote) -> bool:
        """Record a vote and return whether all configured instances have voted."""
        if message.epoch != self.epoch or message.member.instance not in self.configured:
            return False
        self.votes[message.member.instance] = message.member
        return len(self.votes) == len(self.configured)

    def form_view(self, now: Instant) -> ViewRecord | None:
        """Return the view of a majority of voters, or postpone the candidacy and return None."""
        if self.epoch is None or len(self.votes) < majority(len(self.configured)):
            self.postpone_candidacy(now)
            return None
        members = tuple(self.votes[name] for name in sorted(self.votes))
        view = View(self.member.data_centre, self.epoch, members)
        record = ViewRecord(view, choose_grantors(view, (), self.settings.grantors))
        self.abandon_candidacy()
        return record

    def next_deadline(self) -> Instant | None:
        """Return when to start the candidacy or to count its votes, or None."""
        return self.decide_at if self.epoch is not None else self.start_at

    def dump(self) -> dict[str, Any]:
        """Return the state as values that JSON can hold."""
        return {"known": self.known_epoch, "epoch": self.epoch, "votes": sorted(self.votes)}
