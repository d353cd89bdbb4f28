"""Upstream announcements: ordering, replication between control instances, feed to balancers.

Control instances run an `AnnouncementRegistry`, balancers run a `DirectoryView`. Both are state
machines without I/O.
"""

from typing import TYPE_CHECKING

from chicorypost.base._lazy import import_lazily

if TYPE_CHECKING:
    from chicorypost.announcements._messages import (
        REGISTRY_MESSAGES,
        VIEW_MESSAGES,
        AnnouncementTableReply,
        FeedPage,
        Subscribe,
    )
    from chicorypost.announcements._records import (
        AnnouncedStatus,
        Announcement,
        AnnouncementOutcome,
        EvacuationsChanged,
        JudgedState,
        Judgement,
        JudgementsChanged,
        LeaveNotice,
        ListedUpstream,
        PeerConnected,
        PeerDisconnected,
        PeersChanged,
        RunJudgement,
        TableChanged,
        TableRestored,
        TableSaved,
        UpstreamCallCompleted,
        UpstreamCallReceived,
        VersionApplied,
    )
    from chicorypost.announcements._registry import AnnouncementRegistry
    from chicorypost.announcements._settings import AnnouncementSettings
    from chicorypost.announcements._table import AnnouncementTable
    from chicorypost.announcements._view import (
        BalancersCounted,
        ControlsChanged,
        DirectoryView,
        EvacuationsApplied,
        RoutingApplied,
        SeedsChanged,
        VisibleUpstream,
        VisibleUpstreamsChanged,
    )

__all__ = [
    "REGISTRY_MESSAGES",
    "VIEW_MESSAGES",
    "AnnouncedStatus",
    "Announcement",
    "AnnouncementOutcome",
    "AnnouncementRegistry",
    "AnnouncementSettings",
    "AnnouncementTable",
    "AnnouncementTableReply",
    "BalancersCounted",
    "ControlsChanged",
    "DirectoryView",
    "EvacuationsApplied",
    "EvacuationsChanged",
    "FeedPage",
    "JudgedState",
    "Judgement",
    "JudgementsChanged",
    "LeaveNotice",
    "ListedUpstream",
    "PeerConnected",
    "PeerDisconnected",
    "PeersChanged",
    "RoutingApplied",
    "RunJudgement",
    "SeedsChanged",
    "Subscribe",
    "TableChanged",
    "TableRestored",
    "TableSaved",
    "UpstreamCallCompleted",
    "UpstreamCallReceived",
    "VersionApplied",
    "VisibleUpstream",
    "VisibleUpstreamsChanged",
]

__getattr__ = import_lazily(
    __name__,
    {
        "REGISTRY_MESSAGES": "_messages",
        "VIEW_MESSAGES": "_messages",
        "UpstreamCallReceived": "_records",
        "Announcement": "_records",
        "UpstreamCallCompleted": "_records",
        "AnnouncementRegistry": "_registry",
        "AnnouncementOutcome": "_records",
        "AnnouncementSettings": "_settings",
        "AnnouncementTable": "_table",
        "BalancersCounted": "_view",
        "ControlsChanged": "_view",
        "DirectoryView": "_view",
        "EvacuationsApplied": "_view",
        "EvacuationsChanged": "_records",
        "FeedPage": "_messages",
        "JudgedState": "_records",
        "Judgement": "_records",
        "JudgementsChanged": "_records",
        "LeaveNotice": "_records",
        "ListedUpstream": "_records",
        "PeerDisconnected": "_records",
        "PeerConnected": "_records",
        "PeersChanged": "_records",
        "RoutingApplied": "_view",
        "RunJudgement": "_records",
        "SeedsChanged": "_view",
        "AnnouncedStatus": "_records",
        "Subscribe": "_messages",
        "TableChanged": "_records",
        "AnnouncementTableReply": "_messages",
        "TableRestored": "_records",
        "TableSaved": "_records",
        "VisibleUpstreamsChanged": "_view",
        "VersionApplied": "_records",
        "VisibleUpstream": "_view",
    },
)
