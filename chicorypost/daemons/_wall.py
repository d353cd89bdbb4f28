"""The wall clock, read only where operators or callers see a time."""

import time
from datetime import UTC, datetime

MS_PER_SECOND = 1000


def wall_clock_ms() -> int:
    """Return the milliseconds since the Unix epoch."""
    return int(time.time() * MS_PER_SECOND)


def format_wall_time(at_ms: int) -> str:
    """Return a wall time as operators read it."""
    return datetime.fromtimestamp(at_ms / MS_PER_SECOND, UTC).isoformat(timespec="milliseconds")
