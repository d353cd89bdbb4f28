"""Flow cookies: packet routing on platforms where both ends return a value of the header."""

from typing import TYPE_CHECKING

from chicorypost.base._lazy import import_lazily

if TYPE_CHECKING:
    from chicorypost.cookies._index import make_cookie
    from chicorypost.cookies._packet import (
        CookiePacket,
        Decision,
        DropPacket,
        DropReason,
        FlowEnds,
        ForwardPacket,
        ResetFlow,
        ResetReason,
        ResetStalledFlow,
    )
    from chicorypost.cookies._repeating_router import RepeatingRouter
    from chicorypost.cookies._router import CookieRouter
    from chicorypost.cookies._settings import BalancingSettings, ColdStartLimits, CookieSettings

__all__ = [
    "BalancingSettings",
    "ColdStartLimits",
    "CookiePacket",
    "CookieRouter",
    "CookieSettings",
    "Decision",
    "DropPacket",
    "DropReason",
    "FlowEnds",
    "ForwardPacket",
    "RepeatingRouter",
    "ResetFlow",
    "ResetReason",
    "ResetStalledFlow",
    "make_cookie",
]

__getattr__ = import_lazily(
    __name__,
    {
        "BalancingSettings": "_settings",
        "ColdStartLimits": "_settings",
        "CookiePacket": "_packet",
        "CookieRouter": "_router",
        "CookieSettings": "_settings",
        "Decision": "_packet",
        "DropReason": "_packet",
        "DropPacket": "_packet",
        "FlowEnds": "_packet",
        "ForwardPacket": "_packet",
        "RepeatingRouter": "_repeating_router",
        "ResetFlow": "_packet",
        "ResetReason": "_packet",
        "ResetStalledFlow": "_packet",
        "make_cookie": "_index",
    },
)
