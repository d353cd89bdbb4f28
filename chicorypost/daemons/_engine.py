"""Runs the state machines of one process on trio's loop."""

from collections.abc import Callable

import trio

from chicorypost.base import Effect, InstanceId, Instant, Message
from chicorypost.daemons._dispatch import EventDispatcher
from chicorypost.events import Emit

TICK_PAUSE_SECONDS = 0.001


class Engine(EventDispatcher):
    """A dispatcher that wakes up at the earliest deadline of its machines.

    Parameters
    ----------
    send, emit, execute : callable
        As for `Dispatcher`.
    clock : callable, default trio.current_time
        The monotonic clock.
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
        """Look at all deadlines again, after a machine was used in another way than by events."""
        for part in self.registrations:
            self.deadlines[part.name] = part.machine.next_deadline()
        self._update_wake_time()

    def refresh_deadline(self, name: str) -> None:
        """Look at the deadline of one part again, after it was used without an event."""
        machine = next(part.machine for part in self.registrations if part.name == name)
        self.deadlines[name] = machine.next_deadline()
        self._update_wake_time()

    def _update_wake_time(self) -> None:
        known = (deadline for deadline in self.deadlines.values() if deadline is not None)
        earliest = min(known, default=None)
        is_earlier = earliest is not None and (self.wake_at is None or earliest < self.wake_at)
        self.wake_at = earliest
        # A later time needs no wake-up: the timer looks at it again when the former one comes.
        if is_earlier:
            self.wake_event.set()

    async def run_timer(self) -> None:
        """Tell the machines that time has passed whenever a deadline is reached."""
        while True:
            self.wake_event = trio.Event()
            if self.wake_at is None:
                await self.wake_event.wait()
                continue
            with trio.move_on_at(self.wake_at):
                await self.wake_event.wait()
            if self.wake_at is not None and self.now() >= self.wake_at:
                self.tick()
                # A machine that asks for a past deadline again must not starve the loop.
                await trio.sleep(TICK_PAUSE_SECONDS)
