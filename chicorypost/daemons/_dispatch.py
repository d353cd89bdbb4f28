"""Feeds events to state machines and carries out their effects; knows no loop."""

from collections import deque
from collections.abc import Callable
from typing import Any

import msgspec

from chicorypost.base import (
    Effect,
    Event,
    InstanceId,
    Instant,
    Message,
    Received,
    Send,
    StateMachine,
    Tick,
    message_types,
)
from chicorypost.events import Emit


class Registration(msgspec.Struct, frozen=True):
    """One state machine and what it is told.

    Parameters
    ----------
    name : str
        Key of its state in the dump.
    machine : StateMachine
        The machine.
    messages : tuple of message types
        Received messages that it takes.
    events : tuple of event types
        Other events that it takes.
    """

    name: str
    machine: StateMachine
    messages: tuple[type[Message], ...] = ()
    events: tuple[type[Event], ...] = ()

    def accepts(self, event: Event) -> bool:
        """Return whether the machine is to be told of the event."""
        if isinstance(event, Received):
            return isinstance(event.message, self.messages)
        return isinstance(event, self.events)


def message_types_in(tags: range) -> tuple[type[Message], ...]:
    """Return the message types whose tag lies in a range."""
    return tuple(cls for cls in message_types() if cls.__struct_config__.tag in tags)


class EventDispatcher:
    """Runs the state machines of one process.

    Parameters
    ----------
    send : callable
        Sends a message to an instance.
    emit : callable
        Logs and counts an event.
    execute : callable
        Carries out every other effect, such as a response to a caller.
    clock : callable
        The monotonic clock.

    Notes
    -----
    The clock is read again for each event, so that a process that was frozen between two events
    decides the second one with its lease known to be over.
    """

    def __init__(
        self,
        send: Callable[[InstanceId, Message], None],
        emit: Callable[[Emit], None],
        execute: Callable[[Effect], None],
        clock: Callable[[], float],
    ) -> None:
        self.send = send
        self.emit = emit
        self.execute = execute
        self.clock = clock
        self.registrations: list[Registration] = []
        self.deadlines: dict[str, Instant | None] = {}
        self.queue: deque[Event] = deque()
        self.is_running = False

    def now(self) -> Instant:
        """Return the current time."""
        return Instant(self.clock())

    def register(self, part: Registration) -> None:
        """Add a state machine; events are given to machines in the order of adding."""
        self.registrations.append(part)
        self.deadlines[part.name] = part.machine.next_deadline()

    def post(self, event: Event) -> None:
        """Tell the machines of an event and carry out what follows from it."""
        self.queue.append(event)
        self._process_queue()

    def receive(self, sender: InstanceId, message: Message) -> None:
        """Take a message from another instance."""
        self.post(Received(sender, message))

    def execute_effects(self, effects: list[Effect]) -> None:
        """Carry out effects, and what follows from them."""
        for effect in effects:
            self._execute_effect(effect)
        self._process_queue()

    def _process_queue(self) -> None:
        if self.is_running:
            return
        self.is_running = True
        try:
            while self.queue:
                self._deliver_event(self.queue.popleft())
        finally:
            self.is_running = False
        self._update_wake_time()

    def _update_wake_time(self) -> None:
        """Look at the deadlines after events; a loop that sleeps wakes up for the earliest."""

    def _deliver_event(self, event: Event) -> None:
        for part in self.registrations:
            if part.accepts(event):
                self._handle_event(part, event)

    def _handle_event(self, part: Registration, event: Event) -> None:
        effects = part.machine.handle(event, self.now())
        # Only a machine that was told something can want another time.
        self.deadlines[part.name] = part.machine.next_deadline()
        self.execute_effects(effects)

    def _execute_effect(self, effect: Effect) -> None:
        match effect:
            case Send(to=to, message=message):
                self.send(to, message)
            case Emit():
                self.emit(effect)
            case Event():
                self.queue.append(effect)
                self.execute(effect)
            case _:
                self.execute(effect)

    def tick(self) -> None:
        """Tell every machine whose deadline has come that time has passed."""
        for part in self.registrations:
            deadline = self.deadlines[part.name]
            if deadline is not None and deadline <= self.now():
                self._handle_event(part, Tick())
        self._process_queue()

    def dump(self) -> dict[str, Any]:
        """Return the decision state of every machine."""
        return {part.name: part.machine.dump() for part in self.registrations}
