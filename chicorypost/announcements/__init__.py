"""Announcements of upstreams: their order, their spread, and the feed that balancers follow.

Control instances run an `AnnouncementKeeper`, balancers a `DirectoryView`. Both are state machines
without I/O.
"""

from chicorypost.announcements._keeper import AnnouncementKeeper
from chicorypost.announcements._messages import FeedPage, Subscribe
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
    "UpstreamsSeen",
    "VersionApplied",
    "VisibleUpstream",
]
