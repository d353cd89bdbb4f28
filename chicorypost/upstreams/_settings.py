"""Settings of the upstream directory, upstream selection and dispatch."""

from pydantic import Field

from chicorypost.base import Settings


class DirectorySettings(Settings):
    """Settings of the replication of announcements.

    Parameters
    ----------
    heartbeat_seconds : float, default=0.75
        Interval in seconds at which a relay sends the digests of its directory.
    batch_seconds : float, default=0.1
        Time in seconds for which a relay collects changes before it sends them.
    report_retry_seconds : float, default=0.1
        Interval in seconds at which a change is reported again to a relay that has not
        confirmed it.
    vouch_seconds : float, default=2.0
        Time in seconds for which the upstreams of a data centre receive new work after the last
        confirmation by a relay.
    max_valid_seconds : float, default=15.0
        Upper bound in seconds for the validity that an upstream requests.
    tombstone_seconds : float, default=60.0
        Time in seconds for which the record of a removed upstream is retained.
    slow_start_seconds : float, default=20.0
        Time in seconds in which a ready upstream reaches its full weight.
    slow_start_stages : int, default=5
        Number of steps in which a ready upstream reaches its full weight.
    fan_out : int, default=14
        Number of instances to which one instance forwards an update.
    digest_buckets : int, default=64
        Number of digest buckets per data centre; records are repaired bucket by bucket.
    repair_buckets : int, default=16
        Maximum number of buckets that one repair sends.
    """

    heartbeat_seconds: float = Field(default=0.75, gt=0, le=10)
    batch_seconds: float = Field(default=0.1, ge=0, le=5)
    report_retry_seconds: float = Field(default=0.1, gt=0, le=10)
    vouch_seconds: float = Field(default=2.0, gt=0, le=60)
    max_valid_seconds: float = Field(default=15.0, gt=0, le=600)
    tombstone_seconds: float = Field(default=60.0, gt=0, le=3600)
    slow_start_seconds: float = Field(default=20.0, ge=0, le=3600)
    slow_start_stages: int = Field(default=5, ge=1, le=20)
    fan_out: int = Field(default=14, ge=2, le=64)
    digest_buckets: int = Field(default=64, ge=1, le=1024)
    repair_buckets: int = Field(default=16, ge=1, le=1024)


class ChooserSettings(Settings):
    """Settings of upstream selection at an entry balancer.

    Parameters
    ----------
    load_seconds : float, default=2.0
        Time in seconds for which a load report is used.
    ejection_failures : int, default=5
        Number of consecutive failures after which an upstream is ejected.
    ejection_seconds : float, default=5.0
        Duration in seconds of the first ejection; doubles with each following ejection.
    max_ejection_seconds : float, default=120.0
        Upper bound in seconds for the duration of an ejection.
    max_ejected_share : float, default=0.34
        Maximum share of the upstreams of a service that are ejected at a time.
    max_doublings : int, default=10
        Maximum number of times that the duration of an ejection doubles.
    probation_answers : int, default=3
        Number of consecutive successes after which a readmitted upstream regains its full
        weight.
    slow_start_seconds : float, default=20.0
        Time in seconds in which a new upstream reaches its full weight at this balancer.
    min_weight : float, default=0.1
        Minimum weight of an upstream in slow start or on probation.
    """

    load_seconds: float = Field(default=2.0, gt=0, le=60)
    ejection_failures: int = Field(default=5, ge=1, le=1000)
    ejection_seconds: float = Field(default=5.0, gt=0, le=600)
    max_ejection_seconds: float = Field(default=120.0, gt=0, le=3600)
    max_ejected_share: float = Field(default=0.34, ge=0, le=1)
    max_doublings: int = Field(default=10, ge=0, le=30)
    probation_answers: int = Field(default=3, ge=1, le=100)
    slow_start_seconds: float = Field(default=20.0, ge=0, le=3600)
    min_weight: float = Field(default=0.1, gt=0, le=1)


class DispatcherSettings(Settings):
    """Settings of queueing and exchanges at a dispatcher.

    Parameters
    ----------
    urgent_every : int, default=4
        At least one in this many starts goes to the urgent class while it has queued attempts.
    ordinary_every : int, default=8
        At least one in this many starts goes to the ordinary class while it has queued
        attempts.
    queue_share : float, default=0.5
        Share of a queue that one class may fill; half of the rest is reserved for each other
        class.
    default_queue_length : int, default=64
        Maximum queue length of an upstream without a configured limit.
    initial_service_seconds : float, default=0.05
        Expected duration in seconds of an exchange before the first one has been measured.
    max_exchange_seconds : float, default=10.0
        Upper bound in seconds for an exchange; a new dispatcher that received no handover waits
        for this time. It must be equal on all balancers of a data centre.
    deadline_grace_seconds : float, default=0.1
        Time in seconds after its deadline for which an exchange that has not ended occupies its
        slot.
    remember_seconds : float, default=60.0
        Time in seconds for which the id of an ended attempt is retained, so that a duplicate
        cannot run.
    handover_retry_seconds : float, default=0.25
        Interval in seconds at which an unacknowledged handover is resent.
    """

    urgent_every: int = Field(default=4, ge=2, le=100)
    ordinary_every: int = Field(default=8, ge=2, le=100)
    queue_share: float = Field(default=0.5, gt=0, le=1)
    default_queue_length: int = Field(default=64, ge=1, le=10_000)
    initial_service_seconds: float = Field(default=0.05, gt=0, le=60)
    max_exchange_seconds: float = Field(default=10.0, gt=0, le=3600)
    deadline_grace_seconds: float = Field(default=0.1, ge=0, le=10)
    remember_seconds: float = Field(default=60.0, gt=0, le=3600)
    handover_retry_seconds: float = Field(default=0.25, gt=0, le=10)
