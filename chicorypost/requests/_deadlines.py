"""Stored deadlines of many things, with the earliest at hand."""

import heapq
from collections.abc import Hashable
from typing import Generic, TypeVar

from chicorypost.base import Instant

K = TypeVar("K", bound=Hashable)


class DeadlineQueue(Generic[K]):
    """One deadline per key; setting it again replaces it."""

    def __init__(self) -> None:
        self.deadlines: dict[K, Instant] = {}
        self.heap: list[tuple[Instant, int, K]] = []
        self.next_sequence = 0

    def set_deadline(self, key: K, at: Instant) -> None:
        """Set the deadline of a key."""
        if self.deadlines.get(key) == at:
            return
        self.deadlines[key] = at
        self.next_sequence += 1
        heapq.heappush(self.heap, (at, self.next_sequence, key))

    def clear_deadline(self, key: K) -> None:
        """Forget the deadline of a key."""
        self.deadlines.pop(key, None)

    def pop_due(self, now: Instant) -> list[K]:
        """Remove and return the keys whose deadline has come, earliest first."""
        due = []
        while self.earliest() is not None and self.heap[0][0] <= now:
            key = heapq.heappop(self.heap)[2]
            del self.deadlines[key]
            due.append(key)
        return due

    def earliest(self) -> Instant | None:
        """Return the earliest deadline, or None."""
        while self.heap and self.deadlines.get(self.heap[0][2]) != self.heap[0][0]:
            heapq.heappop(self.heap)
        return self.heap[0][0] if self.heap else None
