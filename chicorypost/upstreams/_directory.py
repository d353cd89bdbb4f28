"""Directory of announced upstreams: keeper, relay and reader in one state machine."""

from dataclasses import dataclass
from typing import Any

from chicorypost.base import (
    DataCentreId,
    Effect,
    Event,
    InstanceId,
    Instant,
    ServiceId,
    Upstream,
    UpstreamId,
)
from chicorypost.upstreams._settings import DirectorySettings


@dataclass(frozen=True, slots=True)
class Announced(Event):
    """An upstream announced itself to this balancer, valid for some seconds."""

    upstream: Upstream
    valid_for_seconds: float


class UpstreamDirectory:
    """State machine that knows the announced upstreams.

    Takes `Announced`, `Received`, `Tick` and `ViewChanged` (of any data centre); gives `Send`,
    `Emit` and `UpstreamsChanged`.

    Parameters
    ----------
    settings : DirectorySettings
        Intervals and bounds.
    instance : InstanceId
        This balancer.
    data_centre : DataCentreId
        The data centre of this balancer.
    now : Instant
        Time of the start.

    Notes
    -----
    An upstream whose record nobody vouches for any more is shown as draining: no new work, its
    flows stay. It is removed once its keeper has seen its validity end.
    """

    def __init__(
        self,
        settings: DirectorySettings,
        instance: InstanceId,
        data_centre: DataCentreId,
        now: Instant,
    ) -> None:
        self.settings = settings
        self.instance = instance
        self.data_centre = data_centre
        self.started = now

    def handle(self, event: Event, now: Instant) -> list[Effect]:
        """Take one event and return the effects, in the order to carry them out."""
        raise NotImplementedError

    def next_deadline(self) -> Instant | None:
        """Return when the machine next wants a `Tick`."""
        raise NotImplementedError

    def upstreams_of(self, service: ServiceId) -> tuple[Upstream, ...]:
        """Return the upstreams that announce a service, in order of id."""
        raise NotImplementedError

    def find(self, upstream: UpstreamId) -> Upstream | None:
        """Return an upstream as it may be used now, or None."""
        raise NotImplementedError

    def weight(self, upstream: UpstreamId, now: Instant) -> float:
        """Return the share of its capacity that an upstream should get: 0 to 1.

        The same on all balancers that have the same record; 0 unless the upstream is ready.
        """
        raise NotImplementedError

    def dump(self) -> dict[str, Any]:
        """Return the whole decision state as values that JSON can hold."""
        raise NotImplementedError
