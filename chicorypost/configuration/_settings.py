"""Settings of the distribution of configurations."""

from pydantic import Field

from chicorypost.base import Settings


class DistributionSettings(Settings):
    """Intervals and bounds of publisher, relays and followers.

    Parameters
    ----------
    batch_seconds : float, default=0.05
        Delay before a new version is sent, so that later versions join the same push.
    report_seconds : float, default=1.0
        Interval of the reports that a relay sends to the control instances.
    poll_seconds : float, default=3.0
        Interval at which a balancer polls its relay for a newer version.
    resend_seconds : float, default=0.5
        Interval at which a relay resends versions that are not confirmed.
    sync_seconds : float, default=0.25
        Interval at which a balancer that doesn't serve polls other instances.
    sync_fan_out : int, default=8
        Maximum number of balancers of its view polled at each `sync_seconds`.
    unreachable_seconds : float, default=5.0
        Time without contact after which a balancer or data centre counts as unreachable.
    window : int, default=64
        Number of recent versions kept to compute deltas.
    laggards : int, default=32
        Maximum number of lagging balancers listed in a report.
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
