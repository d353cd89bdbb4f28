"""The interface of a state machine without I/O: events in, effects out."""

from typing import Any, Protocol

import msgspec

from chicorypost.base._ids import InstanceId, Instant
from chicorypost.base._message import Message


class Event:
    """Base of everything that a state machine can be told."""

    __slots__ = ()


class Effect:
    """Base of everything that a state machine can ask its driver to do."""

    __slots__ = ()


class Received(Event, msgspec.Struct, frozen=True):
    """A message arrived from another instance."""

    sender: InstanceId
    message: Message


class Tick(Event, msgspec.Struct, frozen=True):
    """Time has passed; the machine compares its stored deadlines with the current time."""


class Send(Effect, msgspec.Struct, frozen=True):
    """Send a message to another instance; it may be lost, late, repeated or reordered."""

    to: InstanceId
    message: Message


class StateMachine(Protocol):
    """What a driver needs of a state machine."""

    def handle(self, event: Event, now: Instant) -> list[Effect]:
        """Take one event and return the effects, in the order to carry them out."""

    def next_deadline(self) -> Instant | None:
        """Return when the machine next wants a `Tick`, or None."""

    def dump(self) -> dict[str, Any]:
        """Return the whole decision state as values that JSON can hold."""
