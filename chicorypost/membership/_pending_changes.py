"""Membership changes to propose: members that failed, left or requested to join."""

from collections.abc import Iterable
from dataclasses import dataclass

from chicorypost.base import Incarnation, InstanceId, Instant, Member
from chicorypost.membership._grantor import LeaseGrantor
from chicorypost.membership._records import ViewRecord
from chicorypost.membership._settings import MembershipSettings


@dataclass(frozen=True, slots=True)
class PlannedChange:
    """Members to add and instances to remove."""

    joined: tuple[Member, ...]
    left: tuple[InstanceId, ...]


class PendingChanges:
    """Join requests and lease returns that the view does not contain yet."""

    def __init__(self, settings: MembershipSettings) -> None:
        self.settings = settings
        self.joins: dict[InstanceId, tuple[Member, Instant]] = {}
        self.leaves: dict[InstanceId, Incarnation] = {}

    def add_join(self, member: Member, now: Instant) -> None:
        """Record a join request, which expires after `lease_seconds`."""
        self.joins[member.instance] = (member, Instant(now + self.settings.lease_seconds))

    def add_leave(self, instance: InstanceId, incarnation: Incarnation) -> None:
        """Record that an incarnation of a member returned its lease."""
        self.leaves[instance] = incarnation

    def plan_change(
        self, record: ViewRecord, grantor: LeaseGrantor, now: Instant
    ) -> PlannedChange | None:
        """Return the change to propose, or None.

        A newer incarnation of an instance joins only after the lease of the older one ended.
        """
        members = {member.instance: member for member in record.view.members}
        left = tuple(
            name for name, member in members.items() if self._has_left(member, grantor, now)
        )
        self._remove_resolved(members.values(), now)
        joined = tuple(
            member
            for name, (member, _) in sorted(self.joins.items())
            if (name not in members or name in left) and grantor.has_no_lease(name, now)
        )
        return PlannedChange(joined, left) if joined or left else None

    def _has_left(self, member: Member, grantor: LeaseGrantor, now: Instant) -> bool:
        if self.leaves.get(member.instance) == member.incarnation:
            return True
        return member.instance != grantor.identity.instance and not grantor.is_alive(member, now)

    def _remove_resolved(self, members: Iterable[Member], now: Instant) -> None:
        current = set(members)
        for name, (member, expiry) in list(self.joins.items()):
            if expiry <= now or member in current or self.leaves.get(name) == member.incarnation:
                del self.joins[name]
        incarnations = {(member.instance, member.incarnation) for member in current}
        for name, incarnation in list(self.leaves.items()):
            if (name, incarnation) not in incarnations and name not in self.joins:
                del self.leaves[name]
