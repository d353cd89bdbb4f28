"""Bounded cache of the upstreams of recently seen flows."""

from chicorypost.base import Instant


class FlowCache:
    """Approximate least-recently-used cache from flow hash to target index.

    Entries are kept in two generations. A hit moves an entry to the younger one; when that is full
    or older than the idle period, it replaces the older one, whose entries are evicted. An entry
    without a hit for two idle periods is therefore evicted, so that a reused client port is not
    taken for the earlier flow.

    Parameters
    ----------
    capacity : int
        Maximum number of entries.
    idle_seconds : float
        Age of the younger generation, in seconds, at which it becomes the older one.
    now : Instant
        Current time.
    """

    def __init__(self, capacity: int, idle_seconds: float, now: Instant) -> None:
        self.generation_capacity = max(1, capacity // 2)
        self.idle_seconds = idle_seconds
        self.rotate_at = now + idle_seconds
        self.young: dict[int, int] = {}
        self.old: dict[int, int] = {}

    def __len__(self) -> int:
        return len(self.young) + len(self.old)

    def get(self, flow: int) -> int | None:
        """Return the target index of a flow, or None, and mark the entry as recently used."""
        index = self.young.get(flow)
        if index is None and self.old:
            index = self.old.pop(flow, None)
            if index is not None:
                self.put(flow, index)
        return index

    def put(self, flow: int, index: int) -> None:
        """Store the target index of a flow."""
        if len(self.young) >= self.generation_capacity:
            self.rotate()
        self.young[flow] = index

    def discard(self, flow: int) -> None:
        """Remove a flow."""
        self.young.pop(flow, None)
        self.old.pop(flow, None)

    def rotate(self) -> None:
        """Evict the older generation and start a new younger one."""
        self.old = self.young
        self.young = {}

    def clear(self) -> None:
        """Remove all entries."""
        self.young = {}
        self.old = {}

    def expire(self, now: Instant) -> None:
        """Rotate when the younger generation has reached the idle period."""
        if now >= self.rotate_at:
            self.rotate()
            self.rotate_at = Instant(now + self.idle_seconds)
