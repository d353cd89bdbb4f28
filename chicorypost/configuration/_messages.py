"""Messages between control instances, relays and balancers that distribute configurations."""

from enum import Enum

from chicorypost.base import DataCentreId, Epoch, Incarnation, InstanceId, Message, Record, Version


class ReplyGuarantee(Enum):
    """What a reply to a poll guarantees to a starting balancer about later releases."""

    UNCERTAIN = "uncertain"
    """No guarantee: a newer release may exist that the sender has not received."""
    RETAINED = "retained"
    """The sender doesn't serve now but has kept its state since it last served."""
    SERVING = "serving"
    """The sender serves, so every later release waits for it."""
    ADMITTED = "admitted"
    """The log has recorded that later releases wait for balancers of this epoch."""


class ReplyHeader(Record, frozen=True, array_like=True):
    """Token of the poll that a reply answers, and its guarantee; a push has an empty token."""

    token: str
    guarantee: ReplyGuarantee


class AppliedConfiguration(Record, frozen=True, array_like=True):
    """The configuration that a balancer applies and the highest view epoch it has received."""

    incarnation: Incarnation
    version: Version
    digest: int
    highest_epoch: Epoch


class ConfigurationPoll(Message, frozen=True, array_like=True, tag=210):
    """Request a newer configuration and report what the sender applies."""

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
    """A full configuration, sent when no delta is available or the delta is not smaller."""

    header: ReplyHeader
    version: Version
    digest: int
    document: bytes


class ConfigurationCurrent(Message, frozen=True, array_like=True, tag=213):
    """The sender has no version newer than the one in the poll."""

    header: ReplyHeader
    version: Version
    digest: int


class ConfigurationAck(Message, frozen=True, array_like=True, tag=214):
    """Report what the sender applies; no reply follows."""

    applied: AppliedConfiguration


class ConfigurationAnnouncement(Message, frozen=True, array_like=True, tag=215):
    """The relay of the data centre applies this version; the reply is `ConfigurationAck`."""

    version: Version
    digest: int


class Laggard(Record, frozen=True, array_like=True):
    """A balancer of the view that applies an older version than its relay."""

    instance: InstanceId
    version: Version
    silent_ms: int


class DataCentreReport(Message, frozen=True, array_like=True, tag=216):
    """What the balancers of a data centre apply, reported by its relay.

    `lowest_version` is the lowest version that a member of the view of `epoch` has confirmed.
    `behind_count` is the number of members below `version`; `laggards` lists the first of them.
    `member_names` is empty when the receiver already has the names of that epoch.
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
    """Acknowledge a report; `named_epoch` is the epoch whose member names the sender has."""

    named_epoch: Epoch
    version: Version


ConfigurationReply = ConfigurationDelta | ConfigurationFull | ConfigurationCurrent
