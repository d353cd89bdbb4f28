"""What upstreams say of themselves, and its order."""

from enum import Enum

import msgspec

from chicorypost.base import (
    DataCentreId,
    Effect,
    Endpoint,
    Event,
    InstanceId,
    Record,
    ServiceId,
    UpstreamId,
)
from chicorypost.routing import RoutingDocument


class AnnouncedStatus(Enum):
    """Whether an upstream takes new flows."""

    READY = "ready"
    DRAINING = "draining"
    """Finishes its flows and is about to leave."""
    GONE = "gone"
    """Has left, or another upstream has taken its address."""


class Announcement(Record, frozen=True, array_like=True):
    """One call of an upstream.

    Parameters
    ----------
    upstream : UpstreamId
        Name of the upstream; one that starts again may have the same.
    born_ms : int
        When this run of the upstream started, in milliseconds since the Unix epoch by its clock.
    sequence : int
        Number of the call within this run; a later call has a greater one.
    service, data_centre, endpoint
        What it serves, and where.
    token : int
        Number by which the upstream tells whether a packet is meant for it.
    slots : int
        Requests that it runs at a time.
    standing : Standing
        Whether it takes new flows.
    warm_in_ms : int
        How long after the call it is still slow, in milliseconds.
    """

    upstream: UpstreamId
    started_at_ms: int
    sequence: int
    service: ServiceId
    data_centre: DataCentreId
    endpoint: Endpoint
    token: int
    slots: int
    status: AnnouncedStatus
    warmup_ms: int

    @property
    def order_key(self) -> tuple[int, bool, int]:
        """Key that rises with each call of an upstream, over all its runs; leaving ends a run."""
        return (self.started_at_ms, self.status is AnnouncedStatus.GONE, self.sequence)


class LeaveNotice(Record, frozen=True, array_like=True):
    """An upstream says that it ends; `born_ms` and `sequence` are None when it doesn't say them."""

    upstream: UpstreamId
    started_at_ms: int | None
    sequence: int | None


class ListedUpstream(Record, frozen=True, array_like=True):
    """An upstream as a control instance sees it.

    `silent` says that no control instance known to the sender has heard it for too long; `age_ms`
    is the time since it was heard, in milliseconds.
    """

    announcement: Announcement
    is_silent: bool
    age_ms: int


class AnnouncementOutcome(Enum):
    """What became of a call of an upstream."""

    ACCEPTED = "held"
    """Taken, or known already."""
    OUTDATED = "late"
    """A later call, or a later upstream at the address, is known; nothing has changed."""
    UNKNOWN = "unknown"
    """An upstream that was never announced says that it leaves."""


class UpstreamCallReceived(Event, msgspec.Struct, frozen=True):
    """An upstream has called; answered by `UpstreamCallCompleted` with the same `call`."""

    call_id: str
    content: Announcement | LeaveNotice


class UpstreamCallCompleted(Effect, msgspec.Struct, frozen=True):
    """The call can be answered: what it says is held by the peers that can be reached."""

    call_id: str
    outcome: AnnouncementOutcome


class TableChanged(Effect, msgspec.Struct, frozen=True):
    """The table should be saved, so that a restart of all control instances brings it back."""


class TableRestored(Event, msgspec.Struct, frozen=True):
    """What was saved of the table before the process started."""

    listed: tuple[ListedUpstream, ...]


class PeersChanged(Event, msgspec.Struct, frozen=True):
    """The other control instances, and all of them as balancers should know them."""

    peers: tuple[InstanceId, ...]
    controls: tuple[InstanceId, ...]


class VersionApplied(Event, msgspec.Struct, frozen=True):
    """This control instance has a newer configuration."""

    document: RoutingDocument


class PeerConnected(Event, msgspec.Struct, frozen=True):
    """A connection to an instance was opened: what was sent before may be lost."""

    peer: InstanceId


class PeerDisconnected(Event, msgspec.Struct, frozen=True):
    """The connection to an instance is lost."""

    peer: InstanceId
