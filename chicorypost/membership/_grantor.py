"""Grantor: grants leases in one epoch at a time and fences off earlier ones."""

from dataclasses import dataclass
from typing import Any

from chicorypost.base import Effect, Epoch, Incarnation, InstanceId, Instant, Member, Send
from chicorypost.membership._messages import (
    CommitSeen,
    Fenced,
    LeaseGrant,
    LeaseRefused,
    LeaseRequest,
    Prepare,
    PrepareRefused,
)
from chicorypost.membership._records import Grantor, GrantorSet, ViewRecord, majority
from chicorypost.membership._settings import MembershipSettings

MILLISECONDS = 1000


@dataclass(frozen=True, slots=True)
class Lease:
    """A lease that this grantor gave, on its own clock."""

    epoch: Epoch
    end: Instant


@dataclass(frozen=True, slots=True)
class Heard:
    """Until when a holder counts as alive."""

    incarnation: Incarnation
    until: Instant


class GrantorRole:
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
        self.me = Grantor(member.instance, member.incarnation)
        self.configured = configured
        self.started = now
        self.committed: ViewRecord | None = None
        self.promised: GrantorSet | None = None
        self.proposer: InstanceId | None = None
        self.promised_at = now
        self.adopted: list[GrantorSet] = []
        self.leases: dict[Grantor, Lease] = {}
        self.heard: dict[InstanceId, Heard] = {}
        self.support: dict[InstanceId, Instant] = {}
        self.waiting: dict[InstanceId, LeaseRequest] = {}
        self.fence_owed = False

    @property
    def is_grantor(self) -> bool:
        """Whether this start of the instance grants in the committed view."""
        return self.committed is not None and self.me in self.committed.grantors

    def promised_epoch(self) -> int:
        """Return the epoch below which nothing is granted."""
        return self.promised.epoch if self.promised is not None else 0

    def requested(self, sender: InstanceId, request: LeaseRequest, now: Instant) -> list[Effect]:
        """Take a lease request: support, sign of life, and confirmation of its epoch."""
        self._note_support(sender, request.echo)
        until = Instant(now + self.settings.lease_seconds)
        self.heard[sender] = Heard(request.incarnation, until)
        holder = Grantor(sender, request.incarnation)
        lease = self.leases.get(holder)
        if lease is not None and lease.epoch < request.epoch:
            del self.leases[holder]
        if request.epoch < self.promised_epoch():
            source = self.proposer or self.me.instance
            return [Send(sender, LeaseRefused(Epoch(self.promised_epoch()), source))]
        effects = self.try_fence(now)
        if self.committed is not None and request.epoch == self.committed.epoch:
            return effects + self._grant(sender, request, now)
        self.waiting[sender] = request
        return effects

    def _note_support(self, sender: InstanceId, echo: int) -> None:
        if echo <= 0 or sender not in self.configured:
            return
        token_at = self.started + echo / MILLISECONDS
        until = Instant(token_at + self.settings.lease_seconds)
        self.support[sender] = max(until, self.support.get(sender, until))

    def support_end(self) -> Instant | None:
        """Return until when a majority of the configured instances support this grantor."""
        needed = majority(len(self.configured))
        ends = sorted(self.support.values(), reverse=True)
        return ends[needed - 1] if len(ends) >= needed else None

    def is_supported(self, now: Instant) -> bool:
        """Return whether a majority of the configured instances support this grantor now."""
        end = self.support_end()
        return end is not None and now < end

    def _grant(self, sender: InstanceId, request: LeaseRequest, now: Instant) -> list[Effect]:
        assert self.committed is not None
        holder = Grantor(sender, request.incarnation)
        is_member = any(
            holder == Grantor(member.instance, member.incarnation)
            for member in self.committed.view.members
        )
        if not self.is_grantor or not is_member:
            return []
        supported = self.support_end()
        seconds = min(self.settings.lease_seconds, (supported or now) - now)
        remaining_ms = max(0, int(seconds * MILLISECONDS))
        if remaining_ms > 0:
            end = Instant(now + remaining_ms / MILLISECONDS)
            self.leases[holder] = Lease(request.epoch, max(end, self._end_of(holder, end)))
        token = int((now - self.started) * MILLISECONDS)
        grant = LeaseGrant(request.epoch, request.sequence, remaining_ms, max(token, 1))
        return [Send(sender, grant)]

    def _end_of(self, holder: Grantor, default: Instant) -> Instant:
        lease = self.leases.get(holder)
        return lease.end if lease is not None else default

    def returned(self, sender: InstanceId, incarnation: Incarnation, now: Instant) -> list[Effect]:
        """Take a lease back."""
        self.leases.pop(Grantor(sender, incarnation), None)
        return self.try_fence(now)

    def prepare(self, proposer: InstanceId, message: Prepare, now: Instant) -> list[Effect]:
        """Promise an epoch, unless a later one was promised, and fence when nothing is left."""
        header = message.header
        is_new = header != self.promised
        if is_new and header.epoch <= self.promised_epoch():
            return [Send(proposer, PrepareRefused(header.epoch, Epoch(self.promised_epoch())))]
        if is_new:
            self.promised = header
            self.adopted.append(header)
        self.promised_at = now
        self.proposer = proposer
        self.fence_owed = True
        return self.try_fence(now) or [Send(proposer, self._fence(is_complete=False))]

    def try_fence(self, now: Instant) -> list[Effect]:
        """Tell the proposer once no lease below the promised epoch is left."""
        if not self.fence_owed or self.promised is None or self.proposer is None:
            return []
        epoch = self.promised.epoch
        ended = [name for name, lease in self.leases.items() if lease.end <= now]
        for name in ended:
            del self.leases[name]
        if any(lease.epoch < epoch for lease in self.leases.values()):
            return []
        self.fence_owed = False
        return [Send(self.proposer, self._fence(is_complete=True))]

    def _fence(self, is_complete: bool) -> Fenced:
        epoch = Epoch(self.promised_epoch())
        previous = tuple(header for header in self.adopted if header.epoch < epoch)
        return Fenced(epoch, self.me, previous, is_complete)

    def commit(self, sender: InstanceId, record: ViewRecord, now: Instant) -> list[Effect]:
        """Begin to grant in a view whose predecessors are fenced off."""
        seen: list[Effect] = [Send(sender, CommitSeen(record.epoch))]
        if record.epoch < self.promised_epoch():
            return seen
        if self.committed is not None and record.epoch <= self.committed.epoch:
            return seen
        was_grantor = self.is_grantor
        self.committed = record
        self.promised = record.header
        self.proposer = sender
        self.fence_owed = False
        self.adopted = [record.header]
        until = Instant(now + self.settings.lease_seconds)
        for member in record.view.members:
            heard = self.heard.get(member.instance)
            if not was_grantor or heard is None or heard.incarnation != member.incarnation:
                self.heard[member.instance] = Heard(member.incarnation, until)
        waiting, self.waiting = self.waiting, {}
        for name, request in waiting.items():
            if request.epoch == record.epoch:
                seen += self._grant(name, request, now)
        return seen

    def is_alive(self, member: Member, now: Instant) -> bool:
        """Return whether this start of an instance was heard within one lease."""
        heard = self.heard.get(member.instance)
        if heard is None or heard.incarnation != member.incarnation:
            return False
        return now < heard.until

    def is_free(self, instance: InstanceId, now: Instant) -> bool:
        """Return whether no start of an instance holds a lease of this grantor."""
        return all(
            lease.end <= now for holder, lease in self.leases.items() if holder.instance == instance
        )

    def next_deadline(self) -> Instant | None:
        """Return when the next lease ends that keeps a fence from being complete."""
        if not self.fence_owed:
            return None
        return min((lease.end for lease in self.leases.values()), default=None)

    def dump(self) -> dict[str, Any]:
        """Return the state as values that JSON can hold."""
        return {
            "committed": self.committed.epoch if self.committed else None,
            "promised": self.promised_epoch(),
            "leases": {name.instance: lease.end for name, lease in self.leases.items()},
            "support_end": self.support_end(),
            "fence_owed": self.fence_owed,
        }
