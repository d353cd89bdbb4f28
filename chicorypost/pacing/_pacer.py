"""The queue in front of a slow link."""

from collections import Counter, deque
from typing import Any

import msgspec

from chicorypost.base import FlowKey, Instant
from chicorypost.pacing._settings import PacingSettings


class QueuedDatagram(msgspec.Struct, frozen=True):
    """A datagram queued for the link."""

    sequence: int | None
    content: bytes
    address: tuple[str, int]


class LinkPacer:
    """Paces datagrams to the capacity of a link, with round robin between flows.

    A client sends its whole window at once. Without a queue, the packets beyond the capacity of a
    slow link are lost, along with packets of other flows that arrive at the same time, and all of
    them are sent again when the client's timer fires. The pacer queues them instead. A flow that
    starts to queue is served first, so that a short request overtakes a long upload; a copy of a
    queued packet replaces it.

    Parameters
    ----------
    settings : PacingSettings
        Capacity and limits.

    Attributes
    ----------
    counters : Counter
        Datagrams that were queued, replaced a queued copy, or were dropped from a full queue.
    """

    def __init__(self, settings: PacingSettings) -> None:
        self.settings = settings
        rate = settings.bytes_per_second
        self.seconds_per_byte = 1.0 / (rate * settings.share) if rate is not None else 0.0
        self.link_free_at = Instant(0.0)
        """When the link has sent all datagrams passed to it."""
        self.queues: dict[FlowKey, deque[QueuedDatagram]] = {}
        self.flow_order: deque[FlowKey] = deque()
        self.waiting_seconds = 0.0
        self.counters: Counter[str] = Counter()

    def admit(self, content: bytes, now: Instant) -> bool:
        """Return whether a datagram may be sent at once; if so, it counts as sent."""
        if self.queues or now < self.link_free_at - self.settings.backlog_seconds:
            return False
        self.link_free_at = Instant(
            max(self.link_free_at, now) + self._transmission_seconds(content)
        )
        return True

    def enqueue(
        self, flow: FlowKey, sequence: int | None, content: bytes, address: tuple[str, int]
    ) -> None:
        """Queue a datagram that `admit` has rejected.

        Parameters
        ----------
        flow : FlowKey
            Flow of the datagram.
        sequence : int or None
            Position of its data in the flow, the same in each copy; None without data.
        content : bytes
            Payload of the datagram.
        address : tuple of str and int
            Host and port of the destination.
        """
        queue = self.queues.get(flow)
        if queue is None:
            queue = self.queues[flow] = deque()
            self.flow_order.appendleft(flow)
        item = QueuedDatagram(sequence, content, address)
        if sequence is not None:
            for index, other in enumerate(queue):
                if other.sequence == sequence and len(other.content) == len(content):
                    queue[index] = item
                    self.counters["replaced"] += 1
                    return
        queue.append(item)
        self.counters["waited"] += 1
        self.waiting_seconds += self._transmission_seconds(content)
        if self.waiting_seconds > self.settings.queue_seconds:
            self._drop_from_longest_queue()

    def dequeue(self, now: Instant) -> list[QueuedDatagram]:
        """Remove and return the datagrams that may be sent now; they count as sent."""
        dequeued: list[QueuedDatagram] = []
        while self.flow_order and now >= self.link_free_at - self.settings.backlog_seconds:
            flow = self.flow_order.popleft()
            queue = self.queues[flow]
            item = queue.popleft()
            if queue:
                self.flow_order.append(flow)
            else:
                del self.queues[flow]
            seconds = self._transmission_seconds(item.content)
            self.waiting_seconds -= seconds
            self.link_free_at = Instant(max(self.link_free_at, now) + seconds)
            dequeued.append(item)
        return dequeued

    def next_deadline(self) -> Instant | None:
        """Return when the next queued datagram may be sent; None if the queues are empty."""
        return (
            Instant(self.link_free_at - self.settings.backlog_seconds) if self.flow_order else None
        )

    def dump(self) -> dict[str, Any]:
        """Return the complete decision state as JSON-compatible values."""
        return {
            "free_at": self.link_free_at,
            "flows": len(self.queues),
            "waiting_seconds": self.waiting_seconds,
            "counters": dict(self.counters),
        }

    def _transmission_seconds(self, content: bytes) -> float:
        """Return the transmission time of a datagram on the link."""
        return (len(content) + self.settings.overhead_bytes) * self.seconds_per_byte

    def _drop_from_longest_queue(self) -> None:
        """Drop the last datagram of the flow with the most queued datagrams."""
        flow = max(self.queues, key=lambda key: len(self.queues[key]))
        item = self.queues[flow].pop()
        self.waiting_seconds -= self._transmission_seconds(item.content)
        self.counters["dropped"] += 1
        if not self.queues[flow]:
            del self.queues[flow]
            self.flow_order.remove(flow)
