"""Dispatches events to state machines and executes their effects, without an event loop."""

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
from chicorypost.daemons._events import MESSAGE_UNEXPECTED
from chicorypost.events import Emit
from chicorypost.transport._events import UNEXPECTED_ERROR

ERROR_PAUSE_SECONDS = 0.5
"""Pause before the next `Tick` of a machine that failed, so that it can't occupy the process."""


class Registration(msgspec.Struct, frozen=True):
    """A state machine and the events that it receives.

    Parameters
    ----------
    name : str
        Key of the machine's state in the dump.
    machine : StateMachine
        The state machine.
    messages : tuple of message types
        Types of the messages that it receives.
    events : tuple of event types
        Types of the other events that it receives.
    isolates_errors : bool, default False
        Whether an unexpected error of the machine costs only the event that caused it. For machines
        whose state is soft, since that event may be handled in part; others stop the process.
    """

    name: str
    machine: StateMachine
    messages: tuple[type[Message], ...] = ()
    events: tuple[type[Event], ...] = ()
    isolates_errors: bool = False

    def accepts(self, event: Event) -> bool:
        """Return whether the machine receives the event."""
        if isinstance(event, Received):
            return isinstance(event.message, self.messages)
        return isinstance(event, self.events)


def message_types_in(tags: range) -> tuple[type[Message], ...]:
    """Return the message types whose tag lies in a range."""
    return tuple(cls for cls in message_types() if cls.__struct_config__.tag in tags)


class EventDispatcher:
    """Runs the state machines of a process.

    Parameters
    ----------
    send : callable
        Sends a message to another instance.
    emit : callable
        Logs and counts an event.
    execute : callable
        Executes every other effect, such as a response to a caller.
    clock : callable
        Returns the monotonic time, in seconds.

    Notes
    -----
    The clock is read again for each event, so that a process that was suspended between two events
    handles the second one with its lease known to have expired.
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
        """Return the current monotonic time."""
        return Instant(self.clock())

    def register(self, registration: Registration) -> None:
        """Register a state machine; machines receive events in the order of registration."""
        self.registrations.append(registration)
        self.deadlines[registration.name] = registration.machine.next_deadline()

    def post(self, event: Event) -> None:
        """Dispatch an event to the machines and execute the effects that result."""
        self.queue.append(event)
        self._process_queue()

    def receive(self, sender: InstanceId, message: Message) -> None:
        """Dispatch a message from another instance."""
        self.post(Received(sender, message))

    def execute_effects(self, effects: list[Effect]) -> None:
        """Execute effects and dispatch the events among them."""
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
        """Called after the deadlines may have changed; a subclass reschedules its wake-up here."""

    def _deliver_event(self, event: Event) -> None:
        is_accepted = False
        for registration in self.registrations:
            if registration.accepts(event):
                is_accepted = True
                self._handle_event(registration, event)
        if isinstance(event, Received) and not is_accepted:
            message = type(event.message).__name__
            self.emit(MESSAGE_UNEXPECTED.emit(peer=event.sender, message=message))

    def _handle_event(self, registration: Registration, event: Event) -> None:
        try:
            effects = registration.machine.handle(event, self.now())
        except Exception as error:
            if not registration.isolates_errors:
                raise
            self._report_error(registration, event, error)
            return
        # Handling an event can change the deadline of this machine only.
        self.deadlines[registration.name] = registration.machine.next_deadline()
        self.execute_effects(effects)

    def _report_error(self, registration: Registration, event: Event, error: Exception) -> None:
        self.deadlines[registration.name] = Instant(self.now() + ERROR_PAUSE_SECONDS)
        where = f"{registration.name}: {type(event).__name__}"
        self.emit(UNEXPECTED_ERROR.emit(where=where, error=f"{error!r:.200}"))

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
        """Send a `Tick` to every machine whose deadline has passed."""
        for registration in self.registrations:
            deadline = self.deadlines[registration.name]
            if deadline is not None and deadline <= self.now():
                self._handle_event(registration, Tick())
        self._process_queue()

    def dump(self) -> dict[str, Any]:
        """Return the state of every machine by name."""
        return {
            registration.name: registration.machine.dump() for registration in self.registrations
        }
