"""Grantor: grants leases in one epoch at a time and fences off earlier ones."""

from dataclasses import dataclass
from typing import Any

from chicorypost.base import Effect, Epoch, Incarnation, InstanceId, Instant, Member, Send
from chicorypost.membership._messages import (
    CommitAcknowledged,
    LeaseGrant,
    LeaseRefused,
    LeaseRequest,
    Prepare,
    PrepareRefused,
    Promise,
)
from chicorypost.membership._records import GrantorSet, InstanceIncarnation, ViewRecord, majority
from chicorypost.membership._settings import MembershipSettings

MILLISECONDS_PER_SECOND = 1000


@dataclass(frozen=True, slots=True)
class Lease:
    """A lease that this grantor gave, on its own clock."""

    epoch: Epoch
    end: Instant


@dataclass(frozen=True, slots=True)
class HolderLiveness:
    """Until when a holder counts as alive."""

    incarnation: Incarnation
    alive_until: Instant


class LeaseGrantor:
    """The grantor of one instance; what it knows is lost when the process ends.

    It grants only while a majority of the configured instances support it. Each answer carries a
    token; a request that echoes the token supports the grantor for one lease from the moment when
    the token was sent.
    """

    def __init__(
        self,
        settings: MembershipSettings,
        member: Member,
        configured: frozenset[InstanceId],
        now: Instant,
    ) -> None:
        self.settings = settings
        self.identity = InstanceIncarnation(member.instance, member.incarnation)
        self.configured = configured
        self.started_at = now
        self.committed: ViewRecord | None = None
        self.promised_set: GrantorSet | None = None
        self.proposer: InstanceId | None = None
        self.promised_at = now
        self.unfenced_sets: list[GrantorSet] = []
        self.leases: dict[InstanceIncarnation, Lease] = {}
        self.liveness: dict[InstanceId, HolderLiveness] = {}
        self.support_ends: dict[InstanceId, Instant] = {}
        self.waiting_requests: dict[InstanceId, LeaseRequest] = {}
        self.is_fence_pending = False

    @property
    def is_grantor(self) -> bool:
        """Whether this start of the instance grants in the committed view."""
        return self.committed is not None and self.identity in self.committed.grantors

    def promised_epoch(self) -> int:
        """Return the epoch below which nothing is granted."""
        return self.promised_set.epoch if self.promised_set is not None else 0

    def handle_lease_request(
        self, sender: InstanceId, request: LeaseRequest, now: Instant
    ) -> list[Effect]:
        """Take a lease request: support, sign of life, and confirmation of its epoch."""
        self._record_support(sender, request.echoed_token)
        until = Instant(now + self.settings.lease_seconds)
        self.liveness[sender] = HolderLiveness(request.incarnation, until)
        holder = InstanceIncarnation(sender, request.incarnation)
        lease = self.leases.get(holder)
        if lease is not None and lease.epoch < request.epoch:
            del self.leases[holder]
        if request.epoch < self.promised_epoch():
            source = self.proposer or self.identity.instance
            return [Send(sender, LeaseRefused(Epoch(self.promised_epoch()), source))]
        effects = self.try_fence(now)
        if self.committed is not None and request.epoch == self.committed.epoch:
            return effects + self._grant(sender, request, now)
        self.waiting_requests[sender] = request
        return effects

    def _record_support(self, sender: InstanceId, echo: int) -> None:
        if echo <= 0 or sender not in self.configured:
            return
        token_at = self.started_at + echo / MILLISECONDS_PER_SECOND
        until = Instant(token_at + self.settings.lease_seconds)
        self.support_ends[sender] = max(until, self.support_ends.get(sender, until))

    def support_end(self) -> Instant | None:
        """Return until when a majority of the configured instances support this grantor."""
        needed = majority(len(self.configured))
        ends = sorted(self.support_ends.values(), reverse=True)
        return ends[needed - 1] if len(ends) >= needed else None

    def is_supported(self, now: Instant) -> bool:
        """Return whether a majority of the configured instances support this grantor now."""
        end = self.support_end()
        return end is not None and now < end

    def _grant(self, sender: InstanceId, request: LeaseRequest, now: Instant) -> list[Effect]:
        assert self.committed is not None
        holder = InstanceIncarnation(sender, request.incarnation)
        is_member = any(
            holder == InstanceIncarnation(member.instance, member.incarnation)
            for member in self.committed.view.members
        )
        if not self.is_grantor or not is_member:
            return []
        supported = self.support_end()
        seconds = min(self.settings.lease_seconds, (supported or now) - now)
        remaining_ms = max(0, int(seconds * MILLISECONDS_PER_SECOND))
        if remaining_ms > 0:
            end = Instant(now + remaining_ms / MILLISECONDS_PER_SECOND)
            self.leases[holder] = Lease(request.epoch, max(end, self._lease_end_of(holder, end)))
        token = int((now - self.started_at) * MILLISECONDS_PER_SECOND)
        grant = LeaseGrant(request.epoch, request.sequence, remaining_ms, max(token, 1))
        return [Send(sender, grant)]

    def _lease_end_of(self, holder: InstanceIncarnation, default: Instant) -> Instant:
        lease = self.leases.get(holder)
        return lease.end if lease is not None else default

    def handle_lease_return(
        self, sender: InstanceId, incarnation: Incarnation, now: Instant
    ) -> list[Effect]:
        """Take a lease back."""
        self.leases.pop(InstanceIncarnation(sender, incarnation), None)
        return self.try_fence(now)

    def handle_prepare(self, proposer: InstanceId, message: Prepare, now: Instant) -> list[Effect]:
        """Promise an epoch, unless a later one was promised, and fence when nothing is left."""
        header = message.grantor_set
        is_new = header != self.promised_set
        if is_new and header.epoch <= self.promised_epoch():
            return [Send(proposer, PrepareRefused(header.epoch, Epoch(self.promised_epoch())))]
        if is_new:
            self.promised_set = header
            self.unfenced_sets.append(header)
        self.promised_at = now
        self.proposer = proposer
        self.is_fence_pending = True
        return self.try_fence(now) or [Send(proposer, self._make_promise(is_fenced=False))]

    def try_fence(self, now: Instant) -> list[Effect]:
        """Tell the proposer once no lease below the promised epoch is left."""
        if not self.is_fence_pending or self.promised_set is None or self.proposer is None:
            return []
        epoch = self.promised_set.epoch
        ended = [name for name, lease in self.leases.items() if lease.end <= now]
        for name in ended:
            del self.leases[name]
        if any(lease.epoch < epoch for lease in self.leases.values()):
            return []
        self.is_fence_pending = False
        return [Send(self.proposer, self._make_promise(is_fenced=True))]

    def _make_promise(self, is_fenced: bool) -> Promise:
        epoch = Epoch(self.promised_epoch())
        previous = tuple(header for header in self.unfenced_sets if header.epoch < epoch)
        return Promise(epoch, self.identity, previous, is_fenced)

    def handle_commit(self, sender: InstanceId, record: ViewRecord, now: Instant) -> list[Effect]:
        """Begin to grant in a view whose predecessors are fenced off."""
        seen: list[Effect] = [Send(sender, CommitAcknowledged(record.epoch))]
        if record.epoch < self.promised_epoch():
            return seen
        if self.committed is not None and record.epoch <= self.committed.epoch:
            return seen
        was_grantor = self.is_grantor
        self.committed = record
        self.promised_set = record.grantor_set
        self.proposer = sender
        self.is_fence_pending = False
        self.unfenced_sets = [record.grantor_set]
        until = Instant(now + self.settings.lease_seconds)
        for member in record.view.members:
            heard = self.liveness.get(member.instance)
            if not was_grantor or heard is None or heard.incarnation != member.incarnation:
                self.liveness[member.instance] = HolderLiveness(member.incarnation, until)
        waiting, self.waiting_requests = self.waiting_requests, {}
        for name, request in waiting.items():
            if request.epoch == record.epoch:
                seen += self._grant(name, request, now)
        return seen

    def is_alive(self, member: Member, now: Instant) -> bool:
        """Return whether this start of an instance was heard within one lease."""
        heard = self.liveness.get(member.instance)
        if heard is None or heard.incarnation != member.incarnation:
            return False
        return now < heard.alive_until

    def has_no_lease(self, instance: InstanceId, now: Instant) -> bool:
        """Return whether no start of an instance holds a lease of this grantor."""
        return all(
            lease.end <= now for holder, lease in self.leases.items() if holder.instance == instance
        )

    def next_deadline(self) -> Instant | None:
        """Return when the next lease ends that keeps a fence from being complete."""
        if not self.is_fence_pending:
            return None
        return min((lease.end for lease in self.leases.values()), default=None)

    def dump(self) -> dict[str, Any]:
        """Return the state as values that JSON can hold."""
        return {
            "committed": self.committed.epoch if self.committed else None,
            "promised": self.promised_epoch(),
            "leases": {name.instance: lease.end for name, lease in self.leases.items()},
            "support_end": self.support_end(),
            "fence_owed": self.is_fence_pending,
        }
