"""The queue in front of a thin link."""

from collections import Counter, deque
from typing import Any

import msgspec

from chicorypost.base import FlowKey, Instant
from chicorypost.pacing._settings import PacingSettings


class QueuedDatagram(msgspec.Struct, frozen=True):
    """A datagram that waits for the link."""

    sequence: int | None
    content: bytes
    address: tuple[str, int]


class LinkPacer:
    """Hands datagrams to a link as fast as it takes them, and in turn to each flow.

    A client sends its whole window at once. What a thin link can't take is lost, with the packets
    of every other flow that come meanwhile, and all of it comes again when the client's timer
    fires. Here it waits instead. Flows that begin to wait go first, so a short request passes a
    long upload; a copy of a packet that still waits takes its place.

    Parameters
    ----------
    settings : PacingSettings
        Capacity and bounds.

    Attributes
    ----------
    counters : Counter
        Datagrams that waited, replaced another copy, or were dropped because too much waited.
    """

    def __init__(self, settings: PacingSettings) -> None:
        self.settings = settings
        rate = settings.bytes_per_second
        self.seconds_per_byte = 1.0 / (rate * settings.share) if rate is not None else 0.0
        self.link_free_at = Instant(0.0)
        """When the link has sent all that was handed to it."""
        self.queues: dict[FlowKey, deque[QueuedDatagram]] = {}
        self.flow_order: deque[FlowKey] = deque()
        self.waiting_seconds = 0.0
        self.counters: Counter[str] = Counter()

    def admit(self, content: bytes, now: Instant) -> bool:
        """Return whether a datagram may leave at once; it then counts as sent."""
        if self.queues or now < self.link_free_at - self.settings.backlog_seconds:
            return False
        self.link_free_at = Instant(
            max(self.link_free_at, now) + self._transmission_seconds(content)
        )
        return True

    def enqueue(
        self, flow: FlowKey, sequence: int | None, content: bytes, address: tuple[str, int]
    ) -> None:
        """Let a datagram wait that may not leave at once.

        Parameters
        ----------
        flow : FlowKey
            Its flow.
        sequence : int or None
            Where its data belongs in the flow; the same in each copy. None without data.
        content : bytes
            What is sent.
        address : tuple of str and int
            Where it is sent.
        """
        waiting = self.queues.get(flow)
        if waiting is None:
            waiting = self.queues[flow] = deque()
            self.flow_order.appendleft(flow)
        item = QueuedDatagram(sequence, content, address)
        if sequence is not None:
            for place, other in enumerate(waiting):
                if other.sequence == sequence and len(other.content) == len(content):
                    waiting[place] = item
                    self.counters["replaced"] += 1
                    return
        waiting.append(item)
        self.counters["waited"] += 1
        self.waiting_seconds += self._transmission_seconds(content)
        if self.waiting_seconds > self.settings.queue_seconds:
            self._drop_from_longest_queue()

    def dequeue(self, now: Instant) -> list[QueuedDatagram]:
        """Return what may leave now; it then counts as sent."""
        released: list[QueuedDatagram] = []
        while self.flow_order and now >= self.link_free_at - self.settings.backlog_seconds:
            flow = self.flow_order.popleft()
            waiting = self.queues[flow]
            item = waiting.popleft()
            if waiting:
                self.flow_order.append(flow)
            else:
                del self.queues[flow]
            seconds = self._transmission_seconds(item.content)
            self.waiting_seconds -= seconds
            self.link_free_at = Instant(max(self.link_free_at, now) + seconds)
            released.append(item)
        return released

    def next_deadline(self) -> Instant | None:
        """Return when something that waits may leave; None if nothing does."""
        return (
            Instant(self.link_free_at - self.settings.backlog_seconds) if self.flow_order else None
        )

    def dump(self) -> dict[str, Any]:
        """Return the whole decision state as values that JSON can hold."""
        return {
            "free_at": self.link_free_at,
            "flows": len(self.queues),
            "waiting_seconds": self.waiting_seconds,
            "counters": dict(self.counters),
        }

    def _transmission_seconds(self, content: bytes) -> float:
        """Return how long a datagram takes on the link."""
        return (len(content) + self.settings.overhead_bytes) * self.seconds_per_byte

    def _drop_from_longest_queue(self) -> None:
        """Drop the last datagram of the flow that has most of them."""
        flow = max(self.queues, key=lambda name: len(self.queues[name]))
        item = self.queues[flow].pop()
        self.waiting_seconds -= self._transmission_seconds(item.content)
        self.counters["dropped"] += 1
        if not self.queues[flow]:
            del self.queues[flow]
            self.flow_order.remove(flow)
