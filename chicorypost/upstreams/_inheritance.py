"""Handovers of upstreams from their former dispatchers."""

from dataclasses import dataclass

from chicorypost.base import Epoch, Incarnation, InstanceId, Instant, UpstreamId
from chicorypost.upstreams._messages import DispatchHandover
from chicorypost.upstreams._ownership import DispatchOwnership
from chicorypost.upstreams._upstream_queue import UpstreamQueue

MILLISECONDS_PER_SECOND = 1000


@dataclass(frozen=True, slots=True)
class BufferedHandover:
    """A handover that arrived before this balancer became the dispatcher."""

    source: InstanceId
    incarnation: Incarnation
    epoch: Epoch
    exchange_ends: tuple[Instant, ...]
    blocked_until: Instant


class IncomingHandovers:
    """Applies received handovers, and buffers those that arrive before the view they belong to."""

    def __init__(self, ownership: DispatchOwnership) -> None:
        self.ownership = ownership
        self.buffered: dict[UpstreamId, BufferedHandover] = {}

    def accept_handover(
        self,
        sender: InstanceId,
        message: DispatchHandover,
        queue: UpstreamQueue | None,
        now: Instant,
    ) -> bool:
        """Apply or buffer a handover and return whether to acknowledge it.

        A handover of an unknown view is not acknowledged, so that the sender resends it.
        """
        view, former_view = self.ownership.view, self.ownership.former_view
        is_from_former_view = former_view is not None and message.epoch == former_view.epoch
        if view is None or (message.epoch != view.epoch and not is_from_former_view):
            return False
        exchange_ends = [Instant(now + ms / MILLISECONDS_PER_SECOND) for ms in message.running_ms]
        blocked_until = Instant(now + message.blocked_ms / MILLISECONDS_PER_SECOND)
        if queue is not None and queue.upstream.incarnation == message.incarnation:
            queue.handed_over_ends[sender] = exchange_ends
            if message.is_former_dispatcher and self.ownership.may_be_former_dispatcher(
                sender, message.upstream
            ):
                queue.blocked_until = min(queue.blocked_until, blocked_until)
        elif message.is_former_dispatcher and message.epoch == view.epoch:
            self.buffered[message.upstream] = BufferedHandover(
                sender, message.incarnation, message.epoch, tuple(exchange_ends), blocked_until
            )
        return True

    def apply_buffered(self, queue: UpstreamQueue) -> None:
        """Apply the buffered handover of a queue if it was sent in the previous view."""
        name = queue.upstream.upstream
        handover = self.buffered.pop(name, None)
        former_view = self.ownership.former_view
        if handover is None or former_view is None or handover.epoch != former_view.epoch:
            return
        queue.handed_over_ends[handover.source] = list(handover.exchange_ends)
        if self.ownership.may_be_former_dispatcher(handover.source, name):
            queue.blocked_until = min(queue.blocked_until, handover.blocked_until)
