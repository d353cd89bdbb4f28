"""Event log of a role: counts events, limits the rate of lines and buffers events during start."""

import time
from collections.abc import Callable

from chicorypost.events import Emit, EventSpec, LineLimiter, LogBudget

EventWriter = Callable[[Emit, float | None], None]
"""Writes one event that occurred at the given wall-clock time, or now if that is None."""


class EventLog:
    """Counts log events and writes them within the budget of lines.

    Parameters
    ----------
    write_event : callable, optional
        Writes one event. Without it events are buffered until `start_writing` is called: the
        logging library is imported only after the process has started to serve.
    clock : callable
        Monotonic clock in seconds.
    """

    def __init__(
        self, write_event: EventWriter | None = None, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self.write_event = write_event
        self.clock = clock
        self.limiter = LineLimiter(LogBudget(), clock())
        self.counts: dict[EventSpec, int] = {}
        self.buffered_events: list[tuple[Emit, float]] = []

    def start_writing(self, write_event: EventWriter) -> None:
        """Write the buffered events with their times, and later events immediately."""
        self.write_event = write_event
        buffered, self.buffered_events = self.buffered_events, []
        for event, occurred_at in buffered:
            write_event(event, occurred_at)

    def counts_by_name(self) -> dict[str, int]:
        """Return the number of occurrences of each event by its name."""
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
