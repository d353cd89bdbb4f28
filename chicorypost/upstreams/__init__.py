"""Upstream announcements, dispatch under slots, health and ejection."""

from chicorypost.upstreams._announcement import AnnouncementRefusal, RefusalReason
from chicorypost.upstreams._chooser import NoUpstream, NoUpstreamReason, UpstreamChooser
from chicorypost.upstreams._directory import Announced, UpstreamDirectory
from chicorypost.upstreams._dispatcher import Dispatcher
from chicorypost.upstreams._exchanges import (
    CancelExchange,
    Drain,
    ExchangeEnded,
    RefusalCause,
    StartExchange,
)
from chicorypost.upstreams._messages import (
    DispatchAnswer,
    DispatchCancel,
    DispatchOutcome,
    DispatchRequest,
    HttpRequest,
    HttpResponse,
)
from chicorypost.upstreams._placement import dispatcher_of
from chicorypost.upstreams._settings import ChooserSettings, DirectorySettings, DispatcherSettings

__all__ = [
    "Announced",
    "AnnouncementRefusal",
    "CancelExchange",
    "ChooserSettings",
    "DirectorySettings",
    "DispatchAnswer",
    "DispatchCancel",
    "DispatchOutcome",
    "DispatchRequest",
    "Dispatcher",
    "DispatcherSettings",
    "Drain",
    "ExchangeEnded",
    "HttpRequest",
    "HttpResponse",
    "NoUpstream",
    "NoUpstreamReason",
    "RefusalCause",
    "RefusalReason",
    "StartExchange",
    "UpstreamChooser",
    "UpstreamDirectory",
    "dispatcher_of",
]
