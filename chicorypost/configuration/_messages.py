"""Messages that distribute configurations: control instance, relay balancer, balancers."""

from enum import Enum

from chicorypost.base import DataCentreId, Epoch, Incarnation, InstanceId, Message, Record, Version


class ReplyGuarantee(Enum):
    """What an answer to a poll is worth to a balancer that starts."""

    UNCERTAIN = "uncertain"
    """A newer release may exist that the sender hasn't heard of."""
    RETAINED = "retained"
    """The sender kept its memory since it last served, but doesn't serve now."""
    SERVING = "serving"
    """The sender serves and will be waited for by every later release."""
    ADMITTED = "admitted"
    """The log has recorded that balancers of this epoch will be waited for."""


class ReplyHeader(Record, frozen=True, array_like=True):
    """To which poll an answer belongs and what it is worth; the token of a push is empty."""

    token: str
    guarantee: ReplyGuarantee


class AppliedConfiguration(Record, frozen=True, array_like=True):
    """What one balancer applies and the greatest epoch it has heard of."""

    incarnation: Incarnation
    version: Version
    digest: int
    highest_epoch: Epoch


class ConfigurationPoll(Message, frozen=True, array_like=True, tag=210):
    """Ask for a newer configuration; also states what the sender applies."""

    token: str
    data_centre: DataCentreId
    epoch: Epoch
    is_starting: bool
    applied: AppliedConfiguration


class ConfigurationDelta(Message, frozen=True, array_like=True, tag=211):
    """The change from one version to a later one, as a JSON Merge Patch."""

    header: ReplyHeader
    base: Version
    version: Version
    digest: int
    delta: bytes


class ConfigurationFull(Message, frozen=True, array_like=True, tag=212):
    """A whole configuration, sent where a delta can't be."""

    header: ReplyHeader
    version: Version
    digest: int
    document: bytes


class ConfigurationCurrent(Message, frozen=True, array_like=True, tag=213):
    """The sender has nothing newer than the version that was polled for."""

    header: ReplyHeader
    version: Version
    digest: int


class ConfigurationAck(Message, frozen=True, array_like=True, tag=214):
    """State what the sender applies; has no answer."""

    applied: AppliedConfiguration


class ConfigurationAnnouncement(Message, frozen=True, array_like=True, tag=215):
    """The relay of the data centre applies this version; answered by `ConfigurationAck`."""

    version: Version
    digest: int


class Laggard(Record, frozen=True, array_like=True):
    """A balancer of the view that doesn't apply the version of its relay."""

    instance: InstanceId
    version: Version
    silent_ms: int


class DataCentreReport(Message, frozen=True, array_like=True, tag=216):
    """What the balancers of a data centre apply, told by its relay.

    `floor` is the lowest version that a member of the view of `epoch` has confirmed. `behind`
    counts the members below `version`; `laggards` names the first of them. `names` is empty when
    the receiver knows the members of that epoch.
    """

    data_centre: DataCentreId
    epoch: Epoch
    highest_epoch: Epoch
    lowest_version: Version
    version: Version
    digest: int
    member_count: int
    behind_count: int
    laggards: tuple[Laggard, ...]
    member_names: tuple[InstanceId, ...]


class ReportAcknowledgement(Message, frozen=True, array_like=True, tag=217):
    """A control instance has taken a report; `named_epoch` is the epoch whose names it knows."""

    named_epoch: Epoch
    version: Version


ConfigurationReply = ConfigurationDelta | ConfigurationFull | ConfigurationCurrent
