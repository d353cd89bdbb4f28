"""Limits of the log: a line rate for each event and an output that never blocks."""

import os

import msgspec

from chicorypost.events._catalogue import Emit, Level, define_event

LINES_SUPPRESSED = define_event(
    8,
    "lines-suppressed",
    Level.WARNING,
    "An event exceeded its line rate, or the output was not read.",
    "suppressed",
    "lines",
)


class LogBudget(msgspec.Struct, frozen=True):
    """Limits of the log lines of one process.

    Parameters
    ----------
    lines_per_second : float, default 25.0
        Sustained lines of one event per second: several times the usual rate of requests through
        one balancer in current deployments.
    burst_lines : float, default 150.0
        Maximum lines of one event in a burst.
    report_seconds : float, default 5.0
        Interval in seconds between reports of suppressed lines.
    """

    lines_per_second: float = 25.0
    burst_lines: float = 150.0
    report_seconds: float = 5.0


class _TokenBucket(msgspec.Struct):
    tokens: float
    refilled_at: float
    suppressed_lines: int = 0


class LineLimiter:
    """Limits the lines of each event with a token bucket.

    Parameters
    ----------
    budget : LogBudget
        Line rate, burst size and report interval.
    now : float
        Current time in seconds on a monotonic clock.
    """

    def __init__(self, budget: LogBudget, now: float) -> None:
        self.budget = budget
        self.buckets: dict[str, _TokenBucket] = {}
        self.report_at = now + budget.report_seconds

    def allow(self, name: str, now: float) -> bool:
        """Return whether a line of the named event may be written, and count it."""
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
        """Return and reset the counts of suppressed lines as events, if a report is due."""
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
    """Text stream on a file descriptor that drops lines while the descriptor is not writable.

    Parameters
    ----------
    descriptor : int
        File descriptor to write to; it is set to non-blocking.

    Attributes
    ----------
    dropped_lines : int
        Number of dropped lines.
    """

    def __init__(self, descriptor: int) -> None:
        os.set_blocking(descriptor, False)
        self.descriptor = descriptor
        self.unwritten = b""
        self.dropped_lines = 0

    def write(self, text: str) -> int:
        """Write one line or drop it; the rest of a partly written line is written first."""
        data = text.encode()
        if self.unwritten:
            self.unwritten = self._write_some(self.unwritten)
        if self.unwritten:
            self.dropped_lines += 1
        else:
            remaining = self._write_some(data)
            if len(remaining) == len(data):
                self.dropped_lines += 1
            else:
                self.unwritten = remaining
        return len(text)

    def flush(self) -> None:
        """Do nothing, since `write` does not buffer whole lines."""

    def _write_some(self, data: bytes) -> bytes:
        """Write data and return the part that could not be written."""
        try:
            return data[os.write(self.descriptor, data) :]
        except (BlockingIOError, BrokenPipeError):
            return data
