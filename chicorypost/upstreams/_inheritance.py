"""What former dispatchers handed over."""

from dataclasses import dataclass

from chicorypost.base import Epoch, Incarnation, InstanceId, Instant, UpstreamId
from chicorypost.upstreams._lane import Lane
from chicorypost.upstreams._messages import DispatchHandover
from chicorypost.upstreams._tenure import Tenure

MILLISECONDS = 1000


@dataclass(frozen=True, slots=True)
class Inherited:
    """What a former dispatcher said before this balancer became the dispatcher."""

    source: InstanceId
    incarnation: Incarnation
    epoch: Epoch
    ends: tuple[Instant, ...]
    held_until: Instant


class Inheritance:
    """Handovers that arrived, also those that came before the view that makes them count."""

    def __init__(self, tenure: Tenure) -> None:
        self.tenure = tenure
        self.waiting: dict[UpstreamId, Inherited] = {}

    def take(
        self, sender: InstanceId, message: DispatchHandover, lane: Lane | None, now: Instant
    ) -> bool:
        """Take a handover and return whether its view is known, so that it can be acknowledged."""
        view, former = self.tenure.view, self.tenure.former
        is_farewell = former is not None and message.epoch == former.epoch
        if view is None or (message.epoch != view.epoch and not is_farewell):
            return False
        ends = [Instant(now + ms / MILLISECONDS) for ms in message.running_ms]
        held_until = Instant(now + message.hold_ms / MILLISECONDS)
        if lane is not None and lane.upstream.incarnation == message.incarnation:
            lane.holds[sender] = ends
            if message.is_former and self.tenure.was_former(sender, message.upstream):
                lane.held_until = min(lane.held_until, held_until)
        elif message.is_former and message.epoch == view.epoch:
            self.waiting[message.upstream] = Inherited(
                sender, message.incarnation, message.epoch, tuple(ends), held_until
            )
        return True

    def claim(self, lane: Lane) -> None:
        """Apply the handover that waits for a lane, if it is from the view just before."""
        name = lane.upstream.upstream
        heir = self.waiting.pop(name, None)
        former = self.tenure.former
        if heir is None or former is None or heir.epoch != former.epoch:
            return
        lane.holds[heir.source] = list(heir.ends)
        if self.tenure.was_former(heir.source, name):
            lane.held_until = min(lane.held_until, heir.held_until)
