"""What former dispatchers handed over."""

from dataclasses import dataclass

from chicorypost.base import Epoch, Incarnation, InstanceId, Instant, UpstreamId
from chicorypost.upstreams._messages import DispatchHandover
from chicorypost.upstreams._ownership import DispatchOwnership
from chicorypost.upstreams._upstream_queue import UpstreamQueue

MILLISECONDS_PER_SECOND = 1000


@dataclass(frozen=True, slots=True)
class BufferedHandover:
    """What a former dispatcher said before this balancer became the dispatcher."""

    source: InstanceId
    incarnation: Incarnation
    epoch: Epoch
    exchange_ends: tuple[Instant, ...]
    blocked_until: Instant


class IncomingHandovers:
    """Handovers that arrived, also those that came before the view that makes them count."""

    def __init__(self, tenure: DispatchOwnership) -> None:
        self.ownership = tenure
        self.buffered: dict[UpstreamId, BufferedHandover] = {}

    def accept_handover(
        self,
        sender: InstanceId,
        message: DispatchHandover,
        lane: UpstreamQueue | None,
        now: Instant,
    ) -> bool:
        """Take a handover and return whether its view is known, so that it can be acknowledged."""
        view, former = self.ownership.view, self.ownership.former_view
        is_farewell = former is not None and message.epoch == former.epoch
        if view is None or (message.epoch != view.epoch and not is_farewell):
            return False
        ends = [Instant(now + ms / MILLISECONDS_PER_SECOND) for ms in message.running_ms]
        held_until = Instant(now + message.blocked_ms / MILLISECONDS_PER_SECOND)
        if lane is not None and lane.upstream.incarnation == message.incarnation:
            lane.handed_over_ends[sender] = ends
            if message.is_former_dispatcher and self.ownership.may_be_former_dispatcher(
                sender, message.upstream
            ):
                lane.blocked_until = min(lane.blocked_until, held_until)
        elif message.is_former_dispatcher and message.epoch == view.epoch:
            self.buffered[message.upstream] = BufferedHandover(
                sender, message.incarnation, message.epoch, tuple(ends), held_until
            )
        return True

    def apply_buffered(self, lane: UpstreamQueue) -> None:
        """Apply the handover that waits for a lane, if it is from the view just before."""
        name = lane.upstream.upstream
        heir = self.buffered.pop(name, None)
        former = self.ownership.former_view
        if heir is None or former is None or heir.epoch != former.epoch:
            return
        lane.handed_over_ends[heir.source] = list(heir.exchange_ends)
        if self.ownership.may_be_former_dispatcher(heir.source, name):
            lane.blocked_until = min(lane.blocked_until, heir.blocked_until)
