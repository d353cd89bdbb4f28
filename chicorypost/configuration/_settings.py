"""Settings of the distribution of configurations."""

from pydantic import Field

from chicorypost.base import Settings


class DistributionSettings(Settings):
    """Intervals and bounds of publisher, relays and followers.

    Parameters
    ----------
    batch_seconds : float, default=0.05
        How long a new version waits for others to travel with it.
    report_seconds : float, default=1.0
        Interval of the reports from a relay to the control instances.
    poll_seconds : float, default=3.0
        Interval at which a balancer compares its version with that of its relay.
    resend_seconds : float, default=0.5
        Interval at which unconfirmed versions are sent again.
    sync_seconds : float, default=0.25
        Interval at which a balancer that doesn't serve yet asks others.
    sync_fan_out : int, default=8
        How many balancers of its view it asks at a time.
    unreachable_seconds : float, default=5.0
        Silence after which a balancer or data centre counts as unreachable.
    window : int, default=64
        How many versions are kept for deltas.
    laggards : int, default=32
        How many balancers behind the relay a report names.
    """

    batch_seconds: float = Field(default=0.05, ge=0, le=2)
    report_seconds: float = Field(default=1.0, gt=0, le=60)
    poll_seconds: float = Field(default=3.0, gt=0, le=60)
    resend_seconds: float = Field(default=0.5, gt=0, le=10)
    sync_seconds: float = Field(default=0.25, gt=0, le=10)
    sync_fan_out: int = Field(default=8, ge=1, le=64)
    unreachable_seconds: float = Field(default=5.0, gt=0, le=300)
    window: int = Field(default=64, ge=2, le=1024)
    laggards: int = Field(default=32, ge=1, le=256)
