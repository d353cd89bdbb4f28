"""Messages of leases, view changes, formation and the exchange of views."""

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
    """Ask a grantor for a lease; the echo proves which answer of its was the last one seen."""

    incarnation: Incarnation
    epoch: Epoch
    sequence: int
    echoed_token: int


class LeaseGrant(Message, frozen=True, array_like=True, tag=301):
    """Grant a lease that counts from the moment when the request was sent."""

    epoch: Epoch
    sequence: int
    remaining_ms: int
    token: int


class LeaseRefused(Message, frozen=True, array_like=True, tag=302):
    """Refuse a lease of an epoch that was fenced off; `source` has the newer view."""

    epoch: Epoch
    view_source: InstanceId


class LeaseReturn(Message, frozen=True, array_like=True, tag=303):
    """Give a lease back: the holder does not act any more and leaves the view."""

    incarnation: Incarnation


class Prepare(Message, frozen=True, array_like=True, tag=304):
    """Ask a grantor to fence off every epoch below this one."""

    grantor_set: GrantorSet


class Promise(Message, frozen=True, array_like=True, tag=305):
    """An epoch is promised, and when complete, no lease below it is left at this grantor.

    The other epochs may have been active.
    """

    epoch: Epoch
    grantor: InstanceIncarnation
    previous: tuple[GrantorSet, ...]
    is_fenced: bool


class PrepareRefused(Message, frozen=True, array_like=True, tag=306):
    """A grantor has promised a later epoch."""

    epoch: Epoch
    promised_epoch: Epoch


class Commit(Message, frozen=True, array_like=True, tag=307):
    """The epochs before this view are fenced off: its grantors may grant."""

    record: ViewRecord


class CommitAcknowledged(Message, frozen=True, array_like=True, tag=308):
    """Acknowledge a commit."""

    epoch: Epoch


class JoinRequest(Message, frozen=True, array_like=True, tag=309):
    """Ask to become a member of the view."""

    member: Member


class FormationRequest(Message, frozen=True, array_like=True, tag=310):
    """Ask an instance without a lease to take part in a newly formed view."""

    epoch: Epoch


class FormationVote(Message, frozen=True, array_like=True, tag=311):
    """Take part in a newly formed view."""

    epoch: Epoch
    member: Member


class FormationRefused(Message, frozen=True, array_like=True, tag=312):
    """Decline, with the highest epoch known."""

    epoch: Epoch
    known_epoch: Epoch


class ViewUpdate(Message, frozen=True, array_like=True, tag=313):
    """The difference between a view and the one at `base`; base 0 makes it a whole view."""

    root: InstanceId
    data_centre: DataCentreId
    epoch: Epoch
    base_epoch: Epoch
    joined: tuple[Member, ...]
    left: tuple[InstanceId, ...]
    grantors: tuple[InstanceIncarnation, ...]


class ViewRequest(Message, frozen=True, array_like=True, tag=314):
    """Ask for the view of a data centre, newer than the epoch that the sender has."""

    data_centre: DataCentreId
    known_epoch: Epoch


class EpochEntry(Record, frozen=True, array_like=True):
    """The newest epoch known of a data centre."""

    data_centre: DataCentreId
    epoch: Epoch


class ViewDigest(Message, frozen=True, array_like=True, tag=315):
    """The newest epochs known, passed on along the tree that starts at `root`."""

    root: InstanceId
    entries: tuple[EpochEntry, ...]
