"""Handover of upstreams between dispatchers."""

from dataclasses import dataclass, replace
from typing import Any

from chicorypost.base import Effect, Epoch, Incarnation, InstanceId, Instant, Send, UpstreamId
from chicorypost.upstreams._lane import Lane
from chicorypost.upstreams._messages import DispatchHandover
from chicorypost.upstreams._settings import DispatcherSettings

MILLISECONDS = 1000


@dataclass(frozen=True, slots=True)
class Handing:
    """A handover to the next dispatcher that is repeated until it is acknowledged."""

    to: InstanceId
    incarnation: Incarnation
    epoch: Epoch
    is_former: bool
    sequence: int
    running: tuple[Instant, ...]
    held_until: Instant
    is_seen: bool


class Handovers:
    """Handovers on their way out, by upstream."""

    def __init__(self, settings: DispatcherSettings) -> None:
        self.settings = settings
        self.outgoing: dict[UpstreamId, Handing] = {}
        self.sequence = 0
        self.retry_at: Instant | None = None

    def give(
        self, lane: Lane, to: InstanceId, epoch: Epoch, is_former: bool, now: Instant
    ) -> list[Effect]:
        """Tell a balancer what may run, in place of an earlier handover of the same upstream."""
        held = [end for ends in lane.holds.values() for end in ends if end > now]
        grace = self.settings.deadline_grace_seconds
        own = [Instant(run.deadline + grace) for run in lane.running.values()]
        self.sequence += 1
        handing = Handing(
            to,
            lane.upstream.incarnation,
            epoch,
            is_former,
            self.sequence,
            tuple(own + held),
            lane.held_until,
            is_seen=False,
        )
        self.outgoing[lane.upstream.upstream] = handing
        if self.retry_at is None:
            self.retry_at = Instant(now + self.settings.handover_retry_seconds)
        return [self._message(lane.upstream.upstream, handing, now)]

    def seen(self, sender: InstanceId, upstream: UpstreamId, sequence: int) -> None:
        """Take an acknowledgement."""
        handing = self.outgoing.get(upstream)
        if handing is None or handing.to != sender or handing.sequence != sequence:
            return
        if not handing.running:
            del self.outgoing[upstream]
            return
        self.outgoing[upstream] = replace(handing, is_seen=True)

    def repeat(self, now: Instant) -> list[Effect]:
        """Send again what was not acknowledged."""
        if self.retry_at is None or now < self.retry_at:
            return []
        unseen = {name: h for name, h in self.outgoing.items() if not h.is_seen}
        retry_at = Instant(now + self.settings.handover_retry_seconds)
        self.retry_at = retry_at if unseen else None
        return [self._message(name, handing, now) for name, handing in unseen.items()]

    def drop_to(self, instance: InstanceId) -> None:
        """Stop telling an instance that is gone."""
        for name, handing in list(self.outgoing.items()):
            if handing.to == instance:
                del self.outgoing[name]

    @property
    def all_seen(self) -> bool:
        """Whether every handover was acknowledged in its latest form."""
        return all(handing.is_seen for handing in self.outgoing.values())

    def dump(self) -> dict[str, Any]:
        """Return the state as values that JSON can hold."""
        return {name: [h.to, h.epoch, h.is_seen] for name, h in self.outgoing.items()}

    def _message(self, upstream: UpstreamId, handing: Handing, now: Instant) -> Send:
        message = DispatchHandover(
            upstream,
            handing.incarnation,
            handing.epoch,
            handing.is_former,
            handing.sequence,
            tuple(max(0, int((end - now) * MILLISECONDS) + 1) for end in handing.running),
            max(0, int((handing.held_until - now) * MILLISECONDS)),
        )
        return Send(handing.to, message)
