"""Views with their grantors, their differences and the order of their epochs."""

from collections.abc import Iterable

from chicorypost.base import (
    DataCentreId,
    Epoch,
    Incarnation,
    InstanceId,
    Member,
    Record,
    View,
    rank_members,
)

CHANGE_BITS = 20
PROPOSER_BITS = 3
CANDIDATE_BITS = 10
COUNTER_BITS = 32
REDUCTION_BITS = 10
GRANTOR_KEY = b"membership-grantor"
RELAY_KEY = b"membership-relay"


class InstanceIncarnation(Record, frozen=True, array_like=True):
    """One start of an instance that grants leases."""

    instance: InstanceId
    incarnation: Incarnation


class GrantorSet(Record, frozen=True, array_like=True):
    """Who grants the leases of an epoch."""

    epoch: Epoch
    grantors: tuple[InstanceIncarnation, ...]


class ViewRecord(Record, frozen=True, array_like=True):
    """A view with its grantors."""

    view: View
    grantors: tuple[InstanceIncarnation, ...]

    @property
    def epoch(self) -> Epoch:
        """Epoch of the view."""
        return self.view.epoch

    @property
    def grantor_set(self) -> GrantorSet:
        """The grantors without the members."""
        return GrantorSet(self.view.epoch, self.grantors)


def majority(count: int) -> int:
    """Return the smallest number that is more than half of a count."""
    return count // 2 + 1


def formation_epoch(counter: int, candidate: int) -> Epoch:
    """Return the epoch of a newly formed view: greater than every epoch of lower counters."""
    return Epoch(((counter << CANDIDATE_BITS) + candidate) << CHANGE_BITS)


def counter_from_incarnation(incarnation: int) -> int:
    """Return a counter that grows with incarnations, whatever the unit of their clock.

    It keeps epochs growing when every instance of a data centre has lost its memory.
    """
    counter = incarnation
    while counter >= 1 << COUNTER_BITS:
        counter >>= REDUCTION_BITS
    return counter


def formation_counter(epoch: int) -> int:
    """Return the counter of the formation from which an epoch descends."""
    return epoch >> (CHANGE_BITS + CANDIDATE_BITS)


def next_epoch(known: int, proposer: int) -> Epoch:
    """Return an epoch after a known one, of the same formation, that only one proposer uses."""
    return Epoch((((known >> PROPOSER_BITS) + 1) << PROPOSER_BITS) + proposer)


def is_same_formation(one: int, other: int) -> bool:
    """Return whether two epochs descend from the same formation."""
    return one >> CHANGE_BITS == other >> CHANGE_BITS


def choose_grantors(
    view: View, current: Iterable[InstanceIncarnation], count: int
) -> tuple[InstanceIncarnation, ...]:
    """Keep the grantors that are still members and fill up from the ranked members."""
    members = {
        member.instance: InstanceIncarnation(member.instance, member.incarnation)
        for member in view.members
    }
    kept = [grantor for grantor in current if members.get(grantor.instance) == grantor]
    ranked = [members[member.instance] for member in rank_members(view, GRANTOR_KEY, len(members))]
    added = [grantor for grantor in ranked if grantor not in kept]
    return tuple((kept + added)[:count])


def choose_relay(view: View) -> InstanceId:
    """Return the member that exchanges views with other data centres."""
    return rank_members(view, RELAY_KEY, 1)[0].instance


def tree_children(
    view: View, root: InstanceId, instance: InstanceId, fan_out: int
) -> list[InstanceId]:
    """Return to whom an instance passes on what comes from a root."""
    names = [root, *sorted(m.instance for m in view.members if m.instance != root)]
    if instance not in names:
        return []
    first = names.index(instance) * fan_out + 1
    return names[first : first + fan_out]


def apply_member_changes(
    view: View,
    epoch: Epoch,
    joined: Iterable[Member],
    left: Iterable[InstanceId],
) -> View:
    """Return the view that follows from members who joined and left."""
    gone = set(left)
    members = {member.instance: member for member in view.members if member.instance not in gone}
    members.update({member.instance: member for member in joined})
    ordered = tuple(members[name] for name in sorted(members))
    return View(view.data_centre, epoch, ordered)


def empty_view(data_centre: DataCentreId) -> View:
    """Return the view from which a full update starts."""
    return View(data_centre, Epoch(0), ())
