"""The log of a role: every event counted, lines within a budget, none lost at the start."""

import time
from collections.abc import Callable

from chicorypost.events import Emit, EventSpec, LineLimiter, LogBudget

Write = Callable[[Emit, float | None], None]
"""Writes one event, that occurred at a time of day or now."""


class Journal:
    """Counts log events and writes them within the budget.

    Parameters
    ----------
    write : callable, optional
        Writes one event. Without it events are held until `open` is called: the library that
        writes them is imported when the process serves already.
    clock : callable
        A steady clock in seconds.
    """

    def __init__(
        self, write: Write | None = None, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self.write = write
        self.clock = clock
        self.limiter = LineLimiter(LogBudget(), clock())
        self.counts: dict[EventSpec, int] = {}
        self.held: list[tuple[Emit, float]] = []

    def open(self, write: Write) -> None:
        """Write what was held, with its time, and from now on every event at once."""
        self.write = write
        held, self.held = self.held, []
        for event, at in held:
            write(event, at)

    def counts_by_name(self) -> dict[str, int]:
        """Return how often each event has occurred, by its name."""
        return {spec.name: count for spec, count in self.counts.items()}

    def emit(self, event: Emit) -> None:
        """Count an event, and write it if the budget allows."""
        self.counts[event.spec] = self.counts.get(event.spec, 0) + 1
        now = self.clock()
        for report in self.limiter.report_suppressed(now):
            self._write(report)
        if self.limiter.allow(event.spec.name, now):
            self._write(event)

    def _write(self, event: Emit) -> None:
        if self.write is not None:
            self.write(event, None)
        else:
            self.held.append((event, time.time()))
