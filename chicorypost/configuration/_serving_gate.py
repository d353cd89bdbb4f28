"""Gate between the lease of a balancer and its other parts: serve only when current."""

from chicorypost.base import Effect, Epoch, Incarnation, InstanceId, Instant, LeaseChanged, Version
from chicorypost.configuration._events import SERVING_STARTED, SERVING_STOPPED
from chicorypost.configuration._messages import ReplyGuarantee, ReplyHeader


class ServingGate:
    """Decide when a balancer that started, or whose lease ended, may serve.

    A release of an address is cleared once all members of a view have confirmed it. A balancer
    that enters a later view with an older configuration would go on routing the address to its
    former service. So it serves only after an instance has answered that is sure to make later
    releases wait for it, and the answer belongs to a poll sent in the current view.

    Parameters
    ----------
    incarnation : Incarnation
        Number of this start, part of every poll's token.
    now : Instant
        Time of the start.
    """

    def __init__(self, incarnation: Incarnation, now: Instant) -> None:
        self.incarnation = incarnation
        self.lease_end: Instant | None = None
        self.is_serving = False
        self.has_served = False
        self.epoch = Epoch(0)
        self.poll_round = 0
        self.next_sync_at = now
        self.guarantee: ReplyGuarantee | None = None
        self.retaining_members: set[InstanceId] = set()

    @property
    def poll_token(self) -> str:
        """The token of polls whose answers count now; empty when none is needed."""
        if self.is_serving or not self.epoch:
            return ""
        return f"{self.incarnation}.{self.poll_round}.{self.epoch}"

    def may_act(self, now: Instant) -> bool:
        """Return whether this balancer may serve."""
        return self.is_serving and self.lease_end is not None and now < self.lease_end

    def expire_lease(self, version: Version, now: Instant) -> list[Effect]:
        """Stop serving if the lease has ended."""
        if self.lease_end is None or now < self.lease_end:
            return []
        return self.set_lease(None, version, now)

    def set_lease(self, end: Instant | None, version: Version, now: Instant) -> list[Effect]:
        """Take a new end of the lease and pass it on if the configuration is current."""
        self.lease_end = end if end is not None and end > now else None
        if self.lease_end is None:
            return self._stop_serving(version, now)
        if self.is_serving:
            return [LeaseChanged(self.lease_end)]
        return self._start_serving(version)

    def enter_view(self, epoch: Epoch, version: Version, now: Instant) -> list[Effect]:
        """Note the epoch of the view that this balancer is a member of; 0 when it is in none."""
        left = not epoch
        self.epoch = epoch
        if left:
            return self._stop_serving(version, now)
        if not self.is_serving:
            self._restart_sync(now)
        return []

    def process_reply(
        self, sender: InstanceId, head: ReplyHeader, others: set[InstanceId], version: Version
    ) -> list[Effect]:
        """Take an answer from an instance; `others` are the other members of the view."""
        if not head.token or head.token != self.poll_token:
            return []
        if head.guarantee in (ReplyGuarantee.SERVING, ReplyGuarantee.ADMITTED):
            self.guarantee = head.guarantee
        if head.guarantee is ReplyGuarantee.RETAINED and sender in others:
            self.retaining_members.add(sender)
        if self.has_served and others and others <= self.retaining_members:
            self.guarantee = ReplyGuarantee.RETAINED
        return self._start_serving(version)

    def _start_serving(self, version: Version) -> list[Effect]:
        if self.is_serving or self.guarantee is None or self.lease_end is None:
            return []
        source = self.guarantee.value
        self.is_serving = True
        self.has_served = True
        started = SERVING_STARTED.emit(version=version, source=source)
        return [started, LeaseChanged(self.lease_end)]

    def _stop_serving(self, version: Version, now: Instant) -> list[Effect]:
        was_serving, self.is_serving = self.is_serving, False
        self._restart_sync(now)
        if not was_serving:
            return []
        return [LeaseChanged(None), SERVING_STOPPED.emit(version=version)]

    def _restart_sync(self, now: Instant) -> None:
        self.poll_round += 1
        self.next_sync_at = now
        self.guarantee = None
        self.retaining_members = set()
