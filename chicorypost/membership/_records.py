"""Views with their grantors, changes of views and the layout of epochs."""

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

# An epoch holds, from its highest bits: a formation counter, the position of the candidate among
# the configured instances (CANDIDATE_BITS) and the number of the view in its formation
# (CHANGE_BITS), whose lowest PROPOSER_BITS are the position of the proposer among the grantors.
CHANGE_BITS = 20
PROPOSER_BITS = 3
CANDIDATE_BITS = 10
COUNTER_BITS = 32
COUNTER_SHIFT_BITS = 10
GRANTOR_KEY = b"membership-grantor"
RELAY_KEY = b"membership-relay"


class InstanceIncarnation(Record, frozen=True, array_like=True):
    """One incarnation of an instance: a grantor or a lease holder."""

    instance: InstanceId
    incarnation: Incarnation


class GrantorSet(Record, frozen=True, array_like=True):
    """The grantors of an epoch."""

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
        """The epoch and the grantors, without the members."""
        return GrantorSet(self.view.epoch, self.grantors)


def majority(count: int) -> int:
    """Return the size of the smallest majority of `count`."""
    return count // 2 + 1


def formation_epoch(counter: int, candidate: int) -> Epoch:
    """Return the first epoch of a formation; it exceeds all epochs of lower counters."""
    return Epoch(((counter << CANDIDATE_BITS) + candidate) << CHANGE_BITS)


def counter_from_incarnation(incarnation: int) -> int:
    """Return a formation counter that grows with the incarnation, for any unit of its clock.

    It keeps epochs increasing when all instances of a data centre restart and lose their state.
    """
    counter = incarnation
    while counter >= 1 << COUNTER_BITS:
        counter >>= COUNTER_SHIFT_BITS
    return counter


def formation_counter(epoch: int) -> int:
    """Return the counter of the formation to which an epoch belongs."""
    return epoch >> (CHANGE_BITS + CANDIDATE_BITS)


def next_epoch(known: int, proposer: int) -> Epoch:
    """Return an epoch after `known` in the same formation that is unique to the proposer."""
    return Epoch((((known >> PROPOSER_BITS) + 1) << PROPOSER_BITS) + proposer)


def is_same_formation(one: int, other: int) -> bool:
    """Return whether two epochs belong to the same formation."""
    return one >> CHANGE_BITS == other >> CHANGE_BITS


def choose_grantors(
    view: View, current: Iterable[InstanceIncarnation], count: int
) -> tuple[InstanceIncarnation, ...]:
    """Return the current grantors that are still members, filled up from the ranked members."""
    members = {
        member.instance: InstanceIncarnation(member.instance, member.incarnation)
        for member in view.members
    }
    kept = [grantor for grantor in current if members.get(grantor.instance) == grantor]
    ranked = [members[member.instance] for member in rank_members(view, GRANTOR_KEY, len(members))]
    added = [grantor for grantor in ranked if grantor not in kept]
    return tuple((kept + added)[:count])


def choose_relay(view: View) -> InstanceId:
    """Return the member that exchanges epochs with other data centres."""
    return rank_members(view, RELAY_KEY, 1)[0].instance


def tree_children(
    view: View, root: InstanceId, instance: InstanceId, fan_out: int
) -> list[InstanceId]:
    """Return the children of an instance in the dissemination tree of `root`."""
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
    """Return the view after members joined and left."""
    departed = set(left)
    members = {
        member.instance: member for member in view.members if member.instance not in departed
    }
    members.update({member.instance: member for member in joined})
    ordered = tuple(members[name] for name in sorted(members))
    return View(view.data_centre, epoch, ordered)


def empty_view(data_centre: DataCentreId) -> View:
    """Return the empty view at epoch 0, which is the base of a full update."""
    return View(data_centre, Epoch(0), ())
