"""Announcements of upstreams and their ordering; events and effects of the registry."""

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
from chicorypost.evacuation import Evacuations
from chicorypost.routing import RoutingDocument


class AnnouncedStatus(Enum):
    """Whether an upstream takes new flows."""

    READY = "ready"
    DRAINING = "draining"
    """Finishes its open flows before it leaves."""
    GONE = "gone"
    """Has left."""


class Announcement(Record, frozen=True, array_like=True):
    """One announcement call of an upstream.

    Parameters
    ----------
    upstream : UpstreamId
        Name of the upstream; it may be reused after a restart.
    started_at_ms : int
        Start of this run of the upstream, in milliseconds since the Unix epoch by its own clock.
    sequence : int
        Number of the call within this run; increases with each call.
    service, data_centre, endpoint
        Service of the upstream, its location and its address.
    token : int
        Number by which the upstream recognises packets that are addressed to it.
    slots : int
        Maximum number of concurrent requests.
    status : AnnouncedStatus
        Whether it takes new flows.
    warmup_ms : int
        Remaining warm-up time after the call, in milliseconds.
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
        """Sort key that increases with each call over all runs; `GONE` sorts last in its run."""
        return (self.started_at_ms, self.status is AnnouncedStatus.GONE, self.sequence)


class LeaveNotice(Record, frozen=True, array_like=True):
    """Notice of an upstream that it stops.

    `started_at_ms` is the start of the run that leaves, or None if nothing shows which run of the
    upstream it is: the notice may have been held up until the upstream runs again. `sequence` is
    None if not sent.
    """

    upstream: UpstreamId
    started_at_ms: int | None
    sequence: int | None


class JudgedState(Enum):
    """What the reports of several balancers show of an upstream."""

    UNRESPONSIVE = 1
    SLOW = 2


class Judgement(Record, frozen=True, array_like=True):
    """Judgement of an upstream by the reports of balancers.

    `slowness_percent` is the factor by which its responses take longer than what counts as usual,
    in percent; 100 unless the state is `SLOW`.
    """

    state: JudgedState
    slowness_percent: int = 100


class RunJudgement(msgspec.Struct, frozen=True):
    """Judgement of one run of an upstream."""

    started_at_ms: int
    judgement: Judgement


class ListedUpstream(Record, frozen=True, array_like=True):
    """Table entry of an upstream as sent to other instances.

    `is_silent` is true if the last contact known to the sender, its own or that of a peer, is too
    long ago; `age_ms` is the time since that contact, in milliseconds. `warmup_ms` of the
    announcement is the warm-up that remained at that contact, so that `warmup_ms - age_ms` remains.
    `judgement` is sent to balancers only; it is missing in records of earlier builds.
    """

    announcement: Announcement
    is_silent: bool
    age_ms: int
    judgement: Judgement | None = None


class AnnouncementOutcome(Enum):
    """Result of a call of an upstream."""

    ACCEPTED = "held"
    """Stored, or already known."""
    OUTDATED = "late"
    """Ignored: a later call is known."""
    UNKNOWN = "unknown"
    """Ignored: a leave notice of an upstream that was never announced."""
    NOT_YET_KNOWN = "not yet known"
    """Refused: a leave notice of an upstream that peers may list, but this instance doesn't yet."""
    RUN_UNKNOWN = "run unknown"
    """Refused: a leave notice of a run that hasn't announced itself here, or one without its run
    while the latest run hasn't announced that it will leave."""


class UpstreamCallReceived(Event, msgspec.Struct, frozen=True):
    """An upstream has called; completed by `UpstreamCallCompleted` with the same `call_id`."""

    call_id: str
    content: Announcement | LeaveNotice


class UpstreamCallCompleted(Effect, msgspec.Struct, frozen=True):
    """Send the response to a call.

    If the call takes an upstream out of use, it is on disk and the connected peers have replicated
    it, or that has timed out.
    """

    call_id: str
    outcome: AnnouncementOutcome


class TableChanged(Effect, msgspec.Struct, frozen=True):
    """Save the table, so that it survives a restart of all control instances.

    `TableSaved` with the same or a higher `change_number` reports that the change is durable.
    """

    change_number: int


class TableSaved(Event, msgspec.Struct, frozen=True):
    """The table with all changes up to `change_number` is on disk."""

    change_number: int


class TableRestored(Event, msgspec.Struct, frozen=True):
    """Table saved by the previous run of the process."""

    listed: tuple[ListedUpstream, ...]


class JudgementsChanged(Event, Effect, msgspec.Struct, frozen=True):
    """Judgements of upstreams that have changed; None for those that have ended."""

    judgements: dict[UpstreamId, RunJudgement | None]


class PeersChanged(Event, msgspec.Struct, frozen=True):
    """The peers of this control instance, and all control instances as sent to balancers."""

    peers: tuple[InstanceId, ...]
    controls: tuple[InstanceId, ...]


class VersionApplied(Event, msgspec.Struct, frozen=True):
    """This control instance has applied a newer configuration."""

    document: RoutingDocument


class EvacuationsChanged(Event, msgspec.Struct, frozen=True):
    """This control instance has applied an order about the evacuation of a data centre."""

    evacuations: Evacuations


class PeerConnected(Event, msgspec.Struct, frozen=True):
    """A connection to an instance was opened; messages sent before that may be lost."""

    peer: InstanceId


class PeerDisconnected(Event, msgspec.Struct, frozen=True):
    """The connection to an instance was lost."""

    peer: InstanceId
