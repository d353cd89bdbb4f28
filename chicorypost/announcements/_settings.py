"""Settings of the announcement table and of the feed."""

from typing import Annotated

import msgspec

from chicorypost.base import Bound

SILENT_INTERVALS = 2.5
"""Announcement intervals without a call after which an upstream counts as silent: one call may be
lost and the next one late."""


class AnnouncementSettings(msgspec.Struct, frozen=True):
    """Times of the announcement table and of the feed.

    Parameters
    ----------
    interval_seconds : float, default 1.0
        How often upstreams announce themselves.
    spread_seconds : float, default 0.4
        How often control instances tell each other whom they have heard; well below the
        announcement interval, so that the way over a peer hardly adds to the silence.
    hold_seconds : float, default 0.4
        How long a call waits for the other control instances; half of the second after which an
        upstream tries another instance.
    subscribe_seconds : float, default 1.0
        How often a balancer repeats its subscription.
    subscriber_seconds : float, default 5.0
        A balancer that hasn't repeated its subscription for this long is dropped from the feed.
    forget_seconds : float, default 120.0
        How long an upstream that is gone is remembered, so that its late calls are known as such.
    """

    interval_seconds: Annotated[float, Bound(gt=0)] = 1.0
    spread_seconds: Annotated[float, Bound(gt=0)] = 0.4
    hold_seconds: Annotated[float, Bound(gt=0)] = 0.4
    subscribe_seconds: Annotated[float, Bound(gt=0)] = 1.0
    subscriber_seconds: Annotated[float, Bound(gt=0)] = 5.0
    forget_seconds: Annotated[float, Bound(gt=0)] = 120.0

    @property
    def silent_seconds(self) -> float:
        """How long an upstream may be unheard before it counts as silent."""
        return SILENT_INTERVALS * self.interval_seconds + self.spread_seconds
