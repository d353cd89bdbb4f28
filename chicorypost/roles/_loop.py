"""Event loop of a role, on the monotonic clock that its state machines were created with."""

import time
from collections.abc import Awaitable, Callable
from typing import Any

import trio


class MonotonicClock(trio.abc.Clock):
    """The system's monotonic clock; trio's default clock adds a random offset in each run."""

    def start_clock(self) -> None:
        """Do nothing: the system clock always runs."""

    def current_time(self) -> float:
        """Return the time in seconds."""
        return time.monotonic()

    def deadline_to_sleep_time(self, deadline: float) -> float:
        """Return the time in seconds until a deadline."""
        return deadline - time.monotonic()


def run_loop(main: Callable[..., Awaitable[Any]], *arguments: Any) -> None:
    """Run a role until it ends."""
    trio.run(main, *arguments, clock=MonotonicClock())
