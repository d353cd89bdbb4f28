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


class _Bucket(msgspec.Struct):
    lines: float
    filled_at: float
    suppressed: int = 0


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
        self.buckets: dict[str, _Bucket] = {}
        self.report_at = now + budget.report_seconds

    def allow(self, name: str, now: float) -> bool:
        """Return whether a line of the named event may be written."""
        bucket = self.buckets.get(name)
        if bucket is None:
            bucket = self.buckets[name] = _Bucket(self.budget.burst_lines, now)
        refill = (now - bucket.filled_at) * self.budget.lines_per_second
        bucket.lines = min(self.budget.burst_lines, bucket.lines + refill)
        bucket.filled_at = now
        if bucket.lines < 1.0:
            bucket.suppressed += 1
            return False
        bucket.lines -= 1.0
        return True

    def report(self, now: float) -> list[Emit]:
        """Return one event for each name with suppressed lines, if a report is due."""
        if now < self.report_at:
            return []
        self.report_at = now + self.budget.report_seconds
        events = []
        for name, bucket in self.buckets.items():
            if bucket.suppressed:
                events.append(LINES_SUPPRESSED.emit(suppressed=name, lines=bucket.suppressed))
                bucket.suppressed = 0
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
        self.rest = b""
        self.dropped = 0

    def write(self, text: str) -> int:
        """Write one line, or drop it; what was written in part is finished first."""
        data = text.encode()
        if self.rest:
            self.rest = self._write_some(self.rest)
        if self.rest:
            self.dropped += 1
        else:
            left = self._write_some(data)
            if len(left) == len(data):
                self.dropped += 1
            else:
                self.rest = left
        return len(text)

    def flush(self) -> None:
        """Do nothing: every line is written at once."""

    def _write_some(self, data: bytes) -> bytes:
        """Return what could not be written."""
        try:
            return data[os.write(self.descriptor, data) :]
        except (BlockingIOError, BrokenPipeError):
            return data
