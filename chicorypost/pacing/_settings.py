"""Settings of the pacing of a link."""

from typing import Annotated

import msgspec

from chicorypost.base import Bound


class PacingSettings(msgspec.Struct, frozen=True):
    """What a link takes, and how much may wait for it.

    Parameters
    ----------
    bytes_per_second : float, optional
        Capacity of the link; not paced without it.
    share : float, default 0.95
        Part of the capacity that datagrams may use; the rest is left to connections between
        processes.
    overhead_bytes : int, default 28
        What a datagram takes on the link beside its content: the heads of IPv4 and UDP.
    backlog_seconds : float, default 0.01
        How much may be handed to the link ahead of time, so that it isn't idle between two
        wake-ups; timers fire some milliseconds late.
    queue_seconds : float, default 1.0
        How much may wait, in time on the link; a client repeats what isn't acknowledged long
        before.
    """

    bytes_per_second: Annotated[float, Bound(gt=0)] | None = None
    share: Annotated[float, Bound(gt=0)] = 0.95
    overhead_bytes: Annotated[int, Bound(ge=0)] = 28
    backlog_seconds: Annotated[float, Bound(ge=0)] = 0.01
    queue_seconds: Annotated[float, Bound(gt=0)] = 1.0
