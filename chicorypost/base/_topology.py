"""Instances, views and upstreams as every part sees them."""

from collections.abc import Iterable
from enum import Enum

import msgspec

from chicorypost.base._hashing import rendezvous_rank
from chicorypost.base._ids import (
    DataCentreId,
    Epoch,
    Incarnation,
    InstanceId,
    Instant,
    ServiceId,
    UpstreamId,
)
from chicorypost.base._machine import Effect, Event
from chicorypost.base._message import Record


class Endpoint(Record, frozen=True, array_like=True):
    """An IP address and a port."""

    host: str
    port: int


class Member(Record, frozen=True, array_like=True):
    """One live balancer in a view."""

    instance: InstanceId
    incarnation: Incarnation
    data_centre: DataCentreId
    control: Endpoint
    packets: Endpoint


class View(Record, frozen=True, array_like=True):
    """The live balancers of one data centre, as agreed by its grantors.

    Epochs rise from view to view but may skip numbers: they can only be compared.
    """

    data_centre: DataCentreId
    epoch: Epoch
    members: tuple[Member, ...]


class UpstreamState(Enum):
    """What an upstream says of itself."""

    STARTING = "starting"
    READY = "ready"
    DRAINING = "draining"


class Upstream(Record, frozen=True, array_like=True):
    """One upstream as it announced itself."""

    upstream: UpstreamId
    incarnation: Incarnation
    service: ServiceId
    data_centre: DataCentreId
    packets: Endpoint
    requests: Endpoint
    slots: int
    connections: int
    state: UpstreamState


class ViewChanged(Event, Effect, msgspec.Struct, frozen=True):
    """A data centre has a newer view: an effect of membership, an event for the other parts."""

    view: View


class LeaseChanged(Event, Effect, msgspec.Struct, frozen=True):
    """This instance may act until `end`, or not at all when `end` is None."""

    end: Instant | None


class UpstreamsChanged(Event, Effect, msgspec.Struct, frozen=True):
    """Upstreams were added, changed or removed: an effect of the upstream directory."""

    changed: tuple[Upstream, ...]
    removed: tuple[UpstreamId, ...]


def rank_members(view: View, key: bytes, count: int) -> list[Member]:
    """Rank the members of a view for a key: the first is the owner, the second the backup.

    Parameters
    ----------
    view : View
        The view to choose from.
    key : bytes
        What is to be owned.
    count : int
        How many members to return, at most.

    Returns
    -------
    list of Member
        The best members, best first. When the owner leaves the view, the backup is the next owner.
    """
    by_name = {str(member.instance): member for member in view.members}
    return [by_name[name] for name in rendezvous_rank(key, by_name, count)]


def find_member(members: Iterable[Member], instance: InstanceId) -> Member | None:
    """Return the member with the given instance id, or None."""
    return next((member for member in members if member.instance == instance), None)
