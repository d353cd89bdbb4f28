"""Lease holder: renews with the grantors of its view and knows until when it may act."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from chicorypost.base import Effect, Epoch, Event, InstanceId, Instant, Member, Send, View
from chicorypost.membership._messages import JoinRequest, LeaseGrant, LeaseRequest, LeaseReturn
from chicorypost.membership._records import (
    Grantor,
    GrantorSet,
    ViewRecord,
    majority,
    same_formation,
)
from chicorypost.membership._settings import MembershipSettings

REMEMBERED_REQUESTS = 16
MILLISECONDS = 1000


@dataclass(frozen=True, slots=True)
class Leave(Event):
    """Give the lease back and leave the view: the last step of a graceful stop."""


class Holder:
    """The lease of this instance.

    A lease counts from the moment when its request was sent, so that delay only shortens it.

    A request that echoes a token supports the grantor for one lease. An instance supports grantors
    of one formation at a time: after a start, or when it moves to a view of another formation, it
    sends no echo until a full lease has passed since its last one. Two views of different
    formations therefore never have a majority of supporters at the same time.
    """

    def __init__(self, settings: MembershipSettings, member: Member, now: Instant) -> None:
        self.settings = settings
        self.member = member
        self.target: ViewRecord | None = None
        self.fences: tuple[GrantorSet, ...] = ()
        self.view: View | None = None
        self.lease_end: Instant | None = None
        self.sequence = 0
        self.sent: dict[int, Instant] = {}
        self.tokens: dict[Grantor, int] = {}
        self.grants: dict[InstanceId, Instant] = {}
        self.renew_at = now
        self.supports_until = Instant(now + settings.lease_seconds)
        self.echo_from = self.supports_until
        self.leaving = False
        self.floor = Epoch(0)
        self.supported = Epoch(0)
        self.without_lease_since = now

    def may_act(self, now: Instant) -> bool:
        """Return whether the lease holds and no newer view was heard of."""
        return self.lease_end is not None and now < self.lease_end

    def adopt(self, record: ViewRecord, now: Instant) -> bool:
        """Move to a newer view and stop acting in the older one; return whether that changed."""
        if record.epoch < self.floor or self.leaving:
            return False
        if same_formation(record.epoch, self.supported) and record.epoch < self.supported:
            return False
        if self.target is not None and record.epoch <= self.target.epoch:
            return False
        if not same_formation(record.epoch, self.supported):
            self.echo_from = max(self.echo_from, self.supports_until)
        self.supported = record.epoch
        if self.target is not None:
            self.fences = (self.target.header,)
        self.target = record
        known = {*record.grantors, *(g for fence in self.fences for g in fence.grantors)}
        self.tokens = {name: token for name, token in self.tokens.items() if name in known}
        self.drop_lease(now)
        self.renew_at = now
        return True

    def forget(self, floor: Epoch, now: Instant) -> None:
        """Drop the view and support none before an epoch any more."""
        self.target = None
        self.fences = ()
        self.floor = max(self.floor, floor)
        self.drop_lease(now)

    def drop_lease(self, now: Instant) -> None:
        """Stop acting."""
        self.lease_end = None
        self.grants.clear()
        self.without_lease_since = now

    def is_stuck(self, now: Instant) -> bool:
        """Return whether the grantors have given no lease for the length of one."""
        if self.target is None or self.lease_end is not None:
            return False
        return now >= self.without_lease_since + self.settings.lease_seconds

    def renew(self, now: Instant) -> list[Effect]:
        """Ask every grantor of the view, and those of the former one until the first lease."""
        self.renew_at = Instant(now + self.settings.renew_seconds)
        if self.target is None or self.leaving:
            return []
        grantors = list(self.target.grantors)
        if self.lease_end is None:
            self.renew_at = Instant(now + self.settings.retry_seconds)
            grantors += [grantor for fence in self.fences for grantor in fence.grantors]
        return self._request(dict.fromkeys(grantors), self.target.epoch, now)

    def _request(self, grantors: Iterable[Grantor], epoch: Epoch, now: Instant) -> list[Effect]:
        self.sequence += 1
        self.sent[self.sequence] = now
        self.sent.pop(self.sequence - REMEMBERED_REQUESTS, None)
        effects: list[Effect] = []
        for grantor in grantors:
            echo = self.tokens.get(grantor, 0) if now >= self.echo_from else 0
            if echo:
                self.supports_until = Instant(now + self.settings.lease_seconds)
            request = LeaseRequest(self.member.incarnation, epoch, self.sequence, echo)
            effects.append(Send(grantor.instance, request))
        return effects

    def granted(self, sender: InstanceId, grant: LeaseGrant, now: Instant) -> list[Effect]:
        """Count a grant; one without any time is repeated at once with its token."""
        sent = self.sent.get(grant.sequence)
        if self.target is None or grant.epoch != self.target.epoch or sent is None:
            return []
        grantor = next((g for g in self.target.grantors if g.instance == sender), None)
        if self.leaving or grantor is None:
            return []
        is_first = grantor not in self.tokens
        self.tokens[grantor] = grant.token
        end = Instant(sent + grant.remaining_ms / MILLISECONDS)
        self.grants[sender] = max(end, self.grants.get(sender, end))
        self._count(now)
        if grant.remaining_ms == 0 and is_first:
            return self._request([grantor], self.target.epoch, now)
        return []

    def _count(self, now: Instant) -> None:
        assert self.target is not None
        needed = majority(len(self.target.grantors))
        ends = sorted(self.grants.values(), reverse=True)
        if len(ends) < needed or ends[needed - 1] <= now:
            return
        self.lease_end = max(ends[needed - 1], self.lease_end or ends[needed - 1])
        self.view = self.target.view

    def join(self, names: Iterable[InstanceId]) -> list[Effect]:
        """Ask some instances to become a member."""
        return [Send(name, JoinRequest(self.member)) for name in names]

    def leave(self, now: Instant) -> list[Effect]:
        """Give the lease back at every grantor."""
        self.leaving = True
        self.renew_at = Instant(now + self.settings.retry_seconds)
        self.drop_lease(now)
        if self.target is None:
            return []
        sets = (self.target.header, *self.fences)
        names = dict.fromkeys(grantor.instance for s in sets for grantor in s.grantors)
        return [Send(name, LeaseReturn(self.member.incarnation)) for name in names]

    def dump(self) -> dict[str, Any]:
        """Return the state as values that JSON can hold."""
        return {
            "target": self.target.epoch if self.target else None,
            "lease_end": self.lease_end,
            "grants": dict(self.grants),
            "supports_until": self.supports_until,
            "leaving": self.leaving,
        }
