"""Runs the state machines of a process on trio's event loop."""

from collections.abc import Callable

import trio

from chicorypost.base import Effect, InstanceId, Instant, Message
from chicorypost.daemons._dispatch import EventDispatcher
from chicorypost.events import Emit

TICK_PAUSE_SECONDS = 0.001


class Engine(EventDispatcher):
    """An event dispatcher that wakes up at the earliest deadline of its machines.

    Parameters
    ----------
    send, emit, execute : callable
        See `EventDispatcher`.
    clock : callable, default trio.current_time
        Returns the monotonic time, in seconds.
    """

    def __init__(
        self,
        send: Callable[[InstanceId, Message], None],
        emit: Callable[[Emit], None],
        execute: Callable[[Effect], None],
        clock: Callable[[], float] = trio.current_time,
    ) -> None:
        super().__init__(send, emit, execute, clock)
        self.wake_at: Instant | None = None
        self.wake_event = trio.Event()

    def refresh_deadlines(self) -> None:
        """Read the deadlines of all machines again after one was changed without an event."""
        for registration in self.registrations:
            self.deadlines[registration.name] = registration.machine.next_deadline()
        self._update_wake_time()

    def refresh_deadline(self, name: str) -> None:
        """Read the deadline of one machine again after it was changed without an event."""
        machine = next(
            registration.machine for registration in self.registrations if registration.name == name
        )
        self.deadlines[name] = machine.next_deadline()
        self._update_wake_time()

    def _update_wake_time(self) -> None:
        pending = (deadline for deadline in self.deadlines.values() if deadline is not None)
        earliest = min(pending, default=None)
        is_earlier = earliest is not None and (self.wake_at is None or earliest < self.wake_at)
        self.wake_at = earliest
        # A later deadline needs no wake-up: the timer reads it when the previous one is reached.
        if is_earlier:
            self.wake_event.set()

    async def run_timer(self) -> None:
        """Tick the machines whenever a deadline is reached; run until cancelled."""
        while True:
            self.wake_event = trio.Event()
            if self.wake_at is None:
                await self.wake_event.wait()
                continue
            with trio.move_on_at(self.wake_at):
                await self.wake_event.wait()
            if self.wake_at is not None and self.now() >= self.wake_at:
                self.tick()
                # A machine whose deadline stays in the past must not starve the event loop.
                await trio.sleep(TICK_PAUSE_SECONDS)
