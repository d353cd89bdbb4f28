"""Interface of state machines without I/O, which map events to effects."""

from typing import Any, Protocol

import msgspec

from chicorypost.base._ids import InstanceId, Instant
from chicorypost.base._message import Message


class Event:
    """Base class of the inputs of a state machine."""

    __slots__ = ()


class Effect:
    """Base class of the actions that a state machine requests from its driver."""

    __slots__ = ()


class Received(Event, msgspec.Struct, frozen=True):
    """A message from another instance was received."""

    sender: InstanceId
    message: Message


class Tick(Event, msgspec.Struct, frozen=True):
    """Time has passed; the state machine handles the deadlines that have expired."""


class Send(Effect, msgspec.Struct, frozen=True):
    """Send a message to another instance; it may be lost, delayed, duplicated or reordered."""

    to: InstanceId
    message: Message


class StateMachine(Protocol):
    """Interface of a state machine to its driver."""

    def handle(self, event: Event, now: Instant) -> list[Effect]:
        """Process an event and return the effects, in the order of their execution."""

    def next_deadline(self) -> Instant | None:
        """Return when the next `Tick` is due, or None if no deadline is pending."""

    def dump(self) -> dict[str, Any]:
        """Return the state that decisions depend on, as values that JSON can represent."""
