"""Settings of leases and membership views."""

from pydantic import Field

from chicorypost.base import Settings


class MembershipSettings(Settings):
    """Settings of leases and membership views of one data centre.

    Parameters
    ----------
    lease_seconds : float, default=3.0
        Duration of a lease in seconds; an instance that starts supports no grantor for as long.
    renew_seconds : float, default=0.75
        Interval in seconds at which a holder renews its lease with every grantor.
    grantors : int, default=5
        Number of members of a view that grant leases (all members if there are fewer).
    fan_out : int, default=14
        Maximum number of instances to which one instance forwards a view.
    retry_seconds : float, default=0.25
        Interval in seconds at which unanswered messages of a view change are sent again.
    gossip_seconds : float, default=2.0
        Interval in seconds at which the relay sends the epochs of the views to its own and to
        the other data centres.
    """

    lease_seconds: float = Field(default=3.0, gt=0, le=60)
    renew_seconds: float = Field(default=0.75, gt=0, le=20)
    grantors: int = Field(default=5, ge=1, le=7)
    fan_out: int = Field(default=14, ge=2, le=64)
    retry_seconds: float = Field(default=0.25, gt=0, le=10)
    gossip_seconds: float = Field(default=2.0, gt=0, le=60)
