"""Settings of the cookie router, and of the features that a deployment enables."""

from typing import Annotated

import msgspec

from chicorypost.base import Bound

MAX_REPEAT_SHARE = 0.2
"""Upper bound of the extra work for repeats; more would overload a service that is half full."""


class CookieSettings(msgspec.Struct, frozen=True):
    """Timeouts and weights of the cookie router.

    Parameters
    ----------
    opening_seconds : float, default 1.5
        Time limit for opening a flow; slightly longer than clients wait for it.
    flow_idle_seconds : float, default 15.0
        Idle time after which a flow no longer counts as load.
    gone_grace_seconds : float, default 0.5
        How long flows are still forwarded to an upstream that has left, so that responses in
        progress can complete.
    suspect_seconds : float, default 1.0
        How long an upstream gets no new flows after an unanswered opening. Doubles each time
        that an opening after this time is unanswered too, until the upstream answers one.
    max_suspect_seconds : float, default 8.0
        Upper bound of that time after doubling.
    suspect_share : float, default 0.5
        Maximum share of the upstreams of a service that is excluded as suspected; if more are
        affected, the fault is more likely on the side of the balancer.
    dead_unanswered : int, default 3
        Consecutive unanswered openings after which a copy may go to another upstream.
    moved_copy : int, default 2
        Number of the copy of an opening that goes to another upstream if the first one is overdue.
        Clients send the second copy after 0.6 s, far above the time that an upstream takes to
        answer.
    overdue_seconds : float, default 0.3
        Time since the opening without an answer to any flow after which an upstream is overdue.
    idle_flow_weight : float, default 0.2
        Load of an open flow without a running request, in requests.
    cold_factor : float, default 1.6
        Factor by which requests take longer while an upstream warms up.
    response_weight : float, default 0.3
        Weight of the latest response in the mean response time of an upstream.
    response_memory_seconds : float, default 10.0
        Time without a response after which the mean is no longer used.
    usual_slowness : float, default 2.0
        Factor of the usual response time of a service up to which an upstream isn't slow; response
        times vary by about that much by themselves.
    max_slowness : float, default 8.0
        Upper bound of the slowness, so that a slow upstream still gets flows that show whether it
        has recovered.
    max_request_seconds : float, default 4.0
        Age up to which a request without a response counts.
    min_usual_seconds : float, default 0.01
        Lower bound of the usual response time; shorter ones vary with the network.
    """

    opening_seconds: Annotated[float, Bound(gt=0)] = 1.5
    flow_idle_seconds: Annotated[float, Bound(gt=0)] = 15.0
    gone_grace_seconds: Annotated[float, Bound(ge=0)] = 0.5
    suspect_seconds: Annotated[float, Bound(gt=0)] = 1.0
    max_suspect_seconds: Annotated[float, Bound(gt=0)] = 8.0
    suspect_share: Annotated[float, Bound(gt=0)] = 0.5
    dead_unanswered: Annotated[int, Bound(ge=1)] = 3
    moved_copy: Annotated[int, Bound(ge=1)] = 2
    overdue_seconds: Annotated[float, Bound(ge=0)] = 0.3
    idle_flow_weight: Annotated[float, Bound(ge=0)] = 0.2
    cold_factor: Annotated[float, Bound(ge=1)] = 1.6
    response_weight: Annotated[float, Bound(gt=0, le=1)] = 0.3
    response_memory_seconds: Annotated[float, Bound(gt=0)] = 10.0
    usual_slowness: Annotated[float, Bound(ge=1)] = 2.0
    max_slowness: Annotated[float, Bound(ge=1)] = 8.0
    max_request_seconds: Annotated[float, Bound(gt=0)] = 4.0
    min_usual_seconds: Annotated[float, Bound(gt=0)] = 0.01


class BalancingSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Features of the balancers that an operator enables in the settings file; all off by default.

    Parameters
    ----------
    shared_observations : bool, default False
        Whether balancers share which upstreams are unresponsive or slow.
    repeat_share : float, default 0.0
        Extra work allowed for repeats of stalled requests, as a share of the requests that may be
        repeated, at most `MAX_REPEAT_SHARE`; 0 disables repeats.
    repeat_after_ms : float, default 500.0
        Milliseconds without an answer after which a request counts as stalled.
    """

    shared_observations: bool = False
    repeat_share: Annotated[float, msgspec.Meta(ge=0, le=MAX_REPEAT_SHARE)] = 0.0
    repeat_after_ms: Annotated[float, msgspec.Meta(ge=50, le=60_000)] = 500.0


class ColdStartLimits(msgspec.Struct, frozen=True):
    """Limits of the flows that a cold upstream gets from all balancers together.

    Parameters
    ----------
    rate_factor : float
        Factor of the rate that a cold upstream of the service bears.
    extra_flows : float
        Flows a second that a cold upstream may get beyond that.
    """

    rate_factor: float
    extra_flows: float
