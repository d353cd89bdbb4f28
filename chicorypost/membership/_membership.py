"""Membership of one instance: lease holder and, when chosen, grantor."""

from dataclasses import dataclass
from random import Random
from typing import Any

from chicorypost.base import DataCentreId, Effect, Event, Instant, Member, View
from chicorypost.membership._settings import MembershipSettings


@dataclass(frozen=True, slots=True)
class Leave(Event):
    """Give the lease back and leave the view: the last step of a graceful stop."""


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
    two instances that may act never disagree about the owner of anything.
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
        self.peers = peers
        self.random = random
        self.started = now

    def handle(self, event: Event, now: Instant) -> list[Effect]:
        """Take one event and return the effects, in the order to carry them out."""
        raise NotImplementedError

    def next_deadline(self) -> Instant | None:
        """Return when the machine next wants a `Tick`."""
        raise NotImplementedError

    @property
    def view(self) -> View | None:
        """The view of the own data centre, or None before the first."""
        raise NotImplementedError

    @property
    def views(self) -> dict[DataCentreId, View]:
        """The newest view heard of every data centre, the own one included."""
        raise NotImplementedError

    @property
    def lease_end(self) -> Instant | None:
        """When the lease of this instance ends, or None without one."""
        raise NotImplementedError

    def may_act(self, now: Instant) -> bool:
        """Return whether this instance holds a lease in its view; asked before each effect."""
        raise NotImplementedError

    def dump(self) -> dict[str, Any]:
        """Return the whole decision state as values that JSON can hold."""
        raise NotImplementedError
