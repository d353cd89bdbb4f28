"""Bounded memory of flows that were seen lately and the upstream of each."""

from chicorypost.base import Instant


class FlowCache:
    """Flow hash to a small number, forgotten when unused.

    Two generations stand in for an exact least-recently-used order: a hit moves a flow to the
    younger one, and when that is full or its time is up, the older one is dropped. A flow that is
    not seen for two idle periods is therefore gone, so a caller's port can be used again.

    Parameters
    ----------
    capacity : int
        Most flows kept.
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
        """Return what is known of a flow, and keep it."""
        known = self.young.get(flow)
        if known is None and self.old:
            known = self.old.pop(flow, None)
            if known is not None:
                self.put(flow, known)
        return known

    def put(self, flow: int, known: int) -> None:
        """Remember a flow."""
        if len(self.young) >= self.generation_capacity:
            self.rotate()
        self.young[flow] = known

    def discard(self, flow: int) -> None:
        """Forget a flow."""
        self.young.pop(flow, None)
        self.old.pop(flow, None)

    def rotate(self) -> None:
        """Drop the older generation."""
        self.old = self.young
        self.young = {}

    def clear(self) -> None:
        """Forget everything."""
        self.young = {}
        self.old = {}

    def expire(self, now: Instant) -> None:
        """Rotate when the younger generation's time is up."""
        if now >= self.rotate_at:
            self.rotate()
            self.rotate_at = Instant(now + self.idle_seconds)
