"""Instances, membership views and upstreams."""

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
    """A live balancer in a membership view.

    `control` is the address for messages from peers, `packets` the one for packets.
    """

    instance: InstanceId
    incarnation: Incarnation
    data_centre: DataCentreId
    control: Endpoint
    packets: Endpoint


class View(Record, frozen=True, array_like=True):
    """Membership view: the live balancers of one data centre, as agreed by its grantors.

    Each view has a greater epoch than the previous one. Epochs may skip numbers, so their
    difference has no meaning.
    """

    data_centre: DataCentreId
    epoch: Epoch
    members: tuple[Member, ...]


class UpstreamState(Enum):
    """State that an upstream announces."""

    STARTING = "starting"
    READY = "ready"
    DRAINING = "draining"


class Upstream(Record, frozen=True, array_like=True):
    """An announced upstream.

    `packets` and `requests` are its addresses for packets of flows and for HTTP requests. `slots`
    is the number of requests and `connections` the number of flows that it serves at a time.
    """

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
    """A data centre has a newer view.

    Membership returns it as an effect; the other state machines receive it as an event.
    """

    view: View


class LeaseChanged(Event, Effect, msgspec.Struct, frozen=True):
    """This instance holds its lease until `end`; it must not act if `end` is None."""

    end: Instant | None


class UpstreamsChanged(Event, Effect, msgspec.Struct, frozen=True):
    """Upstreams were added, changed or removed; an effect of the upstream directory."""

    changed: tuple[Upstream, ...]
    removed: tuple[UpstreamId, ...]


def rank_members(view: View, key: bytes, count: int) -> list[Member]:
    """Rank the members of a view for a key; the first is its owner, the second its backup.

    Parameters
    ----------
    view : View
        View whose members are ranked.
    key : bytes
        Key of the item to place.
    count : int
        Maximum number of members to return.

    Returns
    -------
    list of Member
        Members in descending rank. If the owner leaves the view, the backup becomes the owner.
    """
    members_by_id = {str(member.instance): member for member in view.members}
    return [members_by_id[name] for name in rendezvous_rank(key, members_by_id, count)]


def find_member(members: Iterable[Member], instance: InstanceId) -> Member | None:
    """Return the member with the given instance id, or None."""
    return next((member for member in members if member.instance == instance), None)
