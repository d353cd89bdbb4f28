"""Membership and configuration follower of a balancer combined into one state machine."""

from typing import Any, Protocol

from chicorypost.base import Effect, Event, Instant, LeaseChanged, ViewChanged
from chicorypost.configuration._follower import ConfigurationFollower


class LeaseHolder(Protocol):
    """Interface of the membership state machine."""

    def handle(self, event: Event, now: Instant) -> list[Effect]:
        """Handle an event and return the effects."""

    def next_deadline(self) -> Instant | None:
        """Return when the state machine next needs a `Tick`, or None."""

    def may_act(self, now: Instant) -> bool:
        """Return whether this instance holds a lease."""

    def dump(self) -> dict[str, Any]:
        """Return the decision state."""


class GatedMembership:
    """State machine that combines membership and configuration follower.

    Both handle every event. A `ViewChanged` from membership is passed on and also handled by the
    follower. A `LeaseChanged` from membership is handled by the follower alone; other components
    receive the `LeaseChanged` that the follower returns.

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
        """Handle an event and return the effects in execution order."""
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
        """Return when either state machine next needs a `Tick`, or None."""
        deadlines = (self.membership.next_deadline(), self.follower.next_deadline())
        return min((item for item in deadlines if item is not None), default=None)

    def may_act(self, now: Instant) -> bool:
        """Return whether the lease is valid and the serving gate is open."""
        return self.membership.may_act(now) and self.follower.gate.may_act(now)

    def dump(self) -> dict[str, Any]:
        """Return the decision state as JSON values."""
        return {"membership": self.membership.dump(), "configuration": self.follower.dump()}
