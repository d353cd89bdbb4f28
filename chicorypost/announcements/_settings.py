"""Settings of the announcement table and of the feed."""

from typing import Annotated

import msgspec

from chicorypost.base import Bound

SILENT_INTERVALS = 2.5
"""Announcement intervals without a call after which an upstream is silent; allows for one lost
call and a delay of the next."""


class AnnouncementSettings(msgspec.Struct, frozen=True):
    """Intervals and timeouts of the announcement table and the feed.

    Parameters
    ----------
    interval_seconds : float, default 1.0
        Interval between announcements of an upstream.
    spread_seconds : float, default 0.4
        Interval at which control instances report upstream contacts to each other; well below
        the announcement interval, so that the detour over a peer adds little to the time since
        the last contact.
    hold_seconds : float, default 0.4
        Maximum time that a call waits for acknowledgements of the other control instances. Less
        than half of the time, one second, after which an upstream retries at another instance.
    subscribe_seconds : float, default 1.0
        Interval at which a balancer renews its subscription.
    subscriber_seconds : float, default 5.0
        Time after which a subscription expires unless it is renewed.
    page_seconds : float, default 0.1
        Mean interval of the pages of changes while there are many; small compared to the time in
        which an upstream that leaves must get no more work.
    page_burst : int, default 10
        Pages of changes that are sent without waiting for that interval.
    forget_seconds : float, default 120.0
        How long a gone or silent upstream is remembered, so that its delayed calls are recognised
        as outdated.
    judging_controls : int, default 2
        Connected control instances, in the order of their ids, whose judgements of upstreams count
        for a balancer. As many as its reports go to, so that it can contradict each judgement that
        it acts on.
    """

    interval_seconds: Annotated[float, Bound(gt=0)] = 1.0
    spread_seconds: Annotated[float, Bound(gt=0)] = 0.4
    hold_seconds: Annotated[float, Bound(gt=0)] = 0.4
    subscribe_seconds: Annotated[float, Bound(gt=0)] = 1.0
    subscriber_seconds: Annotated[float, Bound(gt=0)] = 5.0
    page_seconds: Annotated[float, Bound(gt=0)] = 0.1
    page_burst: Annotated[int, Bound(ge=0)] = 10
    forget_seconds: Annotated[float, Bound(gt=0)] = 120.0
    judging_controls: Annotated[int, Bound(ge=1)] = 2

    @property
    def silent_seconds(self) -> float:
        """Seconds without contact after which an upstream counts as silent."""
        return SILENT_INTERVALS * self.interval_seconds + self.spread_seconds
