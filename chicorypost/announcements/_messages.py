"""Messages about upstreams between control instances, and from them to balancers."""

from chicorypost.announcements._records import ListedUpstream
from chicorypost.base import InstanceId, Message, Record, UpstreamId, Version
from chicorypost.routing import RoutingDocument


class AnnouncementTableRequest(Message, frozen=True, array_like=True, tag=800):
    """Ask another control instance for its whole table."""


class AnnouncementTableReply(Message, frozen=True, array_like=True, tag=801):
    """The whole table; `complete` says whether the sender has heard every live upstream."""

    is_complete: bool
    listed: tuple[ListedUpstream, ...]


class ReplicateChanges(Message, frozen=True, array_like=True, tag=802):
    """Announcements that changed something; answered by `ChangesReplicated` with the same number."""

    change_number: int
    listed: tuple[ListedUpstream, ...]


class ChangesReplicated(Message, frozen=True, array_like=True, tag=803):
    """The changes up to `number` are in the receiver's table."""

    change_number: int


class UpstreamContact(Record, frozen=True, array_like=True):
    """One upstream that the sender of `ReportContacts` has heard."""

    upstream: UpstreamId
    started_at_ms: int
    is_draining: bool


class ReportContacts(Message, frozen=True, array_like=True, tag=805):
    """Upstreams that the sender has heard since its last such message."""

    contacts: tuple[UpstreamContact, ...]


class Subscribe(Message, frozen=True, array_like=True, tag=810):
    """A balancer wants the feed; repeated while it does.

    `feed` and `position` name the last page that it has; 0 asks for everything.
    """

    feed_id: int
    position: int


class FeedPage(Message, frozen=True, array_like=True, tag=811):
    """One page of the feed of a control instance.

    Parameters
    ----------
    feed : int
        Number of this run of the control instance.
    position : int
        Number of the page for this subscriber, one more than that of the page before.
    whole : bool
        Whether `listed` holds the whole table; else what changed since the page before.
    complete : bool
        Whether the sender has had the time to hear every live upstream.
    listed : tuple of ListedUpstream
        Upstreams.
    controls : tuple of InstanceId
        All control instances.
    version : Version
        The newest configuration that the sender has.
    """

    feed_id: int
    position: int
    is_full: bool
    is_complete: bool
    listed: tuple[ListedUpstream, ...]
    controls: tuple[InstanceId, ...]
    version: Version


class DocumentRequest(Message, frozen=True, array_like=True, tag=812):
    """Ask a control instance for its newest configuration."""


class DocumentReply(Message, frozen=True, array_like=True, tag=813):
    """The newest configuration of the sender."""

    document: RoutingDocument
