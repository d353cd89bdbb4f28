"""Settings of the pacing of a link."""

from typing import Annotated

import msgspec

from chicorypost.base import Bound


class PacingSettings(msgspec.Struct, frozen=True):
    """Capacity of a link and limits of its queue.

    Parameters
    ----------
    bytes_per_second : float, optional
        Capacity of the link; without it datagrams are not paced.
    share : float, default 0.95
        Share of the capacity for datagrams; the rest is reserved for connections between
        processes.
    overhead_bytes : int, default 28
        Bytes on the link in addition to the payload of a datagram: the IPv4 and UDP headers.
    backlog_seconds : float, default 0.01
        Maximum transmission time of datagrams passed to the link ahead of time. Keeps the link
        busy between two wake-ups, as timers fire some milliseconds late.
    queue_seconds : float, default 1.0
        Maximum transmission time of all queued datagrams; clients retransmit unacknowledged data
        long before it has passed.
    """

    bytes_per_second: Annotated[float, Bound(gt=0)] | None = None
    share: Annotated[float, Bound(gt=0)] = 0.95
    overhead_bytes: Annotated[int, Bound(ge=0)] = 28
    backlog_seconds: Annotated[float, Bound(ge=0)] = 0.01
    queue_seconds: Annotated[float, Bound(gt=0)] = 1.0
