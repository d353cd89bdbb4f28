"""What a proposer wants to change: members that died, left or ask to join."""

from collections.abc import Iterable
from dataclasses import dataclass

from chicorypost.base import Incarnation, InstanceId, Instant, Member
from chicorypost.membership._grantor import LeaseGrantor
from chicorypost.membership._records import ViewRecord
from chicorypost.membership._settings import MembershipSettings


@dataclass(frozen=True, slots=True)
class PlannedChange:
    """Members to add and to remove."""

    joined: tuple[Member, ...]
    left: tuple[InstanceId, ...]


class PendingChanges:
    """Requests to join and words of leaving that the view does not reflect yet."""

    def __init__(self, settings: MembershipSettings) -> None:
        self.settings = settings
        self.joins: dict[InstanceId, tuple[Member, Instant]] = {}
        self.leaves: dict[InstanceId, Incarnation] = {}

    def add_join(self, member: Member, now: Instant) -> None:
        """Note a request to join; it counts for as long as a lease lasts."""
        self.joins[member.instance] = (member, Instant(now + self.settings.lease_seconds))

    def add_leave(self, instance: InstanceId, incarnation: Incarnation) -> None:
        """Note that a member gave its lease back."""
        self.leaves[instance] = incarnation

    def plan_change(
        self, record: ViewRecord, role: LeaseGrantor, now: Instant
    ) -> PlannedChange | None:
        """Return what to change in a view now, or None.

        A newer start of an instance joins only after the lease of the older one has ended.
        """
        members = {member.instance: member for member in record.view.members}
        left = tuple(name for name, member in members.items() if self._has_left(member, role, now))
        self._remove_resolved(members.values(), now)
        joined = tuple(
            member
            for name, (member, _) in sorted(self.joins.items())
            if (name not in members or name in left) and role.has_no_lease(name, now)
        )
        return PlannedChange(joined, left) if joined or left else None

    def _has_left(self, member: Member, role: LeaseGrantor, now: Instant) -> bool:
        if self.leaves.get(member.instance) == member.incarnation:
            return True
        return member.instance != role.identity.instance and not role.is_alive(member, now)

    def _remove_resolved(self, members: Iterable[Member], now: Instant) -> None:
        current = set(members)
        for name, (member, until) in list(self.joins.items()):
            if until <= now or member in current or self.leaves.get(name) == member.incarnation:
                del self.joins[name]
        starts = {(member.instance, member.incarnation) for member in current}
        for name, incarnation in list(self.leaves.items()):
            if (name, incarnation) not in starts and name not in self.joins:
                del self.leaves[name]
