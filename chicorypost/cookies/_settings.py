"""Settings of the cookie router."""

from typing import Annotated

import msgspec

from chicorypost.base import Bound


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
