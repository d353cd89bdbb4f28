"""Settings of announcements, choice and dispatch."""

from pydantic import Field

from chicorypost.base import Settings


class DirectorySettings(Settings):
    """How announcements spread.

    Parameters
    ----------
    heartbeat_seconds : float, default=0.75
        Interval at which a relay repeats the digest of its directory.
    batch_seconds : float, default=0.1
        How long a relay collects changes before it passes them on.
    report_retry_seconds : float, default=0.1
        Interval at which a change is reported to the relays until one shows that it knows.
    vouch_seconds : float, default=2.0
        How long a record may get new work after the last word from a relay.
    max_valid_seconds : float, default=15.0
        Upper bound for the validity that an upstream asks for.
    tombstone_seconds : float, default=60.0
        How long a removed record is remembered.
    slow_start_seconds : float, default=20.0
        How long a ready upstream takes to reach its full weight.
    slow_start_stages : int, default=5
        In how many steps it does.
    fan_out : int, default=14
        How many instances one instance passes an update on to.
    digest_buckets : int, default=64
        Buckets of the digest: a gap is repaired bucket by bucket.
    repair_buckets : int, default=16
        How many buckets one repair sends at most.
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
    """How an entry balancer chooses an upstream.

    Parameters
    ----------
    load_seconds : float, default=2.0
        How long a reported queue length is believed.
    ejection_failures : int, default=5
        Failures in a row after which an upstream is ejected.
    ejection_seconds : float, default=5.0
        Length of the first ejection; doubles with each one that follows.
    max_ejection_seconds : float, default=120.0
        Upper bound of an ejection.
    max_ejected_share : float, default=0.34
        Share of a service's upstreams that may be ejected at a time.
    max_doublings : int, default=10
        How often the length of an ejection doubles at most.
    probation_answers : int, default=3
        Answers in a row after which a readmitted upstream has its full weight again.
    slow_start_seconds : float, default=20.0
        How long a new upstream takes to reach its full weight here.
    min_weight : float, default=0.1
        Least weight of an upstream that is cold or on probation.
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
    """How a dispatcher queues and starts requests.

    Parameters
    ----------
    urgent_every : int, default=4
        At least one of this many starts goes to the urgent class while it waits.
    ordinary_every : int, default=8
        At least one of this many starts goes to the ordinary class while it waits.
    queue_share : float, default=0.5
        Share of a queue that one class may fill; half of the rest is kept for each other class.
    default_queue_length : int, default=64
        Length of a queue while no configuration bounds it.
    initial_service_seconds : float, default=0.05
        Expected duration of an exchange before any was seen.
    max_exchange_seconds : float, default=10.0
        Upper bound of an exchange; a new dispatcher that got no handover waits for so long. It
        must be equal on all balancers of a data centre.
    deadline_grace_seconds : float, default=0.1
        How long after its deadline an exchange without an end still fills its slot.
    remember_seconds : float, default=60.0
        How long the id of an ended attempt is remembered, so that a copy can't run again.
    handover_retry_seconds : float, default=0.25
        Interval at which an unacknowledged handover is repeated.
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
