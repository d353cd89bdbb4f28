"""Upstream announcements, dispatch under slots, health and ejection."""

from chicorypost.upstreams._announcement import AnnouncementRefusal, AnnouncementRefusalReason
from chicorypost.upstreams._chooser import NoUpstream, NoUpstreamReason, UpstreamChooser
from chicorypost.upstreams._directory import AnnouncementReceived, UpstreamDirectory
from chicorypost.upstreams._dispatcher import RequestDispatcher
from chicorypost.upstreams._exchanges import (
    AttemptRefusalReason,
    CancelExchange,
    Drain,
    ExchangeEnded,
    StartExchange,
)
from chicorypost.upstreams._messages import (
    DispatchCancel,
    DispatchOutcome,
    DispatchReply,
    DispatchRequest,
    HttpRequest,
    HttpResponse,
)
from chicorypost.upstreams._placement import dispatcher_of
from chicorypost.upstreams._settings import ChooserSettings, DirectorySettings, DispatcherSettings

__all__ = [
    "AnnouncementReceived",
    "AnnouncementRefusal",
    "AnnouncementRefusalReason",
    "AttemptRefusalReason",
    "CancelExchange",
    "ChooserSettings",
    "DirectorySettings",
    "DispatchCancel",
    "DispatchOutcome",
    "DispatchReply",
    "DispatchRequest",
    "DispatcherSettings",
    "Drain",
    "ExchangeEnded",
    "HttpRequest",
    "HttpResponse",
    "NoUpstream",
    "NoUpstreamReason",
    "RequestDispatcher",
    "StartExchange",
    "UpstreamChooser",
    "UpstreamDirectory",
    "dispatcher_of",
]
