"""Settings of the cookie router."""

from typing import Annotated

import msgspec

from chicorypost.base import Bound


class CookieSettings(msgspec.Struct, frozen=True):
    """Times and weights of the cookie router.

    Parameters
    ----------
    opening_seconds : float, default 1.5
        How long a flow may take to open; a little longer than a client waits for it.
    flow_idle_seconds : float, default 15.0
        A flow without a packet for this long isn't counted as load any more.
    gone_grace_seconds : float, default 0.5
        How long after an upstream has left its flows are still forwarded to it: answers under way
        are not cut off.
    suspect_seconds : float, default 1.0
        How long an upstream that doesn't answer gets no new flows, the first time; it doubles.
    max_suspect_seconds : float, default 8.0
        Upper bound of that time.
    suspect_share : float, default 0.5
        Share of a service's upstreams that may be suspected at a time; what affects more of them
        is more likely a fault on this side.
    dead_unanswered : int, default 3
        Openings in a row without an answer after which a copy may go to another upstream.
    idle_flow_weight : float, default 0.2
        Load that an open flow without a request adds, in requests.
    cold_factor : float, default 1.6
        How much longer an upstream works on a request just after its start.
    """

    opening_seconds: Annotated[float, Bound(gt=0)] = 1.5
    flow_idle_seconds: Annotated[float, Bound(gt=0)] = 15.0
    gone_grace_seconds: Annotated[float, Bound(ge=0)] = 0.5
    suspect_seconds: Annotated[float, Bound(gt=0)] = 1.0
    max_suspect_seconds: Annotated[float, Bound(gt=0)] = 8.0
    suspect_share: Annotated[float, Bound(gt=0)] = 0.5
    dead_unanswered: Annotated[int, Bound(ge=1)] = 3
    idle_flow_weight: Annotated[float, Bound(ge=0)] = 0.2
    cold_factor: Annotated[float, Bound(ge=1)] = 1.6
