"""Membership and configuration of a balancer as one machine: the lease passes through the gate."""

from typing import Any, Protocol

from chicorypost.base import Effect, Event, Instant, LeaseChanged, ViewChanged
from chicorypost.configuration._follower import ConfigurationFollower


class LeaseHolder(Protocol):
    """What is needed of membership."""

    def handle(self, event: Event, now: Instant) -> list[Effect]:
        """Take one event and return the effects."""

    def next_deadline(self) -> Instant | None:
        """Return when the machine next wants a `Tick`."""

    def may_act(self, now: Instant) -> bool:
        """Return whether this instance holds a lease."""

    def dump(self) -> dict[str, Any]:
        """Return the whole decision state."""


class GatedMembership:
    """State machine of membership and follower together.

    Every event goes to both. `ViewChanged` of membership is given to the follower and passed on;
    `LeaseChanged` is given to the follower alone, whose own `LeaseChanged` is what other parts
    see.

    Parameters
    ----------
    membership : LeaseHolder
        Holds the lease and the view.
    follower : ConfigurationFollower
        Holds the configuration.
    """

    def __init__(self, membership: LeaseHolder, follower: ConfigurationFollower) -> None:
        self.membership = membership
        self.follower = follower

    def handle(self, event: Event, now: Instant) -> list[Effect]:
        """Take one event and return the effects, in the order to carry them out."""
        effects: list[Effect] = []
        for effect in self.membership.handle(event, now):
            match effect:
                case LeaseChanged():
                    effects += self.follower.handle(effect, now)
                case ViewChanged():
                    effects += [effect, *self.follower.handle(effect, now)]
                case _:
                    effects.append(effect)
        return effects + self.follower.handle(event, now)

    def next_deadline(self) -> Instant | None:
        """Return when one of the two next wants a `Tick`."""
        deadlines = (self.membership.next_deadline(), self.follower.next_deadline())
        return min((item for item in deadlines if item is not None), default=None)

    def may_act(self, now: Instant) -> bool:
        """Return whether the lease holds and the configuration is current enough to serve."""
        return self.membership.may_act(now) and self.follower.gate.may_act(now)

    def dump(self) -> dict[str, Any]:
        """Return the whole decision state as values that JSON can hold."""
        return {"membership": self.membership.dump(), "configuration": self.follower.dump()}
