"""Events and effects of the request state machines."""

from collections.abc import Collection
from dataclasses import dataclass
from typing import Protocol

from chicorypost.base import (
    Effect,
    Event,
    Instant,
    RequestKey,
    ServiceId,
    Upstream,
    UpstreamId,
    WallTime,
)
from chicorypost.configuration import Priority
from chicorypost.upstreams import DispatchReply, HttpRequest, HttpResponse, NoUpstream


@dataclass(frozen=True, slots=True)
class RequestArrived(Event):
    """A complete request arrived from a caller.

    Parameters
    ----------
    ticket : int
        Number of the caller's connection in the driver; never reused.
    request : HttpRequest
        The request, forwarded unchanged.
    service : ServiceId
        Service that the address and host map to.
    key : RequestKey or None
        Value of the Idempotency-Key header.
    deadline : Instant
        Time by which the caller must have an outcome.
    wall : WallTime
        Current wall-clock time.
    priority : Priority
        Priority class.
    """

    ticket: int
    request: HttpRequest
    service: ServiceId
    key: RequestKey | None
    deadline: Instant
    wall: WallTime
    priority: Priority


@dataclass(frozen=True, slots=True)
class CallerGone(Event):
    """The caller's connection closed before a response was sent."""

    ticket: int


@dataclass(frozen=True, slots=True)
class WallClockRead(Event):
    """The driver read the wall clock; expected at the start and once a second."""

    wall: WallTime


@dataclass(frozen=True, slots=True)
class Respond(Effect):
    """Send a complete response to a caller: exactly once per ticket, none after `CallerGone`."""

    ticket: int
    response: HttpResponse


class Chooser(Protocol):
    """Interface of `UpstreamChooser` that the request state machines use."""

    def choose(
        self, service: ServiceId, excluded: Collection[UpstreamId], now: Instant
    ) -> Upstream | NoUpstream:
        """Return an upstream of the service that is not excluded, or why there is none."""

    def observe(self, reply: DispatchReply, now: Instant) -> list[Effect]:
        """Update the statistics of an upstream from a dispatch reply."""
