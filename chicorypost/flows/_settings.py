"""Settings of the flow router."""

from pydantic import Field

from chicorypost.base import Settings


class FlowSettings(Settings):
    """Limits and intervals of the flow router."""

    cached_flows: int = Field(default=300_000, ge=2)
    cache_idle_seconds: float = Field(default=30.0, gt=0)
    held_packets: int = Field(default=4096, ge=1)
    held_packets_per_flow: int = Field(default=8, ge=1)
    held_seconds: float = Field(default=2.0, gt=0)
    batch_seconds: float = Field(default=0.005, gt=0)
    retry_seconds: float = Field(default=0.2, gt=0)
    plan_delay_seconds: float = Field(default=0.2, ge=0)
    open_retransmission_seconds: float = Field(default=7.0, gt=0)
    activity_report_seconds: float = Field(default=10.0, gt=0)
    settle_idle_seconds: float = Field(default=900.0, gt=0)
    slow_start_seconds: float = Field(default=30.0, ge=0)
    registered_flows: int = Field(default=200_000, ge=1)
    max_hops: int = Field(default=3, ge=1, le=8)
    pass_to_owner: bool = True
    """Whether packets that only the slot's owner can place are forwarded to it, rather than held
    while their upstream is looked up."""
