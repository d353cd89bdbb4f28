"""Lease holder: renews its lease with the grantors of its view and tracks when it ends."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from chicorypost.base import Effect, Epoch, Event, InstanceId, Instant, Member, Send, View
from chicorypost.membership._messages import JoinRequest, LeaseGrant, LeaseRequest, LeaseReturn
from chicorypost.membership._records import (
    GrantorSet,
    InstanceIncarnation,
    ViewRecord,
    is_same_formation,
    majority,
)
from chicorypost.membership._settings import MembershipSettings

MAX_TRACKED_REQUESTS = 16
MILLISECONDS_PER_SECOND = 1000


@dataclass(frozen=True, slots=True)
class Leave(Event):
    """Return the lease and leave the view: the last step of a graceful stop."""


class Holder:
    """Requests and tracks the lease of this instance.

    A lease starts when its request is sent, so that delays only shorten it.

    A request that echoes a token supports the grantor for one lease. An instance supports grantors
    of one formation at a time: after a start, or when it moves to a view of another formation, it
    echoes no token until one lease has passed since its last echo. Two views of different
    formations therefore never have a majority of supporters at the same time.
    """

    def __init__(self, settings: MembershipSettings, member: Member, now: Instant) -> None:
        self.settings = settings
        self.member = member
        self.target_record: ViewRecord | None = None
        self.previous_sets: tuple[GrantorSet, ...] = ()
        self.view: View | None = None
        self.lease_end: Instant | None = None
        self.sequence = 0
        self.request_times: dict[int, Instant] = {}
        self.tokens: dict[InstanceIncarnation, int] = {}
        self.grant_ends: dict[InstanceId, Instant] = {}
        self.renew_at = now
        self.supports_until = Instant(now + settings.lease_seconds)
        self.echo_from = self.supports_until
        self.is_leaving = False
        self.minimum_epoch = Epoch(0)
        self.supported_epoch = Epoch(0)
        self.without_lease_since = now

    def may_act(self, now: Instant) -> bool:
        """Return whether this instance holds a lease; a newer view ends the lease at once."""
        return self.lease_end is not None and now < self.lease_end

    def adopt_view(self, record: ViewRecord, now: Instant) -> bool:
        """Move to a newer view and drop the lease of the older one; return whether it moved."""
        if record.epoch < self.minimum_epoch or self.is_leaving:
            return False
        if (
            is_same_formation(record.epoch, self.supported_epoch)
            and record.epoch < self.supported_epoch
        ):
            return False
        if self.target_record is not None and record.epoch <= self.target_record.epoch:
            return False
        if not is_same_formation(record.epoch, self.supported_epoch):
            self.echo_from = max(self.echo_from, self.supports_until)
        self.supported_epoch = record.epoch
        if self.target_record is not None:
            self.previous_sets = (self.target_record.grantor_set,)
        self.target_record = record
        grantors = {
            *record.grantors,
            *(g for grantor_set in self.previous_sets for g in grantor_set.grantors),
        }
        self.tokens = {name: token for name, token in self.tokens.items() if name in grantors}
        self.drop_lease(now)
        self.renew_at = now
        return True

    def drop_view(self, minimum_epoch: Epoch, now: Instant) -> None:
        """Drop the view and the lease, and adopt no view below `minimum_epoch`."""
        self.target_record = None
        self.previous_sets = ()
        self.minimum_epoch = max(self.minimum_epoch, minimum_epoch)
        self.drop_lease(now)

    def drop_lease(self, now: Instant) -> None:
        """Drop the lease, so that this instance stops acting."""
        self.lease_end = None
        self.grant_ends.clear()
        self.without_lease_since = now

    def is_lease_overdue(self, now: Instant) -> bool:
        """Return whether the view has given no lease for at least `lease_seconds`."""
        if self.target_record is None or self.lease_end is not None:
            return False
        return now >= self.without_lease_since + self.settings.lease_seconds

    def renew_lease(self, now: Instant) -> list[Effect]:
        """Request a lease from the grantors of the view and, without one, of the previous view."""
        self.renew_at = Instant(now + self.settings.renew_seconds)
        if self.target_record is None or self.is_leaving:
            return []
        grantors = list(self.target_record.grantors)
        if self.lease_end is None:
            self.renew_at = Instant(now + self.settings.retry_seconds)
            grantors += [
                grantor for grantor_set in self.previous_sets for grantor in grantor_set.grantors
            ]
        return self._send_lease_requests(dict.fromkeys(grantors), self.target_record.epoch, now)

    def _send_lease_requests(
        self, grantors: Iterable[InstanceIncarnation], epoch: Epoch, now: Instant
    ) -> list[Effect]:
        self.sequence += 1
        self.request_times[self.sequence] = now
        self.request_times.pop(self.sequence - MAX_TRACKED_REQUESTS, None)
        effects: list[Effect] = []
        for grantor in grantors:
            echo = self.tokens.get(grantor, 0) if now >= self.echo_from else 0
            if echo:
                self.supports_until = Instant(now + self.settings.lease_seconds)
            request = LeaseRequest(self.member.incarnation, epoch, self.sequence, echo)
            effects.append(Send(grantor.instance, request))
        return effects

    def handle_grant(self, sender: InstanceId, grant: LeaseGrant, now: Instant) -> list[Effect]:
        """Record a grant; if it has no duration, echo its first token at once to add support."""
        sent_at = self.request_times.get(grant.sequence)
        if self.target_record is None or grant.epoch != self.target_record.epoch or sent_at is None:
            return []
        grantor = next((g for g in self.target_record.grantors if g.instance == sender), None)
        if self.is_leaving or grantor is None:
            return []
        is_first = grantor not in self.tokens
        self.tokens[grantor] = grant.token
        end = Instant(sent_at + grant.remaining_ms / MILLISECONDS_PER_SECOND)
        self.grant_ends[sender] = max(end, self.grant_ends.get(sender, end))
        self._update_lease(now)
        if grant.remaining_ms == 0 and is_first:
            return self._send_lease_requests([grantor], self.target_record.epoch, now)
        return []

    def _update_lease(self, now: Instant) -> None:
        assert self.target_record is not None
        needed = majority(len(self.target_record.grantors))
        ends = sorted(self.grant_ends.values(), reverse=True)
        if len(ends) < needed or ends[needed - 1] <= now:
            return
        self.lease_end = max(ends[needed - 1], self.lease_end or ends[needed - 1])
        self.view = self.target_record.view

    def request_join(self, names: Iterable[InstanceId]) -> list[Effect]:
        """Send join requests to some instances."""
        return [Send(name, JoinRequest(self.member)) for name in names]

    def return_lease(self, now: Instant) -> list[Effect]:
        """Return the lease to all grantors of the view and of the previous one."""
        self.is_leaving = True
        self.renew_at = Instant(now + self.settings.retry_seconds)
        self.drop_lease(now)
        if self.target_record is None:
            return []
        grantor_sets = (self.target_record.grantor_set, *self.previous_sets)
        names = dict.fromkeys(grantor.instance for s in grantor_sets for grantor in s.grantors)
        return [Send(name, LeaseReturn(self.member.incarnation)) for name in names]

    def dump(self) -> dict[str, Any]:
        """Return the state as values that JSON can hold."""
        return {
            "target": self.target_record.epoch if self.target_record else None,
            "lease_end": self.lease_end,
            "grants": dict(self.grant_ends),
            "supports_until": self.supports_until,
            "leaving": self.is_leaving,
        }
