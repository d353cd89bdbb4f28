"""Choice of an upstream for a request at the entry balancer."""

from collections.abc import Collection
from dataclasses import dataclass
from enum import Enum
from random import Random
from typing import Any

from chicorypost.base import (
    Effect,
    Event,
    Instant,
    ServiceId,
    Upstream,
    UpstreamId,
)
from chicorypost.upstreams._messages import DispatchAnswer
from chicorypost.upstreams._settings import ChooserSettings


class NoUpstreamReason(Enum):
    """Why a service has no upstream for a request."""

    NONE_KNOWN = "none-known"
    ALL_STARTING = "all-starting"
    ALL_DRAINING = "all-draining"
    ALL_EXCLUDED = "all-excluded"


@dataclass(frozen=True, slots=True)
class NoUpstream:
    """No upstream can take the request: nothing was sent."""

    reason: NoUpstreamReason
    detail: str


class UpstreamChooser:
    """Power of two choices over the load that dispatchers report, with outlier ejection.

    Takes `UpstreamsChanged` by `handle`, and answers by `observe`; gives `Emit`.
    """

    def __init__(self, settings: ChooserSettings, random: Random) -> None:
        self.settings = settings
        self.random = random

    def handle(self, event: Event, now: Instant) -> list[Effect]:
        """Take one event and return the effects."""
        raise NotImplementedError

    def observe(self, answer: DispatchAnswer, now: Instant) -> list[Effect]:
        """Learn load and outcome from an answer of a dispatcher."""
        raise NotImplementedError

    def choose(
        self, service: ServiceId, excluded: Collection[UpstreamId], now: Instant
    ) -> Upstream | NoUpstream:
        """Choose an upstream of a service, or say why there is none.

        Parameters
        ----------
        service : ServiceId
            The service that upstreams announce (the selector's one).
        excluded : collection of UpstreamId
            Upstreams that this request has tried.
        now : Instant
            Current time.

        Returns
        -------
        Upstream or NoUpstream
            The choice, or the reason for which the request can be refused truthfully.
        """
        raise NotImplementedError

    def dump(self) -> dict[str, Any]:
        """Return the whole decision state as values that JSON can hold."""
        raise NotImplementedError
