"""Flow cookies: the way of a packet on platforms whose packets carry a value back and forth."""

from chicorypost.cookies._packet import (
    CookiePacket,
    Decision,
    Dropped,
    DropReason,
    ForwardTo,
    ResetFlow,
    ResetReason,
)
from chicorypost.cookies._router import CookieRouter, make_cookie
from chicorypost.cookies._settings import CookieSettings

__all__ = [
    "CookiePacket",
    "CookieRouter",
    "CookieSettings",
    "Decision",
    "DropReason",
    "Dropped",
    "ForwardTo",
    "ResetFlow",
    "ResetReason",
    "make_cookie",
]
