"""The wall clock, read only where operators or callers see a time."""

import time
from datetime import UTC, datetime

MILLISECONDS = 1000


def wall_ms() -> int:
    """Return the milliseconds since the Unix epoch."""
    return int(time.time() * MILLISECONDS)


def wall_text(at_ms: int) -> str:
    """Return a wall time as operators read it."""
    return datetime.fromtimestamp(at_ms / MILLISECONDS, UTC).isoformat(timespec="milliseconds")
