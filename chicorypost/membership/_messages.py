"""Messages of leases, view changes, view formation and view gossip."""

from chicorypost.base import (
    DataCentreId,
    Epoch,
    Incarnation,
    InstanceId,
    Member,
    Message,
    Record,
)
from chicorypost.membership._records import GrantorSet, InstanceIncarnation, ViewRecord


class LeaseRequest(Message, frozen=True, array_like=True, tag=300):
    """Request a lease; a non-zero `echoed_token` is the last token received from the grantor."""

    incarnation: Incarnation
    epoch: Epoch
    sequence: int
    echoed_token: int


class LeaseGrant(Message, frozen=True, array_like=True, tag=301):
    """Grant a lease that lasts `remaining_ms` from the time at which the request was sent."""

    epoch: Epoch
    sequence: int
    remaining_ms: int
    token: int


class LeaseRefused(Message, frozen=True, array_like=True, tag=302):
    """Refuse a lease below the promised epoch; `view_source` has the newer view."""

    epoch: Epoch
    view_source: InstanceId


class LeaseReturn(Message, frozen=True, array_like=True, tag=303):
    """Return a lease: the holder has stopped acting and leaves the view."""

    incarnation: Incarnation


class Prepare(Message, frozen=True, array_like=True, tag=304):
    """Request that a grantor fences every epoch below that of `grantor_set`."""

    grantor_set: GrantorSet


class Promise(Message, frozen=True, array_like=True, tag=305):
    """A grantor promises to grant no lease below an epoch.

    If `is_fenced`, no lease below the epoch is left at this grantor. `previous` has the grantors of
    earlier epochs that may have been active.
    """

    epoch: Epoch
    grantor: InstanceIncarnation
    previous: tuple[GrantorSet, ...]
    is_fenced: bool


class PrepareRefused(Message, frozen=True, array_like=True, tag=306):
    """Refuse to promise an epoch, because a later one is promised."""

    epoch: Epoch
    promised_epoch: Epoch


class Commit(Message, frozen=True, array_like=True, tag=307):
    """Notify a grantor that all epochs before this view are fenced and that it may grant."""

    record: ViewRecord


class CommitAcknowledged(Message, frozen=True, array_like=True, tag=308):
    """Acknowledge a commit."""

    epoch: Epoch


class JoinRequest(Message, frozen=True, array_like=True, tag=309):
    """Request membership of the view."""

    member: Member


class FormationRequest(Message, frozen=True, array_like=True, tag=310):
    """Request the vote of an instance for the formation of a view."""

    epoch: Epoch


class FormationVote(Message, frozen=True, array_like=True, tag=311):
    """Vote for the formation of a view, of which the voter becomes a member."""

    epoch: Epoch
    member: Member


class FormationRefused(Message, frozen=True, array_like=True, tag=312):
    """Refuse a vote; `known_epoch` is the highest epoch that the sender knows."""

    epoch: Epoch
    known_epoch: Epoch


class ViewUpdate(Message, frozen=True, array_like=True, tag=313):
    """The difference between a view and the one at `base_epoch`, or a full view if that is 0."""

    root: InstanceId
    data_centre: DataCentreId
    epoch: Epoch
    base_epoch: Epoch
    joined: tuple[Member, ...]
    left: tuple[InstanceId, ...]
    grantors: tuple[InstanceIncarnation, ...]


class ViewRequest(Message, frozen=True, array_like=True, tag=314):
    """Request the view of a data centre if it is newer than `known_epoch`."""

    data_centre: DataCentreId
    known_epoch: Epoch


class EpochEntry(Record, frozen=True, array_like=True):
    """Newest known epoch of a data centre."""

    data_centre: DataCentreId
    epoch: Epoch


class ViewDigest(Message, frozen=True, array_like=True, tag=315):
    """Newest known epochs, forwarded along the dissemination tree of `root`."""

    root: InstanceId
    entries: tuple[EpochEntry, ...]
