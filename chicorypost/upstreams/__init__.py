"""Upstream announcements, dispatch under slots, health and ejection."""

from chicorypost.upstreams._messages import (
    DispatchAnswer,
    DispatchCancel,
    DispatchOutcome,
    DispatchRequest,
    HttpRequest,
    HttpResponse,
)

__all__ = [
    "DispatchAnswer",
    "DispatchCancel",
    "DispatchOutcome",
    "DispatchRequest",
    "HttpRequest",
    "HttpResponse",
]
