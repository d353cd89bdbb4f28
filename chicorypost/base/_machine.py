"""The interface of a state machine without I/O: events in, effects out."""

from dataclasses import dataclass
from typing import Any, Protocol

from chicorypost.base._ids import InstanceId, Instant
from chicorypost.base._message import Message


@dataclass(frozen=True, slots=True)
class Event:
    """Base of everything that a state machine can be told."""


@dataclass(frozen=True, slots=True)
class Effect:
    """Base of everything that a state machine can ask its driver to do."""


@dataclass(frozen=True, slots=True)
class Received(Event):
    """A message arrived from another instance."""

    sender: InstanceId
    message: Message


@dataclass(frozen=True, slots=True)
class Tick(Event):
    """Time has passed; the machine compares its stored deadlines with the current time."""


@dataclass(frozen=True, slots=True)
class Send(Effect):
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
