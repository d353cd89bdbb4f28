"""The wall clock, used only for times that are shown to operators or callers."""

import time
from datetime import UTC, datetime

MS_PER_SECOND = 1000


def wall_clock_ms() -> int:
    """Return the time since the Unix epoch, in milliseconds."""
    return int(time.time() * MS_PER_SECOND)


def format_wall_time(at_ms: int) -> str:
    """Format a time since the Unix epoch as ISO 8601 in UTC, with milliseconds."""
    return datetime.fromtimestamp(at_ms / MS_PER_SECOND, UTC).isoformat(timespec="milliseconds")
