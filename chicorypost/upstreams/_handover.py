"""Handover of upstreams between dispatchers."""

from dataclasses import dataclass, replace
from typing import Any

from chicorypost.base import Effect, Epoch, Incarnation, InstanceId, Instant, Send, UpstreamId
from chicorypost.upstreams._messages import DispatchHandover
from chicorypost.upstreams._settings import DispatcherSettings
from chicorypost.upstreams._upstream_queue import UpstreamQueue

MILLISECONDS_PER_SECOND = 1000


@dataclass(frozen=True, slots=True)
class PendingHandover:
    """A handover to the next dispatcher that is repeated until it is acknowledged."""

    recipient: InstanceId
    incarnation: Incarnation
    epoch: Epoch
    is_former_dispatcher: bool
    sequence: int
    exchange_ends: tuple[Instant, ...]
    blocked_until: Instant
    is_acknowledged: bool


class OutgoingHandovers:
    """Handovers on their way out, by upstream."""

    def __init__(self, settings: DispatcherSettings) -> None:
        self.settings = settings
        self.pending: dict[UpstreamId, PendingHandover] = {}
        self.sequence = 0
        self.retry_at: Instant | None = None

    def send_handover(
        self, lane: UpstreamQueue, to: InstanceId, epoch: Epoch, is_former: bool, now: Instant
    ) -> list[Effect]:
        """Tell a balancer what may run, in place of an earlier handover of the same upstream."""
        held = [end for ends in lane.handed_over_ends.values() for end in ends if end > now]
        grace = self.settings.deadline_grace_seconds
        own = [Instant(run.deadline + grace) for run in lane.running.values()]
        self.sequence += 1
        handing = PendingHandover(
            to,
            lane.upstream.incarnation,
            epoch,
            is_former,
            self.sequence,
            tuple(own + held),
            lane.blocked_until,
            is_acknowledged=False,
        )
        self.pending[lane.upstream.upstream] = handing
        if self.retry_at is None:
            self.retry_at = Instant(now + self.settings.handover_retry_seconds)
        return [self._message(lane.upstream.upstream, handing, now)]

    def acknowledge(self, sender: InstanceId, upstream: UpstreamId, sequence: int) -> None:
        """Take an acknowledgement."""
        handing = self.pending.get(upstream)
        if handing is None or handing.recipient != sender or handing.sequence != sequence:
            return
        if not handing.exchange_ends:
            del self.pending[upstream]
            return
        self.pending[upstream] = replace(handing, is_acknowledged=True)

    def resend_unacknowledged(self, now: Instant) -> list[Effect]:
        """Send again what was not acknowledged."""
        if self.retry_at is None or now < self.retry_at:
            return []
        unseen = {name: h for name, h in self.pending.items() if not h.is_acknowledged}
        retry_at = Instant(now + self.settings.handover_retry_seconds)
        self.retry_at = retry_at if unseen else None
        return [self._message(name, handing, now) for name, handing in unseen.items()]

    def drop_recipient(self, instance: InstanceId) -> None:
        """Stop telling an instance that is gone."""
        for name, handing in list(self.pending.items()):
            if handing.recipient == instance:
                del self.pending[name]

    @property
    def all_acknowledged(self) -> bool:
        """Whether every handover was acknowledged in its latest form."""
        return all(handing.is_acknowledged for handing in self.pending.values())

    def dump(self) -> dict[str, Any]:
        """Return the state as values that JSON can hold."""
        return {name: [h.recipient, h.epoch, h.is_acknowledged] for name, h in self.pending.items()}

    def _message(self, upstream: UpstreamId, handing: PendingHandover, now: Instant) -> Send:
        message = DispatchHandover(
            upstream,
            handing.incarnation,
            handing.epoch,
            handing.is_former_dispatcher,
            handing.sequence,
            tuple(
                max(0, int((end - now) * MILLISECONDS_PER_SECOND) + 1)
                for end in handing.exchange_ends
            ),
            max(0, int((handing.blocked_until - now) * MILLISECONDS_PER_SECOND)),
        )
        return Send(handing.recipient, message)
