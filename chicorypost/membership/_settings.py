"""Settings of membership."""

from pydantic import Field

from chicorypost.base import Settings


class MembershipSettings(Settings):
    """Leases and views of one data centre.

    Parameters
    ----------
    lease_seconds : float, default=3.0
        How long one grant lasts; also how long a starting grantor abstains.
    renew_seconds : float, default=0.75
        Interval at which a holder renews its lease with every grantor.
    grantors : int, default=5
        How many members of a view grant leases (all of them, when there are fewer).
    fan_out : int, default=14
        How many instances one instance passes a view on to.
    retry_seconds : float, default=0.25
        Interval at which unanswered steps of a view change are repeated.
    gossip_seconds : float, default=2.0
        Interval at which the relay tells the other data centres its view.
    """

    lease_seconds: float = Field(default=3.0, gt=0, le=60)
    renew_seconds: float = Field(default=0.75, gt=0, le=20)
    grantors: int = Field(default=5, ge=1, le=7)
    fan_out: int = Field(default=14, ge=2, le=64)
    retry_seconds: float = Field(default=0.25, gt=0, le=10)
    gossip_seconds: float = Field(default=2.0, gt=0, le=60)
