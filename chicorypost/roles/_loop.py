"""The loop of a role, on the clock that its machines were made with."""

import time
from collections.abc import Awaitable, Callable
from typing import Any

import trio


class MonotonicClock(trio.abc.Clock):
    """The system's steady clock as it is: trio's own adds an offset of its own to each run."""

    def start_clock(self) -> None:
        """Nothing needs to be started."""

    def current_time(self) -> float:
        """Return the time in seconds."""
        return time.monotonic()

    def deadline_to_sleep_time(self, deadline: float) -> float:
        """Return how long to sleep until a deadline."""
        return deadline - time.monotonic()


def run_loop(main: Callable[..., Awaitable[Any]], *arguments: Any) -> None:
    """Run a role until it ends."""
    trio.run(main, *arguments, clock=MonotonicClock())
