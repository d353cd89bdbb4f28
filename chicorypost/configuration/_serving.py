"""Gate between the lease of a balancer and its other parts: serve only when current."""

from chicorypost.base import Effect, Epoch, Incarnation, InstanceId, Instant, LeaseChanged, Version
from chicorypost.configuration._events import SERVING_STARTED, SERVING_STOPPED
from chicorypost.configuration._messages import AnswerHead, AnswerSource


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
        self.serving = False
        self.retained = False
        self.epoch = Epoch(0)
        self.round = 0
        self.ask_at = now
        self.source: AnswerSource | None = None
        self.retained_by: set[InstanceId] = set()

    @property
    def token(self) -> str:
        """The token of polls whose answers count now; empty when none is needed."""
        if self.serving or not self.epoch:
            return ""
        return f"{self.incarnation}.{self.round}.{self.epoch}"

    def may_act(self, now: Instant) -> bool:
        """Return whether this balancer may serve."""
        return self.serving and self.lease_end is not None and now < self.lease_end

    def expire(self, version: Version, now: Instant) -> list[Effect]:
        """Stop serving if the lease has ended."""
        if self.lease_end is None or now < self.lease_end:
            return []
        return self.set_lease(None, version, now)

    def set_lease(self, end: Instant | None, version: Version, now: Instant) -> list[Effect]:
        """Take a new end of the lease and pass it on if the configuration is current."""
        self.lease_end = end if end is not None and end > now else None
        if self.lease_end is None:
            return self._stop(version, now)
        if self.serving:
            return [LeaseChanged(self.lease_end)]
        return self._start(version)

    def enter_view(self, epoch: Epoch, version: Version, now: Instant) -> list[Effect]:
        """Note the epoch of the view that this balancer is a member of; 0 when it is in none."""
        left = not epoch
        self.epoch = epoch
        if left:
            return self._stop(version, now)
        if not self.serving:
            self._ask_anew(now)
        return []

    def count(
        self, sender: InstanceId, head: AnswerHead, others: set[InstanceId], version: Version
    ) -> list[Effect]:
        """Take an answer from an instance; `others` are the other members of the view."""
        if not head.token or head.token != self.token:
            return []
        if head.source in (AnswerSource.SERVING, AnswerSource.ADMITTED):
            self.source = head.source
        if head.source is AnswerSource.RETAINED and sender in others:
            self.retained_by.add(sender)
        if self.retained and others and others <= self.retained_by:
            self.source = AnswerSource.RETAINED
        return self._start(version)

    def _start(self, version: Version) -> list[Effect]:
        if self.serving or self.source is None or self.lease_end is None:
            return []
        source = self.source.value
        self.serving = True
        self.retained = True
        started = SERVING_STARTED.emit(version=version, source=source)
        return [started, LeaseChanged(self.lease_end)]

    def _stop(self, version: Version, now: Instant) -> list[Effect]:
        was_serving, self.serving = self.serving, False
        self._ask_anew(now)
        if not was_serving:
            return []
        return [LeaseChanged(None), SERVING_STOPPED.emit(version=version)]

    def _ask_anew(self, now: Instant) -> None:
        self.round += 1
        self.ask_at = now
        self.source = None
        self.retained_by = set()
