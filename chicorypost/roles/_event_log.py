"""The log of a role: every event counted, lines within a budget, none lost at the start."""

import time
from collections.abc import Callable

from chicorypost.events import Emit, EventSpec, LineLimiter, LogBudget

EventWriter = Callable[[Emit, float | None], None]
"""Writes one event, that occurred at a time of day or now."""


class EventLog:
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
        self, write: EventWriter | None = None, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self.write_event = write
        self.clock = clock
        self.limiter = LineLimiter(LogBudget(), clock())
        self.counts: dict[EventSpec, int] = {}
        self.buffered_events: list[tuple[Emit, float]] = []

    def start_writing(self, write: EventWriter) -> None:
        """Write what was held, with its time, and from now on every event at once."""
        self.write_event = write
        held, self.buffered_events = self.buffered_events, []
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
            self._write_or_buffer(report)
        if self.limiter.allow(event.spec.name, now):
            self._write_or_buffer(event)

    def _write_or_buffer(self, event: Emit) -> None:
        if self.write_event is not None:
            self.write_event(event, None)
        else:
            self.buffered_events.append((event, time.time()))
