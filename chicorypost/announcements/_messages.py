"""Messages about upstreams between control instances and to balancers."""

from chicorypost.announcements._records import ListedUpstream
from chicorypost.base import InstanceId, Message, Record, UpstreamId, Version
from chicorypost.evacuation import Evacuations
from chicorypost.routing import NO_VERSION, RoutingChange, RoutingDocument


class AnnouncementTableRequest(Message, frozen=True, array_like=True, tag=800):
    """Request the full table of another control instance."""


class AnnouncementTableReply(Message, frozen=True, array_like=True, tag=801):
    """The full table of the sender.

    `is_complete` is true if every live upstream has had time to reach the sender.
    """

    is_complete: bool
    listed: tuple[ListedUpstream, ...]


class ReplicateChanges(Message, frozen=True, array_like=True, tag=802):
    """Replicate announcements that changed the table; acknowledged by `ChangesReplicated`."""

    change_number: int
    listed: tuple[ListedUpstream, ...]


class ChangesReplicated(Message, frozen=True, array_like=True, tag=803):
    """Acknowledge all changes up to `change_number`."""

    change_number: int


class UpstreamContact(Record, frozen=True, array_like=True):
    """Latest contact between one upstream and the sender of `ReportContacts`."""

    upstream: UpstreamId
    started_at_ms: int
    is_draining: bool


class ReportContacts(Message, frozen=True, array_like=True, tag=805):
    """Upstreams that have called the sender since its previous `ReportContacts`."""

    contacts: tuple[UpstreamContact, ...]


class Subscribe(Message, frozen=True, array_like=True, tag=810):
    """Subscribe to the feed; balancers repeat it to renew the subscription.

    `feed_id` and `position` identify the last page received; 0 requests the full table.
    `is_new_connection` is true for the first subscription on a connection, on which no page can be
    in flight. It is None in messages of earlier builds, which take no page with changes of several
    positions.
    """

    feed_id: int
    position: int
    is_new_connection: bool | None = None


class FeedPage(Message, frozen=True, array_like=True, tag=811):
    """One page of the feed of a control instance.

    Parameters
    ----------
    feed_id : int
        Identifies the current run of the control instance.
    position : int
        Number of the latest change of the table or of the other fields that the page includes.
    is_full : bool
        Whether `listed` holds the full table instead of the changes since the previous page.
    is_complete : bool
        Whether every live upstream has had time to reach the sender.
    listed : tuple of ListedUpstream
        Upstreams that are new or changed, or all of them if `is_full`.
    controls : tuple of InstanceId
        All control instances.
    version : Version
        Version of the newest configuration of the sender.
    since : int or None
        Position from which the page continues; None in messages of earlier builds, which continue
        from the position before.
    evacuations : Evacuations or None
        The evacuated data centres as the sender has applied them; None in messages of earlier
        builds.
    balancers : int or None
        Number of balancers that are subscribed to the sender; None if it has just started, and in
        messages of earlier builds. A new number causes a page only if it has grown by a quarter and
        a service has a warm-up.
    """

    feed_id: int
    position: int
    is_full: bool
    is_complete: bool
    listed: tuple[ListedUpstream, ...]
    controls: tuple[InstanceId, ...]
    version: Version
    since: int | None = None
    evacuations: Evacuations | None = None
    balancers: int | None = None


class DocumentRequest(Message, frozen=True, array_like=True, tag=812):
    """Request the newest configuration of a control instance.

    `held_version` is that of the configuration from which the reply may be a `DocumentChanged`;
    0 requests the whole configuration, as earlier builds do.
    """

    held_version: Version = NO_VERSION


class DocumentReply(Message, frozen=True, array_like=True, tag=813):
    """The newest configuration of the sender."""

    document: RoutingDocument


class DocumentChanged(Message, frozen=True, array_like=True, tag=814):
    """The difference between the version that a `DocumentRequest` named and the newest one."""

    change: RoutingChange


REGISTRY_MESSAGES: tuple[type[Message], ...] = (
    AnnouncementTableRequest,
    AnnouncementTableReply,
    ReplicateChanges,
    ChangesReplicated,
    ReportContacts,
    Subscribe,
    DocumentRequest,
)
"""Messages that a control instance takes."""

VIEW_MESSAGES: tuple[type[Message], ...] = (FeedPage, DocumentReply, DocumentChanged)
"""Messages that a balancer takes."""
