"""Settings of shared observations, for balancers and control instances."""

from typing import Annotated

import msgspec

from chicorypost.base import Bound


class ObservationSettings(msgspec.Struct, frozen=True):
    """Intervals and limits of reports and judgements.

    Parameters
    ----------
    observation_seconds : float, default 3.0
        Time after which a report expires, and how long a balancer holds evidence that is neither
        renewed nor contradicted.
    min_reporters : int, default 2
        Balancers that must report the same of an upstream.
    suspect_share : float, default 0.5
        Maximum share of the upstreams of a service that is judged at a time; also the share above
        which the accusations of one balancer count for nothing, since its own link is more likely
        at fault.
    check_seconds : float, default 0.25
        Interval at which a balancer looks for evidence.
    repeat_seconds : float, default 1.0
        Interval at which an unchanged report is repeated; two may be lost before it expires.
    report_bytes_per_second : float, default 1000.0
        Upper bound of the mean rate of reports of one balancer; half of the budget of 2 KB/s.
    report_targets : int, default 2
        Control instances that get each report.
    stalled_seconds : float, default 0.5
        Minimum time without an answer after which a request is evidence.
    stalled_factor : float, default 4.0
        Factor of the usual response time of the service, after which a request is evidence.
    min_unanswered_openings : int, default 2
        Unanswered openings that are evidence; one alone is as likely a lost packet.
    slow_percent : int, default 150
        Slowness from which responses are evidence, in percent: three times the usual response time.
    min_slow_responses : int, default 2
        Responses without which the mean says too little.
    evaluation_seconds : float, default 0.1
        Minimum interval between judgements of a control instance.
    slowness_step : float, default 1.5
        Factor by which the slowness of a judged upstream must change to be sent again.
    reporter_seconds : float, default 10.0
        How long the run and number of the last report of a balancer are remembered. After this a
        lower number is accepted, such as that of a balancer whose clock was set back.
    fresh_seconds : float, default 1.0
        Age up to which an answer that the balancer got itself takes precedence over a judgement.
    return_seconds : float, default 2.0
        Upper bound of the random time after the end of a judgement until a balancer uses the
        upstream again, so that not all balancers return at once.
    """

    observation_seconds: Annotated[float, Bound(gt=0)] = 3.0
    min_reporters: Annotated[int, Bound(ge=1)] = 2
    suspect_share: Annotated[float, Bound(gt=0, le=1)] = 0.5
    check_seconds: Annotated[float, Bound(gt=0)] = 0.25
    repeat_seconds: Annotated[float, Bound(gt=0)] = 1.0
    report_bytes_per_second: Annotated[float, Bound(gt=0)] = 1000.0
    report_targets: Annotated[int, Bound(ge=1)] = 2
    stalled_seconds: Annotated[float, Bound(gt=0)] = 0.5
    stalled_factor: Annotated[float, Bound(ge=1)] = 4.0
    min_unanswered_openings: Annotated[int, Bound(ge=1)] = 2
    slow_percent: Annotated[int, Bound(ge=100)] = 150
    min_slow_responses: Annotated[int, Bound(ge=1)] = 2
    evaluation_seconds: Annotated[float, Bound(gt=0)] = 0.1
    slowness_step: Annotated[float, Bound(ge=1)] = 1.5
    reporter_seconds: Annotated[float, Bound(gt=0)] = 10.0
    fresh_seconds: Annotated[float, Bound(gt=0)] = 1.0
    return_seconds: Annotated[float, Bound(ge=0)] = 2.0
