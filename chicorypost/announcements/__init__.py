"""Announcements of upstreams: their order, their spread, and the feed that balancers follow.

Control instances run an `AnnouncementKeeper`, balancers a `DirectoryView`. Both are state machines
without I/O.
"""

from typing import TYPE_CHECKING

from chicorypost.base._lazy import import_lazily

if TYPE_CHECKING:
    from chicorypost.announcements._keeper import AnnouncementKeeper
    from chicorypost.announcements._messages import FeedPage, Subscribe, TableReply
    from chicorypost.announcements._records import (
        Announced,
        Announcement,
        AnnouncementDone,
        AnnouncementOutcome,
        Leaving,
        ListedUpstream,
        PeerGone,
        PeerReached,
        PeersChanged,
        Standing,
        TableChanged,
        TableRestored,
        VersionApplied,
    )
    from chicorypost.announcements._settings import AnnouncementSettings
    from chicorypost.announcements._table import AnnouncementTable
    from chicorypost.announcements._view import (
        ControlsChanged,
        DirectoryView,
        RoutingApplied,
        SeedsChanged,
        UpstreamsSeen,
        VisibleUpstream,
    )

__all__ = [
    "Announced",
    "Announcement",
    "AnnouncementDone",
    "AnnouncementKeeper",
    "AnnouncementOutcome",
    "AnnouncementSettings",
    "AnnouncementTable",
    "ControlsChanged",
    "DirectoryView",
    "FeedPage",
    "Leaving",
    "ListedUpstream",
    "PeerGone",
    "PeerReached",
    "PeersChanged",
    "RoutingApplied",
    "SeedsChanged",
    "Standing",
    "Subscribe",
    "TableChanged",
    "TableReply",
    "TableRestored",
    "UpstreamsSeen",
    "VersionApplied",
    "VisibleUpstream",
]

__getattr__ = import_lazily(
    __name__,
    {
        "Announced": "_records",
        "Announcement": "_records",
        "AnnouncementDone": "_records",
        "AnnouncementKeeper": "_keeper",
        "AnnouncementOutcome": "_records",
        "AnnouncementSettings": "_settings",
        "AnnouncementTable": "_table",
        "ControlsChanged": "_view",
        "DirectoryView": "_view",
        "FeedPage": "_messages",
        "Leaving": "_records",
        "ListedUpstream": "_records",
        "PeerGone": "_records",
        "PeerReached": "_records",
        "PeersChanged": "_records",
        "RoutingApplied": "_view",
        "SeedsChanged": "_view",
        "Standing": "_records",
        "Subscribe": "_messages",
        "TableChanged": "_records",
        "TableReply": "_messages",
        "TableRestored": "_records",
        "UpstreamsSeen": "_view",
        "VersionApplied": "_records",
        "VisibleUpstream": "_view",
    },
)
