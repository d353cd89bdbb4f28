"""What a balancer reports of the upstreams that it uses."""

from enum import Enum

from chicorypost.base import Message, Record, UpstreamId

MAX_OBSERVATIONS = 24
"""Observations in one report; more than the upstreams of which one balancer among 100 has evidence
while a seventh of 120 fails."""


class ObservedState(Enum):
    """What a balancer sees of one run of an upstream."""

    UNRESPONSIVE = 1
    """Openings or requests are unanswered, and none was answered since."""
    SLOW = 2
    """Its responses take much longer than those of the others of its service."""
    RESPONSIVE = 3
    """It has answered requests since it was judged or observed otherwise."""


class Observation(Record, frozen=True, array_like=True):
    """What a balancer sees of one run of an upstream.

    `started_at_ms` names the run. `slowness_percent` is the factor by which responses take longer
    than what counts as usual, in percent; 100 unless the state is `SLOW`.
    """

    upstream: UpstreamId
    started_at_ms: int
    state: ObservedState
    slowness_percent: int = 100


class ReportObservations(Message, frozen=True, array_like=True, tag=815):
    """Everything that the sender observes now; replaces its earlier reports.

    Parameters
    ----------
    run : int
        Identifies the run of the sender; increases with each start.
    number : int
        Number of the report within this run; increases with each report.
    observations : tuple of Observation
        At most `MAX_OBSERVATIONS`; an upstream that isn't named isn't observed as unusual.
    """

    run: int
    number: int
    observations: tuple[Observation, ...]
