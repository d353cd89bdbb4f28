"""Bounds of the log: lines in a time for each event, and an output that never blocks."""

import os

import msgspec

from chicorypost.events._catalogue import Emit, Level, define_event

LINES_SUPPRESSED = define_event(
    8,
    "lines-suppressed",
    Level.WARNING,
    "More lines of an event came than the budget allows, or nobody read the output.",
    "suppressed",
    "lines",
)


class LogBudget(msgspec.Struct, frozen=True):
    """How much one process may log.

    Parameters
    ----------
    lines_per_second : float, default 25.0
        Lines of one event in the long run: several times the calm rate of requests through one
        balancer of today's sites.
    burst_lines : float, default 150.0
        Lines of one event at once.
    report_seconds : float, default 5.0
        How often suppressed lines are reported.
    """

    lines_per_second: float = 25.0
    burst_lines: float = 150.0
    report_seconds: float = 5.0


class _TokenBucket(msgspec.Struct):
    tokens: float
    refilled_at: float
    suppressed_lines: int = 0


class LineLimiter:
    """Decides which lines are written.

    Parameters
    ----------
    budget : LogBudget
        Bounds.
    now : float
        Current time in seconds, on any steady clock.
    """

    def __init__(self, budget: LogBudget, now: float) -> None:
        self.budget = budget
        self.buckets: dict[str, _TokenBucket] = {}
        self.report_at = now + budget.report_seconds

    def allow(self, name: str, now: float) -> bool:
        """Return whether a line of the named event may be written."""
        bucket = self.buckets.get(name)
        if bucket is None:
            bucket = self.buckets[name] = _TokenBucket(self.budget.burst_lines, now)
        refill = (now - bucket.refilled_at) * self.budget.lines_per_second
        bucket.tokens = min(self.budget.burst_lines, bucket.tokens + refill)
        bucket.refilled_at = now
        if bucket.tokens < 1.0:
            bucket.suppressed_lines += 1
            return False
        bucket.tokens -= 1.0
        return True

    def report_suppressed(self, now: float) -> list[Emit]:
        """Return one event for each name with suppressed lines, if a report is due."""
        if now < self.report_at:
            return []
        self.report_at = now + self.budget.report_seconds
        events = []
        for name, bucket in self.buckets.items():
            if bucket.suppressed_lines:
                events.append(LINES_SUPPRESSED.emit(suppressed=name, lines=bucket.suppressed_lines))
                bucket.suppressed_lines = 0
        return events


class NonBlockingOutput:
    """A text stream on a descriptor that drops lines while nobody reads.

    Parameters
    ----------
    descriptor : int
        Where lines go; it is made non-blocking.

    Attributes
    ----------
    dropped : int
        Lines that were dropped.
    """

    def __init__(self, descriptor: int) -> None:
        os.set_blocking(descriptor, False)
        self.descriptor = descriptor
        self.unwritten = b""
        self.dropped_lines = 0

    def write(self, text: str) -> int:
        """Write one line, or drop it; what was written in part is finished first."""
        data = text.encode()
        if self.unwritten:
            self.unwritten = self._write_some(self.unwritten)
        if self.unwritten:
            self.dropped_lines += 1
        else:
            left = self._write_some(data)
            if len(left) == len(data):
                self.dropped_lines += 1
            else:
                self.unwritten = left
        return len(text)

    def flush(self) -> None:
        """Do nothing: every line is written at once."""

    def _write_some(self, data: bytes) -> bytes:
        """Return what could not be written."""
        try:
            return data[os.write(self.descriptor, data) :]
        except (BlockingIOError, BrokenPipeError):
            return data
