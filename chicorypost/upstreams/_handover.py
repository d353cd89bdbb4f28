"""Handovers of upstreams to their next dispatchers."""

from dataclasses import dataclass, replace
from typing import Any

from chicorypost.base import Effect, Epoch, Incarnation, InstanceId, Instant, Send, UpstreamId
from chicorypost.upstreams._messages import DispatchHandover
from chicorypost.upstreams._settings import DispatcherSettings
from chicorypost.upstreams._upstream_queue import UpstreamQueue

MILLISECONDS_PER_SECOND = 1000


@dataclass(frozen=True, slots=True)
class PendingHandover:
    """A handover to the next dispatcher, resent until it is acknowledged."""

    recipient: InstanceId
    incarnation: Incarnation
    epoch: Epoch
    is_former_dispatcher: bool
    sequence: int
    exchange_ends: tuple[Instant, ...]
    blocked_until: Instant
    is_acknowledged: bool


class OutgoingHandovers:
    """Latest handover of each upstream to its next dispatcher."""

    def __init__(self, settings: DispatcherSettings) -> None:
        self.settings = settings
        self.pending: dict[UpstreamId, PendingHandover] = {}
        self.sequence = 0
        self.retry_at: Instant | None = None

    def send_handover(
        self,
        queue: UpstreamQueue,
        recipient: InstanceId,
        epoch: Epoch,
        is_former_dispatcher: bool,
        now: Instant,
    ) -> list[Effect]:
        """Send the exchanges that may still run, replacing any earlier handover of the upstream."""
        handed_over_ends = [
            end for ends in queue.handed_over_ends.values() for end in ends if end > now
        ]
        grace = self.settings.deadline_grace_seconds
        own_ends = [Instant(exchange.deadline + grace) for exchange in queue.running.values()]
        self.sequence += 1
        handover = PendingHandover(
            recipient,
            queue.upstream.incarnation,
            epoch,
            is_former_dispatcher,
            self.sequence,
            tuple(own_ends + handed_over_ends),
            queue.blocked_until,
            is_acknowledged=False,
        )
        self.pending[queue.upstream.upstream] = handover
        if self.retry_at is None:
            self.retry_at = Instant(now + self.settings.handover_retry_seconds)
        return [self._make_message(queue.upstream.upstream, handover, now)]

    def acknowledge(self, sender: InstanceId, upstream: UpstreamId, sequence: int) -> None:
        """Apply an acknowledgement; a handover without exchanges is then complete."""
        handover = self.pending.get(upstream)
        if handover is None or handover.recipient != sender or handover.sequence != sequence:
            return
        if not handover.exchange_ends:
            del self.pending[upstream]
            return
        self.pending[upstream] = replace(handover, is_acknowledged=True)

    def resend_unacknowledged(self, now: Instant) -> list[Effect]:
        """Resend the unacknowledged handovers when the retry interval has passed."""
        if self.retry_at is None or now < self.retry_at:
            return []
        unacknowledged = {
            name: handover
            for name, handover in self.pending.items()
            if not handover.is_acknowledged
        }
        retry_at = Instant(now + self.settings.handover_retry_seconds)
        self.retry_at = retry_at if unacknowledged else None
        return [
            self._make_message(name, handover, now) for name, handover in unacknowledged.items()
        ]

    def drop_recipient(self, instance: InstanceId) -> None:
        """Drop the handovers to an instance that left the view."""
        for name, handover in list(self.pending.items()):
            if handover.recipient == instance:
                del self.pending[name]

    @property
    def all_acknowledged(self) -> bool:
        """Whether the latest handover of every upstream is acknowledged."""
        return all(handover.is_acknowledged for handover in self.pending.values())

    def dump(self) -> dict[str, Any]:
        """Return the state as JSON-compatible values."""
        return {
            name: [handover.recipient, handover.epoch, handover.is_acknowledged]
            for name, handover in self.pending.items()
        }

    def _make_message(self, upstream: UpstreamId, handover: PendingHandover, now: Instant) -> Send:
        message = DispatchHandover(
            upstream,
            handover.incarnation,
            handover.epoch,
            handover.is_former_dispatcher,
            handover.sequence,
            tuple(
                max(0, int((end - now) * MILLISECONDS_PER_SECOND) + 1)
                for end in handover.exchange_ends
            ),
            max(0, int((handover.blocked_until - now) * MILLISECONDS_PER_SECOND)),
        )
        return Send(handover.recipient, message)
